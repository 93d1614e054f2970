//! Cold-start limit of a target, which rises with completed work.

use crate::document::Limits;

/// Factor by which the first-token time must jump to mark a target cold again.
const FIRST_TOKEN_JUMP: f64 = 5.0;
/// Share of the last known cache below which a cache counts as collapsed.
const CACHE_COLLAPSE: f64 = 0.2;
/// Cached tokens below which a collapse is not looked for.
const CACHE_FLOOR: u64 = 1_000;
/// Weight of the newest sample in the moving average of first-token time.
const AVERAGE_WEIGHT: f64 = 0.05;
/// Samples before the moving average is trusted.
const AVERAGE_SAMPLES: u32 = 20;
/// Slow first tokens in a row that mark a target cold again.
const SLOW_IN_A_ROW: u32 = 3;

/// How much a target can bear, by what it has completed since it turned cold.
#[derive(Clone, Debug, Default)]
pub struct Ramp {
    boot: Option<u64>,
    base: u64,
    completed: u64,
    cached: u64,
    first_token: f64,
    samples: u32,
    slow: u32,
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
        let done = self.completed.saturating_sub(self.base);
        let grown = done / u64::from(limits.ramp_step.max(1));
        let cap = u64::from(limits.cold_slots) + grown;
        cap.min(u64::from(limits.slots)) as u32
    }

    /// Whether the target bears its full load.
    pub fn is_warm(&self, limits: &Limits) -> bool {
        self.cap(limits) >= limits.slots
    }

    /// Starts the ramp no higher than `cap`, as another steward last told it.
    pub(crate) fn lower_cap(&mut self, cap: u32, limits: &Limits) {
        if cap < self.cap(limits) {
            let grown = u64::from(cap.saturating_sub(limits.cold_slots));
            let done = grown * u64::from(limits.ramp_step.max(1));
            self.base = self.completed.saturating_sub(done);
        }
    }

    /// Counts one completed request and its time to the first token in seconds.
    pub fn record_completed(&mut self, first_token: Option<f64>) {
        self.completed += 1;
        let Some(sample) = first_token else { return };
        self.samples += 1;
        if self.samples <= AVERAGE_SAMPLES {
            self.first_token += (sample - self.first_token) / f64::from(self.samples);
            return;
        }
        if sample > FIRST_TOKEN_JUMP * self.first_token {
            self.slow += 1;
        } else {
            self.slow = 0;
            self.first_token += AVERAGE_WEIGHT * (sample - self.first_token);
        }
        if self.slow >= SLOW_IN_A_ROW {
            self.mark_cold();
        }
    }

    /// Takes a target's own report; returns whether it turned cold again.
    ///
    /// `completed` counts since the boot that `boot` names.
    pub fn record_report(&mut self, boot: u64, completed: u64, cached: u64) -> bool {
        let rebooted = self.boot.is_some_and(|b| b != boot);
        let first = self.boot.is_none();
        let collapsed =
            self.cached >= CACHE_FLOOR && (cached as f64) < CACHE_COLLAPSE * self.cached as f64;
        self.boot = Some(boot);
        self.cached = cached;
        if rebooted {
            self.completed = completed;
            self.mark_cold();
            // Work since the boot counts as work done in this cold start.
            self.base = 0;
            return true;
        }
        if first {
            self.completed = completed;
            self.base = 0;
            return false;
        }
        self.completed = self.completed.max(completed);
        if collapsed {
            self.mark_cold();
        }
        collapsed
    }

    /// Marks the target as cold from now on.
    pub fn mark_cold(&mut self) {
        self.base = self.completed;
        self.samples = 0;
        self.first_token = 0.0;
        self.slow = 0;
    }
}
