//! Which instances read a table of the store, and when.

use super::Fleet;
use crate::id::Time;
use std::time::Duration;

/// Silence of the hubs at which an instance reads for itself: four pulses.
const SILENT: Duration = Duration::from_millis(800);
/// Time after its start for which an instance leaves what it can be told to
/// others: seeds are asked several times in it, and a pulse comes.
const SETTLING: Duration = Duration::from_millis(400);
/// Age beyond the hubs' that an own copy may reach before it is read: news and
/// the pulse that proves it come within a few pulses.
const COPY_SLACK: Duration = Duration::from_millis(400);

/// How a table is followed.
#[derive(Clone, Copy, Debug)]
pub struct ReadPolicy {
    /// Name of the table, by which its readers are chosen.
    pub table: &'static str,
    /// Hubs that follow it.
    pub readers: usize,
    /// Longest wait of one call for changes: with the pulses on top, copies stay
    /// younger than `old`.
    pub poll_wait: Duration,
    /// Estimated age of the hubs' copies at which an instance reads for itself.
    pub max_age: Duration,
    /// Whether an instance that starts reads it at once, because others can't
    /// prove its age to an instance that they have never heard.
    pub read_at_start: bool,
}

impl Fleet {
    /// Whether this instance leaves what it needs to its seeds for now.
    pub fn is_settling(&self, now: Time) -> bool {
        self.has_seeds && now < SETTLING
    }

    /// Why this instance reads a table now, if it does: some hubs follow it,
    /// others read only while no hub has new copies, or while their own copy
    /// falls behind. `copy` is the moment at which its own was the newest.
    pub fn reason_to_read(
        &self,
        now: Time,
        table: usize,
        pace: &ReadPolicy,
        copy: Option<Time>,
    ) -> Option<&'static str> {
        let is_settling = self.is_settling(now);
        // The clock starts with the process.
        let silence = self.hub_silence(now).unwrap_or(now);
        let age = self.hub_copy_age(now, table).unwrap_or(now);
        let behind = copy.map(|at| now.saturating_sub(at));
        match () {
            () if copy.is_none() && (pace.read_at_start || !is_settling) => Some("nothing known"),
            () if is_settling => None,
            () if self.is_chosen_hub(now, pace.table, pace.readers) => Some("hub"),
            () if silence > SILENT => Some("hubs silent"),
            () if age > pace.max_age => Some("hubs behind"),
            () if behind.is_none_or(|b| b > pace.max_age + COPY_SLACK) => Some("copy behind"),
            () => None,
        }
    }
}
