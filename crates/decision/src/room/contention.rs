//! Whether a service is contended, so that its line is open.

use crate::id::Time;
use std::time::Duration;

/// Share of a service's slots in use, as pulses tell, from which its line is open.
const OPEN_SHARE: f64 = 0.6;
/// Time for which a line stays open after the last sign of contention.
const OPEN_TIME: Duration = Duration::from_secs(3);
/// Time for which pulses tell of a refusal by a target.
const REPORT_TIME: Duration = Duration::from_secs(1);

/// Signs of contention of one service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Contention {
    open_until: Time,
    report_until: Time,
}

impl Contention {
    pub(super) fn is_open(&self, now: Time) -> bool {
        now < self.open_until
    }

    /// Returns whether pulses report the contention, because a target has turned a
    /// request of this instance away.
    pub(super) fn is_reported(&self, now: Time) -> bool {
        now < self.report_until
    }

    /// Records that a target of the service turned a request away.
    pub(super) fn record_refusal(&mut self, now: Time) {
        self.report_until = now + REPORT_TIME;
        self.open(now);
    }

    /// Records what pulses tell: the share of the slots in use, and whether another
    /// instance reports contention.
    pub(super) fn observe(&mut self, now: Time, share: f64, is_reported: bool) {
        if is_reported || share >= OPEN_SHARE {
            self.open(now);
        }
    }

    fn open(&mut self, now: Time) {
        self.open_until = now + OPEN_TIME;
    }
}
