//! Connections that rest between two requests.

use crate::{Connection, Result, begin};
use socket2::SockRef;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// What has become of a connection at rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// It is open and has received nothing.
    Silent,
    /// The other end has closed it.
    Closed,
    /// Bytes have arrived that belong to no request.
    Surplus,
}

/// Connection that has served a request and can serve another one.
#[derive(Debug)]
pub struct IdleConnection(TcpStream);

impl IdleConnection {
    pub(crate) fn new(tcp: TcpStream) -> Self {
        IdleConnection(tcp)
    }

    /// Returns what has become of the connection at rest.
    pub fn state(&self) -> IdleState {
        let mut byte = [MaybeUninit::uninit()];
        // Asks the socket itself: the runtime may not have been told yet.
        match SockRef::from(&self.0).peek(&mut byte) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => IdleState::Silent,
            Ok(0) | Err(_) => IdleState::Closed,
            Ok(_) => IdleState::Surplus,
        }
    }

    /// Prepares the connection for the next request.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::NotSent`](crate::Error::NotSent) if it can't be used.
    pub async fn resume(self) -> Result<Connection> {
        begin(self.0).await
    }
}
