//! Other instances as a peer: the mesh of WebSocket connections.
//!
//! Every instance dials the others when it has something to say and closes
//! the connection when it has been idle. A connection carries messages one
//! way; the other way carries only pongs, whose absence shows that the
//! connection has gone silent.

mod frame;
mod link;
mod tls;
mod ws;

pub use frame::{FRAME_MAX, Frame, Hello, PROTOCOL, decode, encode};
pub use tls::{TlsFiles, TlsReloader};
pub use ws::{Traffic, WsMesh, WsMeshBuilder};

use decision::{InstanceId, Message};
use snafu::Snafu;
use std::net::SocketAddr;

/// Result with this package's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Why a peer could not be spoken to.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An input or output error.
    #[snafu(display("{step} with {peer}: {source}"))]
    Io {
        /// What was done.
        step: &'static str,
        /// The peer.
        peer: String,
        /// Cause.
        source: std::io::Error,
    },
    /// A WebSocket error.
    #[snafu(display("{step} with {peer}: {source}"))]
    WebSocket {
        /// What was done.
        step: &'static str,
        /// The peer.
        peer: String,
        /// Cause.
        #[snafu(source(from(tokio_tungstenite::tungstenite::Error, Box::new)))]
        source: Box<tokio_tungstenite::tungstenite::Error>,
    },
    /// A certificate or key could not be used.
    #[snafu(display("reading {path}: {message}"))]
    Key {
        /// File.
        path: String,
        /// What is wrong.
        message: String,
    },
    /// A frame could not be understood.
    #[snafu(display("frame from {peer}: {message}"))]
    Frame {
        /// The peer.
        peer: String,
        /// What is wrong.
        message: String,
    },
    /// The mesh may not be open to other machines without TLS.
    #[snafu(display("{address} is not a loopback address, and the mesh has no TLS"))]
    TlsRequired {
        /// Address.
        address: SocketAddr,
    },
}

/// Something that a peer did.
#[derive(Debug)]
pub enum PeerEvent {
    /// It sent a message.
    Message {
        /// Sender.
        from: InstanceId,
        /// What it sent.
        message: Message,
    },
    /// Its connection was refused or broke.
    ConnectionFailed(InstanceId),
}

/// The way to other instances.
pub trait Mesh: Send + Sync {
    /// Sends a message; a loss is not told.
    fn send(&self, to: &InstanceId, address: SocketAddr, message: &Message);

    /// Bytes and messages by kind.
    fn traffic(&self) -> Traffic;
}
