//! Budget that limits retries to a share of the first attempts.

use crate::id::Time;

/// Token bucket that first attempts fill and retries draw on.
///
/// Retries that are limited to a share of the first attempts can't multiply the
/// load during a fault, however many callers retry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    /// Most tokens that the bucket holds.
    limit: f64,
    /// Tokens per first attempt.
    ratio: f64,
    /// Tokens per second.
    refill: f64,
    updated_at: Time,
}

impl RetryBudget {
    /// Creates a full budget.
    ///
    /// Each first attempt adds `ratio` tokens and each second adds `refill`; the
    /// budget holds at most `limit`.
    pub fn new(ratio: f64, refill: f64, limit: f64) -> Self {
        RetryBudget {
            tokens: limit,
            limit,
            ratio,
            refill,
            updated_at: Time::ZERO,
        }
    }

    /// Changes refill and limit when an instance's share of the fleet's budget
    /// changes.
    pub fn set_limits(&mut self, refill: f64, limit: f64) {
        self.refill = refill;
        self.limit = limit;
        self.tokens = self.tokens.min(limit);
    }

    /// Adds the tokens of a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.limit);
    }

    /// Takes the token of one retry; returns `false` where none is left.
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

    /// Puts back the token of a retry that was not sent.
    pub fn put_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.limit);
    }
}
