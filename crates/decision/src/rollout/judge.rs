//! Verdict on a version by its responses, against the old version's at the same time.

use super::counts::{BUCKETS, CellKey, Counts, SideCounts};
use crate::fleet::Tag;
use crate::id::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Length of the windows in which both versions are compared.
const WINDOW: Duration = Duration::from_millis(500);
/// Factor by which the old version's counts shrink with each window, so that they
/// stand for its last two seconds.
const DECAY: f64 = 0.8;
/// Attempts of the old version above which its share of bad responses is relied on.
const MIN_REFERENCE: f64 = 5.0;
/// Multiple of the old version's share of bad responses that is no evidence.
const TOLERANCE: f64 = 1.5;
/// Share of failures that is no evidence, besides that multiple.
const FAILURE_ALLOWANCE: f64 = 0.02;
/// The same for slow responses: caches of new targets are empty at first.
const SLOW_ALLOWANCE: f64 = 0.08;
/// Share of the old version's responses that are not slow for the new one.
const USUAL_SHARE: f64 = 0.9;
/// Buckets above that share's from which a response is slow: some three times.
const SLOW_BUCKETS: usize = 3;
/// Bad responses beyond the expected ones, on one route, that prove a version bad.
const ROUTE_EVIDENCE: f64 = 8.0;
/// The same over all routes.
const TOTAL_EVIDENCE: f64 = 10.0;
/// Time for which the worst window of a failure domain is tolerated. Its targets are
/// ejected meanwhile, those of the old version first, as they get more requests.
const TROUBLE_TIME: Duration = Duration::from_secs(4);
/// Attempts of the old version in a window that show trouble in a failure domain.
const MIN_TROUBLE: f64 = 10.0;
/// Time after which counts that have fallen, as a hub with them is gone, are the new
/// base.
const REBASE_TIME: Duration = Duration::from_secs(1);

/// Numbers of a [`SideCounts`] before those of its buckets.
const UNTIMED: usize = 3;
/// Numbers of a [`SideCounts`].
const NUMBERS: usize = BUCKETS + UNTIMED;

/// Highest counts seen of one version in one cell.
#[derive(Clone, Copy, Debug, Default)]
struct Mark {
    high: [u32; NUMBERS],
    /// Time since which the counts have been below the highest ones.
    below_since: Option<Time>,
}

impl Mark {
    /// Returns what has been counted since the last call.
    fn advance(&mut self, now: Time, counts: &SideCounts) -> Sample {
        let mut numbers = [0; NUMBERS];
        numbers[0] = counts.early;
        numbers[1] = counts.late;
        numbers[2] = counts.untimed;
        for (number, time) in numbers[UNTIMED..].iter_mut().zip(&counts.times) {
            *number = *time;
        }
        let sum = |numbers: &[u32; NUMBERS]| numbers.iter().map(|n| u64::from(*n)).sum::<u64>();
        if sum(&numbers) < sum(&self.high) {
            let since = *self.below_since.get_or_insert(now);
            if now.saturating_sub(since) >= REBASE_TIME {
                *self = Mark {
                    high: numbers,
                    below_since: None,
                };
            }
            return Sample::default();
        }
        self.below_since = None;
        let mut sample = Sample::default();
        for (at, (number, high)) in numbers.iter().zip(&mut self.high).enumerate() {
            sample.0[at] = f64::from(number.saturating_sub(*high));
            *high = (*high).max(*number);
        }
        sample
    }
}

/// Counts within some time.
#[derive(Clone, Copy, Debug, Default)]
struct Sample([f64; NUMBERS]);

impl Sample {
    fn timed(&self) -> f64 {
        self.0[UNTIMED..].iter().sum()
    }

    fn total(&self) -> f64 {
        self.0[0] + self.0[2] + self.timed()
    }

    fn failed(&self) -> f64 {
        self.0[0] + self.0[1]
    }

    /// Returns the responses in the buckets from `first` on.
    fn slow(&self, first: usize) -> f64 {
        self.0[UNTIMED..].iter().skip(first).sum()
    }

    fn add(&mut self, other: &Sample) {
        for (sum, number) in self.0.iter_mut().zip(&other.0) {
            *sum += number;
        }
    }

    fn shrink(&mut self) {
        self.0.iter_mut().for_each(|number| *number *= DECAY);
    }

    /// Returns the first bucket of slow responses, if enough are known.
    fn slow_from(&self) -> Option<usize> {
        let all = self.timed();
        if all < 2.0 * MIN_REFERENCE {
            return None;
        }
        let mut below = 0.0;
        let usual = self.0[UNTIMED..].iter().position(|number| {
            below += number;
            below >= all * USUAL_SHARE
        })?;
        Some(usual + SLOW_BUCKETS)
    }
}

/// The old version in one cell or on one route.
#[derive(Clone, Copy, Debug, Default)]
struct Reference {
    /// Its responses of the last seconds. They stay while none is added.
    recent: Sample,
    /// Its responses of this window.
    window: Sample,
}

impl Reference {
    /// Returns the larger of its shares of the last seconds and of this window. Both
    /// may be in trouble only since this window, or only before it.
    fn share(&self, part: &dyn Fn(&Sample) -> (f64, f64)) -> Option<f64> {
        let share = |sample: &Sample| {
            let (bad, all) = part(sample);
            (all >= MIN_REFERENCE).then(|| bad / all)
        };
        let shares = [share(&self.recent), share(&self.window)];
        shares.into_iter().flatten().reduce(f64::max)
    }
}

/// Highest share of bad responses that the old version had lately in a failure domain.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    share: f64,
    at: Time,
}

impl Peak {
    fn record(&mut self, now: Time, bad: f64, all: f64) {
        let is_past = now.saturating_sub(self.at) >= TROUBLE_TIME;
        let share = bad / all.max(MIN_TROUBLE);
        if is_past || share >= self.share {
            *self = Peak { share, at: now };
        }
    }
}

/// Evidence against a version.
#[derive(Clone, Debug, Default)]
pub(crate) struct Judge {
    marks: BTreeMap<CellKey, [Mark; 2]>,
    cells: BTreeMap<CellKey, Reference>,
    routes: BTreeMap<Tag, Reference>,
    /// Failures and slow responses of the old version by failure domain.
    peaks: BTreeMap<Tag, [Peak; 2]>,
    /// Bad responses beyond the expected ones on each route, never below 0.
    excess: BTreeMap<Tag, f64>,
    total_excess: f64,
    /// Responses of both versions on each route.
    responses: BTreeMap<Tag, (f64, f64)>,
    timed: f64,
    bad: f64,
    compared_at: Option<Time>,
}

impl Judge {
    /// Compares what both versions did since the last window.
    pub(crate) fn observe(&mut self, now: Time, counts: &Counts) {
        let is_due = |at: Time| now.saturating_sub(at) >= WINDOW;
        if !self.compared_at.is_none_or(is_due) {
            return;
        }
        self.compared_at = Some(now);
        let mut samples = BTreeMap::new();
        let mut windows: BTreeMap<Tag, Sample> = BTreeMap::new();
        for (key, old, new) in counts.cells() {
            let [old_mark, new_mark] = self.marks.entry(key).or_default();
            let (old, new) = (old_mark.advance(now, old), new_mark.advance(now, new));
            windows.entry(key.0).or_default().add(&old);
            renew(self.cells.entry(key).or_default(), &old);
            let (olds, news) = self.responses.entry(key.0).or_default();
            *olds += old.total();
            *news += new.total();
            samples.insert(key, new);
        }
        for (route, window) in &windows {
            renew(self.routes.entry(*route).or_default(), window);
        }
        self.record_peaks(now);
        let mut total = 0.0;
        let mut by_route: BTreeMap<Tag, f64> = BTreeMap::new();
        for (key, new) in samples {
            let (excess, bad) = self.compare(key, &new);
            *by_route.entry(key.0).or_default() += excess;
            total += excess;
            self.bad += bad;
            self.timed += new.timed();
        }
        for (route, excess) in by_route {
            let sum = self.excess.entry(route).or_default();
            *sum = (*sum + excess).max(0.0);
        }
        self.total_excess = (self.total_excess + total).max(0.0);
    }

    fn record_peaks(&mut self, now: Time) {
        let mut domains: BTreeMap<Tag, [(f64, f64); 2]> = BTreeMap::new();
        for ((route, domain), cell) in &self.cells {
            let slow_from = self.routes.get(route).and_then(|r| r.recent.slow_from());
            let slow = slow_from.map_or(0.0, |first| cell.window.slow(first));
            let [failed, late] = domains.entry(*domain).or_default();
            *failed = (
                failed.0 + cell.window.failed(),
                failed.1 + cell.window.total(),
            );
            *late = (late.0 + slow, late.1 + cell.window.timed());
        }
        for (domain, numbers) in domains {
            let peaks = self.peaks.entry(domain).or_default();
            for (peak, (bad, all)) in peaks.iter_mut().zip(numbers) {
                peak.record(now, bad, all);
            }
        }
    }

    /// Returns the bad responses of a cell beyond the expected ones, and all of them.
    fn compare(&self, key: CellKey, new: &Sample) -> (f64, f64) {
        let none = Reference::default();
        let cell = self.cells.get(&key).unwrap_or(&none);
        let route = self.routes.get(&key.0).unwrap_or(&none);
        let [failed, late] = self.peaks.get(&key.1).copied().unwrap_or_default();
        let share = |peak: Peak, part: &dyn Fn(&Sample) -> (f64, f64)| {
            let share = cell.share(part).or_else(|| route.share(part));
            share.unwrap_or(0.0).max(peak.share)
        };
        let allowed = |share: f64, allowance: f64| (share * TOLERANCE + allowance).min(1.0);
        let failures = allowed(
            share(failed, &|s| (s.failed(), s.total())),
            FAILURE_ALLOWANCE,
        );
        let mut excess = new.failed() - new.total() * failures;
        let mut bad = new.failed();
        if let Some(first) = route.recent.slow_from() {
            let slow = allowed(share(late, &|s| (s.slow(first), s.timed())), SLOW_ALLOWANCE);
            excess += (new.slow(first) - new.timed() * slow).max(0.0);
            bad += new.slow(first);
        }
        (excess, bad)
    }

    /// Returns whether the version is bad.
    pub(crate) fn is_bad(&self) -> bool {
        let mut routes = self.excess.values();
        self.total_excess >= TOTAL_EVIDENCE || routes.any(|e| *e >= ROUTE_EVIDENCE)
    }

    /// Returns the bad responses beyond the expected ones, on the worst route or on all.
    pub(crate) fn excess(&self) -> f64 {
        let routes = self.excess.values().copied();
        routes.fold(self.total_excess, f64::max)
    }

    /// Returns the responses of the new version, and the bad ones of them.
    pub(crate) fn responses(&self) -> (u32, u32) {
        let all: f64 = self.responses.values().map(|(_, new)| new).sum();
        (all as u32, self.bad as u32)
    }

    /// Returns the responses of the new version whose time to the first byte counts.
    pub(crate) fn timed(&self) -> u32 {
        self.timed as u32
    }

    /// Returns the fewest responses of the new version on a route on which the old one
    /// has had `frequent` or more.
    pub(crate) fn least_on_route(&self, frequent: u32) -> Option<u32> {
        let routes = self.responses.values();
        let frequent = routes.filter(|(old, _)| *old >= f64::from(frequent));
        frequent.map(|(_, new)| *new as u32).min()
    }
}

/// Adds the responses of one window to those of the last seconds.
fn renew(reference: &mut Reference, window: &Sample) {
    reference.window = *window;
    if window.total() > 0.0 {
        reference.recent.shrink();
        reference.recent.add(window);
    }
}
