//! How many requests a target may have before others are preferred to it.

use super::choose::{Candidate, PoolView};
use super::targets::TargetState;

/// Range, as shares of the load multiple, from which each request draws its
/// bound at random. Remote loads are known with a delay: with the same bound for
/// every request, all instances would send to a target until the news that it is
/// full reaches them.
const BOUND_SHARES: (f64, f64) = (0.6, 0.85);
/// Requests that a target may have on top of the multiple of the mean.
const BOUND_SLACK: f64 = 2.0;
/// Lower limit of the drawn bound, as a share of the mean over the usable targets.
const USABLE_MEAN_SHARE: f64 = 0.9;
/// Excess of the usable targets' mean over the mean of the whole pool at which
/// crowding reaches 1, so that known loads are corrected in full.
const FULL_CROWDING_EXCESS: f64 = 0.5;
/// Part of [`BOUND_SLACK`] that is dropped at a crowding of 1.
const CROWDED_SLACK: f64 = 1.0;
/// At a crowding of 1, part of a remote load's distance from the mean that has
/// vanished by the time at which the load is known here.
const REMOTE_LOAD_DECAY: f64 = 0.2;
/// At a crowding of 1, requests that other instances have sent but not reported
/// yet, for each request that this instance has above its own mean.
const UNREPORTED_FACTOR: f64 = 6.0;

/// Range of the bound on a target's requests at which it still takes another one.
///
/// Both ends are multiples of the mean over all targets of the service, which is
/// how the operators measure the load multiple. Where many targets are not
/// usable, the pool is crowded: the usable ones carry more than that mean, so
/// that less room is left below the bound and delayed loads cause larger errors.
pub(super) struct LoadBounds {
    usable: Means,
    min: f64,
    max: f64,
    /// From 0, where all targets are usable, to 1.
    crowding: f64,
}

/// Mean requests per usable target.
struct Means {
    load: f64,
    own: f64,
    remote: f64,
}

impl Means {
    fn new(usable: &[Candidate<'_>]) -> Self {
        let count = usable.len().max(1) as f64;
        let own: u32 = usable.iter().map(|(_, s)| s.own.requests).sum();
        let remote: u32 = usable.iter().map(|(_, s)| s.remote.requests).sum();
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

    /// Draws the bound of one request from its hash.
    pub(super) fn draw(&self, hash: u64) -> u32 {
        let drawn = (hash >> 11) as f64 / (1_u64 << 53) as f64;
        (self.min + drawn * (self.max - self.min)).ceil() as u32
    }

    /// Estimates how many requests a target has now, from loads that are known
    /// with a delay.
    ///
    /// A remote load regresses to the mean while it is reported. Instances choose
    /// alike: where this one has more than its mean, the others have sent more as
    /// well. Both corrections grow with the crowding.
    pub(super) fn expected_load(&self, state: &TargetState) -> f64 {
        let (own, remote) = (
            f64::from(state.own.requests),
            f64::from(state.remote.requests),
        );
        let decay = REMOTE_LOAD_DECAY * (self.usable.remote - remote);
        let unreported = UNREPORTED_FACTOR * (own - self.usable.own);
        own + remote + self.crowding * (decay + unreported)
    }

    /// Returns over how many targets a prompt prefix is spread: as many as can
    /// take the `running` requests that all instances have with this prefix, on
    /// top of the load that the targets have anyway.
    ///
    /// A frequent prefix is spread before its targets reach their bound. As loads
    /// are known with a delay, all instances would otherwise fill one target
    /// after the other beyond it.
    pub(super) fn spread(&self, running: f64) -> usize {
        let room = (self.min - self.usable.load).max(1.0);
        (running / room).ceil().max(1.0) as usize
    }
}
