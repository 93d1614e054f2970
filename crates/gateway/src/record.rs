//! Log lines: decisions on requests and changes of belief.
//!
//! A line is a JSON object. The number of lines a second is bounded; lines
//! beyond it are counted, and the count is told in the next second.

use serde_json::{Value, json};
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Lines of finished requests in one second; failures have as many again.
const LINES_A_SECOND: u32 = 100;

/// Bounded writer of log lines.
#[derive(Debug)]
pub(crate) struct Record {
    second: Cell<Instant>,
    lines: Cell<u32>,
    left_out: Cell<u64>,
}

impl Record {
    pub(crate) fn new() -> Self {
        Record {
            second: Cell::new(Instant::now()),
            lines: Cell::new(0),
            left_out: Cell::new(0),
        }
    }

    /// Logs a decision on a request.
    pub(crate) fn request(&self, failed: bool, fields: impl FnOnce() -> Value) {
        if self.may_write(failed) {
            log::info!(target: "request", "{}", fields());
        }
    }

    /// Logs a change of what the instance believes.
    #[expect(clippy::unused_self, reason = "one way in for every line")]
    pub(crate) fn belief(&self, fields: &Value) {
        log::info!(target: "belief", "{fields}");
    }

    fn may_write(&self, failed: bool) -> bool {
        if self.second.get().elapsed() >= Duration::from_secs(1) {
            self.second.set(Instant::now());
            self.lines.set(0);
            let left_out = self.left_out.replace(0);
            if left_out > 0 {
                self.belief(&json!({"event": "lines left out", "count": left_out}));
            }
        }
        let limit = LINES_A_SECOND * if failed { 2 } else { 1 };
        if self.lines.get() >= limit {
            self.left_out.set(self.left_out.get() + 1);
            return false;
        }
        self.lines.set(self.lines.get() + 1);
        true
    }
}
