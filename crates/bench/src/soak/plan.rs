//! Draws the faults of a run and their times from a seed.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// A fault or a planned change. The numbers are indices of instances or targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// The store refuses every call.
    StoreDown,
    /// Every response of the store is delayed.
    StoreSlow,
    /// The store returns outdated rows.
    StoreStale,
    /// The store drops responses to writes and applies these writes late.
    StoreLoses,
    /// The store rejects some calls as over its rate limit.
    StoreBusy,
    /// The store drops its history of changes.
    StoreForgets,
    /// Data on one instance's connections to the store is dropped.
    StoreCut(usize),
    /// One instance's connections to the store are reset.
    StoreReset(usize),
    /// Data on a target's connections is dropped in both directions.
    TargetSilent(usize),
    /// A target's connections are reset.
    TargetReset(usize),
    /// Data from and to a target is delayed.
    TargetSlow(usize),
    /// Responses of a target are dropped.
    TargetMute(usize),
    /// Requests to a target are dropped.
    TargetDeaf(usize),
    /// A target's entry is set to draining, and to ready again at the end.
    TargetDrains(usize),
    /// An instance is paused by a signal and resumed at the end.
    Pause(usize),
    /// An instance is killed, and started again at the end.
    Kill(usize),
    /// An instance is told to shut down and is started again once it has.
    Stop(usize),
    /// An instance is told to reload its settings.
    Reload(usize),
    /// The current API key is revoked and another one issued.
    Revoke,
    /// The configuration gets a new version with the same content.
    Change,
}

impl Fault {
    /// Whether operators do this on purpose, so that no request may be lost by it.
    pub(super) fn is_planned(self) -> bool {
        matches!(
            self,
            Fault::TargetDrains(_)
                | Fault::Stop(_)
                | Fault::Reload(_)
                | Fault::Revoke
                | Fault::Change
        )
    }
}

/// A fault with its start, counted from the start of the run, and its duration.
#[derive(Clone, Copy, Debug)]
pub(super) struct Step {
    pub(super) at: Duration,
    pub(super) lasts: Duration,
    pub(super) fault: Fault,
}

/// Time between the starts of two faults, in seconds.
const INTERVAL_S: std::ops::Range<f64> = 0.2..2.0;
/// Duration of a fault, in seconds; most exceed the interval, so that faults overlap.
const DURATION_S: std::ops::Range<f64> = 0.3..4.0;

/// Draws the faults of a run of the given length.
pub(super) fn draw(seed: u64, time: Duration, instances: usize, targets: usize) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::from_secs_f64(rng.random_range(INTERVAL_S));
    while at < time {
        let lasts = Duration::from_secs_f64(rng.random_range(DURATION_S));
        let (instance, target) = (rng.random_range(0..instances), rng.random_range(0..targets));
        let fault = match rng.random_range(0..20) {
            0 => Fault::StoreDown,
            1 => Fault::StoreSlow,
            2 => Fault::StoreStale,
            3 => Fault::StoreLoses,
            4 => Fault::StoreBusy,
            5 => Fault::StoreForgets,
            6 => Fault::StoreCut(instance),
            7 => Fault::StoreReset(instance),
            8 => Fault::TargetSilent(target),
            9 => Fault::TargetReset(target),
            10 => Fault::TargetSlow(target),
            11 => Fault::TargetMute(target),
            12 => Fault::TargetDeaf(target),
            13 => Fault::TargetDrains(target),
            14 => Fault::Pause(instance),
            15 => Fault::Kill(instance),
            16 => Fault::Stop(instance),
            17 => Fault::Reload(instance),
            18 => Fault::Revoke,
            _ => Fault::Change,
        };
        steps.push(Step { at, lasts, fault });
        at += Duration::from_secs_f64(rng.random_range(INTERVAL_S));
    }
    steps
}
