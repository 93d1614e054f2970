//! Callers as a peer: the HTTP/1.1 interface for requests.
//!
//! - `GET /v1/locate` tells which instances to use for a chat.
//! - `POST /v1/chat/completions` asks a model service, in the form that
//!   clients of model engines expect.
//! - `POST /v1/requests` mints the id of an order, good for one use.
//! - `ANY /v1/services/{service}/{path}` calls a plain service.
//! - `GET /v1/requests/{id}` reads an answer again from an offset.
//! - `DELETE /v1/requests/{id}` withdraws a request.

mod auth;
mod parse;
mod reply;
mod route;
mod server;

pub use auth::{key_digest, workspace_for_key};
pub use server::{Server, ServerBuilder};

use decision::{
    ChatId, Digest, Error, RequestId, Result, ServiceId, VersionedDocument, WorkspaceId,
};
use serde::Serialize;
use smol_str::SmolStr;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

/// Header that names a request.
pub const REQUEST_HEADER: &str = "x-briargap-request";
/// Header that names a chat.
pub const CHAT_HEADER: &str = "x-briargap-chat";
/// Header that tells a priority from 0 to 9.
pub const PRIORITY_HEADER: &str = "x-briargap-priority";
/// Header that tells how many milliseconds a request may wait for a slot.
pub const WAIT_HEADER: &str = "x-briargap-wait-ms";
/// Header under which callers commonly send a key of their own.
pub const KEY_HEADER: &str = "idempotency-key";

/// What a caller asks of a service.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Service, with the document in force as the request came.
    pub service: Arc<VersionedDocument>,
    /// Workspace that the key names.
    pub workspace: WorkspaceId,
    /// Chat, or a hash of the request where there is none.
    pub chat: ChatId,
    /// Caller's name for the chat.
    pub chat_name: String,
    /// Digest of the request.
    pub digest: Digest,
    /// Priority; higher goes first.
    pub priority: u8,
    /// Longest wait for a slot, if the caller says.
    pub max_wait: Option<Duration>,
    /// The caller's own key, or an id minted here.
    pub idempotency_key: Option<SmolStr>,
    /// What to do.
    pub operation: Operation,
}

/// What a request asks a target to do.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Continue a chat.
    Chat {
        /// Body of the request.
        body: serde_json::Map<String, serde_json::Value>,
    },
    /// Call a plain service.
    Call {
        /// HTTP method.
        method: SmolStr,
        /// Path and query at the service.
        path: String,
        /// Content type of the body.
        content_type: SmolStr,
        /// Body.
        body: Vec<u8>,
        /// Whether the call may run more than once.
        repeatable: bool,
    },
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// An event of a streamed answer.
    Event {
        /// Position in the answer.
        index: u64,
        /// Data of the event.
        data: Arc<str>,
    },
    /// A whole answer of a plain service.
    CompleteResponse {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: SmolStr,
        /// Body.
        body: Arc<[u8]>,
    },
    /// The end mark: the answer is whole.
    End,
    /// The request was refused, or failed.
    Failed(Error),
}

/// An answer under way; dropping it tells that the caller's connection is gone.
#[derive(Debug)]
pub struct ResponseStream {
    /// Request.
    pub id: RequestId,
    /// Parts, from the offset that was asked for.
    pub parts: flume::Receiver<ResponsePart>,
}

/// Instances to use for a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Locations {
    /// Addresses in the order in which to try them.
    pub addresses: Vec<InstanceAddress>,
    /// Time for which the answer may be kept, in milliseconds.
    pub lifetime_ms: u64,
}

/// Address of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct InstanceAddress {
    /// Instance.
    pub instance: SmolStr,
    /// IP address and port for callers.
    pub address: SocketAddr,
}

/// Future of a result.
pub type ResultFuture<T> = Pin<Box<dyn Future<Output = Result<T>> + Send>>;

/// The fleet, as the caller interface uses it.
pub trait CallerApi: Send + Sync {
    /// Documents in force.
    fn document(&self, service: &str) -> Option<Arc<VersionedDocument>>;

    /// Services with a document in force.
    fn services(&self) -> Vec<ServiceId>;

    /// Instances to use for a chat.
    fn locate(&self, service: &str, chat: ChatId) -> ResultFuture<Locations>;

    /// Mints an id for an order, good for one use at this instance.
    fn issue_id(&self, workspace: &WorkspaceId) -> Result<RequestId>;

    /// Takes a request.
    fn submit(&self, submission: Submission) -> ResultFuture<ResponseStream>;

    /// Reads an answer from an offset, wherever it is kept.
    fn resume(
        &self,
        id: &str,
        workspaces: Vec<WorkspaceId>,
        offset: u64,
    ) -> ResultFuture<ResponseStream>;

    /// Withdraws a request.
    fn cancel(&self, id: &str, workspaces: &[WorkspaceId]) -> Result<()>;

    /// Whether requests are taken.
    fn is_ready(&self) -> bool;
}
