//! Operators as a peer: the HTTP interface of one instance, and its client.
//!
//! Every call needs the operators' bearer token. The address belongs on a
//! network that only operators reach.

mod client;
mod server;

pub use client::Client;
pub use server::Server;

use decision::{Digest, Document, Fault, InstanceId, Mark, MarkKey, ServiceId, Version, Versioned};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Result with this package's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Why an operator's call was not carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(tag = "code", rename_all = "snake_case")]
pub enum Error {
    /// The token is missing or wrong.
    #[snafu(display("the operators' token is missing or wrong"))]
    Unauthorized,
    /// There is no such thing.
    #[snafu(display("there is no {what}"))]
    NotFound {
        /// What was named.
        what: String,
    },
    /// The document has faults.
    #[snafu(display("the document has {} faults", faults.len()))]
    Invalid {
        /// Every fault.
        faults: Vec<Fault>,
    },
    /// The document in force is not the one that was expected.
    #[snafu(display("expected version {expected}, but version {found} is in force"))]
    Conflict {
        /// Version that the operator expected.
        expected: Version,
        /// Version that was found.
        found: Version,
    },
    /// The platform does not answer; nothing, or nothing certain, was done.
    #[snafu(display("platform: {message}"))]
    Platform {
        /// What went wrong.
        message: String,
    },
    /// The instance could not be asked.
    #[snafu(display("{step} at {peer}: {message}"))]
    Transport {
        /// What was done.
        step: String,
        /// The instance's address.
        peer: String,
        /// What went wrong.
        message: String,
    },
    /// The call cannot be understood.
    #[snafu(display("{message}"))]
    Malformed {
        /// What is wrong.
        message: String,
    },
}

/// A service and the version in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSummary {
    /// Service.
    pub service: ServiceId,
    /// Version.
    pub version: Version,
    /// Targets in the pool.
    pub targets: usize,
    /// Workspaces that may call.
    pub workspaces: usize,
}

/// An accepted document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyResult {
    /// Service.
    pub service: ServiceId,
    /// Version under which it was accepted, or would be.
    pub version: Version,
    /// Whether nothing was changed, by wish.
    pub dry_run: bool,
    /// Whether the write's answer was lost and settled by reading back.
    pub settled: bool,
}

/// An order that was taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainResult {
    /// The mark.
    pub mark: Mark,
    /// Instance that took it.
    pub instance: InstanceId,
}

/// What operators can do with one instance.
pub trait OperatorApi: Send + Sync {
    /// State of the process.
    fn state(&self) -> serde_json::Value;

    /// Services in force.
    fn services(&self) -> Vec<ServiceSummary>;

    /// A document, in force or of an earlier version.
    fn document(&self, service: &str, version: Option<Version>) -> Result<Versioned>;

    /// Accepts a document in place of version `expect`; 0 where there is none.
    fn apply(&self, document: Document, expect: Version, dry_run: bool) -> Result<ApplyResult>;

    /// Takes a failure domain or a target out, or back in.
    fn set_drained(&self, key: MarkKey, drained: bool) -> Result<DrainResult>;

    /// Releases a digest from quarantine.
    fn unquarantine(&self, digest: Digest) -> Result<()>;

    /// Begins a graceful shutdown.
    fn stop(&self);
}
