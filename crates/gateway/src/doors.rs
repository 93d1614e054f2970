//! Open connections to the listening sockets, and which of them end for the sake of
//! others.
//!
//! [`decision::slowest`] decides; this module knows what each connection waits for.

use crate::SharedGateway;
use crate::server::Endpoint;
use crate::timeouts::ConnectionState;
use decision::{DoorLimits, WaitKind, slowest};
use exchange::{MemoryBudget, Purpose, Share};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

/// Bytes that an answer or a body may hold without counting towards the limits.
const FREE_BYTES: usize = 4 << 10;
/// Pause between connections that are closed, in which the last one ends.
const CLOSE_PAUSE: Duration = Duration::from_millis(2);

/// Why the instance ended a connection for the sake of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// Another connection came to the same listening socket, which has no more.
    Connections,
    /// The memory for bodies or answers is short.
    Memory,
}

impl CloseReason {
    /// Returns the name of the reason in metrics and logs.
    pub(crate) fn label(self) -> &'static str {
        match self {
            CloseReason::Connections => "closed_for_others",
            CloseReason::Memory => "closed_for_memory",
        }
    }
}

/// Open connections that may be closed for the sake of others.
#[derive(Debug, Default)]
pub(crate) struct Doors {
    open: RefCell<BTreeMap<u64, (Endpoint, ConnectionState)>>,
    next_id: Cell<u64>,
}

impl Doors {
    /// Adds a connection and returns its number.
    pub(crate) fn add(&self, endpoint: Endpoint, state: ConnectionState) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        self.open.borrow_mut().insert(id, (endpoint, state));
        id
    }

    /// Removes a connection that has ended.
    pub(crate) fn remove(&self, id: u64) {
        self.open.borrow_mut().remove(&id);
    }

    /// Returns whether a listening socket has `limit` connections or more.
    fn is_full(&self, endpoint: Endpoint, limit: usize) -> bool {
        let open = self.open.borrow();
        open.len() >= limit && open.values().filter(|(e, _)| *e == endpoint).count() >= limit
    }

    /// Waits until a listening socket has less than `limit` connections. The slowest one
    /// is closed, as soon as one may be.
    pub(crate) async fn make_room(&self, endpoint: Endpoint, limit: usize) {
        while self.is_full(endpoint, limit) {
            self.close_slowest(CloseReason::Connections, |e, _, _| e == endpoint);
            tokio::time::sleep(CLOSE_PAUSE).await;
        }
    }

    /// Closes the slowest connection that holds memory for a purpose.
    fn free_memory(&self, purpose: Purpose) {
        self.close_slowest(CloseReason::Memory, |_, state, kind| match purpose {
            Purpose::Bodies => kind == WaitKind::Body,
            // One that holds nothing, as most streams, would free nothing.
            _ => kind == WaitKind::Reading && state.answers().held() > 0,
        });
    }

    fn close_slowest(
        &self,
        reason: CloseReason,
        is_candidate: impl Fn(Endpoint, &ConnectionState, WaitKind) -> bool,
    ) {
        let open = self.open.borrow();
        let candidates = open.values().filter_map(|(endpoint, state)| {
            let waiting = state.waiting()?;
            is_candidate(*endpoint, state, waiting.kind).then_some((state, waiting))
        });
        if let Some(state) = slowest(candidates) {
            state.close(reason);
        }
    }
}

/// Creates the budget of what an instance holds for others.
pub(crate) fn memory_budget(limits: &DoorLimits) -> MemoryBudget {
    let share = |bytes| Share {
        bytes,
        free: FREE_BYTES,
    };
    MemoryBudget::new([limits.bodies, limits.answers, limits.frames].map(share))
}

/// Closes the slowest connections while memory is short.
pub(crate) fn start(gateway: &SharedGateway) {
    for purpose in [Purpose::Bodies, Purpose::Answers] {
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move {
            loop {
                gateway.memory.wait_for_pressure(purpose).await;
                gateway.doors.free_memory(purpose);
                tokio::time::sleep(CLOSE_PAUSE).await;
            }
        });
    }
}
