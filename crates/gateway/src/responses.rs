//! Responses to callers and their bodies.

use crate::SharedGateway;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Frame};
use hyper::{Response, StatusCode, header};
use serde_json::json;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// Body of a response to a caller.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, Truncated>;

/// Error that ends a body before it is complete, so that the caller's connection
/// is closed and the caller notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Truncated;

impl std::fmt::Display for Truncated {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the response is incomplete")
    }
}

impl std::error::Error for Truncated {}

/// Builds a body from bytes that are available already.
pub(crate) fn full_body(body: Bytes) -> ResponseBody {
    Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Body whose frames arrive through a channel.
pub(crate) struct ChannelBody {
    frames: mpsc::Receiver<Result<Bytes, Truncated>>,
    /// Error to be returned after the frames before it have been flushed.
    error: Option<Truncated>,
}

impl ChannelBody {
    pub(crate) fn new(frames: mpsc::Receiver<Result<Bytes, Truncated>>) -> Self {
        ChannelBody {
            frames,
            error: None,
        }
    }
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        if let Some(error) = self.error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match self.frames.poll_recv(context) {
            // The server drops what it has buffered when the body fails, and flushes
            // it when the body is pending.
            Poll::Ready(Some(Err(error))) => {
                self.error = Some(error);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            frame => frame.map(|f| f.map(|f| f.map(Frame::data))),
        }
    }
}

/// Builds a response with an error message from the gateway itself rather than
/// from a target.
pub(crate) fn own_response(
    gateway: &SharedGateway,
    status: u16,
    message: &str,
    retry_after: Option<f64>,
) -> Response<ResponseBody> {
    gateway.metrics.count("own_answers", status_label(status));
    let body = json!({ "error": message }).to_string();
    let mut response = Response::new(full_body(Bytes::from(body)));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    let json_type = header::HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json_type);
    if let Some(wait) = retry_after
        && let Ok(value) = header::HeaderValue::try_from(format!("{wait:.2}"))
    {
        headers.insert(header::RETRY_AFTER, value);
    }
    response
}

fn status_label(status: u16) -> &'static str {
    match status {
        400 => "400",
        401 => "401",
        404 => "404",
        408 => "408",
        413 => "413",
        502 => "502",
        503 => "503",
        504 => "504",
        _ => "other",
    }
}
