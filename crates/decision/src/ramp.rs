//! Limit on the slots of a cold target, which rises with the requests it completes.

use crate::document::Limits;

/// Multiple of the mean time to the first token above which a request counts as
/// slow.
const SLOW_FACTOR: f64 = 5.0;
/// Share of the cached tokens of the previous report below which the cache counts
/// as lost.
const CACHE_LOSS_SHARE: f64 = 0.2;
/// Least cached tokens in the previous report for a loss to be looked for.
const MIN_CACHED_TOKENS: u64 = 1_000;
/// Weight of the newest sample in the moving average of the time to the first
/// token.
const AVERAGE_WEIGHT: f64 = 0.05;
/// Samples whose plain mean starts the moving average; none of them counts as
/// slow.
const INITIAL_SAMPLES: u32 = 20;
/// Slow requests in a row that mark a target as cold.
const MAX_SLOW_STREAK: u32 = 3;

/// Slots that a target can take, by the requests it completed since it was last
/// marked as cold.
#[derive(Clone, Debug, Default)]
pub struct Ramp {
    /// Number that the target reports for its current boot.
    boot: Option<u64>,
    /// Value of `completed` from which the ramp starts.
    cold_base: u64,
    /// Requests that the target completed.
    completed: u64,
    /// Tokens in the target's prefix cache.
    cached: u64,
    /// Mean time to the first token in seconds.
    mean_ttft: f64,
    samples: u32,
    slow_streak: u32,
}

impl Ramp {
    /// Creates the ramp of a target that can take its full load from the start.
    pub fn warm(limits: &Limits) -> Self {
        Ramp {
            completed: u64::from(limits.slots) * u64::from(limits.ramp_step),
            ..Ramp::default()
        }
    }

    /// Returns the slots that the target can take now.
    pub fn cap(&self, limits: &Limits) -> u32 {
        let completed = self.completed.saturating_sub(self.cold_base);
        let gained = completed / u64::from(limits.ramp_step.max(1));
        let cap = u64::from(limits.cold_slots) + gained;
        cap.min(u64::from(limits.slots)) as u32
    }

    /// Returns whether the target can take its full load.
    pub fn is_warm(&self, limits: &Limits) -> bool {
        self.cap(limits) >= limits.slots
    }

    /// Lowers the cap to the one that the former steward last reported, if that is
    /// lower.
    pub(crate) fn lower_cap(&mut self, cap: u32, limits: &Limits) {
        if cap < self.cap(limits) {
            let gained = u64::from(cap.saturating_sub(limits.cold_slots));
            let completed = gained * u64::from(limits.ramp_step.max(1));
            self.cold_base = self.completed.saturating_sub(completed);
        }
    }

    /// Records a completed request and its time to the first token in seconds.
    pub fn record_completed(&mut self, ttft: Option<f64>) {
        self.completed += 1;
        let Some(sample) = ttft else { return };
        self.samples += 1;
        if self.samples <= INITIAL_SAMPLES {
            self.mean_ttft += (sample - self.mean_ttft) / f64::from(self.samples);
            return;
        }
        if sample > SLOW_FACTOR * self.mean_ttft {
            self.slow_streak += 1;
        } else {
            self.slow_streak = 0;
            self.mean_ttft += AVERAGE_WEIGHT * (sample - self.mean_ttft);
        }
        if self.slow_streak >= MAX_SLOW_STREAK {
            self.mark_cold();
        }
    }

    /// Records a target's own report. Returns whether it turned cold by a reboot or
    /// the loss of its cache.
    ///
    /// `completed` counts the requests since the boot whose number is `boot`;
    /// `cached` is the number of tokens in the prefix cache.
    pub fn record_report(&mut self, boot: u64, completed: u64, cached: u64) -> bool {
        let has_rebooted = self.boot.is_some_and(|b| b != boot);
        let is_first = self.boot.is_none();
        let has_lost_cache = self.cached >= MIN_CACHED_TOKENS
            && (cached as f64) < CACHE_LOSS_SHARE * self.cached as f64;
        self.boot = Some(boot);
        self.cached = cached;
        if has_rebooted {
            self.completed = completed;
            self.mark_cold();
            // Requests completed since the boot count for this cold start.
            self.cold_base = 0;
            return true;
        }
        if is_first {
            self.completed = completed;
            self.cold_base = 0;
            return false;
        }
        self.completed = self.completed.max(completed);
        if has_lost_cache {
            self.mark_cold();
        }
        has_lost_cache
    }

    /// Marks the target as cold: the ramp starts anew.
    pub fn mark_cold(&mut self) {
        self.cold_base = self.completed;
        self.samples = 0;
        self.mean_ttft = 0.0;
        self.slow_streak = 0;
    }
}
