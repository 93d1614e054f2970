//! Budget of retries: a share of the requests that came first.

use crate::id::Time;

/// Token bucket that first attempts fill and retries draw on.
///
/// A retry budget as a share of first attempts keeps a fault from multiplying
/// the load, however many callers retry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    limit: f64,
    ratio: f64,
    refill: f64,
    updated_at: Time,
}

impl RetryBudget {
    /// Makes a full budget.
    ///
    /// `ratio` is the tokens that each first attempt adds, `refill` the tokens
    /// added per second and `limit` the most that are kept.
    pub fn new(ratio: f64, refill: f64, limit: f64) -> Self {
        RetryBudget {
            tokens: limit,
            limit,
            ratio,
            refill,
            updated_at: Time::ZERO,
        }
    }

    /// Changes the refill and the limit, as the share of an instance changes.
    pub fn set_limits(&mut self, refill: f64, limit: f64) {
        self.refill = refill;
        self.limit = limit;
        self.tokens = self.tokens.min(limit);
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.limit);
    }

    /// Takes the token of one retry, or returns false where none is left.
    pub fn withdraw(&mut self, now: Time) -> bool {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now.max(self.updated_at);
        self.tokens = (self.tokens + elapsed * self.refill).min(self.limit);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
