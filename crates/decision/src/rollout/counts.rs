//! Counts of responses by version, route and failure domain, summed over instances.

use super::RolloutNews;
use crate::fleet::{PulseScope, Tag};
use crate::id::{DomainId, Incarnation, InstanceId, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Buckets of the time to the first byte, two for each doubling.
pub(crate) const BUCKETS: usize = 20;
/// Upper end of the first bucket.
const FIRST_BUCKET: Duration = Duration::from_millis(8);
/// Time after which a failure domain whose hub is silent counts as gone: its
/// instances have chosen another hub by then if one of them runs.
const DOMAIN_GONE: Duration = Duration::from_secs(4);

/// Version of a target, as a roll-out sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    /// Any version but the ordered one.
    Old,
    /// The ordered version.
    New,
}

/// Route and failure domain of the target, by their tags.
pub(crate) type CellKey = (Tag, Tag);

/// Responses of the targets of one version in one cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SideCounts {
    /// Attempts that failed before the first byte.
    #[serde(rename = "e", default)]
    pub early: u32,
    /// Responses that failed after their first byte.
    #[serde(rename = "l", default)]
    pub late: u32,
    /// Responses whose time to the first byte does not count.
    #[serde(rename = "u", default)]
    pub untimed: u32,
    /// Other responses by the bucket of the time to their first byte; buckets at the end
    /// without responses are left out.
    #[serde(rename = "t", default)]
    pub times: Vec<u32>,
}

impl SideCounts {
    pub(crate) fn record_first_byte(&mut self, wait: Option<Duration>) {
        let Some(bucket) = wait.map(bucket) else {
            self.untimed += 1;
            return;
        };
        if self.times.len() <= bucket {
            self.times.resize(bucket + 1, 0);
        }
        self.times[bucket] += 1;
    }

    /// Returns the attempts with an outcome.
    pub(crate) fn total(&self) -> u32 {
        self.early + self.untimed + self.times.iter().sum::<u32>()
    }

    fn add(&mut self, other: &SideCounts) {
        self.early = self.early.saturating_add(other.early);
        self.late = self.late.saturating_add(other.late);
        self.untimed = self.untimed.saturating_add(other.untimed);
        if self.times.len() < other.times.len() {
            self.times.resize(other.times.len(), 0);
        }
        for (sum, number) in self.times.iter_mut().zip(&other.times) {
            *sum = sum.saturating_add(*number);
        }
    }
}

/// Returns the bucket of a time to the first byte.
fn bucket(wait: Duration) -> usize {
    let doublings = (wait.as_secs_f64() / FIRST_BUCKET.as_secs_f64()).log2();
    let bucket = (doublings * 2.0).floor() + 1.0;
    (bucket.max(0.0) as usize).min(BUCKETS - 1)
}

/// Responses of both versions, by cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts(Vec<(CellKey, SideCounts, SideCounts)>);

impl Counts {
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn cells(&self) -> impl Iterator<Item = (CellKey, &SideCounts, &SideCounts)> {
        self.0.iter().map(|(key, old, new)| (*key, old, new))
    }

    pub(crate) fn side(&mut self, key: CellKey, side: Side) -> &mut SideCounts {
        let at = match self.0.binary_search_by_key(&key, |(key, ..)| *key) {
            Ok(at) => at,
            Err(at) => {
                let cell = (key, SideCounts::default(), SideCounts::default());
                self.0.insert(at, cell);
                at
            }
        };
        let (_, old, new) = &mut self.0[at];
        match side {
            Side::Old => old,
            Side::New => new,
        }
    }

    pub(crate) fn add(&mut self, other: &Counts) {
        for (key, old, new) in &other.0 {
            self.side(*key, Side::Old).add(old);
            self.side(*key, Side::New).add(new);
        }
    }

    /// Returns the attempts with an outcome at targets of either version.
    pub(crate) fn total(&self) -> u32 {
        let cells = self.0.iter();
        cells.map(|(_, old, new)| old.total() + new.total()).sum()
    }
}

/// Sum of all instances, as a hub told it.
#[derive(Clone, Debug)]
struct Total {
    counts: Counts,
    /// Whether no domain was missing in it that had been heard lately.
    is_whole: bool,
    /// Whether it had recent counts of every domain that the hub knows.
    is_fresh: bool,
}

/// Counts of one roll-out as one instance knows them.
///
/// Instances report their own to the hub of their domain, hubs the sum of their
/// domain to each other, and the sum of all to their domain, as they do with loads.
/// Each number only rises, so that a pulse that is lost loses nothing.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) own: Counts,
    /// Last report of each instance of this domain, and the incarnation that made it.
    members: BTreeMap<InstanceId, (Incarnation, Counts)>,
    /// What instances had counted before they started anew.
    former: Counts,
    /// Sum of each other domain, and when it came.
    domains: BTreeMap<DomainId, (Time, Counts)>,
    /// Sum of all instances from the hub, and when it came.
    total: Option<(Time, Total)>,
}

impl Tally {
    /// Stores a report of another instance.
    pub(crate) fn receive(
        &mut self,
        now: Time,
        from: &InstanceId,
        scope: PulseScope,
        news: &RolloutNews,
    ) {
        let counts = news.counts.clone();
        match scope {
            PulseScope::Own => self.receive_own(from, news.incarnation, counts),
            PulseScope::Domain => {
                self.domains.insert(news.domain.clone(), (now, counts));
            }
            PulseScope::All => {
                let total = Total {
                    counts,
                    is_whole: news.is_whole,
                    is_fresh: news.is_fresh,
                };
                self.total = Some((now, total));
            }
        }
    }

    fn receive_own(&mut self, from: &InstanceId, incarnation: Incarnation, counts: Counts) {
        match self.members.get(from) {
            // A report that was overtaken on its way.
            Some((known, _)) if *known > incarnation => return,
            Some((known, last)) if *known == incarnation && last.total() > counts.total() => {
                return;
            }
            Some((known, last)) if *known < incarnation => self.former.add(last),
            Some(_) | None => {}
        }
        self.members.insert(from.clone(), (incarnation, counts));
    }

    /// Returns the counts to report.
    pub(crate) fn report(&self, scope: PulseScope, own_domain: &DomainId) -> Counts {
        let mut sum = self.own.clone();
        if scope == PulseScope::Own {
            return sum;
        }
        sum.add(&self.former);
        let members = self.members.values();
        members.for_each(|(_, counts)| sum.add(counts));
        if scope == PulseScope::All {
            let others = self.domains.iter().filter(|(id, _)| *id != own_domain);
            others.for_each(|(_, (_, counts))| sum.add(counts));
        }
        sum
    }

    /// Returns whether the sum of a hub lacks the news of no domain.
    pub(crate) fn is_whole(&self, now: Time, own_domain: &DomainId, max_age: Duration) -> bool {
        let others = self.domains.iter().filter(|(id, _)| *id != own_domain);
        let mut ages = others.map(|(_, (at, _))| now.saturating_sub(*at));
        ages.all(|age| age <= max_age || age >= DOMAIN_GONE)
    }

    /// Returns whether the sum of a hub has recent counts of every known domain.
    /// `known` are the other domains, and when each was last listed: one that is not
    /// listed any more may be gone, but not where no domain at all is heard.
    pub(crate) fn is_fresh(
        &self,
        now: Time,
        known: &BTreeMap<DomainId, Time>,
        max_age: Duration,
    ) -> bool {
        let is_recent = |at: &Time| now.saturating_sub(*at) <= max_age;
        let is_heard = |id: &DomainId| self.domains.get(id).is_some_and(|(at, _)| is_recent(at));
        let hears_any = known.keys().any(is_heard);
        let mut known = known.iter();
        known.all(|(id, listed_at)| is_heard(id) || (hears_any && !is_recent(listed_at)))
    }

    /// Returns whether a share may rise, or a roll-out complete, by the sum of all
    /// instances: it is no older than `max_age` and lacks no domain.
    pub(crate) fn is_proof(
        &self,
        now: Time,
        is_hub: bool,
        known: &BTreeMap<DomainId, Time>,
        max_age: Duration,
    ) -> bool {
        if is_hub {
            return self.is_fresh(now, known, max_age);
        }
        let total = self.total.as_ref();
        total.is_some_and(|(at, total)| total.is_fresh && now.saturating_sub(*at) <= max_age)
    }

    /// Returns whether the sum of all instances is known and no older than `max_age`.
    pub(crate) fn is_known(
        &self,
        now: Time,
        is_hub: bool,
        own_domain: &DomainId,
        max_age: Duration,
    ) -> bool {
        if is_hub {
            return self.is_whole(now, own_domain, max_age);
        }
        let total = self.total.as_ref();
        total.is_some_and(|(at, total)| total.is_whole && now.saturating_sub(*at) <= max_age)
    }

    /// Returns the sum of all instances if it is known and no older than `max_age`.
    pub(crate) fn total(
        &self,
        now: Time,
        is_hub: bool,
        own_domain: &DomainId,
        max_age: Duration,
    ) -> Option<Counts> {
        if !self.is_known(now, is_hub, own_domain, max_age) {
            return None;
        }
        match &self.total {
            Some((_, total)) if !is_hub => Some(total.counts.clone()),
            _ => Some(self.report(PulseScope::All, own_domain)),
        }
    }
}
