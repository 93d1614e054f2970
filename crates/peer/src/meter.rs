//! Limit on what is received of a message before it is complete.
//!
//! The load that this answers: crowds that connect to the mesh's port and send large
//! messages without ever completing them.

use crate::FRAME_MAX;
use crate::link::Stream;
use exchange::Reservation;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Limit on the bytes of an incoming connection before its greeting is complete.
const GREETING_BYTES: usize = 16 << 10;
/// Limit on the bytes of a message with the headers of its frames.
const MESSAGE_BYTES: usize = FRAME_MAX + (64 << 10);

/// Count of the bytes that were received of the message under way, which draws on the
/// memory for frames.
#[derive(Clone, Debug)]
pub(crate) struct Meter(Arc<Mutex<Count>>);

#[derive(Debug)]
struct Count {
    bytes: usize,
    limit: usize,
    reservation: Reservation,
}

impl Meter {
    pub(crate) fn new(reservation: Reservation) -> Self {
        Meter(Arc::new(Mutex::new(Count {
            bytes: 0,
            limit: GREETING_BYTES,
            reservation,
        })))
    }

    /// Records that the greeting is complete, and so each message from now on.
    pub(crate) fn complete(&self) {
        let mut count = self.0.lock().expect("count");
        count.bytes = 0;
        count.limit = MESSAGE_BYTES;
        count.reservation.try_resize(0);
    }

    /// Returns whether a part of a message has arrived.
    pub(crate) fn is_partial(&self) -> bool {
        self.0.lock().expect("count").bytes > 0
    }

    /// Adds received bytes; returns whether they are within the limits.
    fn add(&self, bytes: usize) -> bool {
        let mut count = self.0.lock().expect("count");
        count.bytes += bytes;
        let total = count.bytes;
        total <= count.limit && count.reservation.try_resize(total)
    }
}

/// Stream whose reads fail once they exceed the limits of a [`Meter`].
pub(crate) struct Metered {
    pub(crate) stream: Box<dyn Stream>,
    pub(crate) meter: Meter,
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if self.meter.add(buffer.filled().len() - before) {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()))
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
