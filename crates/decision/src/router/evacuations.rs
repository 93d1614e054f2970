//! Failure domains that the operators have evacuated.

use crate::id::{DomainId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time for which an evacuation that a restored store lacks stays in force: twice
/// the 5 s within which operators expect an order to be followed, in which they write
/// it again.
const RENEWAL_TIME: Duration = Duration::from_secs(10);

/// Evacuated failure domains.
#[derive(Clone, Debug, Default)]
pub(super) struct Evacuations {
    domains: BTreeSet<DomainId>,
    /// Ends of the evacuations that a restored store lacks.
    unlisted: BTreeMap<DomainId, Time>,
    /// Latest time at which the orders were proved to be the newest.
    verified_at: Time,
}

impl Evacuations {
    pub(super) fn domains(&self) -> &BTreeSet<DomainId> {
        &self.domains
    }

    pub(super) fn contains(&self, domain: &DomainId) -> bool {
        self.domains.contains(domain)
    }

    /// Follows an order of the operators; returns whether it changes anything.
    pub(super) fn set(&mut self, domain: &DomainId, evacuated: bool) -> bool {
        self.unlisted.remove(domain);
        if evacuated {
            self.domains.insert(domain.clone())
        } else {
            self.domains.remove(domain)
        }
    }

    /// Follows what a restored store says: an evacuation that it lacks may be among
    /// the orders that were lost with it.
    pub(super) fn restore(&mut self, now: Time, domain: &DomainId, evacuated: bool) {
        if evacuated {
            self.set(domain, true);
        } else if self.contains(domain) {
            self.unlisted.insert(domain.clone(), now + RENEWAL_TIME);
        }
    }

    /// Gives the operators time anew to write again what the store lacks.
    pub(super) fn extend(&mut self, now: Time) {
        for end in self.unlisted.values_mut() {
            *end = now + RENEWAL_TIME;
        }
    }

    pub(super) fn set_verified(&mut self, at: Time) {
        self.verified_at = self.verified_at.max(at);
    }

    /// Ends the evacuations that were not written again in time.
    ///
    /// The store must have been read since, as an instance that stood still, or
    /// found no store, has not seen what was written.
    pub(super) fn end_unlisted(&mut self, now: Time) {
        let seen = now.min(self.verified_at);
        let domains = &mut self.domains;
        self.unlisted.retain(|domain, end| {
            let is_kept = seen < *end;
            if !is_kept {
                domains.remove(domain);
            }
            is_kept
        });
    }
}
