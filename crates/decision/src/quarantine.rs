//! Detection of requests that crash their targets.

use crate::id::{Digest, Time};
use crate::message::CrashSuspect;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of crashes at which a request is quarantined.
const CRASH_LIMIT: u8 = 2;
/// Time after which a suspicion or a quarantine expires.
const RECORD_TTL: Duration = Duration::from_secs(600);
/// Maximum number of digests on record.
const MAX_RECORDS: usize = 10_000;

#[derive(Clone, Debug)]
struct Record {
    crashes: u8,
    expires_at: Time,
}

/// Digests of requests that ran on targets when these crashed.
///
/// All requests that ran on a target when it crashed become suspects. A suspect
/// then never runs on the same target as another suspect, so that a second crash
/// identifies the request that causes it, which is quarantined. A suspect that completes is
/// cleared.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<Digest, Record>,
}

impl Quarantine {
    /// Records a crash of a target that ran this request.
    pub fn record_crash(&mut self, now: Time, digest: Digest) -> CrashSuspect {
        let crashes = self.records.get(&digest).map_or(0, |r| r.crashes) + 1;
        let suspect = CrashSuspect {
            digest,
            crashes,
            ttl_s: RECORD_TTL.as_secs(),
        };
        self.merge(now, &suspect);
        suspect
    }

    /// Merges a record of another instance; returns whether anything changed.
    pub fn merge(&mut self, now: Time, suspect: &CrashSuspect) -> bool {
        let known = self.records.get(&suspect.digest).map_or(0, |r| r.crashes);
        if suspect.crashes <= known {
            return false;
        }
        if self.records.len() >= MAX_RECORDS {
            self.evict();
        }
        let record = Record {
            crashes: suspect.crashes,
            expires_at: now + Duration::from_secs(suspect.ttl_s).min(RECORD_TTL),
        };
        self.records.insert(suspect.digest, record);
        true
    }

    /// Clears a suspect that completed; a quarantined digest stays.
    pub fn record_success(&mut self, digest: Digest) {
        if self.is_suspect(digest) && !self.is_quarantined(digest) {
            self.records.remove(&digest);
        }
    }

    /// Removes a digest by an operator's order; returns whether it was on record.
    pub fn release(&mut self, digest: Digest) -> bool {
        self.records.remove(&digest).is_some()
    }

    /// Returns whether a request must not share a target with another suspect.
    pub fn is_suspect(&self, digest: Digest) -> bool {
        self.records.contains_key(&digest)
    }

    /// Returns whether a request is quarantined and must be denied.
    pub fn is_quarantined(&self, digest: Digest) -> bool {
        self.records
            .get(&digest)
            .is_some_and(|r| r.crashes >= CRASH_LIMIT)
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Time) {
        self.records.retain(|_, r| r.expires_at > now);
    }

    /// Iterates over all records with their remaining time.
    pub fn iter(&self, now: Time) -> impl Iterator<Item = CrashSuspect> + '_ {
        self.records
            .iter()
            .map(move |(digest, record)| CrashSuspect {
                digest: *digest,
                crashes: record.crashes,
                ttl_s: record.expires_at.saturating_sub(now).as_secs(),
            })
    }

    fn evict(&mut self) {
        let oldest = self.records.iter().min_by_key(|(_, r)| r.expires_at);
        if let Some(digest) = oldest.map(|(d, _)| *d) {
            self.records.remove(&digest);
        }
    }
}
