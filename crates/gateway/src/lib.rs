//! Instance of briargap that runs on the operators' platform.
//!
//! Callers look up the live instances at any instance's directory address
//! ([`Listen::directory`]) and send their requests to one of them. That instance
//! admits each request by the operators' configuration, chooses a target,
//! forwards the request and returns the complete response, or its events as they
//! arrive if it is a stream.
//!
//! Everything runs on one thread. The decisions are made in [`decision`]; the
//! formats of the platform's interfaces are in [`platform`].

mod admitted;
mod attempt;
mod bodies;
mod clock;
mod connections;
mod control;
mod crashes;
mod doors;
mod event_log;
mod fleet;
mod forward;
mod metrics;
mod overlap;
mod relay;
mod responses;
mod rollout;
mod room;
mod server;
mod settings;
mod sse;
mod state;
mod target_stream;
mod timeouts;
mod watch;

pub use settings::{Bounds, ConnectionSettings, Listen, Machine, Settings, StoreSettings};
pub use sse::{SseEvent, SseSplitter};

use snafu::Snafu;
use state::Gateway;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::signal::unix::{SignalKind, signal};

/// Result with this package's [`enum@Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Why an instance could not start or run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A listening socket can't be opened.
    #[snafu(display("failed to {step} on {address}: {source}"))]
    Listen {
        /// Purpose of the socket, such as `listen for callers`.
        step: &'static str,
        /// Address to listen on.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The connections between instances can't be set up.
    #[snafu(display("failed to start the mesh: {source}"))]
    Mesh {
        /// Cause.
        source: peer::Error,
    },
    /// Signal handlers can't be installed.
    #[snafu(display("failed to install signal handlers: {source}"))]
    Signals {
        /// Cause.
        source: std::io::Error,
    },
}

/// Running instance, which must be used within a [`tokio::task::LocalSet`].
pub struct Instance {
    gateway: SharedGateway,
    mesh: fleet::Mesh,
}

impl Instance {
    /// Opens the listening sockets and starts to serve. A port of 0 is replaced by
    /// a free one.
    ///
    /// # Errors
    ///
    /// Fails if a listening socket can't be opened.
    pub async fn start(mut settings: Settings) -> Result<Instance> {
        let incarnation = state::new_incarnation();
        let listeners = server::bind(&mut settings.listen).await?;
        let memory = doors::memory_budget(&settings.machine.door_limits());
        let (mesh, events) = fleet::bind(&mut settings, incarnation, &memory).await?;
        let gateway = Gateway::new(settings, incarnation, memory);
        fleet::start(&gateway, &mesh, events);
        room::start(&gateway, &mesh);
        server::start(&gateway, listeners);
        doors::start(&gateway);
        watch::start(&gateway, &mesh);
        rollout::start(&gateway);
        connections::start(&gateway);
        Ok(Instance { gateway, mesh })
    }

    /// Returns the addresses on which the instance listens.
    pub fn listen_addresses(&self) -> Listen {
        self.gateway.settings.borrow().listen.clone()
    }

    /// Replaces the settings, except for the listen addresses. `None`, for settings
    /// that could not be read, keeps the current ones and logs this.
    pub fn reload(&self, settings: Option<Settings>) {
        server::reload(&self.gateway, settings);
    }

    /// Stops the instance gracefully.
    ///
    /// It leaves the directory, keeps serving callers whose lookups still name it,
    /// then closes idle connections and returns when the last request has ended or
    /// [`Bounds::grace`] is almost over.
    pub async fn stop(&self) {
        server::stop(&self.gateway, &self.mesh).await;
    }

    /// Runs until SIGTERM or SIGINT and then stops gracefully. On SIGHUP it reloads
    /// the settings that `read_settings` returns.
    ///
    /// # Errors
    ///
    /// Fails if a signal handler can't be installed.
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
                // Further signals don't shorten the shutdown.
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
                _ = hangup.recv() => self.reload(read_settings()),
            }
        }
    }
}

/// State that all tasks of an instance share.
pub(crate) type SharedGateway = Rc<Gateway>;
