//! briargap: a router fleet for very many returning chats.
//!
//! This library is the daemon behind the `briargap` command. It wires the
//! decisions of [`decision`] to callers, operators, targets, the platform and
//! the other instances.

mod answers;
mod core;
mod fleet;
mod instance;
pub mod logging;
mod metrics;
mod operator_api;
mod orders;
mod runner;
mod settings;
mod store;

pub use instance::{Instance, Platform};
pub use settings::{
    AnswerSettings, CallerSettings, LogFormat, LogSettings, MembershipSettings, OperatorSettings,
    PeerSettings, PlatformSettings, Settings, TlsSettings,
};

use snafu::Snafu;

/// Result with this package's [`enum@Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Why an instance could not be started.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// An input or output error.
    #[snafu(display("{step} {peer}: {message}"))]
    Io {
        /// What was done.
        step: &'static str,
        /// With what.
        peer: String,
        /// What went wrong.
        message: String,
    },
    /// A setting cannot be used.
    #[snafu(display("{path}: {message}"))]
    Setting {
        /// Path in the settings.
        path: String,
        /// What is wrong.
        message: String,
    },
    /// The mesh could not be started.
    #[snafu(display("start of the mesh: {message}"))]
    Mesh {
        /// What went wrong.
        message: String,
    },
}
