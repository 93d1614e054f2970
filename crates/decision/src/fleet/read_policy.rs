//! Which instances read a table of the store, and when.

use super::Fleet;
use crate::id::Time;
use std::time::Duration;

/// Longest silence of the hubs before an instance reads the store itself: four
/// pulses.
const MAX_HUB_SILENCE: Duration = Duration::from_millis(800);
/// Time after its start in which an instance that joins through seeds leaves it to
/// them to send what it needs: it can ask seeds several times, and a pulse arrives.
const SEED_WAIT: Duration = Duration::from_millis(400);
/// Age by which an instance's copy may exceed [`ReadPolicy::max_age`] before the
/// instance reads the table itself: an update and the pulse that proves it arrive
/// within a few pulses.
const COPY_SLACK: Duration = Duration::from_millis(400);

/// How the instances follow a table of the store.
#[derive(Clone, Copy, Debug)]
pub struct ReadPolicy {
    /// Name of the table, from which the hubs that read it are chosen.
    pub table: &'static str,
    /// Number of hubs that read it.
    pub readers: usize,
    /// Longest time for which one call waits for changes. With the delay of the
    /// pulses on top, copies stay younger than `max_age`.
    pub poll_wait: Duration,
    /// Time for which a reader leaves the feed alone after a poll that returned
    /// changes, so that the next poll returns many at once.
    pub batch_time: Duration,
    /// Greatest estimated age of the hubs' copies before other instances read the
    /// table themselves.
    pub max_age: Duration,
    /// Whether a starting instance reads the table at once, because others cannot
    /// prove the age of their copies to an instance that they have not heard from.
    pub read_at_start: bool,
}

impl ReadPolicy {
    /// Returns how long a reader pauses before the next poll, and how long that poll
    /// waits for changes, so that copies grow no older than without a pause.
    pub fn next_poll(&self, had_changes: bool) -> (Duration, Duration) {
        let pause = if had_changes {
            self.batch_time
        } else {
            Duration::ZERO
        };
        (pause, self.poll_wait.saturating_sub(pause))
    }
}

impl Fleet {
    /// Returns whether this instance still waits for its seeds after its start.
    pub fn waits_for_seeds(&self, now: Time) -> bool {
        self.has_seeds && now < SEED_WAIT
    }

    /// Returns whether this instance has to hear from another one before it relies on
    /// the store alone: others may know of a later era or a newer configuration.
    pub fn waits_for_news(&self, now: Time) -> bool {
        self.has_other_seeds && !self.is_informed && now < SEED_WAIT
    }

    /// Returns why this instance reads a table now, or `None` if it does not.
    ///
    /// The chosen hubs follow the table. Other instances read it only while no hub
    /// has a new copy, or where their own copy falls behind. `copy_at` is the time
    /// at which the own copy was the newest version; `None` without a copy.
    pub fn reason_to_read(
        &self,
        now: Time,
        table: usize,
        policy: &ReadPolicy,
        copy_at: Option<Time>,
    ) -> Option<&'static str> {
        let waits_for_seeds = self.waits_for_seeds(now);
        // The clock starts with the process, so `now` is the time since its start.
        let silence = self.hub_silence(now).unwrap_or(now);
        let hub_age = self.hub_copy_age(now, table).unwrap_or(now);
        let own_age = copy_at.map(|at| now.saturating_sub(at));
        match () {
            () if copy_at.is_none() && (policy.read_at_start || !waits_for_seeds) => {
                Some("nothing known")
            }
            () if waits_for_seeds => None,
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
