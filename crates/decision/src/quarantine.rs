//! Requests that crash the targets which run them.

use crate::id::{Digest, Time};
use crate::message::CrashSuspect;
use std::collections::BTreeMap;
use std::time::Duration;

/// Crashes after which a request is quarantined.
const CRASHES: u8 = 2;
/// Time for which a suspicion or a quarantine lasts.
const LIFE: Duration = Duration::from_secs(600);
/// Most digests on record.
const RECORDS: usize = 10_000;

#[derive(Clone, Debug)]
struct Record {
    crashes: u8,
    until: Time,
}

/// Digests of requests that ran on targets as they crashed.
///
/// Whatever ran on a target that crashed comes under suspicion and from then
/// on runs with no other suspect on the same target. A second crash can
/// therefore only be the work of one suspect, which is then quarantined; one
/// that completes is cleared.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<Digest, Record>,
}

impl Quarantine {
    /// Counts a crash of a target that ran this request.
    pub fn crashed(&mut self, now: Time, digest: Digest) -> CrashSuspect {
        let crashes = self.records.get(&digest).map_or(0, |r| r.crashes) + 1;
        let suspect = CrashSuspect {
            digest,
            crashes,
            ttl_s: LIFE.as_secs(),
        };
        self.merge(now, &suspect);
        suspect
    }

    /// Merges what another instance tells; returns whether anything changed.
    pub fn merge(&mut self, now: Time, suspect: &CrashSuspect) -> bool {
        let known = self.records.get(&suspect.digest).map_or(0, |r| r.crashes);
        if suspect.crashes <= known {
            return false;
        }
        if self.records.len() >= RECORDS {
            self.evict();
        }
        let record = Record {
            crashes: suspect.crashes,
            until: now + Duration::from_secs(suspect.ttl_s).min(LIFE),
        };
        self.records.insert(suspect.digest, record);
        true
    }

    /// Clears a suspect that completed; a quarantined digest stays.
    pub fn completed(&mut self, digest: Digest) {
        if self.is_suspect(digest) && !self.is_quarantined(digest) {
            self.records.remove(&digest);
        }
    }

    /// Releases a digest by an operator's order; returns whether it was known.
    pub fn release(&mut self, digest: Digest) -> bool {
        self.records.remove(&digest).is_some()
    }

    /// Whether a request must run without another suspect beside it.
    pub fn is_suspect(&self, digest: Digest) -> bool {
        self.records.contains_key(&digest)
    }

    /// Whether a request is refused.
    pub fn is_quarantined(&self, digest: Digest) -> bool {
        self.records
            .get(&digest)
            .is_some_and(|r| r.crashes >= CRASHES)
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now: Time) {
        self.records.retain(|_, r| r.until > now);
    }

    /// Every record, for an instance that has just started.
    pub fn iter(&self, now: Time) -> impl Iterator<Item = CrashSuspect> + '_ {
        self.records
            .iter()
            .map(move |(digest, record)| CrashSuspect {
                digest: *digest,
                crashes: record.crashes,
                ttl_s: record.until.saturating_sub(now).as_secs(),
            })
    }

    fn evict(&mut self) {
        let oldest = self.records.iter().min_by_key(|(_, r)| r.until);
        if let Some(digest) = oldest.map(|(d, _)| *d) {
            self.records.remove(&digest);
        }
    }
}
