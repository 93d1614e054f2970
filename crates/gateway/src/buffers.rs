//! Bytes of answers that are held until they are whole.

use crate::Shared;

/// Bytes that each answer may hold, whatever the others hold.
const ANSWER_FREE: usize = 64 << 10;
/// Bytes that all answers may hold together besides.
const HELD_MAX: usize = 24 << 20;

/// What one answer holds.
pub(crate) struct Buffer {
    gateway: Shared,
    /// Bytes that are counted among those of all.
    counted: usize,
}

impl Buffer {
    pub(crate) fn new(gateway: &Shared) -> Self {
        Buffer {
            gateway: gateway.clone(),
            counted: 0,
        }
    }

    /// Notes how many bytes the answer holds now; returns `false` where the
    /// memory for answers has no room for them.
    pub(crate) fn hold(&mut self, bytes: usize) -> bool {
        let wanted = bytes.saturating_sub(ANSWER_FREE);
        let held = &self.gateway.held_bytes;
        let all = held.get() - self.counted + wanted;
        if all > HELD_MAX && wanted > self.counted {
            self.gateway.metrics.count("answers_given_up", "memory");
            return false;
        }
        held.set(all);
        self.counted = wanted;
        true
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let held = &self.gateway.held_bytes;
        held.set(held.get() - self.counted);
    }
}
