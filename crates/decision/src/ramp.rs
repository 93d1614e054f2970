//! Cold-start limit of a target, which rises with completed work.

use crate::document::Limits;

/// Factor by which the first-token time must jump to mark a target cold again.
const SLOW_FACTOR: f64 = 5.0;
/// Share of the last known cache below which a cache counts as collapsed.
const CACHE_LOSS_SHARE: f64 = 0.2;
/// Cached tokens below which a collapse is not looked for.
const MIN_CACHED_TOKENS: u64 = 1_000;
/// Weight of the newest sample in the moving average of first-token time.
const AVERAGE_WEIGHT: f64 = 0.05;
/// Samples before the moving average is trusted.
const INITIAL_SAMPLES: u32 = 20;
/// Slow first tokens in a row that mark a target cold again.
const MAX_SLOW_STREAK: u32 = 3;

/// How much a target can bear, by what it has completed since it turned cold.
#[derive(Clone, Debug, Default)]
pub struct Ramp {
    boot: Option<u64>,
    cold_base: u64,
    completed: u64,
    cached: u64,
    mean_ttft: f64,
    samples: u32,
    slow_streak: u32,
}

impl Ramp {
    /// A target that bears its full load from the start.
    pub fn warm(limits: &Limits) -> Self {
        Ramp {
            completed: u64::from(limits.slots) * u64::from(limits.ramp_step),
            ..Ramp::default()
        }
    }

    /// Slots that the target bears now.
    pub fn cap(&self, limits: &Limits) -> u32 {
        let completed = self.completed.saturating_sub(self.cold_base);
        let gained = completed / u64::from(limits.ramp_step.max(1));
        let cap = u64::from(limits.cold_slots) + gained;
        cap.min(u64::from(limits.slots)) as u32
    }

    /// Whether the target bears its full load.
    pub fn is_warm(&self, limits: &Limits) -> bool {
        self.cap(limits) >= limits.slots
    }

    /// Starts the ramp no higher than `cap`, as another steward last told it.
    pub(crate) fn lower_cap(&mut self, cap: u32, limits: &Limits) {
        if cap < self.cap(limits) {
            let gained = u64::from(cap.saturating_sub(limits.cold_slots));
            let completed = gained * u64::from(limits.ramp_step.max(1));
            self.cold_base = self.completed.saturating_sub(completed);
        }
    }

    /// Counts one completed request and its time to the first token in seconds.
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

    /// Takes a target's own report; returns whether it turned cold again.
    ///
    /// `completed` counts since the boot that `boot` names.
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
            // Work since the boot counts as work done in this cold start.
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

    /// Marks the target as cold from now on.
    pub fn mark_cold(&mut self) {
        self.cold_base = self.completed;
        self.samples = 0;
        self.mean_ttft = 0.0;
        self.slow_streak = 0;
    }
}
