//! Timeouts of callers' connections.

use crate::doors::CloseReason;
use decision::{CallerLimits, WaitKind, Waiting};
use exchange::Holder;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use socket2::SockRef;
use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep};

/// Time for which callers may still go by limits that have been replaced.
const LIMIT_GRACE: Duration = Duration::from_secs(5);

/// Delay of a timer from which on this instance was not running.
const OWN_DELAY: Duration = Duration::from_millis(50);
/// Time for which a closing connection waits for its first request.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time to read what arrived while this instance was not running.
const CATCH_UP_TIME: Duration = Duration::from_millis(200);

/// Limits of callers' connections, which follow the configuration in force.
///
/// A limit that is lowered holds after [`LIMIT_GRACE`], when callers know of it.
#[derive(Debug)]
pub(crate) struct ConnectionLimits {
    current: Cell<Option<CallerLimits>>,
    /// Limits that were replaced last, and the end of their grace period.
    replaced: Cell<Option<(CallerLimits, Instant)>>,
    /// Notified when the limits are replaced.
    updated: Notify,
}

impl ConnectionLimits {
    pub(crate) fn new() -> Self {
        ConnectionLimits {
            current: Cell::default(),
            replaced: Cell::default(),
            updated: Notify::new(),
        }
    }

    /// Replaces the limits by those of a new configuration.
    pub(crate) fn update(&self, limits: CallerLimits) {
        match self.current.get() {
            Some(current) if current == limits => return,
            Some(current) => {
                let replaced = CallerLimits {
                    header_bytes: self.header_bytes(),
                    header_timeout: self.header_timeout(),
                    idle_timeout: self.idle_timeout(),
                    ..current
                };
                let end = Instant::now() + LIMIT_GRACE;
                self.replaced.set(Some((replaced, end)));
            }
            None => {}
        }
        self.current.set(Some(limits));
        self.updated.notify_waiters();
    }

    /// Returns the size of the buffer that a request head must fit in.
    pub(crate) fn header_bytes(&self) -> usize {
        self.largest(|limits| limits.header_bytes)
    }

    /// Waits until the size of the buffer is no longer `bytes`.
    pub(crate) async fn wait_for_other_buffer(&self, bytes: usize) {
        loop {
            let updated = self.updated.notified();
            if self.header_bytes() != bytes {
                return;
            }
            match self.replaced.get() {
                Some((_, end)) if Instant::now() < end => {
                    // Checked again at the end of the grace period as after an update.
                    let _ = tokio::time::timeout_at(end, updated).await;
                }
                _ => updated.await,
            }
        }
    }

    fn header_timeout(&self) -> Duration {
        self.largest(|limits| limits.header_timeout)
    }

    fn idle_timeout(&self) -> Duration {
        self.largest(|limits| limits.idle_timeout)
    }

    fn largest<T: Ord>(&self, limit: impl Fn(&CallerLimits) -> T) -> T {
        let current = limit(&self.current.get().unwrap_or_default());
        match self.replaced.get() {
            Some((replaced, end)) if Instant::now() < end => current.max(limit(&replaced)),
            _ => current,
        }
    }
}

/// Current activity of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activity {
    /// Waiting for the first request since this time.
    Unused(Instant),
    /// Waiting for a further request since this time.
    Idle(Instant),
    /// Receiving a request head whose first byte arrived at this time.
    ReadingHead(Instant),
    /// Serving a request.
    Serving,
    /// Writing the last bytes of a response.
    Responding,
}

/// Timeout of a connection that can expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timeout {
    /// No request came.
    Idle,
    /// No request came on a connection that the instance closes.
    Closing,
    /// A request head took too long.
    Head,
    /// The caller read nothing.
    Write,
}

impl Timeout {
    /// Returns the name of the timeout in metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Timeout::Idle => "idle_timeout",
            Timeout::Closing => "closing",
            Timeout::Head => "head_timeout",
            Timeout::Write => "write_timeout",
        }
    }
}

/// State of a connection, shared between its stream and its requests.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionState(Rc<StateCells>);

#[derive(Debug)]
struct StateCells {
    activity: Cell<Activity>,
    /// Notified when a response ends.
    response_ended: Notify,
    /// Time from which on the connection ends once it is idle.
    closing: Cell<Option<Instant>>,
    /// Timeout that has ended the connection.
    expired: Cell<Option<Timeout>>,
    /// Body that is being received.
    body: Cell<Option<Progress>>,
    /// Response that the caller did not read as fast as it came.
    reading: Cell<Option<Progress>>,
    /// Whether a write waits for the caller to read.
    is_stalled: Cell<bool>,
    /// Bytes of answers that are held for the caller.
    answers: Holder,
    /// Reason for which the connection is closed for others.
    closed: Cell<Option<CloseReason>>,
    /// Notified when the connection is closed for others.
    closed_signal: Notify,
}

/// Progress of a client that the instance waits for.
#[derive(Clone, Copy, Debug)]
struct Progress {
    since: Instant,
    last: Instant,
    bytes: u64,
}

impl Progress {
    fn start() -> Progress {
        let now = Instant::now();
        Progress {
            since: now,
            last: now,
            bytes: 0,
        }
    }

    fn add(self, count: usize) -> Progress {
        Progress {
            last: Instant::now(),
            bytes: self.bytes + count as u64,
            ..self
        }
    }

    fn waiting(self, kind: WaitKind) -> Waiting {
        Waiting {
            kind,
            waited: self.since.elapsed(),
            silent: self.last.elapsed(),
            bytes: self.bytes,
        }
    }
}

impl ConnectionState {
    pub(crate) fn new() -> Self {
        ConnectionState(Rc::new(StateCells {
            activity: Cell::new(Activity::Unused(Instant::now())),
            response_ended: Notify::new(),
            closing: Cell::new(None),
            expired: Cell::new(None),
            body: Cell::new(None),
            reading: Cell::new(None),
            is_stalled: Cell::new(false),
            answers: Holder::default(),
            closed: Cell::new(None),
            closed_signal: Notify::new(),
        }))
    }

    /// Returns what the connection waits for its client to do, if it does and is not
    /// being closed.
    pub(crate) fn waiting(&self) -> Option<Waiting> {
        if self.0.closed.get().is_some() {
            return None;
        }
        let (body, reading) = (self.0.body.get(), self.0.reading.get());
        match self.activity() {
            Activity::Unused(since) | Activity::Idle(since) | Activity::ReadingHead(since) => {
                let waited = since.elapsed();
                Some(Waiting {
                    kind: WaitKind::Request,
                    waited,
                    silent: waited,
                    bytes: 0,
                })
            }
            _ if self.0.is_stalled.get() => reading.map(|r| r.waiting(WaitKind::Reading)),
            Activity::Serving => body.map(|b| b.waiting(WaitKind::Body)),
            Activity::Responding => None,
        }
    }

    /// Returns the count of the bytes of answers that are held for the caller.
    pub(crate) fn answers(&self) -> &Holder {
        &self.0.answers
    }

    /// Closes the connection for the sake of others.
    pub(crate) fn close(&self, reason: CloseReason) {
        self.0.closed.set(Some(reason));
        self.0.closed_signal.notify_one();
    }

    /// Waits until the connection is closed for the sake of others.
    pub(crate) async fn closed(&self) -> CloseReason {
        loop {
            if let Some(reason) = self.0.closed.get() {
                return reason;
            }
            self.0.closed_signal.notified().await;
        }
    }

    /// Records that a body is being received until the returned guard is dropped.
    pub(crate) fn begin_body(&self) -> BodyGuard {
        self.0.body.set(Some(Progress::start()));
        BodyGuard(self.clone())
    }

    /// Records the result of a write; `None` if it waits for the caller to read.
    fn record_write(&self, written: Option<usize>) {
        self.0.is_stalled.set(written.is_none());
        let reading = match (self.0.reading.get(), written) {
            (None, None) => Some(Progress::start()),
            (Some(progress), Some(count)) => Some(progress.add(count)),
            (unchanged, _) => unchanged,
        };
        self.0.reading.set(reading);
    }

    /// Returns the timeout that has ended the connection, if one did.
    pub(crate) fn expired(&self) -> Option<Timeout> {
        self.0.expired.get()
    }

    fn activity(&self) -> Activity {
        self.0.activity.get()
    }

    fn set_activity(&self, activity: Activity) {
        self.0.activity.set(activity);
    }

    /// Lets the connection end once it is idle. A first request is waited for, for
    /// [`FIRST_REQUEST_TIMEOUT`] after the connection was opened, and so is the rest
    /// of a head.
    pub(crate) fn close_when_idle(&self) {
        self.0.closing.set(Some(Instant::now()));
    }

    /// Records that a request head is complete. The connection counts as serving
    /// the request until the returned guard is dropped and what is left of the
    /// response is written; [`GuardedBody`] keeps the guard together with the body.
    pub(crate) fn begin_request(&self) -> RequestGuard {
        self.set_activity(Activity::Serving);
        RequestGuard(self.clone())
    }

    /// Records that all bytes that were to be written are written. Returns whether
    /// they end a response.
    fn end_response(&self) -> bool {
        let ended = self.activity() == Activity::Responding;
        if ended {
            self.set_activity(Activity::Idle(Instant::now()));
            self.0.reading.set(None);
            self.0.response_ended.notify_one();
        }
        ended
    }

    /// Waits until no request is being received or served.
    pub(crate) async fn wait_until_idle(&self) {
        while !matches!(self.activity(), Activity::Unused(_) | Activity::Idle(_)) {
            self.0.response_ended.notified().await;
        }
    }
}

/// Marks the body of its connection's request as received, or given up, on drop.
#[derive(Debug)]
pub(crate) struct BodyGuard(ConnectionState);

impl BodyGuard {
    /// Records that bytes of the body were received.
    pub(crate) fn count(&self, bytes: usize) {
        let body = &self.0.0.body;
        body.set(body.get().map(|progress| progress.add(bytes)));
    }
}

impl Drop for BodyGuard {
    fn drop(&mut self) {
        self.0.0.body.set(None);
    }
}

/// Marks the response of its connection as complete but for its last bytes on drop.
#[derive(Debug)]
pub(crate) struct RequestGuard(ConnectionState);

impl RequestGuard {
    /// Returns the state of the connection.
    pub(crate) fn connection(&self) -> ConnectionState {
        self.0.clone()
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.set_activity(Activity::Responding);
    }
}

/// Body of a response with a guard that is dropped together with it.
pub(crate) struct GuardedBody<B> {
    body: B,
    _guard: RequestGuard,
}

impl<B> GuardedBody<B> {
    pub(crate) fn new(body: B, guard: RequestGuard) -> Self {
        GuardedBody {
            body,
            _guard: guard,
        }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for GuardedBody<B> {
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

/// TCP stream with timeouts.
///
/// Reads fail if a request head takes too long or no request comes; writes fail
/// if the caller reads nothing for the idle timeout.
pub(crate) struct TimedStream {
    tcp: TcpStream,
    /// Bytes that are read before those of `tcp`.
    unread: Bytes,
    state: ConnectionState,
    limits: Rc<ConnectionLimits>,
    timer: Pin<Box<Sleep>>,
    /// End of the time to read what arrived while this instance was not running.
    caught_up: Option<Instant>,
    /// Start of the period in which no write has succeeded.
    stalled_since: Option<Instant>,
}

impl TimedStream {
    pub(crate) fn new(
        tcp: TcpStream,
        state: ConnectionState,
        limits: Rc<ConnectionLimits>,
    ) -> Self {
        TimedStream {
            tcp,
            unread: Bytes::new(),
            state,
            timer: Box::pin(tokio::time::sleep(limits.idle_timeout())),
            limits,
            caught_up: None,
            stalled_since: None,
        }
    }

    /// Returns the stream with bytes that have been read from it and are to be read
    /// again.
    pub(crate) fn with_unread(self, unread: Bytes) -> Self {
        TimedStream { unread, ..self }
    }

    /// Returns the time at which reading ends, and the timeout that expires then.
    fn deadline(&self) -> Option<(Instant, Timeout)> {
        let closing = self.state.0.closing.get();
        let idle = |since| since + self.limits.idle_timeout();
        let (deadline, timeout) = match (self.state.activity(), closing) {
            (Activity::Unused(since), Some(closing)) => {
                (closing.max(since + FIRST_REQUEST_TIMEOUT), Timeout::Closing)
            }
            (Activity::Idle(since), Some(closing)) => (closing.max(since), Timeout::Closing),
            (Activity::Unused(since) | Activity::Idle(since), None) => (idle(since), Timeout::Idle),
            (Activity::ReadingHead(since), _) => {
                (since + self.limits.header_timeout(), Timeout::Head)
            }
            (Activity::Serving | Activity::Responding, _) => return None,
        };
        let deadline = self.caught_up.map_or(deadline, |end| end.max(deadline));
        Some((deadline, timeout))
    }

    /// Returns whether a deadline has passed while this instance was not running,
    /// and extends it then. What arrived meanwhile has not been read yet.
    fn catch_up(&mut self, deadline: Instant) -> bool {
        let now = Instant::now();
        let was_away = now.saturating_duration_since(deadline) >= OWN_DELAY;
        if was_away {
            self.caught_up = Some(now + CATCH_UP_TIME);
        }
        was_away
    }

    /// Records which timeout has expired and returns the error that ends the
    /// connection.
    fn expire(&self, timeout: Timeout) -> io::Error {
        self.state.0.expired.set(Some(timeout));
        io::ErrorKind::TimedOut.into()
    }

    /// Fails if the deadline for reading has passed, or ends the stream if it is of
    /// a closing connection; otherwise wakes the task at the deadline.
    fn poll_deadline(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while let Some((deadline, timeout)) = self.deadline() {
            match self.poll_timer(deadline, context) {
                Poll::Ready(()) if self.catch_up(deadline) => {}
                // Their arrival wakes the task.
                Poll::Ready(()) if self.has_unread_bytes() => return Poll::Pending,
                Poll::Ready(()) => {
                    let error = self.expire(timeout);
                    let is_regular = timeout == Timeout::Closing;
                    return Poll::Ready(if is_regular { Ok(()) } else { Err(error) });
                }
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Pending
    }

    /// Returns whether bytes have arrived, even if the runtime does not know yet.
    fn has_unread_bytes(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.tcp).peek(&mut byte);
        matches!(peeked, Ok(count) if count > 0)
    }

    /// Wakes the task at the deadline for reading.
    fn wake_at_deadline(&mut self, context: &mut Context<'_>) {
        if let Some((deadline, _)) = self.deadline()
            && self.poll_timer(deadline, context).is_ready()
        {
            context.waker().wake_by_ref();
        }
    }

    fn poll_read_bytes(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.unread.is_empty() {
            return Pin::new(&mut self.tcp).poll_read(context, buffer);
        }
        let count = self.unread.len().min(buffer.remaining());
        buffer.put_slice(&self.unread.split_to(count));
        Poll::Ready(Ok(()))
    }

    fn poll_timer(&mut self, deadline: Instant, context: &mut Context<'_>) -> Poll<()> {
        if self.timer.deadline() != deadline {
            self.timer.as_mut().reset(deadline);
        }
        self.timer.as_mut().poll(context)
    }

    /// Returns the result of a write; fails if no write has succeeded for the idle
    /// timeout.
    fn poll_write_result(
        &mut self,
        result: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(written) = &result {
            self.state
                .record_write(Some(*written.as_ref().unwrap_or(&0)));
            self.stalled_since = None;
            return result;
        }
        self.state.record_write(None);
        let since = *self.stalled_since.get_or_insert_with(Instant::now);
        let deadline = since + self.limits.idle_timeout();
        let passed = self.poll_timer(deadline, context);
        passed.map(|()| Err(self.expire(Timeout::Write)))
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        match self.poll_read_bytes(context, buffer) {
            Poll::Pending => self.poll_deadline(context),
            Poll::Ready(Ok(())) if buffer.filled().len() > before => {
                if let Activity::Unused(_) | Activity::Idle(_) = self.state.activity() {
                    self.state
                        .set_activity(Activity::ReadingHead(Instant::now()));
                }
                // Checked after each read, so that a head that arrives byte by byte
                // can't avoid the timeout.
                match self.deadline() {
                    Some((deadline, timeout))
                        if deadline <= Instant::now() && !self.catch_up(deadline) =>
                    {
                        Poll::Ready(Err(self.expire(timeout)))
                    }
                    _ => Poll::Ready(Ok(())),
                }
            }
            ended @ Poll::Ready(_) => ended,
        }
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.tcp).poll_write(context, bytes);
        self.poll_write_result(result, context)
    }

    /// Flushes the stream, which the connection does once it has written all bytes.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.tcp).poll_flush(context))?;
        if self.state.end_response() {
            // The next read may be as late as the next request.
            self.wake_at_deadline(context);
        }
        Poll::Ready(Ok(()))
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
        let result = Pin::new(&mut self.tcp).poll_write_vectored(context, buffers);
        self.poll_write_result(result, context)
    }
}
