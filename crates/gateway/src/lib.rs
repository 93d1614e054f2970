//! An instance of briargap on the operators' platform.
//!
//! Callers ask [`Settings::listen`]'s directory which instances to use and
//! send their requests to one of them. It admits a request by the operators'
//! configuration, chooses a target, forwards the request and hands the answer
//! back whole. One thread runs everything; the decisions are in [`decision`],
//! the names on the wire in [`platform`].

mod attempt;
mod clock;
mod control;
mod events;
mod fleet;
mod forward;
mod metrics;
mod record;
mod relay;
mod server;
mod settings;
mod state;
mod watch;

pub use events::{Event, EventReader};
pub use settings::{Bounds, Listen, Machine, Settings, StoreSettings};

use snafu::Snafu;
use state::Gateway;
use std::net::SocketAddr;
use std::rc::Rc;

/// Result with this package's [`enum@Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Why an instance could not be started.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address can't be listened on.
    #[snafu(display("{step} on {address}: {source}"))]
    Listen {
        /// What for.
        step: &'static str,
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The mesh of instances can't be started.
    #[snafu(display("start of the mesh: {source}"))]
    Mesh {
        /// Cause.
        source: peer::Error,
    },
    /// Signals can't be handled.
    #[snafu(display("handling of signals: {source}"))]
    Signals {
        /// Cause.
        source: std::io::Error,
    },
}

/// Runs an instance until it is told to stop and its last request has ended.
///
/// Must be called within a [`tokio::task::LocalSet`].
///
/// # Errors
///
/// Fails where an address can't be listened on.
pub async fn run(
    settings: Settings,
    reread: impl Fn() -> Option<Settings> + 'static,
) -> Result<()> {
    let gateway = Gateway::new(settings);
    let mesh = fleet::start(&gateway).await?;
    server::start(&gateway).await?;
    watch::start(&gateway, &mesh);
    server::until_stopped(&gateway, &mesh, reread).await
}

pub(crate) type Shared = Rc<Gateway>;
