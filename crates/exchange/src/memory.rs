//! Limit on the memory that a process holds for others.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::Notify;

/// Bytes that all responses may hold together by default, in excess of
/// [`DEFAULT_FREE_BYTES`] each.
const DEFAULT_BYTES: usize = 24 << 20;
/// Bytes that each response may hold by default without counting.
const DEFAULT_FREE_BYTES: usize = 64 << 10;
/// Size in bytes up to which a reservation may also draw on the part of its share that
/// is kept for ordinary ones, a quarter in addition.
const SMALL_BYTES: usize = 64 << 10;

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// Bodies of requests.
    Bodies,
    /// Bodies of responses, and events of streams.
    Answers,
    /// Messages of other instances that are being received.
    Frames,
}

/// Limit on the memory of one [`Purpose`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Bytes that all reservations may hold together.
    pub bytes: usize,
    /// Bytes that each reservation may hold without counting.
    pub free: usize,
}

/// Limits on the bytes that one process holds for others, by purpose.
///
/// A quarter of each share is added for reservations of up to 64 KiB, so that a few
/// large ones leave room for ordinary ones. Clones share the counts.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    pools: Arc<[Pool; 3]>,
}

/// Share of one purpose and what is held of it.
#[derive(Debug)]
struct Pool {
    share: Share,
    held: AtomicUsize,
    /// Notified when less is held.
    released: Notify,
    /// Notified when a reservation can't grow or most of the share is held.
    pressed: Notify,
}

impl Default for MemoryBudget {
    /// Creates a budget of 24 MiB for each purpose, besides 64 KiB for each reservation.
    fn default() -> Self {
        MemoryBudget::new(
            [Share {
                bytes: DEFAULT_BYTES,
                free: DEFAULT_FREE_BYTES,
            }; 3],
        )
    }
}

impl MemoryBudget {
    /// Creates a budget from the shares of bodies, answers and frames.
    pub fn new(shares: [Share; 3]) -> Self {
        MemoryBudget {
            pools: Arc::new(shares.map(|share| Pool {
                share,
                held: AtomicUsize::new(0),
                released: Notify::new(),
                pressed: Notify::new(),
            })),
        }
    }

    /// Returns the bytes that count towards the limits now.
    pub fn reserved(&self) -> usize {
        self.pools.iter().map(Pool::held).sum()
    }

    /// Returns the bytes that are held for one purpose.
    pub fn held(&self, purpose: Purpose) -> usize {
        self.pools[purpose as usize].held()
    }

    /// Creates an empty reservation for one response.
    pub fn reservation(&self) -> Reservation {
        self.reservation_for(Purpose::Answers)
    }

    /// Creates an empty reservation.
    pub fn reservation_for(&self, purpose: Purpose) -> Reservation {
        Reservation {
            budget: self.clone(),
            purpose,
            counted: 0,
            holder: None,
        }
    }

    /// Returns whether over seven eighths of a share are held.
    pub fn is_pressed(&self, purpose: Purpose) -> bool {
        self.pools[purpose as usize].is_pressed()
    }

    /// Waits until a reservation can't grow, or until over seven eighths of the share
    /// are held.
    pub async fn wait_for_pressure(&self, purpose: Purpose) {
        self.pools[purpose as usize].pressed.notified().await;
    }

    /// Waits until the reservation can be resized.
    pub async fn resize(&self, reservation: &mut Reservation, bytes: usize) {
        let pool = &self.pools[reservation.purpose as usize];
        loop {
            let mut released = std::pin::pin!(pool.released.notified());
            released.as_mut().enable();
            if reservation.try_resize(bytes) {
                return;
            }
            released.await;
        }
    }
}

impl Pool {
    fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    fn is_pressed(&self) -> bool {
        self.held() > self.share.bytes / 8 * 7
    }
}

/// Bytes that are held of a [`MemoryBudget`], released on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    purpose: Purpose,
    /// Bytes that count towards the limit.
    counted: usize,
    /// Whoever the bytes are held for.
    holder: Option<Holder>,
}

/// Count of the bytes of all reservations that are held for someone. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Holder(Arc<AtomicUsize>);

impl Holder {
    /// Returns the bytes that count towards the limits.
    pub fn held(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Reservation {
    /// Counts the reservation, which is empty, also in what is held for someone.
    #[must_use]
    pub fn held_for(mut self, holder: &Holder) -> Self {
        self.holder = Some(holder.clone());
        self
    }

    /// Sets the size of the reservation to `bytes`.
    ///
    /// Returns `false` and leaves the size as it was if this exceeds the limit.
    /// A reservation that doesn't grow always succeeds.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let pool = &self.budget.pools[self.purpose as usize];
        let Share { bytes: limit, free } = pool.share;
        let limit = if bytes <= SMALL_BYTES {
            limit + limit / 4
        } else {
            limit
        };
        let (counted, needed) = (self.counted, bytes.saturating_sub(free));
        let resize = |held: usize| {
            let total = held - counted + needed;
            (total <= limit || needed <= counted).then_some(total)
        };
        let changed = pool
            .held
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, resize);
        if changed.is_ok() {
            self.counted = needed;
            if let Some(Holder(held)) = &self.holder {
                held.fetch_add(needed, Ordering::Relaxed);
                held.fetch_sub(counted, Ordering::Relaxed);
            }
        }
        if changed.is_err() || (needed > counted && pool.is_pressed()) {
            pool.pressed.notify_one();
        }
        if needed < counted {
            pool.released.notify_waiters();
        }
        changed.is_ok()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let pool = &self.budget.pools[self.purpose as usize];
        pool.held.fetch_sub(self.counted, Ordering::Relaxed);
        pool.released.notify_waiters();
        if let Some(Holder(held)) = &self.holder {
            held.fetch_sub(self.counted, Ordering::Relaxed);
        }
    }
}
