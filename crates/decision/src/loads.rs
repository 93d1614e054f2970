//! Loads of a pool's targets, as shared among their stewards.

use crate::id::TargetId;
use std::collections::BTreeMap;

/// Load and cap (slots that it can serve) of each target of a pool, with totals.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    by_target: BTreeMap<TargetId, (u32, u32)>,
    load: u64,
    cap: u64,
}

impl Loads {
    /// Sets load and cap of a target.
    pub fn set(&mut self, target: &TargetId, load: u32, cap: u32) {
        let old = self.by_target.insert(target.clone(), (load, cap));
        let (old_load, old_cap) = old.unwrap_or_default();
        self.load = self.load + u64::from(load) - u64::from(old_load);
        self.cap = self.cap + u64::from(cap) - u64::from(old_cap);
    }

    /// Removes a target.
    pub fn remove(&mut self, target: &str) {
        if let Some((load, cap)) = self.by_target.remove(target) {
            self.load -= u64::from(load);
            self.cap -= u64::from(cap);
        }
    }

    /// Returns load and cap of a target.
    pub fn get(&self, target: &str) -> Option<(u32, u32)> {
        self.by_target.get(target).copied()
    }

    /// Iterates over all targets with their load and cap.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetId, u32, u32)> {
        self.by_target.iter().map(|(t, (l, c))| (t, *l, *c))
    }

    /// Returns the load of the whole pool divided by its cap, or 0 for an empty
    /// pool.
    pub fn utilization(&self) -> f64 {
        match self.cap {
            0 => 0.0,
            cap => self.load as f64 / cap as f64,
        }
    }

    /// Returns the load bound of a target with the given cap: `multiple` times
    /// the mean load, plus one request.
    ///
    /// The mean is weighted by cap, so that a target in its cold start, which
    /// serves few requests, does not lower the bound of the warm ones. If all caps
    /// are equal, it is the plain mean.
    pub fn bound(&self, cap: u32, multiple: f64) -> u32 {
        let mean = self.utilization() * f64::from(cap);
        (multiple * mean) as u32 + 1
    }
}
