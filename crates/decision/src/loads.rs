//! Loads of a pool's targets, as their stewards tell each other.

use crate::id::TargetId;
use std::collections::BTreeMap;

/// Load and cap of each target of one pool.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    by_target: BTreeMap<TargetId, (u32, u32)>,
    load: u64,
    cap: u64,
}

impl Loads {
    /// Sets the load and the cap of one target.
    pub fn set(&mut self, target: &TargetId, load: u32, cap: u32) {
        let old = self.by_target.insert(target.clone(), (load, cap));
        let (old_load, old_cap) = old.unwrap_or_default();
        self.load = self.load + u64::from(load) - u64::from(old_load);
        self.cap = self.cap + u64::from(cap) - u64::from(old_cap);
    }

    /// Forgets a target.
    pub fn remove(&mut self, target: &str) {
        if let Some((load, cap)) = self.by_target.remove(target) {
            self.load -= u64::from(load);
            self.cap -= u64::from(cap);
        }
    }

    /// Load and cap of one target.
    pub fn get(&self, target: &str) -> Option<(u32, u32)> {
        self.by_target.get(target).copied()
    }

    /// Every target with its load and cap.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetId, u32, u32)> {
        self.by_target.iter().map(|(t, (l, c))| (t, *l, *c))
    }

    /// Load over cap of the whole pool.
    pub fn utilization(&self) -> f64 {
        match self.cap {
            0 => 0.0,
            cap => self.load as f64 / cap as f64,
        }
    }

    /// Highest load of a target: a multiple of the mean, and one request more.
    ///
    /// The mean is weighed by cap, so that a target in its cold start, which
    /// bears little, does not pull down the bound of the warm ones. Where all
    /// caps are equal it is the plain mean.
    pub fn bound(&self, cap: u32, multiple: f64) -> u32 {
        let mean = self.utilization() * f64::from(cap);
        (multiple * mean) as u32 + 1
    }
}
