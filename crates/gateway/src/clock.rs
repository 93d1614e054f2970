//! Time since the start of the process, suspends included.

use decision::Time;
use nix::sys::time::TimeValLike;
use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// A clock that counts while the machine is suspended, which
/// [`std::time::Instant`] does not: the age of a configuration must grow then.
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
        since_boot().saturating_sub(self.start)
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    // The call fails only for clocks that the kernel doesn't have.
    let nanos = time.map_or(0, |t| t.num_nanoseconds());
    Duration::from_nanos(nanos.unsigned_abs())
}
