//! HTTP responses to callers.

use crate::{REQUEST_HEADER, ResponsePart, ResponseStream};
use decision::{Error, RequestId};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::Response;
use hyper::body::{Bytes, Frame};
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, RETRY_AFTER};
use serde::Serialize;
use serde_json::{Value, json};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Time after which a connection that the caller does not read is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of events that are buffered for a caller's connection.
const EVENT_BUFFER: usize = 16;

pub(crate) type Body = BoxBody<Bytes, Infallible>;
pub(crate) type HttpResponse = Response<Body>;

pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed()
}

pub(crate) fn json(status: u16, value: &impl Serialize) -> HttpResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, "application/json")
        .body(full(body))
        .expect("status and headers are valid")
}

/// Returns the HTTP status for the code of an error.
fn http_status(code: &str) -> u16 {
    match code {
        "malformed" | "wrong_kind" | "key_needed" => 400,
        "unauthorized" => 401,
        "not_found" | "unknown_service" | "unknown_request" => 404,
        "claimed" | "key_reused" | "in_progress" => 409,
        "too_large" => 413,
        "wrong_instance" => 421,
        "quarantined" => 422,
        "overloaded" | "queue_timeout" | "no_target" | "no_configuration" | "retry_budget"
        | "stopping" | "claim_unavailable" => 503,
        "timeout" => 504,
        _ => 502,
    }
}

fn error_body(error: &Error, id: Option<&str>) -> Value {
    json!({ "error": {
        "type": "briargap",
        "code": error.code(),
        "message": error.message(),
        "step": error.step(),
        "peer": error.peer(),
        "run": error.execution(),
        "request": id,
    } })
}

pub(crate) fn error_response(error: &Error, id: Option<&RequestId>) -> HttpResponse {
    let status = http_status(error.code());
    let mut response = json(status, &error_body(error, id.map(RequestId::as_str)));
    if status == 503 {
        response.headers_mut().insert(RETRY_AFTER, 1.into());
    }
    set_request_header(&mut response, id);
    response
}

fn set_request_header(response: &mut HttpResponse, id: Option<&RequestId>) {
    if let Some(value) = id.and_then(|id| id.parse().ok()) {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
}

/// Builds the response that the first part of the stream requires: an error, a
/// complete response, a stream of events or a single completion.
pub(crate) async fn into_response(
    response_stream: ResponseStream,
    is_streamed: bool,
    stalled: Arc<Notify>,
) -> HttpResponse {
    let id = response_stream.id.clone();
    let mut response = match response_stream.parts.recv_async().await {
        Ok(ResponsePart::Failed(error)) => error_response(&error, Some(&id)),
        Ok(ResponsePart::CompleteResponse {
            status,
            content_type,
            body,
        }) => complete_response(status, &content_type, &body),
        Ok(first) if is_streamed => event_stream(first, response_stream.parts, id.clone(), stalled),
        Ok(first) => collect_completion(first, &response_stream.parts, &id).await,
        Err(_) => error_response(&stream_ended(), Some(&id)),
    };
    set_request_header(&mut response, Some(&id));
    response
}

/// Error for a stream that ends without its last part.
fn stream_ended() -> Error {
    let message = "the request ended without an answer";
    Error::new("failed", decision::Step::Answer, "instance", message)
        .with_execution(decision::Execution::Unknown)
}

fn complete_response(status: u16, content_type: &str, body: &[u8]) -> HttpResponse {
    let response = Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(full(body.to_vec()));
    response.unwrap_or_else(|_| Response::new(full(body.to_vec())))
}

/// Streams the parts as server-sent events, each as soon as it arrives.
///
/// Notifies `stalled` if the caller does not read for [`WRITE_TIMEOUT`].
fn event_stream(
    first: ResponsePart,
    parts: flume::Receiver<ResponsePart>,
    id: RequestId,
    stalled: Arc<Notify>,
) -> HttpResponse {
    let (sender, frames) = flume::bounded(EVENT_BUFFER);
    tokio::spawn(async move {
        let mut part = first;
        loop {
            let is_last = matches!(part, ResponsePart::End | ResponsePart::Failed(_));
            let frame = Frame::data(Bytes::from(event_text(&part, &id)));
            let sent = tokio::time::timeout(WRITE_TIMEOUT, sender.send_async(Ok(frame))).await;
            match sent {
                Ok(Ok(())) if is_last => return,
                Ok(Ok(())) => {}
                Ok(Err(_)) => return,
                Err(_) => return stalled.notify_one(),
            }
            let Ok(next) = parts.recv_async().await else {
                return;
            };
            part = next;
        }
    });
    let body: StreamBody<_> = StreamBody::new(frames.into_stream());
    Response::builder()
        .header(CONTENT_TYPE, "text/event-stream")
        .header(CACHE_CONTROL, "no-cache")
        .body(BodyExt::boxed(body))
        .expect("headers are valid")
}

fn event_text(part: &ResponsePart, id: &RequestId) -> String {
    match part {
        ResponsePart::Event { index, data } => format!("id: {}\ndata: {data}\n\n", index + 1),
        ResponsePart::End => "data: [DONE]\n\n".to_owned(),
        ResponsePart::Failed(error) => format!("data: {}\n\n", error_body(error, Some(id))),
        ResponsePart::CompleteResponse { .. } => String::new(),
    }
}

/// Collects the events into one chat completion, for a caller that does not ask
/// for a stream.
async fn collect_completion(
    first: ResponsePart,
    parts: &flume::Receiver<ResponsePart>,
    id: &RequestId,
) -> HttpResponse {
    let mut part = first;
    let mut text = String::new();
    let mut last = Value::Null;
    loop {
        match part {
            ResponsePart::Event { data, .. } => {
                let value: Value = serde_json::from_str(&data).unwrap_or_default();
                let piece = &value["choices"][0]["delta"]["content"];
                text.push_str(piece.as_str().unwrap_or_default());
                last = value;
            }
            ResponsePart::End => return json(200, &completion(&text, &last, id)),
            ResponsePart::Failed(error) => return error_response(&error, Some(id)),
            ResponsePart::CompleteResponse { .. } => {}
        }
        let Ok(next) = parts.recv_async().await else {
            return error_response(&stream_ended(), Some(id));
        };
        part = next;
    }
}

fn completion(text: &str, last: &Value, id: &RequestId) -> Value {
    json!({
        "id": id,
        "object": "chat.completion",
        "created": last["created"],
        "model": last["model"],
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": last["choices"][0]["finish_reason"],
        }],
        "usage": last["usage"],
    })
}
