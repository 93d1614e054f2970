//! HTTP interface through which operators manage one instance, and its client.
//!
//! Every call carries the operators' bearer token over plain HTTP, so the
//! interface must listen on a network that only operators can reach.

mod client;
mod server;

pub use client::Client;
pub use server::Server;

use decision::{
    Digest, Document, DrainKey, DrainMark, InstanceId, ServiceId, ValidationError, Version,
    VersionedDocument,
};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Result of an operators' call.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason for which an operators' call failed.
///
/// The server sends it as the `error` field of the response body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(tag = "code", rename_all = "snake_case")]
pub enum Error {
    /// The token is missing or wrong.
    #[snafu(display("the operators' token is missing or wrong"))]
    Unauthorized,
    /// The named resource does not exist.
    #[snafu(display("there is no {what}"))]
    NotFound {
        /// The resource that was asked for, as in `service "pool" of that version`.
        what: String,
    },
    /// The document is not valid.
    #[snafu(display("the document has {} faults", faults.len()))]
    Invalid {
        /// Every fault found in the document.
        faults: Vec<ValidationError>,
    },
    /// Another version is in force than the one that the operator expected to replace.
    #[snafu(display("expected version {expected}, but version {found} is in force"))]
    Conflict {
        /// Version that the operator expected to be in force.
        expected: Version,
        /// Version that is in force; 0 if the service has no document.
        found: Version,
    },
    /// The platform's store failed: the call had no effect, or it is unknown
    /// whether it had one.
    #[snafu(display("platform: {message}"))]
    Platform {
        /// Description of the failure.
        message: String,
    },
    /// The client got no usable response from the instance.
    #[snafu(display("{step} at {peer}: {message}"))]
    Transport {
        /// Operation that failed.
        step: String,
        /// Address of the instance.
        peer: String,
        /// Description of the failure.
        message: String,
    },
    /// The request or the document could not be parsed.
    #[snafu(display("{message}"))]
    Malformed {
        /// Description of the error.
        message: String,
    },
}

/// One entry in the list of services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Summary")]
pub struct ServiceSummary {
    /// Service name.
    pub service: ServiceId,
    /// Version of the document in force.
    pub version: Version,
    /// Number of targets in the service's pool.
    pub targets: usize,
    /// Number of workspaces that may call the service.
    pub workspaces: usize,
}

/// Outcome of applying a service document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Applied")]
pub struct ApplyResult {
    /// Service name.
    pub service: ServiceId,
    /// Version that the document got, or would get without `dry_run`.
    pub version: Version,
    /// Whether the document was only validated, as the operator asked.
    pub dry_run: bool,
    /// Whether the result of the write was unclear at first, and reading the row
    /// back showed that the write took effect.
    pub settled: bool,
}

/// Outcome of draining a failure domain or target, or of ending its drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Ordered")]
pub struct DrainResult {
    /// Drain mark that is now in effect.
    pub mark: DrainMark,
    /// Instance that handled the call.
    pub instance: InstanceId,
}

/// Calls that operators can make to one instance.
///
/// The HTTP server decodes requests and dispatches them to an implementation of
/// this trait.
pub trait OperatorApi: Send + Sync {
    /// Returns a dump of the instance's state, for diagnosis.
    fn state(&self) -> serde_json::Value;

    /// Lists the services that have a document in force.
    fn services(&self) -> Vec<ServiceSummary>;

    /// Returns one version of a service document; by default the one in force.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::NotFound`] if the service has no such version, and
    /// with [`Error::Platform`] if the store cannot be read.
    fn document(&self, service: &str, version: Option<Version>) -> Result<VersionedDocument>;

    /// Replaces version `expected` of a service document; 0 creates the service.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Invalid`] if the document has faults, and with
    /// [`Error::Conflict`] if another version is in force. [`Error::Platform`]
    /// does not tell whether the write took effect.
    fn apply(&self, document: Document, expected: Version, dry_run: bool) -> Result<ApplyResult>;

    /// Drains a failure domain or target, or ends its drain.
    ///
    /// A drained target takes no new work. This order concerns the targets of
    /// service documents; the operators' platform has an order of its own,
    /// `evacuate`, which takes out a whole failure domain there.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::NotFound`] if no document names the failure domain or
    /// target.
    fn set_drained(&self, key: DrainKey, drained: bool) -> Result<DrainResult>;

    /// Releases a request digest from quarantine.
    ///
    /// A request that keeps crashing its targets is quarantined by its digest and
    /// refused from then on.
    fn unquarantine(&self, digest: Digest) -> Result<()>;

    /// Begins a graceful shutdown.
    fn stop(&self);
}
