//! Time limits on what a caller's connection waits for.

use hyper::body::{Body, Bytes, Frame, SizeHint};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doing {
    /// Waiting for a request since then.
    Idle(Instant),
    /// Receiving a head whose first byte came then.
    Head(Instant),
    /// Serving a request.
    Request,
}

/// State of a connection, shared with its requests.
#[derive(Clone, Debug)]
pub(crate) struct Progress(Rc<Cell<Doing>>);

impl Progress {
    pub(crate) fn new() -> Self {
        Progress(Rc::new(Cell::new(Doing::Idle(Instant::now()))))
    }

    /// Notes that a head is whole. The request lasts until its answer's body,
    /// which is to be passed through [`Served`], is dropped.
    pub(crate) fn begin(&self) -> Serving {
        self.0.set(Doing::Request);
        Serving(self.clone())
    }
}

/// A request that is being served.
#[derive(Debug)]
pub(crate) struct Serving(Progress);

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.0.set(Doing::Idle(Instant::now()));
    }
}

/// Body of an answer, with whose end the connection is idle again.
pub(crate) struct Served<B> {
    body: B,
    _serving: Serving,
}

impl<B> Served<B> {
    pub(crate) fn new(body: B, serving: Serving) -> Self {
        Served {
            body,
            _serving: serving,
        }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for Served<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A connection whose reads fail when a head or the next request takes too
/// long, and whose writes fail when the caller reads nothing for as long as it
/// may be idle.
pub(crate) struct Intake {
    tcp: TcpStream,
    progress: Progress,
    head_time: Duration,
    idle_time: Duration,
    timer: Pin<Box<Sleep>>,
    /// Since when the caller has taken no byte that waits for it.
    stalled: Option<Instant>,
}

impl Intake {
    pub(crate) fn new(
        tcp: TcpStream,
        progress: Progress,
        head_time: Duration,
        idle_time: Duration,
    ) -> Self {
        Intake {
            tcp,
            progress,
            head_time,
            idle_time,
            timer: Box::pin(tokio::time::sleep(idle_time)),
            stalled: None,
        }
    }

    fn deadline(&self) -> Option<Instant> {
        match self.progress.0.get() {
            Doing::Idle(since) => Some(since + self.idle_time),
            Doing::Head(since) => Some(since + self.head_time),
            Doing::Request => None,
        }
    }

    /// Fails where the deadline has passed, and else wakes the reader then.
    fn poll_deadline(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(deadline) = self.deadline() else {
            return Poll::Pending;
        };
        self.poll_timer(deadline, context).map(Err)
    }

    fn poll_timer(&mut self, deadline: Instant, context: &mut Context<'_>) -> Poll<io::Error> {
        if self.timer.deadline() != deadline {
            self.timer.as_mut().reset(deadline);
        }
        let passed = self.timer.as_mut().poll(context);
        passed.map(|()| io::ErrorKind::TimedOut.into())
    }

    /// Passes on what became of a write; fails where none has succeeded for too
    /// long.
    fn poll_written(
        &mut self,
        written: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let since = *self.stalled.get_or_insert_with(Instant::now);
        let deadline = since + self.idle_time;
        self.poll_timer(deadline, context).map(Err)
    }
}

impl AsyncRead for Intake {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        match Pin::new(&mut self.tcp).poll_read(context, buffer) {
            Poll::Pending => self.poll_deadline(context),
            Poll::Ready(Ok(())) if buffer.filled().len() > before => {
                if let Doing::Idle(_) = self.progress.0.get() {
                    self.progress.0.set(Doing::Head(Instant::now()));
                }
                // A head that drips in without a pause is late all the same.
                match self.deadline() {
                    Some(deadline) if deadline <= Instant::now() => {
                        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
                    }
                    _ => Poll::Ready(Ok(())),
                }
            }
            ended @ Poll::Ready(_) => ended,
        }
    }
}

impl AsyncWrite for Intake {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.tcp).poll_write(context, bytes);
        self.poll_written(written, context)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.tcp).poll_write_vectored(context, buffers);
        self.poll_written(written, context)
    }
}
