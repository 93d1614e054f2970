//! Memory for answers that are held until they are whole.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that each answer may hold, whatever the others hold.
const FREE_BYTES: usize = 64 << 10;
/// Bytes that all answers may hold together besides.
const MAX_BYTES: usize = 24 << 20;

/// Bytes that all answers of one process may hold together.
///
/// Clones share one count.
#[derive(Clone, Debug, Default)]
pub struct MemoryBudget {
    reserved: Arc<AtomicUsize>,
}

impl MemoryBudget {
    /// Bytes that are held now beside what each answer holds free.
    pub fn reserved(&self) -> usize {
        self.reserved.load(Ordering::Relaxed)
    }

    /// Reservation of one answer, which holds nothing yet.
    pub fn reservation(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            counted: 0,
        }
    }
}

/// What one answer holds of a [`MemoryBudget`]; dropping it frees the bytes.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    /// Bytes that are counted among those of all.
    counted: usize,
}

impl Reservation {
    /// Notes how many bytes the answer holds now; returns `false`, and notes
    /// nothing, where the budget has no room for them.
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
