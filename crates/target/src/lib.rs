//! Targets as peers: model engines and plain services over HTTP/1.1.
//!
//! Every attempt opens a connection of its own. An answer takes far longer
//! than a connection, and a pool of connections could hold one that has gone
//! silent. Dropping an [`Attempt`] closes its connection, which cancels the
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

/// Why a target could not be asked for its load.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{step} at {peer}: {message}"))]
pub struct Error {
    step: &'static str,
    peer: SocketAddr,
    message: String,
}

/// What is sent to a target.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// Name of the attempt, which the answer must echo.
    pub attempt: AttemptId,
    /// Target's address.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query.
    pub path: String,
    /// Content type of the body.
    pub content_type: SmolStr,
    /// Body.
    pub body: Vec<u8>,
    /// Priority; higher goes first.
    pub priority: u8,
    /// Events of the answer that are not wanted again.
    pub resume_from: u64,
}

/// What became of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// No connection could be opened, or the target said that it did not run.
    NotRun {
        /// Whether no connection could be opened.
        connect_failed: bool,
        /// What went wrong.
        message: String,
    },
    /// A byte of the request may have left.
    Sent,
    /// An event of a streamed answer.
    Event {
        /// Attempt that it echoes.
        echoed_id: SmolStr,
        /// The event's data.
        data: String,
    },
    /// End mark of a streamed answer.
    End,
    /// A whole answer that is not streamed.
    CompleteResponse {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: SmolStr,
        /// Body, which counts as held until it is dropped.
        body: Bytes,
    },
    /// The target answered that the request failed there.
    Failed {
        /// HTTP status.
        status: u16,
        /// What it said.
        message: String,
    },
    /// The connection ended before the end mark.
    Disconnected(String),
}

/// An attempt under way; dropping it closes the connection.
#[derive(Debug)]
pub struct Attempt {
    /// What is heard of it.
    pub events: flume::Receiver<AttemptEvent>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A target's load and the cache events since the last poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadPoll {
    /// Load.
    pub report: LoadReport,
    /// Names of chats and the tokens of each that are cached now.
    pub cached_chats: Vec<(String, u32)>,
    /// Number to ask from at the next poll.
    pub next_seq: u64,
    /// Whether cache events were lost since the last poll.
    pub events_lost: bool,
}

/// Future of a [`LoadPoll`].
pub type LoadPollFuture = Pin<Box<dyn Future<Output = Result<LoadPoll>> + Send>>;

/// The way to one kind of target.
pub trait TargetClient: Send + Sync {
    /// Sends a request over a new connection.
    fn dispatch(&self, call: TargetRequest) -> Attempt;

    /// Asks for the load and the cache events from number `since`.
    fn poll_load(&self, address: SocketAddr, since: u64) -> LoadPollFuture;
}
