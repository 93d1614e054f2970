//! HTTP/1.1 interface for callers.
//!
//! - `GET /v1/locate` returns the instances to use for a chat.
//! - `GET /v1/models` lists the services that the caller's key may use.
//! - `POST /v1/chat/completions` sends a chat to a model engine, in the format
//!   of the OpenAI interface.
//! - `POST /v1/requests` issues a request ID that is good for one use.
//! - `ANY /v1/services/{service}/{path}` sends a request to a plain service.
//! - `GET /v1/requests/{id}` reads a kept answer from an offset.
//! - `DELETE /v1/requests/{id}` cancels a request.
//! - `GET /healthz` reports whether the instance accepts requests.

mod auth;
mod parse;
mod response;
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

/// Header with the ID of a request in a response, and with the caller's idempotency
/// key or an issued request ID in a request.
pub const REQUEST_HEADER: &str = "x-briargap-request";
/// Header with the caller's name for a chat.
pub const CHAT_HEADER: &str = "x-briargap-chat";
/// Header with a priority from 0 to 9.
pub const PRIORITY_HEADER: &str = "x-briargap-priority";
/// Header with the time that a request may wait for a slot, in milliseconds.
pub const WAIT_HEADER: &str = "x-briargap-wait-ms";
/// Common header for a caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// An authorized request of a caller to a service.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Service document that was in force when the request arrived.
    pub service: Arc<VersionedDocument>,
    /// Workspace that the caller's key belongs to.
    pub workspace: WorkspaceId,
    /// Hash of the service, the workspace and the chat's name.
    pub chat: ChatId,
    /// Name of the chat: the caller's, or one derived from the request.
    pub chat_name: String,
    /// Digest of the request's content, equal for repeated requests.
    pub digest: Digest,
    /// Priority; a higher one is served first.
    pub priority: u8,
    /// Time that the request may wait for a slot, if the caller limits it.
    pub max_wait: Option<Duration>,
    /// Idempotency key that the caller chose, or a request ID that an instance
    /// issued.
    pub idempotency_key: Option<SmolStr>,
    /// Operation to run at a target.
    pub operation: Operation,
}

/// Operation that a target runs.
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
        /// Path and query, relative to the service.
        path: String,
        /// Content type of the body.
        content_type: SmolStr,
        /// Body.
        body: Vec<u8>,
        /// Whether the call may run more than once.
        repeatable: bool,
    },
}

/// Part of a response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// An event of a streamed response.
    Event {
        /// Position in the stream, from 0.
        index: u64,
        /// Data of the event.
        data: Arc<str>,
    },
    /// A complete response of a plain service.
    CompleteResponse {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: SmolStr,
        /// Body.
        body: Arc<[u8]>,
    },
    /// The end of a complete stream.
    End,
    /// The request was rejected or failed.
    Failed(Error),
}

/// Running response to a caller; dropping it means that the caller has
/// disconnected.
#[derive(Debug)]
pub struct ResponseStream {
    /// ID of the request.
    pub id: RequestId,
    /// Parts of the response, from the requested offset on.
    pub parts: flume::Receiver<ResponsePart>,
}

/// Instances to use for a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Locations {
    /// Addresses in the order in which to try them.
    pub addresses: Vec<InstanceAddress>,
    /// Time for which a caller may cache the addresses, in milliseconds.
    pub lifetime_ms: u64,
}

/// Address of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct InstanceAddress {
    /// ID of the instance.
    pub instance: SmolStr,
    /// Address at which it serves callers.
    pub address: SocketAddr,
}

/// Boxed future of a [`Result`].
pub type ResultFuture<T> = Pin<Box<dyn Future<Output = Result<T>> + Send>>;

/// Operations of an instance that the HTTP interface for callers uses.
pub trait CallerApi: Send + Sync {
    /// Returns the document of a service that is in force.
    fn document(&self, service: &str) -> Option<Arc<VersionedDocument>>;

    /// Lists the services that have a document in force.
    fn services(&self) -> Vec<ServiceId>;

    /// Returns the instances to use for a chat.
    fn locate(&self, service: &str, chat: ChatId) -> ResultFuture<Locations>;

    /// Issues a request ID that is good for one use at this instance.
    fn issue_id(&self, workspace: &WorkspaceId) -> Result<RequestId>;

    /// Starts a request.
    fn submit(&self, submission: Submission) -> ResultFuture<ResponseStream>;

    /// Reads the kept answer of a request from an offset, also if another
    /// instance keeps it.
    fn resume(
        &self,
        id: &str,
        workspaces: Vec<WorkspaceId>,
        offset: u64,
    ) -> ResultFuture<ResponseStream>;

    /// Cancels a running request.
    fn cancel(&self, id: &str, workspaces: &[WorkspaceId]) -> Result<()>;

    /// Whether the instance accepts requests.
    fn is_ready(&self) -> bool;
}
