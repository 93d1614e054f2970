//! Versions of the configuration that are known besides the one in force.

use super::Router;
use crate::id::{Time, Version};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a version counts that another instance has in force. Instances
/// repeat it every 0.2 s.
const NOTE_TTL: Duration = Duration::from_secs(10);
/// Maximum number of versions that are noted; the one heard of least recently is
/// dropped first.
const MAX_NOTES: usize = 16;
/// Time after the first proof, or after a restore of the store, in which a proof may
/// rest on a copy that other instances know to be older.
const DOUBT_TIME: Duration = Duration::from_secs(5);

/// Version of the configuration in this instance's copy of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stored {
    /// Not reported.
    #[default]
    Unknown,
    Missing,
    Version(Version),
}

/// Versions of the configuration in the store and at the other instances, which tell
/// whether a proof that the copy of the store is the newest holds for the one in
/// force.
#[derive(Clone, Debug, Default)]
pub(super) struct Versions {
    stored: Stored,
    /// Newer versions in force at other instances, with the time at which each was last
    /// heard of.
    noted: BTreeMap<Version, Time>,
    /// End of the time in which a noted version counts against earlier proofs.
    doubt_until: Option<Time>,
}

impl Versions {
    pub(super) fn set_stored(&mut self, version: Option<Version>) {
        self.stored = version.map_or(Stored::Missing, Stored::Version);
    }

    pub(super) fn note(&mut self, now: Time, version: Version) {
        self.noted.retain(|_, heard| now < *heard + NOTE_TTL);
        self.noted.insert(version, now);
        if self.noted.len() > MAX_NOTES {
            let oldest = self.noted.iter().min_by_key(|(_, heard)| **heard);
            if let Some(version) = oldest.map(|(version, _)| *version) {
                self.noted.remove(&version);
            }
        }
    }

    /// Starts the time in which a proof may rest on a restored copy.
    pub(super) fn doubt(&mut self, now: Time) {
        self.doubt_until = Some(now + DOUBT_TIME);
    }

    /// Returns whether a proof at `at` that the copy of the store was the newest holds
    /// for the configuration in force.
    pub(super) fn prove(&mut self, current: Option<Version>, at: Time) -> bool {
        self.doubt_until.get_or_insert(at + DOUBT_TIME);
        let is_stored = match self.stored {
            Stored::Unknown => true,
            Stored::Missing => current.is_none(),
            Stored::Version(version) => current == Some(version),
        };
        is_stored && self.newer_until(current).is_none_or(|until| until <= at)
    }

    /// Returns the time until which earlier proofs do not count, as another instance
    /// has a newer configuration in force.
    pub(super) fn suspended_until(&self, now: Time, current: Option<Version>) -> Option<Time> {
        let is_in_doubt = self.doubt_until.is_some_and(|until| now < until);
        self.newer_until(current).filter(|_| is_in_doubt)
    }

    /// Returns the time until which a version counts that is newer than `current`.
    fn newer_until(&self, current: Option<Version>) -> Option<Time> {
        let newer = self.noted.iter().filter(|(v, _)| Some(**v) > current);
        newer.map(|(_, heard)| *heard + NOTE_TTL).max()
    }
}

impl Router {
    /// Records that another instance has a version of the configuration in force.
    ///
    /// The version counts for some seconds: while it is newer than the one in force,
    /// nothing proves the latter to be the newest.
    pub fn note_configuration(&mut self, now: Time, version: Version) {
        if Some(version) <= self.version() {
            return;
        }
        self.versions.note(now, version);
        if let Some(until) = self.versions.suspended_until(now, self.version()) {
            self.freshness.suspend(until);
        }
    }

    /// Records the version of the configuration in this instance's copy of the store;
    /// `None` where it has none.
    pub fn set_stored_configuration(&mut self, version: Option<Version>) {
        self.versions.set_stored(version);
    }

    /// Lets earlier proofs count again if no newer version than that in force is known.
    pub(super) fn resume_proofs(&mut self) {
        if self.versions.newer_until(self.version()).is_none() {
            self.freshness.resume();
        }
    }
}
