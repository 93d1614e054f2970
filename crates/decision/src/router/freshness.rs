//! How long a configuration may be relied on without hearing from the store.

use crate::id::Time;
use std::time::Duration;

/// Time at which the configuration was last proved to be the newest one.
///
/// Keys fail closed: an instance that cannot prove that its configuration was the
/// newest one less than the maximum age ago refuses every request with a key.
/// Times must come from a clock that counts the time for which the machine was
/// suspended.
#[derive(Clone, Debug)]
pub struct Freshness {
    max_age: Duration,
    verified_at: Option<Time>,
    /// Time until which no proof counts.
    suspended_until: Time,
}

impl Freshness {
    /// Creates the state of a configuration that has not been proved yet.
    pub fn new(max_age: Duration) -> Self {
        Freshness {
            max_age,
            verified_at: None,
            suspended_until: Time::ZERO,
        }
    }

    /// Records that the configuration was the newest one at `at`, the start of
    /// the read that proved it.
    pub fn set_verified(&mut self, at: Time) {
        self.verified_at = self.verified_at.max(Some(at));
    }

    /// Lets no proof count until a time.
    pub(super) fn suspend(&mut self, until: Time) {
        self.suspended_until = until;
    }

    /// Lets the latest proof count again.
    pub(super) fn resume(&mut self) {
        self.suspended_until = Time::ZERO;
    }

    /// Returns the time of the latest proof.
    pub fn verified_at(&self) -> Option<Time> {
        self.verified_at
    }

    /// Returns the time since the latest proof.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.verified_at.map(|at| now.saturating_sub(at))
    }

    /// Returns whether the configuration is new enough to accept keys.
    pub fn is_fresh(&self, now: Time) -> bool {
        let is_suspended = now < self.suspended_until;
        !is_suspended && self.age(now).is_some_and(|age| age < self.max_age)
    }
}
