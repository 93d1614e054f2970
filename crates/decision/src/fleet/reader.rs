//! Which instances read a table of the store, and when.

use super::Fleet;
use crate::id::Time;
use std::time::Duration;

/// Silence of the hubs at which an instance reads for itself: four pulses.
const MAX_HUB_SILENCE: Duration = Duration::from_millis(800);
/// Time after its start for which an instance leaves what it can be told to
/// others: seeds are asked several times in it, and a pulse comes.
const SEED_WAIT: Duration = Duration::from_millis(400);
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
        self.has_seeds && now < SEED_WAIT
    }

    /// Why this instance reads a table now, if it does: some hubs follow it,
    /// others read only while no hub has new copies, or while their own copy
    /// falls behind. `copy` is the moment at which its own was the newest.
    pub fn reason_to_read(
        &self,
        now: Time,
        table: usize,
        policy: &ReadPolicy,
        copy_at: Option<Time>,
    ) -> Option<&'static str> {
        let is_settling = self.is_settling(now);
        // The clock starts with the process.
        let silence = self.hub_silence(now).unwrap_or(now);
        let hub_age = self.hub_copy_age(now, table).unwrap_or(now);
        let own_age = copy_at.map(|at| now.saturating_sub(at));
        match () {
            () if copy_at.is_none() && (policy.read_at_start || !is_settling) => {
                Some("nothing known")
            }
            () if is_settling => None,
            () if self.is_chosen_hub(now, policy.table, policy.readers) => Some("hub"),
            () if silence > MAX_HUB_SILENCE => Some("hubs silent"),
            () if hub_age > policy.max_age => Some("hubs behind"),
            () if own_age.is_none_or(|age| age > policy.max_age + COPY_SLACK) => {
                Some("copy behind")
            }
            () => None,
        }
    }
}
