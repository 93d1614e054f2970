//! Memory for answers that are held until they are whole.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that each answer may hold, whatever the others hold.
const SHARE_FREE: usize = 64 << 10;
/// Bytes that all answers may hold together besides.
const HELD_MAX: usize = 24 << 20;

/// Bytes that all answers of one process may hold together.
///
/// Clones share one count.
#[derive(Clone, Debug, Default)]
pub struct Allowance {
    held: Arc<AtomicUsize>,
}

impl Allowance {
    /// Bytes that are held now beside what each answer holds free.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Share of one answer, which holds nothing yet.
    pub fn share(&self) -> Share {
        Share {
            allowance: self.clone(),
            counted: 0,
        }
    }
}

/// What one answer holds of an [`Allowance`]; dropping it frees the bytes.
#[derive(Debug)]
pub struct Share {
    allowance: Allowance,
    /// Bytes that are counted among those of all.
    counted: usize,
}

impl Share {
    /// Notes how many bytes the answer holds now; returns `false`, and notes
    /// nothing, where the allowance has no room for them.
    pub fn hold(&mut self, bytes: usize) -> bool {
        let (counted, wanted) = (self.counted, bytes.saturating_sub(SHARE_FREE));
        let change = |held: usize| {
            let all = held - counted + wanted;
            (all <= HELD_MAX || wanted <= counted).then_some(all)
        };
        let held = &self.allowance.held;
        let changed = held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, change);
        if changed.is_ok() {
            self.counted = wanted;
        }
        changed.is_ok()
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.allowance
            .held
            .fetch_sub(self.counted, Ordering::Relaxed);
    }
}
