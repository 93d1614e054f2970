//! HTTP/1.1 clients of targets: model engines and plain services.
//!
//! Every attempt opens a new connection. Connecting takes far less time than
//! the response, and a pool could hand out a connection that no longer
//! responds. Dropping an [`Attempt`] closes its connection, which cancels the
//! request at an engine.

mod engine;
mod http;
mod service;
mod sse;

pub use engine::EngineClient;
pub use service::ServiceClient;
pub use sse::SseReader;

use decision::{AttemptId, LoadReport};
use hyper::body::Bytes;
use smol_str::SmolStr;
use snafu::Snafu;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

/// Result with this package's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Error of a request for a target's load.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{step} at {peer}: {message}"))]
pub struct Error {
    step: &'static str,
    peer: SocketAddr,
    message: String,
}

/// Request to a target.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// ID of the attempt, which the response must repeat.
    pub attempt: AttemptId,
    /// Address of the target.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query.
    pub path: String,
    /// Content type of the body.
    pub content_type: SmolStr,
    /// Body.
    pub body: Vec<u8>,
    /// Priority; a higher one is served first.
    pub priority: u8,
    /// Number of events at the start of the response to skip, because the caller
    /// already has them.
    pub resume_from: u64,
}

/// Progress or outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// No connection could be opened, or the target reported that it did not run
    /// the request.
    NotRun {
        /// Whether no connection could be opened.
        connect_failed: bool,
        /// Cause.
        message: String,
    },
    /// The connection is open, and the target may receive the request from now
    /// on.
    Sent,
    /// An event of a streamed response.
    Event {
        /// ID of the attempt that the event repeats.
        echoed_id: SmolStr,
        /// Data of the event.
        data: String,
    },
    /// The event that ends a streamed response.
    End,
    /// A complete response that is not streamed.
    CompleteResponse {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: SmolStr,
        /// Body, which counts against the memory budget until it is dropped.
        body: Bytes,
    },
    /// The target responded that the request failed.
    Failed {
        /// HTTP status.
        status: u16,
        /// Body of the response, or empty if it is too large or not received.
        message: String,
    },
    /// The exchange ended before the response was complete, for the given cause;
    /// the request may have run.
    Disconnected(String),
}

/// A running attempt; dropping it closes the connection.
#[derive(Debug)]
pub struct Attempt {
    /// Events of the attempt in their order.
    pub events: flume::Receiver<AttemptEvent>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Load of a target and its cache events since the last poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadPoll {
    /// Load report.
    pub report: LoadReport,
    /// Names of chats whose cached tokens have changed, with their new numbers.
    pub cached_chats: Vec<(String, u32)>,
    /// Sequence number from which the next poll asks for cache events.
    pub next_seq: u64,
    /// Whether cache events since the last poll were lost.
    pub events_lost: bool,
}

/// Future of a [`LoadPoll`].
pub type LoadPollFuture = Pin<Box<dyn Future<Output = Result<LoadPoll>> + Send>>;

/// Client of one kind of target.
pub trait TargetClient: Send + Sync {
    /// Sends a request over a new connection.
    fn dispatch(&self, request: TargetRequest) -> Attempt;

    /// Polls the load and the cache events from sequence number `since` on.
    fn poll_load(&self, address: SocketAddr, since: u64) -> LoadPollFuture;
}
