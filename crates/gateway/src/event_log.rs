//! Log of served requests and of changes in the instance's state.
//!
//! Each line is a JSON object. Lines about requests are limited per second;
//! those above the limit are counted, and the count is logged when the next
//! request ends in a later second.

use serde_json::{Value, json};
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Limit on the lines about requests per second; lines about failed requests are
/// written up to twice this number.
const LINES_PER_SECOND: u32 = 100;

/// Writer of log lines with a rate limit for lines about requests.
#[derive(Debug)]
pub(crate) struct EventLog {
    /// Start of the second whose lines are counted.
    window_start: Cell<Instant>,
    /// Lines about requests written in that second.
    lines: Cell<u32>,
    /// Lines not written since a count of them was logged.
    suppressed: Cell<u64>,
}

impl EventLog {
    pub(crate) fn new() -> Self {
        EventLog {
            window_start: Cell::new(Instant::now()),
            lines: Cell::new(0),
            suppressed: Cell::new(0),
        }
    }

    /// Logs the end of a request, unless the rate limit is reached. `fields` is
    /// called only if the line is written.
    pub(crate) fn request(&self, failed: bool, fields: impl FnOnce() -> Value) {
        if self.take_line(failed) {
            log::info!(target: "request", "{}", fields());
        }
    }

    /// Logs a change of the instance's state or of what it knows; not rate-limited.
    #[expect(
        clippy::unused_self,
        reason = "a line is written through an `EventLog`"
    )]
    pub(crate) fn state_change(&self, fields: &Value) {
        log::info!(target: "belief", "{fields}");
    }

    /// Counts a line towards the limit; returns whether it may be written.
    fn take_line(&self, failed: bool) -> bool {
        if self.window_start.get().elapsed() >= Duration::from_secs(1) {
            self.window_start.set(Instant::now());
            self.lines.set(0);
            let suppressed = self.suppressed.replace(0);
            if suppressed > 0 {
                self.state_change(&json!({"event": "lines left out", "count": suppressed}));
            }
        }
        let limit = LINES_PER_SECOND * if failed { 2 } else { 1 };
        if self.lines.get() >= limit {
            self.suppressed.set(self.suppressed.get() + 1);
            return false;
        }
        self.lines.set(self.lines.get() + 1);
        true
    }
}
