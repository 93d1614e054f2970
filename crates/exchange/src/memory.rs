//! Limit on the memory of buffered responses.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that each response may hold without counting towards [`MAX_BYTES`].
const FREE_BYTES: usize = 64 << 10;
/// Bytes that all responses may hold together in excess of [`FREE_BYTES`] each.
const MAX_BYTES: usize = 24 << 20;

/// Limit on the bytes that the buffered responses of one process hold together.
///
/// Each response may hold 64 KiB regardless of the others; what exceeds this is
/// limited to 24 MiB in total. Clones share one count.
#[derive(Clone, Debug, Default)]
pub struct MemoryBudget {
    reserved: Arc<AtomicUsize>,
}

impl MemoryBudget {
    /// Returns the bytes that count towards the limit now.
    pub fn reserved(&self) -> usize {
        self.reserved.load(Ordering::Relaxed)
    }

    /// Creates an empty reservation for one response.
    pub fn reservation(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            counted: 0,
        }
    }
}

/// Bytes that one response holds of a [`MemoryBudget`], released on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    /// Bytes of this response that count towards the limit.
    counted: usize,
}

impl Reservation {
    /// Sets the size of the reservation to `bytes`.
    ///
    /// Returns `false` and leaves the size as it was if this exceeds the limit.
    /// A reservation that doesn't grow always succeeds.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let (counted, needed) = (self.counted, bytes.saturating_sub(FREE_BYTES));
        let resize = |reserved: usize| {
            let total = reserved - counted + needed;
            (total <= MAX_BYTES || needed <= counted).then_some(total)
        };
        let reserved = &self.budget.reserved;
        let changed = reserved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, resize);
        if changed.is_ok() {
            self.counted = needed;
        }
        changed.is_ok()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget
            .reserved
            .fetch_sub(self.counted, Ordering::Relaxed);
    }
}
