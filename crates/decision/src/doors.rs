//! Shares of a machine for whoever connects, and the connection that is closed first.
//!
//! The load that this answers: crowds that connect, send or read without end or very
//! slowly, at any of the listening sockets.

use std::cmp::Reverse;
use std::time::Duration;

/// Descriptors for connections to targets and the store, and for files.
const OWN_DESCRIPTORS: usize = 600;
/// Memory of a connection of a caller in bytes: its socket's unread bytes, its buffers
/// and its task.
const CONNECTION_BYTES: usize = 56 << 10;
/// Connections of callers on a machine with hardly any memory.
const LEAST_CALLERS: usize = 16;
/// Limit on the bytes of all answers that are held.
const ANSWER_BYTES: usize = 24 << 20;
/// Time without a byte after which a connection may be closed for the sake of others.
const SILENCE: Duration = Duration::from_millis(250);
/// The same, and the time for which a response may be slow, for a client that reads one:
/// a slow or lossy link keeps it silent for seconds, and its request has run.
const READING_SILENCE: Duration = Duration::from_secs(4);
/// Bytes a second below which a body or a response counts as slow.
const LEAST_RATE: u64 = 16 << 10;
/// Time for which a body may be slow.
const SLOW_START: Duration = Duration::from_secs(1);

/// How much each listening socket, and each kind of buffer, may take of the machine.
///
/// Each listening socket has connections of its own, so that a crowd at one of them
/// takes none from the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DoorLimits {
    /// Connections of callers.
    pub callers: usize,
    /// Connections of readiness probes.
    pub ready: usize,
    /// Connections of lookups.
    pub directory: usize,
    /// Connections that fetch metrics or the state dump.
    pub control: usize,
    /// Connections of other instances.
    pub peers: usize,
    /// Bytes of all bodies that are held.
    pub bodies: usize,
    /// Bytes of all answers that are held.
    pub answers: usize,
    /// Bytes of all messages of other instances that are being received.
    pub frames: usize,
}

impl DoorLimits {
    /// Divides the descriptors and the bytes of a machine.
    pub fn new(descriptors: usize, memory: usize) -> Self {
        let own = OWN_DESCRIPTORS.min(descriptors / 2);
        let peers = descriptors / 8;
        let doors = descriptors - own - peers;
        let (ready, directory, control) = (doors / 16, doors / 8, doors / 32);
        let callers = doors - ready - directory - control;
        let in_memory = (memory / 8 * 3 / CONNECTION_BYTES).max(LEAST_CALLERS);
        DoorLimits {
            callers: callers.min(in_memory),
            ready,
            directory,
            control,
            peers,
            bodies: memory / 6,
            answers: ANSWER_BYTES.min(memory / 7),
            frames: memory / 16,
        }
    }
}

/// What a connection waits for its client to do, in the order in which connections are
/// closed: a request that is being read has run nowhere, a response is of one that has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitKind {
    /// To send a request or the rest of its head.
    Request,
    /// To send the rest of a body.
    Body,
    /// To read a response.
    Reading,
}

/// A connection that waits for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// What it waits for.
    pub kind: WaitKind,
    /// Time since the wait began.
    pub waited: Duration,
    /// Time since the client last sent or read a byte.
    pub silent: Duration,
    /// Bytes that the client has sent or read since the wait began.
    pub bytes: u64,
}

impl Waiting {
    /// Returns whether the connection may be closed for the sake of others.
    pub fn may_be_closed(&self) -> bool {
        let (silence, slow_start) = match self.kind {
            WaitKind::Request | WaitKind::Body => (SILENCE, SLOW_START),
            WaitKind::Reading => (READING_SILENCE, READING_SILENCE),
        };
        let is_slow = self.waited >= slow_start && self.rate() < LEAST_RATE;
        self.silent >= silence || is_slow
    }

    /// Returns the mean bytes a second.
    fn rate(&self) -> u64 {
        let millis = (self.waited.as_millis() as u64).max(1);
        self.bytes.saturating_mul(1_000) / millis
    }
}

/// Returns the connection to close first: by kind, then the slowest one, among equals the
/// one that has waited longest; `None` if none may be closed.
pub fn slowest<I>(connections: impl IntoIterator<Item = (I, Waiting)>) -> Option<I> {
    let closable = connections.into_iter().filter(|(_, w)| w.may_be_closed());
    let first = closable.min_by_key(|(_, w)| (w.kind, w.rate(), Reverse(w.waited)));
    first.map(|(id, _)| id)
}
