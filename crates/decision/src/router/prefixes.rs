//! Statistics of prompt prefixes: where each was last sent, and how many requests
//! with it run at once.

use crate::id::{PrefixHash, TargetId, Time};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Prefixes whose statistics are kept; the oldest is dropped first.
const MAX_TRACKED: usize = 2_000;
/// Time constant with which the count of a prefix's requests decays.
const COUNT_WINDOW: Duration = Duration::from_secs(4);
/// Prefixes that an instance reports to the others: it has a few dozen requests
/// in the window.
const OWN_TOP_PREFIXES: usize = 6;
/// Fractions of one request in which counts are reported.
const HUNDREDTHS: f64 = 100.0;
/// Weight of the newest request in the mean duration of a prefix's requests.
const DURATION_WEIGHT: f64 = 0.3;

#[derive(Clone, Debug, Default)]
struct PrefixStats {
    last_target: Option<TargetId>,
    /// Requests of this instance, each with a weight that decays with its age, as
    /// of `counted_at`.
    count: f64,
    counted_at: Time,
    /// Mean duration of the requests in seconds; 0 where none has completed.
    duration: f64,
}

impl PrefixStats {
    fn count(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.counted_at).as_secs_f64();
        self.count * (-age / COUNT_WINDOW.as_secs_f64()).exp()
    }
}

/// Prompt prefixes that this instance has seen.
#[derive(Clone, Debug, Default)]
pub(super) struct Prefixes {
    by_prefix: BTreeMap<PrefixHash, PrefixStats>,
    /// Prefixes in the order of their first request.
    order: VecDeque<PrefixHash>,
    /// Recent requests of all other instances, in hundredths.
    remote: BTreeMap<PrefixHash, u32>,
}

impl Prefixes {
    /// Returns the target to which this instance last sent a prefix.
    pub(super) fn last_target(&self, prefix: PrefixHash) -> Option<&TargetId> {
        self.by_prefix.get(&prefix)?.last_target.as_ref()
    }

    /// Estimates how many requests with a prefix run at once, over all instances.
    pub(super) fn running(&self, now: Time, prefix: PrefixHash) -> f64 {
        let remote = self.remote.get(&prefix).copied().unwrap_or(0);
        let Some(stats) = self.by_prefix.get(&prefix) else {
            return 0.0;
        };
        let count = stats.count(now) + f64::from(remote) / HUNDREDTHS;
        count / COUNT_WINDOW.as_secs_f64() * stats.duration
    }

    /// Sets the recent requests of all other instances, in hundredths.
    pub(super) fn set_remote_counts(&mut self, remote: BTreeMap<PrefixHash, u32>) {
        self.remote = remote;
    }

    /// Returns the recent requests of the most frequent prefixes, in hundredths.
    pub(super) fn top_counts(&self, now: Time) -> BTreeMap<PrefixHash, u32> {
        let recent = self.order.iter().rev();
        let counts = recent.filter_map(|id| {
            let count = self.by_prefix.get(id)?.count(now) * HUNDREDTHS;
            (count >= HUNDREDTHS / 2.0).then_some((count as u32, *id))
        });
        let mut counts: Vec<(u32, PrefixHash)> = counts.collect();
        counts.sort_unstable_by(|a, b| b.cmp(a));
        counts.truncate(OWN_TOP_PREFIXES);
        counts.into_iter().map(|(count, id)| (id, count)).collect()
    }

    /// Records that a request with a prefix was sent to a target.
    pub(super) fn record_sent(&mut self, now: Time, prefix: PrefixHash, target: &TargetId) {
        if !self.by_prefix.contains_key(&prefix) {
            self.order.push_back(prefix);
            self.by_prefix.insert(prefix, PrefixStats::default());
        }
        if let Some(stats) = self.by_prefix.get_mut(&prefix) {
            stats.count = stats.count(now) + 1.0;
            stats.counted_at = now;
            stats.last_target = Some(target.clone());
        }
        if self.order.len() > MAX_TRACKED
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_prefix.remove(&oldest);
        }
    }

    /// Records how long a completed request with a prefix ran.
    pub(super) fn record_duration(&mut self, prefix: PrefixHash, duration: Duration) {
        let Some(stats) = self.by_prefix.get_mut(&prefix) else {
            return;
        };
        let duration = duration.as_secs_f64();
        stats.duration = match stats.duration {
            0.0 => duration,
            mean => mean + DURATION_WEIGHT * (duration - mean),
        };
    }
}
