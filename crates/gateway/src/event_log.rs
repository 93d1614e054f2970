//! Log lines: decisions on requests and changes of belief.
//!
//! A line is a JSON object. The number of lines a second is bounded; lines
//! beyond it are counted, and the count is told in the next second.

use serde_json::{Value, json};
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Lines of finished requests in one second; failures have as many again.
const LINES_PER_SECOND: u32 = 100;

/// Bounded writer of log lines.
#[derive(Debug)]
pub(crate) struct EventLog {
    window_start: Cell<Instant>,
    lines: Cell<u32>,
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

    /// Logs a decision on a request.
    pub(crate) fn request(&self, failed: bool, fields: impl FnOnce() -> Value) {
        if self.take_line(failed) {
            log::info!(target: "request", "{}", fields());
        }
    }

    /// Logs a change of what the instance believes.
    #[expect(clippy::unused_self, reason = "one way in for every line")]
    pub(crate) fn state_change(&self, fields: &Value) {
        log::info!(target: "belief", "{fields}");
    }

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
