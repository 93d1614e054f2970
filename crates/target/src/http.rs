//! One HTTP/1.1 exchange over one connection.

use crate::{Call, Heard};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Answers that wait for their reader.
pub(crate) const HEARD_WAITING: usize = 64;
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
    Before { refused: bool, message: String },
    After(String),
}

impl From<Stopped> for Heard {
    fn from(stopped: Stopped) -> Heard {
        match stopped {
            Stopped::Before { refused, message } => Heard::NotRun { refused, message },
            Stopped::After(message) => Heard::Broken(message),
        }
    }
}

/// Opens a connection; returns the sender of requests and the driver to poll.
pub(crate) async fn connect(address: SocketAddr) -> Result<Sender, Stopped> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let tcp = match connecting.await {
        Ok(Ok(tcp)) => tcp,
        Ok(Err(e)) => {
            return Err(Stopped::Before {
                refused: true,
                message: e.to_string(),
            });
        }
        Err(_) => {
            return Err(Stopped::Before {
                refused: true,
                message: "no connection in time".to_owned(),
            });
        }
    };
    let before = |e: &dyn std::error::Error| Stopped::Before {
        refused: false,
        message: e.to_string(),
    };
    tcp.set_nodelay(true).map_err(|e| before(&e))?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(tcp));
    let (sender, connection) = handshake.await.map_err(|e| before(&e))?;
    Ok(Sender { sender, connection })
}

/// An open connection before its one request.
pub(crate) struct Sender {
    sender: hyper::client::conn::http1::SendRequest<Full<Bytes>>,
    connection: hyper::client::conn::http1::Connection<TokioIo<TcpStream>, Full<Bytes>>,
}

/// The driver of a connection; it ends, and closes, when it is dropped.
pub(crate) struct Driver(tokio::task::JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Sender {
    /// Sends the request and waits for the head of the answer.
    pub(crate) async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Driver), Stopped> {
        let connection = self.connection;
        let driver = Driver(tokio::spawn(async move {
            let _ = connection.await;
        }));
        let answer = self.sender.send_request(request).await;
        let answer = answer.map_err(|e| Stopped::After(e.to_string()))?;
        Ok((answer, driver))
    }
}

pub(crate) fn request(call: &Call) -> Result<Request<Full<Bytes>>, Stopped> {
    Request::builder()
        .method(call.method.as_str())
        .uri(&call.path)
        .header(HOST, call.address.to_string())
        .header(CONNECTION, "close")
        .header(CONTENT_TYPE, call.content_type.as_str())
        .header(REQUEST_ID, call.attempt.as_str())
        .header(PRIORITY, call.priority.to_string())
        .header(RESUME_FROM, call.offset.to_string())
        .body(Full::new(Bytes::from(call.body.clone())))
        .map_err(|e| Stopped::Before {
            refused: false,
            message: e.to_string(),
        })
}

/// Value of a header as text, or an empty string.
pub(crate) fn header<'a>(answer: &'a Response<Incoming>, name: &str) -> &'a str {
    let value = answer.headers().get(name);
    value.and_then(|v| v.to_str().ok()).unwrap_or_default()
}

/// Starts a task that runs one attempt.
pub(crate) fn start<F>(run: impl FnOnce(flume::Sender<Heard>) -> F) -> crate::Attempt
where
    F: Future<Output = Result<(), Stopped>> + Send + 'static,
{
    let (sender, heard) = flume::bounded(HEARD_WAITING);
    let running = run(sender.clone());
    let task = tokio::spawn(async move {
        if let Err(stopped) = running.await {
            let _ = sender.send_async(stopped.into()).await;
        }
    });
    crate::Attempt { heard, task }
}
