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
mod event_log;
mod fleet;
mod forward;
mod metrics;
mod relay;
mod server;
mod settings;
mod sse;
mod state;
mod timeouts;
mod watch;

pub use settings::{Bounds, Listen, ResourceLimits, Settings, StoreSettings};
pub use sse::{SseEvent, SseSplitter};

use snafu::Snafu;
use state::Gateway;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::signal::unix::{SignalKind, signal};

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

/// A running instance; lives on one thread, within a [`tokio::task::LocalSet`].
pub struct Instance {
    gateway: SharedGateway,
    mesh: fleet::Mesh,
}

impl Instance {
    /// Opens the sockets and begins to serve. Ports of 0 are replaced by free
    /// ones.
    ///
    /// # Errors
    ///
    /// Fails where an address can't be listened on.
    pub async fn start(mut settings: Settings) -> Result<Instance> {
        let incarnation = state::new_incarnation();
        let listeners = server::bind(&mut settings.listen).await?;
        let (mesh, events) = fleet::bind(&mut settings, incarnation).await?;
        let gateway = Gateway::new(settings, incarnation);
        fleet::start(&gateway, &mesh, events);
        server::start(&gateway, listeners);
        watch::start(&gateway, &mesh);
        Ok(Instance { gateway, mesh })
    }

    /// Addresses on which it listens.
    pub fn listen_addresses(&self) -> Listen {
        self.gateway.settings.borrow().listen.clone()
    }

    /// Takes settings that have changed; addresses stay as they are bound.
    pub fn reload(&self, settings: Option<Settings>) {
        server::reload(&self.gateway, settings);
    }

    /// Leaves the directory, serves whoever comes with an old lookup, closes
    /// idle connections and returns when the last request has ended.
    pub async fn stop(&self) {
        server::stop(&self.gateway, &self.mesh).await;
    }

    /// Serves until a signal stops it. `read_settings` reads the settings again.
    ///
    /// # Errors
    ///
    /// Fails where signals can't be handled.
    pub async fn run_until_signal(
        &self,
        read_settings: impl Fn() -> Option<Settings>,
    ) -> Result<()> {
        let signals = |kind| signal(kind).map_err(|source| Error::Signals { source });
        let mut terminate = signals(SignalKind::terminate())?;
        let mut interrupt = signals(SignalKind::interrupt())?;
        let mut hangup = signals(SignalKind::hangup())?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => self.reload(read_settings()),
            }
        }
        let mut stopping = std::pin::pin!(self.stop());
        loop {
            tokio::select! {
                () = stopping.as_mut() => return Ok(()),
                // Further signals don't hurry a shutdown.
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
                _ = hangup.recv() => self.reload(read_settings()),
            }
        }
    }
}

pub(crate) type SharedGateway = Rc<Gateway>;
