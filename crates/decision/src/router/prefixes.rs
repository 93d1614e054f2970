//! What an instance remembers of the subjects of prompts: where each ran last,
//! and how much of the pool it keeps busy.

use crate::id::{TargetId, Time};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Prefixes that are remembered; the oldest is forgotten first.
const SUBJECTS: usize = 2_000;
/// Time over which requests of a subject are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Prefixes that an instance tells to the others: an instance has a few dozen
/// requests in the window.
const TOLD: usize = 6;
/// Parts of one request in which counts are told.
const HUNDREDTHS: f64 = 100.0;
/// Weight of the newest request in the mean length of a subject's requests.
const LENGTH_WEIGHT: f64 = 0.3;

#[derive(Clone, Debug, Default)]
struct PrefixStats {
    place: Option<TargetId>,
    /// Requests, each counting less with its age.
    count: f64,
    at: Time,
    /// Mean length of its requests in seconds.
    length: f64,
}

impl PrefixStats {
    fn count(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.count * (-age / WINDOW.as_secs_f64()).exp()
    }
}

/// Prefixes of prompts that this instance has seen.
#[derive(Clone, Debug, Default)]
pub(super) struct Prefixes {
    by_subject: BTreeMap<u64, PrefixStats>,
    order: VecDeque<u64>,
    /// Recent requests of all other instances, in hundredths.
    others: BTreeMap<u64, u32>,
}

impl Prefixes {
    /// Target at which a subject ran last.
    pub(super) fn last_target(&self, subject: u64) -> Option<&TargetId> {
        self.by_subject.get(&subject)?.place.as_ref()
    }

    /// Requests of a subject that run at once at all instances, on average.
    pub(super) fn running(&self, now: Time, subject: u64) -> f64 {
        let others = self.others.get(&subject).copied().unwrap_or(0);
        let Some(subject) = self.by_subject.get(&subject) else {
            return 0.0;
        };
        let count = subject.count(now) + f64::from(others) / HUNDREDTHS;
        count / WINDOW.as_secs_f64() * subject.length
    }

    /// Takes the recent requests of all other instances.
    pub(super) fn set_remote_counts(&mut self, others: BTreeMap<u64, u32>) {
        self.others = others;
    }

    /// Recent requests of the most frequent subjects, in hundredths.
    pub(super) fn top_counts(&self, now: Time) -> BTreeMap<u64, u32> {
        let recent = self.order.iter().rev();
        let counts = recent.filter_map(|id| {
            let count = self.by_subject.get(id)?.count(now) * HUNDREDTHS;
            (count >= HUNDREDTHS / 2.0).then_some((count as u32, *id))
        });
        let mut counts: Vec<(u32, u64)> = counts.collect();
        counts.sort_unstable_by(|a, b| b.cmp(a));
        counts.truncate(TOLD);
        counts.into_iter().map(|(count, id)| (id, count)).collect()
    }

    /// Notes a request of a subject at a target.
    pub(super) fn record_sent(&mut self, now: Time, subject: u64, target: &TargetId) {
        if !self.by_subject.contains_key(&subject) {
            self.order.push_back(subject);
            self.by_subject.insert(subject, PrefixStats::default());
        }
        if let Some(subject) = self.by_subject.get_mut(&subject) {
            subject.count = subject.count(now) + 1.0;
            subject.at = now;
            subject.place = Some(target.clone());
        }
        if self.order.len() > SUBJECTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_subject.remove(&oldest);
        }
    }

    /// Notes how long a request of a subject ran.
    pub(super) fn record_duration(&mut self, subject: u64, length: Duration) {
        let Some(subject) = self.by_subject.get_mut(&subject) else {
            return;
        };
        let length = length.as_secs_f64();
        subject.length = match subject.length {
            0.0 => length,
            mean => mean + LENGTH_WEIGHT * (length - mean),
        };
    }
}
