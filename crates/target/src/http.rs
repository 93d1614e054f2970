//! HTTP/1.1 requests that open a connection each.

use crate::{AttemptEvent, TargetRequest};
use exchange::Connection;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST};
use hyper::{Request, Response};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of an attempt's events that are buffered for their receiver.
pub(crate) const EVENT_BUFFER: usize = 64;
/// Maximum size of a response body that is not streamed, in bytes.
pub(crate) const BODY_MAX: usize = 8 << 20;
/// Maximum size of an error response's body that is read, in bytes.
pub(crate) const ERROR_MAX: usize = 4 << 10;

/// Header with the ID of the attempt, which the response repeats.
const REQUEST_ID: &str = "x-request-id";
/// Header with the priority of the request.
pub(crate) const PRIORITY: &str = "x-priority";
/// Header with the number of events at the start of the response to skip.
pub(crate) const RESUME_FROM: &str = "x-resume-from";
/// Header with which a target reports that it did not run the request.
const NOT_RUN: &str = "x-not-run";

/// Why an attempt ended without a complete response.
pub(crate) enum AttemptError {
    /// The target did not run the request.
    NotRun {
        connect_failed: bool,
        message: String,
    },
    /// The target may have run the request.
    Disconnected(String),
}

impl From<AttemptError> for AttemptEvent {
    fn from(error: AttemptError) -> AttemptEvent {
        match error {
            AttemptError::NotRun {
                connect_failed,
                message,
            } => AttemptEvent::NotRun {
                connect_failed,
                message,
            },
            AttemptError::Disconnected(message) => AttemptEvent::Disconnected(message),
        }
    }
}

impl From<exchange::Error> for AttemptError {
    fn from(error: exchange::Error) -> AttemptError {
        match error {
            exchange::Error::NotSent {
                connect_failed,
                message,
            } => AttemptError::NotRun {
                connect_failed,
                message,
            },
            exchange::Error::Lost(message) => AttemptError::Disconnected(message),
            exchange::Error::TooLarge => AttemptError::Disconnected(error.to_string()),
        }
    }
}

/// Opens a connection to a target.
pub(crate) async fn connect(address: SocketAddr) -> exchange::Result<Connection> {
    exchange::connect(address, CONNECT_TIMEOUT).await
}

pub(crate) fn build_request(request: &TargetRequest) -> Result<Request<Full<Bytes>>, AttemptError> {
    Request::builder()
        .method(request.method.as_str())
        .uri(&request.path)
        .header(HOST, request.address.to_string())
        .header(CONNECTION, "close")
        .header(CONTENT_TYPE, request.content_type.as_str())
        .header(REQUEST_ID, request.attempt.as_str())
        .header(PRIORITY, request.priority.to_string())
        .header(RESUME_FROM, request.resume_from.to_string())
        .body(Full::new(Bytes::from(request.body.clone())))
        .map_err(|e| AttemptError::NotRun {
            connect_failed: false,
            message: e.to_string(),
        })
}

/// Fails if the response belongs to another request, or reports that this one did
/// not run.
pub(crate) fn check_head(response: &Response<Incoming>, attempt: &str) -> Result<(), AttemptError> {
    let echoes = response.headers().get_all(REQUEST_ID).iter();
    let mut echoes = echoes.filter(|echo| !echo.is_empty());
    if echoes.any(|echo| echo.as_bytes() != attempt.as_bytes()) {
        return Err(AttemptError::Disconnected(
            "the answer is for another request".to_owned(),
        ));
    }
    if exchange::header_or_empty(response, NOT_RUN) == "true" {
        return Err(AttemptError::NotRun {
            connect_failed: false,
            message: format!("refused with status {}", response.status().as_u16()),
        });
    }
    Ok(())
}

/// Spawns a task that runs one attempt and sends its events.
pub(crate) fn spawn_attempt<F>(run: impl FnOnce(flume::Sender<AttemptEvent>) -> F) -> crate::Attempt
where
    F: Future<Output = Result<(), AttemptError>> + Send + 'static,
{
    let (sender, events) = flume::bounded(EVENT_BUFFER);
    let running = run(sender.clone());
    let task = tokio::spawn(async move {
        if let Err(error) = running.await {
            let _ = sender.send_async(error.into()).await;
        }
    });
    crate::Attempt { events, task }
}
