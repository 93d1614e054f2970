//! Which faults come when, from a seed.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// A fault that lasts for a while, or a planned change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// The store refuses every call.
    StoreDown,
    /// Every answer of the store takes so long.
    StoreSlow,
    /// The store shows old rows.
    StoreStale,
    /// The store loses answers to writes, which take effect late.
    StoreLoses,
    /// The store refuses some calls for their number.
    StoreBusy,
    /// The store forgets its history.
    StoreForgets,
    /// One instance's connections to the store fall silent.
    StoreCut(usize),
    /// One instance's connections to the store are reset.
    StoreReset(usize),
    /// A target's connections fall silent.
    TargetSilent(usize),
    /// A target's connections are reset.
    TargetReset(usize),
    /// A target's bytes come late.
    TargetSlow(usize),
    /// A target's answers are lost.
    TargetMute(usize),
    /// Requests to a target are lost.
    TargetDeaf(usize),
    /// A target drains, its entry goes, and it comes back.
    TargetDrains(usize),
    /// An instance is paused.
    Pause(usize),
    /// An instance is killed and started again.
    Kill(usize),
    /// An instance is asked to stop and started again.
    Stop(usize),
    /// An instance reads its settings again.
    Reload(usize),
    /// The key in use is taken away and another given out.
    Revoke,
    /// The configuration changes in nothing that callers see.
    Change,
}

impl Fault {
    /// Whether operators plan it: no request may be lost by it.
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

/// A fault with its time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Step {
    pub(super) at: Duration,
    pub(super) lasts: Duration,
    pub(super) fault: Fault,
}

/// Shortest and longest pause between the beginnings of two faults.
const GAP: std::ops::Range<f64> = 0.2..2.0;
/// Shortest and longest time that a fault lasts.
const LASTS: std::ops::Range<f64> = 0.3..4.0;

/// Draws the faults of a run; some overlap.
pub(super) fn draw(seed: u64, time: Duration, instances: usize, targets: usize) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::from_secs_f64(rng.random_range(GAP));
    while at < time {
        let lasts = Duration::from_secs_f64(rng.random_range(LASTS));
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
        at += Duration::from_secs_f64(rng.random_range(GAP));
    }
    steps
}
