//! One HTTP/1.1 exchange over one connection.

use crate::{AttemptEvent, TargetRequest};
use exchange::Connection;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST};
use std::net::SocketAddr;
use std::time::Duration;

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Answers that wait for their reader.
pub(crate) const EVENTS_BUFFERED: usize = 64;
/// Most bytes of an answer that is not streamed.
pub(crate) const BODY_MAX: usize = 8 << 20;
/// Most bytes of an error's body that are kept.
pub(crate) const ERROR_MAX: usize = 4 << 10;

/// Header that names the attempt and is echoed in the answer.
pub(crate) const REQUEST_ID: &str = "x-request-id";
/// Header that tells a priority.
pub(crate) const PRIORITY: &str = "x-priority";
/// Header that tells how many events of an answer are not wanted again.
pub(crate) const RESUME_FROM: &str = "x-resume-from";
/// Header with which a target says that it did not run a request.
pub(crate) const NOT_RUN: &str = "x-not-run";

/// Where an exchange stopped.
pub(crate) enum Stopped {
    Before {
        connect_failed: bool,
        message: String,
    },
    After(String),
}

impl From<Stopped> for AttemptEvent {
    fn from(stopped: Stopped) -> AttemptEvent {
        match stopped {
            Stopped::Before {
                connect_failed,
                message,
            } => AttemptEvent::NotRun {
                connect_failed,
                message,
            },
            Stopped::After(message) => AttemptEvent::Disconnected(message),
        }
    }
}

impl From<exchange::Error> for Stopped {
    fn from(failure: exchange::Error) -> Stopped {
        match failure {
            exchange::Error::NotSent {
                connect_failed,
                message,
            } => Stopped::Before {
                connect_failed,
                message,
            },
            exchange::Error::Lost(message) => Stopped::After(message),
            exchange::Error::TooLarge => Stopped::After(failure.to_string()),
        }
    }
}

/// Opens a connection.
pub(crate) async fn connect(address: SocketAddr) -> exchange::Result<Connection> {
    exchange::connect(address, CONNECT_TIMEOUT).await
}

pub(crate) fn http_request(request: &TargetRequest) -> Result<Request<Full<Bytes>>, Stopped> {
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
        .map_err(|e| Stopped::Before {
            connect_failed: false,
            message: e.to_string(),
        })
}

/// Starts a task that runs one attempt.
pub(crate) fn start<F>(run: impl FnOnce(flume::Sender<AttemptEvent>) -> F) -> crate::Attempt
where
    F: Future<Output = Result<(), Stopped>> + Send + 'static,
{
    let (sender, events) = flume::bounded(EVENTS_BUFFERED);
    let running = run(sender.clone());
    let task = tokio::spawn(async move {
        if let Err(stopped) = running.await {
            let _ = sender.send_async(stopped.into()).await;
        }
    });
    crate::Attempt { events, task }
}
