//! How fast targets work, by their own word and by their responses.
//!
//! Answers two patterns of load. Some targets of a pool work several times slower
//! than the others for seconds, while requests keep coming to them. And targets that
//! have just started, turned cold or recovered are flooded by everything that ranks
//! them first, or left idle for a fixed time.
//!
//! Instances share their samples, so that all of them find the same pace.

use crate::capacity::USUAL_PACE;
use crate::id::Time;
use std::time::Duration;

/// Time constant with which samples lose their weight.
const SAMPLE_WINDOW: Duration = Duration::from_secs(1);
/// Weight of samples below which a target's pace is not determined by them.
const MIN_SAMPLES: f64 = 3.0;
/// Pace in hundredths up to which a target counts as working at the usual pace.
const USUAL_LIMIT: f64 = 135.0;
/// Largest pace in hundredths, so that a slow target keeps some requests by which its
/// recovery is noticed.
const MAX_PACE: f64 = 800.0;
/// Time constant with which a target returns to the usual pace for want of samples.
const FORGET_TIME: Duration = Duration::from_secs(2);
/// Weight of the newest pace in the moving average of those that a target tells.
const TOLD_WEIGHT: f64 = 0.3;
/// Age up to which a told pace is used.
const MAX_TOLD_AGE: Duration = Duration::from_secs(1);
/// Requests that a target may have when its warm-up begins.
const WARMUP_START: f64 = 2.0;
/// Interval at which the limit of a warm-up changes. Samples of requests that were
/// sent after the last change have been shared by then.
const WARMUP_STEP: Duration = Duration::from_millis(400);
/// Pace in hundredths up to which a warm-up goes on.
const WARMUP_PACE: u32 = 150;
/// Pace in hundredths from which a warm-up takes a step back.
const FLOODED_PACE: u32 = 300;
/// Pace in hundredths from which a target is slow, so that its warm-up begins anew.
const SLOW_PACE: u32 = 200;

/// Sums over recent units of work, each with a weight that decays with its age.
///
/// The unit of work is the next event of a stream. The first one is none, because the
/// prompt delays it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Units.
    pub count: f64,
    /// Seconds that they took.
    pub seconds: f64,
}

impl Work {
    /// Returns the mean time of a unit in seconds, if there are enough of them.
    fn mean(self) -> Option<f64> {
        (self.count >= MIN_SAMPLES).then(|| self.seconds / self.count)
    }
}

impl std::ops::Add for Work {
    type Output = Work;

    fn add(self, other: Work) -> Work {
        Work {
            count: self.count + other.count,
            seconds: self.seconds + other.seconds,
        }
    }
}

/// Measures and estimates of one target's pace.
#[derive(Clone, Debug)]
pub struct PaceMeter {
    /// Samples of this instance as of `updated_at`.
    own: Work,
    updated_at: Time,
    /// Samples of all other instances.
    remote: Work,
    /// Moving average of the paces that the target tells, and the time of the last.
    told: Option<(f64, Time)>,
    /// Pace in hundredths.
    pace: f64,
    estimated_at: Time,
}

impl Default for PaceMeter {
    fn default() -> Self {
        PaceMeter {
            own: Work::default(),
            updated_at: Time::ZERO,
            remote: Work::default(),
            told: None,
            pace: f64::from(USUAL_PACE),
            estimated_at: Time::ZERO,
        }
    }
}

impl PaceMeter {
    /// Records how long a unit of work took.
    pub fn record(&mut self, now: Time, took: Duration) {
        self.own = self.own(now);
        self.updated_at = now;
        self.own.count += 1.0;
        self.own.seconds += took.as_secs_f64();
    }

    /// Records the pace that the target tells, in hundredths of the usual time.
    pub fn record_told(&mut self, now: Time, pace: u32) {
        let newest = f64::from(pace);
        let told = match self.told {
            Some((told, at)) if now.saturating_sub(at) < MAX_TOLD_AGE => {
                told + TOLD_WEIGHT * (newest - told)
            }
            _ => newest,
        };
        self.told = Some((told, now));
    }

    /// Sets the samples of all other instances.
    pub fn set_remote(&mut self, remote: Work) {
        self.remote = remote;
    }

    /// Returns the samples of this instance.
    pub fn own(&self, now: Time) -> Work {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let weight = (-age / SAMPLE_WINDOW.as_secs_f64()).exp();
        Work {
            count: self.own.count * weight,
            seconds: self.own.seconds * weight,
        }
    }

    /// Returns the mean time of a unit of work in seconds over all instances, if
    /// enough is known.
    pub fn mean(&self, now: Time) -> Option<f64> {
        (self.own(now) + self.remote).mean()
    }

    /// Returns whether the target has done work lately, for any instance.
    pub fn has_worked(&self, now: Time) -> bool {
        (self.own(now) + self.remote).count >= 1.0
    }

    /// Returns whether the target has told its pace.
    pub fn has_told(&self) -> bool {
        self.told.is_some()
    }

    /// Estimates the pace anew; `usual` is the mean time in seconds that the pool's
    /// targets usually take.
    pub fn estimate(&mut self, now: Time, usual: Option<f64>) {
        let elapsed = now.saturating_sub(self.estimated_at).as_secs_f64();
        self.estimated_at = now;
        let told = self.told.filter(|(_, at)| {
            let age = now.saturating_sub(*at);
            age < MAX_TOLD_AGE
        });
        let rest = f64::from(USUAL_PACE);
        let newest = match (self.mean(now), usual, told) {
            (Some(mean), Some(usual), _) if usual > 0.0 => mean / usual * rest,
            (_, _, Some((told, _))) => told,
            _ => rest + (self.pace - rest) * (-elapsed / FORGET_TIME.as_secs_f64()).exp(),
        };
        self.pace = newest.clamp(rest, MAX_PACE);
    }

    /// Returns whether the target works so slowly that others are to be used instead.
    pub fn is_slow(&self) -> bool {
        self.pace() >= SLOW_PACE
    }

    /// Returns the pace in hundredths of the usual time, at least [`USUAL_PACE`].
    pub fn pace(&self) -> u32 {
        if self.pace <= USUAL_LIMIT {
            USUAL_PACE
        } else {
            self.pace as u32
        }
    }
}

/// Returns the mean time that the targets of a pool usually take: the median, which
/// a third of them being slow does not move.
pub fn usual_time(means: impl Iterator<Item = f64>) -> Option<f64> {
    let mut means: Vec<f64> = means.collect();
    means.sort_unstable_by(f64::total_cmp);
    means.get(means.len() / 2).copied()
}

/// Limit on the requests of a target that has just started, turned cold, slowed down or
/// recovered.
///
/// Work takes hardly less time on a slow target that has fewer requests, so that it is
/// left with those by which its recovery is noticed. The limit doubles while the target answers at the usual pace, and halves where it doesn't
/// keep up. All instances change it by the same samples.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    limit: f64,
    changed_at: Time,
}

impl Warmup {
    /// Begins a warm-up.
    pub fn begin(now: Time) -> Self {
        Warmup {
            limit: WARMUP_START,
            changed_at: now,
        }
    }

    /// Returns the requests that the target may have, over all instances.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Changes the limit by how the target answers; `load` is the number of its
    /// requests. Returns `None` once the limit has reached `enough`.
    #[must_use]
    pub fn step(self, now: Time, meter: &PaceMeter, load: u32, enough: f64) -> Option<Self> {
        if now.saturating_sub(self.changed_at) < WARMUP_STEP {
            return Some(self);
        }
        let is_used = f64::from(load) >= self.limit / 2.0;
        let limit = match meter.pace() {
            FLOODED_PACE.. => (self.limit / 2.0).max(WARMUP_START),
            ..=WARMUP_PACE if is_used && meter.has_worked(now) => self.limit * 2.0,
            _ => self.limit,
        };
        let changed = Warmup {
            limit,
            changed_at: now,
        };
        (limit < enough).then_some(changed)
    }
}
