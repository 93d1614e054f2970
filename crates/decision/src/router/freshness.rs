//! How long a configuration may be relied on without news from the store.

use crate::id::Time;
use std::time::Duration;

/// Proof that a configuration was the newest at some moment.
///
/// Keys fail closed: an instance that cannot show that its configuration was
/// the newest within the bound refuses every request with a key. Times must
/// come from a clock that counts suspends.
#[derive(Clone, Debug)]
pub struct Freshness {
    max_age: Duration,
    verified_at: Option<Time>,
}

impl Freshness {
    /// Makes one that has no proof yet.
    pub fn new(max_age: Duration) -> Self {
        Freshness {
            max_age,
            verified_at: None,
        }
    }

    /// Notes that the configuration was the newest at `at`, the start of the
    /// read that showed it.
    pub fn set_verified(&mut self, at: Time) {
        self.verified_at = self.verified_at.max(Some(at));
    }

    /// Moment of the latest proof.
    pub fn verified_at(&self) -> Option<Time> {
        self.verified_at
    }

    /// Time since the latest proof.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.verified_at.map(|at| now.saturating_sub(at))
    }

    /// Whether keys may be honoured.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.age(now).is_some_and(|age| age < self.max_age)
    }
}
