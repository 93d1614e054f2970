//! Monotonic clock that includes the time for which the machine was suspended.

use decision::Time;
use nix::sys::time::TimeValLike;
use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Time since the clock was created, at the start of the process.
///
/// Unlike [`std::time::Instant`], it advances while the machine is suspended, so
/// that a configuration ages during a suspend and API keys are rejected once it
/// is too old.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Duration,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Clock {
            start: since_boot(),
        }
    }

    pub(crate) fn now(&self) -> Time {
        self.time_of(since_boot())
    }

    /// Returns the time at which [`since_boot`] returned `time`.
    pub(crate) fn time_of(&self, time: Duration) -> Time {
        time.saturating_sub(self.start)
    }
}

/// Returns the time since the machine started, with the time for which it was suspended.
pub(crate) fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    // The call fails only if the kernel lacks the clock.
    let nanos = time.map_or(0, |t| t.num_nanoseconds());
    Duration::from_nanos(nanos.unsigned_abs())
}
