//! Limits on what an instance gives to others of the store's tables.

use crate::id::{InstanceId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// Bytes that may be given at once, by the bound of 1 MiB on a message: a table
/// of 150 targets to each of 30 instances that start together. A larger table
/// is not given.
/// Bytes a second that may be given in the long run: half of what the slowest
/// machines' links of 10 Mbit/s carry.
const BURST_BYTES: f64 = 900_000.0;
const BYTES_PER_SECOND: f64 = 600_000.0;
/// Time after which the same table is given to the same instance again: it may
/// ask several times before the first one arrives.
const RESEND_AFTER: Duration = Duration::from_secs(2);

/// What was given to whom.
///
/// Tables of thousands of rows, asked for by hundreds of instances that start
/// together, would fill every connection, and pulses with them. Who is not
/// given one reads the store.
#[derive(Clone, Debug, Default)]
pub struct TransferLimiter {
    used: f64,
    updated_at: Time,
    sent: BTreeMap<(InstanceId, u8), Time>,
}

impl TransferLimiter {
    /// Whether so many bytes may be given now; they count as given then.
    pub fn allow_bytes(&mut self, now: Time, bytes: usize) -> bool {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.used = (self.used - elapsed * BYTES_PER_SECOND).max(0.0);
        self.updated_at = now;
        let fits = self.used + bytes as f64 <= BURST_BYTES;
        if fits {
            self.used += bytes as f64;
        }
        fits
    }

    /// Whether a whole table may be given to an instance now, which may have
    /// one on its way; it counts as given then.
    pub fn allow_full_table(&mut self, now: Time, to: &InstanceId, table: u8) -> bool {
        self.sent
            .retain(|_, at| now.saturating_sub(*at) < RESEND_AFTER);
        let key = (to.clone(), table);
        let is_allowed = !self.sent.contains_key(&key);
        if is_allowed {
            self.sent.insert(key, now);
        }
        is_allowed
    }

    /// Notes that a connection was lost, with what was on its way.
    pub fn peer_lost(&mut self, to: &str) {
        self.sent.retain(|(id, _), _| id != to);
    }
}
