//! Grants of one target's slots, with leases.

use crate::id::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// An open grant.
#[derive(Clone, Debug)]
pub(crate) struct OpenGrant<H> {
    pub(crate) holder: H,
    pub(crate) granted_at: Time,
    renewed_at: Time,
    /// Whether its lease has expired or its holder seems dead.
    pub(crate) lapsed: bool,
}

/// Open grants of one target, by key, as its steward counts them.
///
/// The highest number in the current and the previous interval is kept, because the
/// load that others report is that old: what exceeds this number is not ours.
#[derive(Clone, Debug)]
pub(crate) struct Grants<K, H> {
    open: BTreeMap<K, OpenGrant<H>>,
    peaks: [u32; 2],
    peak_at: Time,
    /// Longest age of the loads that are reported.
    lag: Duration,
    /// Time after a takeover in which only half of the slots are granted.
    takeover: Duration,
    takeover_until: Time,
}

impl<K: Ord + Clone, H> Grants<K, H> {
    pub(crate) fn new(now: Time, lag: Duration, takeover: Duration) -> Self {
        Grants {
            open: BTreeMap::new(),
            peaks: [0; 2],
            peak_at: now,
            lag,
            takeover,
            takeover_until: Time::ZERO,
        }
    }

    pub(crate) fn len(&self) -> u32 {
        self.open.len() as u32
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &OpenGrant<H>> {
        self.open.values()
    }

    pub(crate) fn insert(&mut self, now: Time, key: K, holder: H) {
        let open = OpenGrant {
            holder,
            granted_at: now,
            renewed_at: now,
            lapsed: false,
        };
        self.open.insert(key, open);
        self.peaks[0] = self.peaks[0].max(self.len());
    }

    /// Renews a grant; returns whether it is open.
    pub(crate) fn renew(&mut self, now: Time, key: &K) -> bool {
        let open = self.open.get_mut(key);
        open.is_some_and(|open| {
            open.renewed_at = now;
            open.lapsed = false;
            true
        })
    }

    pub(crate) fn remove(&mut self, key: &K) -> Option<OpenGrant<H>> {
        self.open.remove(key)
    }

    /// Marks the grants of the holders that `is_dead` selects as lapsed.
    pub(crate) fn lapse(&mut self, is_dead: impl Fn(&H) -> bool) {
        for open in self.open.values_mut().filter(|o| is_dead(&o.holder)) {
            open.lapsed = true;
        }
    }

    /// Marks the grants whose lease has expired as lapsed.
    pub(crate) fn expire(&mut self, now: Time, lease: Duration) {
        if now.saturating_sub(self.peak_at) >= self.lag {
            self.peaks = [self.len(), self.peaks[0]];
            self.peak_at = now;
        }
        for open in self.open.values_mut() {
            open.lapsed |= now.saturating_sub(open.renewed_at) >= lease;
        }
    }

    /// Frees at most `max` of the lapsed grants that `selects` selects; returns how
    /// many.
    pub(crate) fn free_lapsed(
        &mut self,
        max: usize,
        selects: impl Fn(&OpenGrant<H>) -> bool,
    ) -> usize {
        let lapsed = self.open.iter().filter(|(_, o)| o.lapsed && selects(o));
        let freed: Vec<K> = lapsed.map(|(key, _)| key.clone()).take(max).collect();
        for key in &freed {
            self.open.remove(key);
        }
        freed.len()
    }

    /// Returns the part of a reported load that others granted, or sent without a
    /// grant.
    pub(crate) fn foreign(&self, reported: u32) -> u32 {
        reported.saturating_sub(self.peaks[0].max(self.peaks[1]))
    }

    pub(crate) fn start_takeover(&mut self, now: Time) {
        self.takeover_until = now + self.takeover;
    }

    pub(crate) fn is_takeover(&self, now: Time) -> bool {
        now < self.takeover_until
    }

    /// Returns the slots that may be granted during a takeover, when the previous
    /// steward may still be granting: half of the free slots, and at most half of the
    /// cap in grants of the takeover period.
    pub(crate) fn takeover_room(&self, now: Time, cap: u32, load: u32) -> u32 {
        let from = now.saturating_sub(self.takeover);
        let recent = self.open.values().filter(|o| o.granted_at >= from).count() as u32;
        let half = cap.saturating_sub(load).div_ceil(2);
        half.min(cap.div_ceil(2).saturating_sub(recent))
    }
}
