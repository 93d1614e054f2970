//! Mesh of WebSocket connections between instances.
//!
//! An instance dials another one when it has a message to send, and closes the
//! connection when it has been idle for a while. A connection carries messages
//! only from the dialling instance to the other one. In the opposite direction
//! it carries pongs, whose absence shows that the connection is broken.

mod frame;
mod link;
mod meter;
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

/// Error of the mesh or of a connection to a peer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An I/O error.
    #[snafu(display("{step} with {peer}: {source}"))]
    Io {
        /// Name of the operation.
        step: &'static str,
        /// ID or address of the peer.
        peer: String,
        /// Cause.
        source: std::io::Error,
    },
    /// A WebSocket error.
    #[snafu(display("{step} with {peer}: {source}"))]
    WebSocket {
        /// Name of the operation.
        step: &'static str,
        /// ID or address of the peer.
        peer: String,
        /// Cause.
        #[snafu(source(from(tokio_tungstenite::tungstenite::Error, Box::new)))]
        source: Box<tokio_tungstenite::tungstenite::Error>,
    },
    /// A certificate or key is invalid or cannot be read.
    #[snafu(display("reading {path}: {message}"))]
    Key {
        /// Path of the file.
        path: String,
        /// Cause.
        message: String,
    },
    /// A frame could not be decoded.
    #[snafu(display("frame from {peer}: {message}"))]
    Frame {
        /// ID or address of the peer.
        peer: String,
        /// Cause.
        message: String,
    },
    /// The mesh must use TLS on an address that other machines can reach.
    #[snafu(display("{address} is not a loopback address, and the mesh has no TLS"))]
    TlsRequired {
        /// Address of the mesh.
        address: SocketAddr,
    },
}

/// Event of a peer.
#[derive(Debug)]
pub enum PeerEvent {
    /// The peer sent a message.
    Message {
        /// Sender.
        from: InstanceId,
        /// Message.
        message: Message,
    },
    /// The connection to the peer could not be opened, or broke.
    ConnectionFailed(InstanceId),
}

/// Transport of messages to other instances.
pub trait Mesh: Send + Sync {
    /// Queues a message for another instance; a lost message is not reported.
    fn send(&self, to: &InstanceId, address: SocketAddr, message: &Message);

    /// Returns the counters of messages and bytes.
    fn traffic(&self) -> Traffic;
}
