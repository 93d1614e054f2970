//! Library behind the `briargap` command: one instance of the router fleet.
//!
//! An instance receives requests from callers, many of them turns of chats that
//! return again and again, and forwards each to a target that has a free slot and
//! preferably still caches the chat's prompt. [`decision`] holds the routing logic
//! and does no input or output. This crate connects it to callers, operators,
//! targets, the platform's store and the other instances.
//!
//! [`Instance`] serves callers under service documents. An instance on the
//! operators' platform is [`gateway::Instance`].

mod answers;
mod caller_api;
mod idempotency;
mod instance;
pub mod logging;
mod metrics;
mod node_thread;
mod operator_api;
mod runner;
mod settings;
mod store;

pub use instance::{Instance, Platform};
pub use settings::{
    AnswerSettings, CallerSettings, LogFormat, LogSettings, MembershipSettings, OperatorSettings,
    PeerSettings, PlatformSettings, Settings, TlsSettings,
};

use snafu::Snafu;

/// Result of starting an instance.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason for which an instance could not be started.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// An I/O operation failed.
    #[snafu(display("failed to {step} {peer}: {message}"))]
    Io {
        /// Operation that failed.
        step: &'static str,
        /// File, address or component that the operation was about.
        peer: String,
        /// Description of the failure.
        message: String,
    },
    /// A setting has an unusable value.
    #[snafu(display("{path}: {message}"))]
    Setting {
        /// Path of the setting, as in `operator.token_file`.
        path: String,
        /// Description of the fault.
        message: String,
    },
    /// The mesh of connections to other instances could not be started.
    #[snafu(display("failed to start the mesh: {message}"))]
    Mesh {
        /// Description of the failure.
        message: String,
    },
}
