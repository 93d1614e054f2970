//! Limits on the table data that an instance sends to others.

use crate::id::{InstanceId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// Bytes that may be sent at once, within the bound of 1 MiB on a message: a table
/// of 150 targets for each of 30 instances that start together.
const BURST_BYTES: f64 = 900_000.0;
/// Speed of the link that an instance reckons with where its settings name none.
pub const LINK_MBPS: f64 = 10.0;
/// Bytes per second of each Mbit/s of the link that may be sent in the long run: about
/// half of its capacity.
const BYTES_PER_MBIT: f64 = 60_000.0;
/// Seconds of the rate that may be sent at once over a fast link.
const BURST_SECONDS: f64 = 0.2;
/// Time after which the same table may be sent to the same instance again: the
/// instance may ask several times before the first one arrives.
const RESEND_AFTER: Duration = Duration::from_secs(2);

/// Limiter of the table data that this instance sends, over all receivers.
///
/// Tables of thousands of rows, requested by hundreds of instances that start
/// together, would fill every connection and delay the pulses on it. An instance
/// whose request is not served reads the store instead.
#[derive(Clone, Debug)]
pub struct TransferLimiter {
    /// Bytes per second that may be sent in the long run.
    rate: f64,
    /// Bytes of the burst that are in use as of `updated_at`.
    used: f64,
    updated_at: Time,
    /// Time at which each table was last sent to each instance.
    sent: BTreeMap<(InstanceId, u8), Time>,
}

impl Default for TransferLimiter {
    fn default() -> Self {
        TransferLimiter::new(LINK_MBPS)
    }
}

impl TransferLimiter {
    /// Creates the limiter of an instance with a link of so many Mbit/s.
    pub fn new(link_mbps: f64) -> Self {
        TransferLimiter {
            rate: link_mbps * BYTES_PER_MBIT,
            used: 0.0,
            updated_at: Time::ZERO,
            sent: BTreeMap::new(),
        }
    }

    /// Returns whether an update of this many bytes may be sent as one message.
    pub fn fits_message(bytes: usize) -> bool {
        bytes as f64 <= BURST_BYTES
    }

    /// Returns whether this many bytes may be sent now, and if so counts them as
    /// sent.
    pub fn allow_bytes(&mut self, now: Time, bytes: usize) -> bool {
        self.settle(now);
        let fits = self.used + bytes as f64 <= BURST_BYTES.max(self.rate * BURST_SECONDS);
        if fits {
            self.used += bytes as f64;
        }
        fits
    }

    /// Counts bytes as sent that are sent in any case.
    pub fn count_bytes(&mut self, now: Time, bytes: usize) {
        self.settle(now);
        self.used += bytes as f64;
    }

    /// Takes off what the rate has made room for since the last time.
    fn settle(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.used = (self.used - elapsed * self.rate).max(0.0);
        self.updated_at = now;
    }

    /// Returns whether a complete table may be sent to an instance now, and if so
    /// records it as sent. It may not while an earlier one may still be on its way.
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

    /// Records that the connection to an instance was lost, with any table that was
    /// on its way.
    pub fn peer_lost(&mut self, to: &str) {
        self.sent.retain(|(id, _), _| id != to);
    }
}
