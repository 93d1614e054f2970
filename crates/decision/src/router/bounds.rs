//! How much work a target may have, by the loads that an instance knows.

use super::choose::{Candidate, PoolView};
use super::targets::TargetState;

/// Shares of the load multiple between which a request's bound is drawn. The
/// loads of others are told late: with one bound for all, every instance sends
/// to a target until it hears that the target is full.
const BOUND_SHARES: (f64, f64) = (0.6, 0.85);
/// Requests above the multiple of the mean that a target may have.
const BOUND_SLACK: f64 = 2.0;
/// Share of the mean over the usable targets under which no bound is drawn.
const USABLE_MEAN_SHARE: f64 = 0.9;
/// Excess of the usable targets' mean over the whole pool's at which the loads
/// known are corrected in full.
const FULL_CROWDING_EXCESS: f64 = 0.5;
/// Part of [`BOUND_SLACK`] that a crowded pool does without.
const CROWDED_SLACK: f64 = 1.0;
/// Part of a told load's distance from the mean that is gone by the time at
/// which it is known, in a crowded pool.
const REMOTE_LOAD_DECAY: f64 = 0.2;
/// Requests of other instances, not told yet, for each of this instance above
/// its own mean, in a crowded pool.
const UNREPORTED_FACTOR: f64 = 6.0;

/// Requests that a target may have for another one to join them: between
/// `least` and `most`.
///
/// Both are multiples of the mean over all targets of the service, as the
/// operators count it. Where many targets take no requests, the pool is
/// crowded: the usable ones have more than that mean, less room is left up to
/// the bound, and loads that were told late matter more.
pub(super) struct LoadBounds {
    usable: Means,
    min: f64,
    max: f64,
    /// From 0, where all targets are usable, to 1.
    crowding: f64,
}

/// Means over the usable targets.
struct Means {
    load: f64,
    own: f64,
    remote: f64,
}

impl Means {
    fn new(usable: &[Candidate<'_>]) -> Self {
        let count = usable.len().max(1) as f64;
        let own: u32 = usable.iter().map(|(_, s)| s.own).sum();
        let remote: u32 = usable.iter().map(|(_, s)| s.remote).sum();
        Means {
            load: f64::from(own + remote + 1) / count,
            own: f64::from(own) / count,
            remote: f64::from(remote) / count,
        }
    }
}

impl LoadBounds {
    pub(super) fn new(multiple: f64, pool: &PoolView, candidates: &[Candidate<'_>]) -> Self {
        let mean = f64::from(pool.load + 1) / f64::from(pool.targets.max(1));
        let usable = Means::new(candidates);
        let (min, max) = BOUND_SHARES;
        let max = mean * multiple * max;
        let min = (mean * multiple * min).max(usable.load * USABLE_MEAN_SHARE);
        let excess = usable.load / mean - 1.0;
        let crowding = (excess / FULL_CROWDING_EXCESS).clamp(0.0, 1.0);
        let slack = BOUND_SLACK - CROWDED_SLACK * crowding;
        LoadBounds {
            min: min.min(max) + slack,
            max: max + slack,
            crowding,
            usable,
        }
    }

    /// Bound of one request.
    pub(super) fn draw(&self, hash: u64) -> u32 {
        let drawn = (hash >> 11) as f64 / (1_u64 << 53) as f64;
        (self.min + drawn * (self.max - self.min)).ceil() as u32
    }

    /// Requests that a target is expected to have by now.
    ///
    /// Loads that were told regress to the mean, and instances choose alike:
    /// where this one has more than its mean, the others have sent as well.
    pub(super) fn expected_load(&self, state: &TargetState) -> f64 {
        let (own, remote) = (f64::from(state.own), f64::from(state.remote));
        let decay = REMOTE_LOAD_DECAY * (self.usable.remote - remote);
        let unreported = UNREPORTED_FACTOR * (own - self.usable.own);
        own + remote + self.crowding * (decay + unreported)
    }

    /// Targets over which a subject is spread: as many as bear what all
    /// instances have of it, beside the load that they have anyway.
    ///
    /// A subject with much of the traffic is spread ahead of the bound: loads
    /// told late would let all instances fill one target after the other past
    /// it.
    pub(super) fn spread(&self, running: f64) -> usize {
        let room = (self.min - self.usable.load).max(1.0);
        (running / room).ceil().max(1.0) as usize
    }
}
