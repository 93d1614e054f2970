//! Roll-outs, which move a service's requests to targets of another version.
//!
//! An order of the operators names a service, a version and a time limit. Instances
//! send a share of the requests to the targets of that version, compare what comes
//! back with what the other targets answer in the same seconds, and either complete
//! the roll-out or take it back:
//!
//! - One instance leads: it writes each step and the decision to the roll-out's row in
//!   the store, on condition that the row is as it was read or written last. Whoever
//!   has lost the lead can't write. Another instance takes the lead if the leader is
//!   silent.
//! - All instances act by the record of the last write, which pulses carry. Without a
//!   record, or without recent counts of all instances, an instance sends nothing to
//!   the new version.
//! - Each instance keeps to a budget of its own, so that all of them keep to the
//!   operators' exposure whatever happens to messages (`budget.rs`).
//! - Each instance judges by the counts of all (`judge.rs`). One that finds the new
//!   version bad stops sending to it and tells the others, with or without the store.

mod budget;
mod counts;
mod judge;
mod lead;

pub use counts::{Counts, Side, SideCounts};

use crate::fleet::{PulseScope, Tag, target_tag};
use crate::hash::{hash_parts, rank};
use crate::id::{DomainId, Incarnation, InstanceId, ServiceId, TargetId, Time};
use budget::Budget;
use counts::Tally;
use judge::Judge;
use lead::{Evidence, Lead, View};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Longest age of the counts of all instances at which requests go to a version that
/// may be bad. It is several pulses long.
const MAX_COUNTS_AGE: Duration = Duration::from_millis(1_500);
/// Time after a roll-out's completion for which the former targets get nothing. They
/// stop at once, but their entries stay for a while.
const HOLD_AFTER: Duration = Duration::from_secs(30);
/// Time for which every pulse carries a decision; later, one in
/// [`DECIDED_INTERVAL`] does.
const DECIDED_NEWS: Duration = Duration::from_secs(5);
/// Interval between pulses that carry an old decision, for instances that start.
const DECIDED_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an order may be on its way to an instance that has read the first
/// entry of the ordered version already.
const ORDER_DELAY: Duration = Duration::from_secs(1);
/// Tags of routes in counts. A configuration may have thousands of routes, and pulses
/// carry the counts of all tags.
const ROUTE_TAGS: Tag = 64;
/// Targets that get requests before the decision, as a multiple of the share of the
/// requests that they get.
const CANARY_FACTOR: f64 = 1.25;
/// Time for which a failure domain is remembered of which no instance is listed any
/// more. A roll-out is over by then.
const DOMAIN_MEMORY: Duration = Duration::from_secs(600);
/// Time for which a service must have had targets of the ordered version alone for all
/// requests to go there without a decision. Entries that a store lacked for a while are
/// there again by then.
const ALONE_AFTER: Duration = Duration::from_secs(5);
/// Former versions that a record names as barred.
const MAX_BARRED: usize = 8;
/// Requests with a prompt prefix at once from which on its requests are split over
/// both versions, instead of staying with one.
const FREQUENT_PREFIX: f64 = 2.0;

/// Bounds of the operators on roll-outs.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutBounds {
    /// Largest share of a service's requests that a bad version may get.
    pub exposure_share: f64,
    /// Requests that it may get besides.
    pub exposure_slack: f64,
    /// Time after a bad version's 50th bad response from which on it gets nothing.
    pub rollback_time: Duration,
}

/// Order to move a service's requests to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service.
    pub service: ServiceId,
    /// Version of the targets' software.
    pub to: SmolStr,
    /// Time limit.
    pub duration: Duration,
    /// Version of the order's row, which tells orders for one service apart.
    pub version: u64,
}

/// How far a roll-out has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// A share of the requests goes to the new version.
    Running,
    /// All requests go to the new version.
    Complete,
    /// No request goes to the new version.
    RolledBack,
}

impl RolloutPhase {
    /// Returns the word for the phase in logs and metrics.
    pub fn word(self) -> &'static str {
        match self {
            RolloutPhase::Running => "running",
            RolloutPhase::Complete => "complete",
            RolloutPhase::RolledBack => "rolled_back",
        }
    }
}

/// State of a roll-out, as its row in the store holds it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// [`RolloutOrder::version`].
    #[serde(rename = "o")]
    pub order: u64,
    /// Version of the targets' software.
    #[serde(rename = "v")]
    pub to: SmolStr,
    /// Phase.
    #[serde(rename = "p")]
    pub phase: RolloutPhase,
    /// Number of the step, which sets the share of the new version.
    #[serde(rename = "s")]
    pub stage: u8,
    /// Number of the lead: it rises with each instance that takes it.
    #[serde(rename = "t")]
    pub term: u64,
    /// Number of the write within the term.
    #[serde(rename = "n")]
    pub step: u64,
    /// Instance that leads.
    #[serde(rename = "l")]
    pub leader: InstanceId,
    /// Time since the order, at the write.
    #[serde(rename = "e")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub elapsed: Duration,
    /// Responses of the new version by then.
    #[serde(rename = "r")]
    pub responses: u32,
    /// Bad ones of them.
    #[serde(rename = "b")]
    pub bad: u32,
    /// Versions of former orders that get no request.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub barred: Vec<SmolStr>,
}

impl RolloutRecord {
    /// Returns what orders the records of one service. A decision is above all that is
    /// undecided, so that a store that comes back older takes none back.
    fn rank(&self) -> (u64, bool, u64, u64) {
        let is_decided = self.phase != RolloutPhase::Running;
        (self.order, is_decided, self.term, self.step)
    }
}

/// What an instance tells others of a roll-out.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutNews {
    /// Service.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// [`RolloutOrder::version`].
    #[serde(rename = "o")]
    pub order: u64,
    /// Failure domain of the sender.
    #[serde(rename = "d")]
    pub domain: DomainId,
    /// Incarnation of the sender, whose counts start at 0.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Time since the order, as the sender knows it.
    #[serde(rename = "e")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub elapsed: Duration,
    /// Record of the last write that is known.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub record: Option<RolloutRecord>,
    /// Number that rises while the leader can lead.
    #[serde(rename = "b")]
    pub beat: u64,
    /// Whether the new version was found to be bad.
    #[serde(rename = "x")]
    pub is_stopped: bool,
    /// Whether the counts lack those of no failure domain.
    #[serde(rename = "w")]
    pub is_whole: bool,
    /// Whether the counts have recent ones of every failure domain that is known.
    #[serde(rename = "f", default)]
    pub is_fresh: bool,
    /// Responses of the instances in the pulse's scope.
    #[serde(rename = "c", default, skip_serializing_if = "Counts::is_empty")]
    pub counts: Counts,
}

/// Call to the store for a roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutCommand {
    /// Read the row.
    Read {
        /// Service.
        service: ServiceId,
    },
    /// Write the row if its version is `version`.
    Write {
        /// Service.
        service: ServiceId,
        /// Version that the row must have; 0 if it must not exist.
        version: u64,
        /// New value.
        record: RolloutRecord,
    },
}

/// Result of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutEvent {
    /// The row as it was read, or as it was found instead of the expected one; its
    /// version is 0 if there is none.
    Row(u64, Option<RolloutRecord>),
    /// The write took effect and gave the row this version.
    Written(u64),
    /// The call failed, or its result is unknown.
    Failed,
}

/// Roll-out of one service, for logs and the dump of the instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RolloutStatus {
    /// Service.
    pub service: ServiceId,
    /// Ordered version of the targets' software.
    pub to: SmolStr,
    /// Phase; `None` while no write is known.
    pub phase: Option<RolloutPhase>,
    /// Number of the step.
    pub stage: u8,
    /// Number of the lead.
    pub term: u64,
    /// Instance that leads.
    pub leader: Option<InstanceId>,
    /// Whether the new version was found to be bad.
    pub is_stopped: bool,
    /// Responses of the new version, over all instances.
    pub responses: u32,
    /// Bad ones of them.
    pub bad: u32,
}

/// Targets of a service that take requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadyTargets {
    /// Slots of the old version and of the new one.
    pub(crate) slots: (u32, u32),
    /// Whether a target of the old version is registered, and one of the new version.
    pub(crate) registered: (bool, bool),
    /// Time since which the first target of the new version is known here.
    pub(crate) new_since: Option<Time>,
    /// Targets of the new version by failure domain.
    pub(crate) new: BTreeMap<DomainId, Vec<TargetId>>,
}

/// What a choice among the targets of a service with a roll-out knows of the request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Draw {
    /// Hash of the chat's prompt prefix, or else of the request.
    pub(crate) key: u64,
    /// Whether this is the first attempt at the request.
    pub(crate) is_first: bool,
}

/// Attempt at a service with a roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RolloutLease {
    order: u64,
    pub(crate) side: Side,
    cell: (Tag, Tag),
    is_first: bool,
    /// Whether the target has run long enough for its speed to count.
    is_warm: bool,
    has_begun: bool,
}

/// Whether a service has had targets of other versions than the ordered one since the
/// order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OtherVersions {
    /// It has had no targets.
    Unknown,
    /// It has, whether or not they are there by now.
    Registered,
    /// It has had targets of the ordered version alone.
    Absent,
}

/// Roll-out of one service at one instance.
#[derive(Clone, Debug)]
struct Rollout {
    order: RolloutOrder,
    is_withdrawn: bool,
    /// Time since the order at `known_at`.
    elapsed: Duration,
    known_at: Time,
    record: Option<RolloutRecord>,
    decided_at: Time,
    is_stopped: bool,
    /// Versions of former orders that get no request.
    barred: BTreeSet<SmolStr>,
    budget: Budget,
    tally: Tally,
    judge: Judge,
    lead: Lead,
    told_at: Time,
    /// Time at which this instance read the order.
    read_at: Time,
    /// Targets of the new version that get requests before the decision.
    canaries: BTreeSet<TargetId>,
    others: OtherVersions,
    /// Whether other versions have been absent for [`ALONE_AFTER`].
    is_absent_long: bool,
}

impl Rollout {
    fn new(now: Time, order: RolloutOrder) -> Rollout {
        Rollout {
            order,
            is_withdrawn: false,
            elapsed: Duration::ZERO,
            known_at: now,
            record: None,
            decided_at: Time::ZERO,
            is_stopped: false,
            barred: BTreeSet::new(),
            budget: Budget::default(),
            tally: Tally::default(),
            judge: Judge::default(),
            lead: Lead::new(now),
            told_at: Time::ZERO,
            read_at: now,
            canaries: BTreeSet::new(),
            others: OtherVersions::Unknown,
            is_absent_long: false,
        }
    }

    fn phase(&self) -> Option<RolloutPhase> {
        self.record.as_ref().map(|r| r.phase)
    }

    fn is_decided(&self) -> bool {
        self.phase().is_some_and(|p| p != RolloutPhase::Running)
    }

    fn elapsed(&self, now: Time) -> Duration {
        self.elapsed + now.saturating_sub(self.known_at)
    }

    /// Takes over a later time since the order than is known here.
    fn note_elapsed(&mut self, now: Time, elapsed: Duration) {
        if elapsed > self.elapsed(now) {
            self.elapsed = elapsed;
            self.known_at = now;
        }
    }

    fn apply_record(&mut self, now: Time, record: RolloutRecord) {
        let is_news = self
            .record
            .as_ref()
            .is_none_or(|r| record.rank() > r.rank());
        if record.order != self.order.version || !is_news {
            return;
        }
        let was_decided = self.is_decided();
        self.note_elapsed(now, record.elapsed);
        // The leader has read what became of the former order.
        self.barred = record.barred.iter().cloned().collect();
        self.lead.note_beat(now, record.term << 32);
        self.record = Some(record);
        if !was_decided && self.is_decided() {
            self.decided_at = now;
        }
    }

    /// Returns the versions among which targets are looked for, the preferred one
    /// first.
    fn sides(
        &mut self,
        now: Time,
        bounds: &RolloutBounds,
        draw: Draw,
        is_known: bool,
    ) -> Vec<Side> {
        let is_over = self.elapsed(now) >= self.order.duration;
        match self.record.as_ref().map(|r| (r.phase, r.stage)) {
            Some((RolloutPhase::Complete, _)) => vec![Side::New],
            Some((RolloutPhase::RolledBack, _)) => vec![Side::Old],
            _ if self.is_alone() && !self.is_stopped => vec![Side::New],
            _ if self.is_stopped || self.is_withdrawn || is_over => vec![Side::Old],
            Some((RolloutPhase::Running, stage)) if is_known && self.budget.allows() => {
                let share = lead::stage_share(stage, bounds);
                let key = [&draw.key.to_le_bytes()[..], self.order.to.as_bytes()];
                let unit = hash_parts(&key) as f64 / u64::MAX as f64;
                if draw.is_first && unit < share {
                    vec![Side::New, Side::Old]
                } else {
                    vec![Side::Old, Side::New]
                }
            }
            Some((RolloutPhase::Running, _)) | None => vec![Side::Old],
        }
    }
}

/// The roll-outs of all services at one instance.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    /// Bounds; `None` where the operators order no roll-outs.
    bounds: Option<RolloutBounds>,
    me: InstanceId,
    incarnation: Incarnation,
    domain: DomainId,
    /// Whether this instance is the hub of its domain.
    is_hub: bool,
    /// Other failure domains, and when an instance of each was last listed.
    domains: BTreeMap<DomainId, Time>,
    by_service: BTreeMap<ServiceId, Rollout>,
    /// Version to which the choice that is under way is restricted.
    chosen_side: Option<Side>,
    /// Versions that have just appeared without an order, and until when they get no
    /// request: the order may be on its way.
    unexpected: BTreeMap<ServiceId, (SmolStr, Time)>,
    /// Whether the choice that is under way leaves those versions out.
    leaves_out: bool,
    /// When the last target of a service and a version left.
    left: BTreeMap<(ServiceId, SmolStr), Time>,
}

impl Rollouts {
    /// Sets the operators' bounds, without which orders have no effect, and whose
    /// roll-outs these are.
    pub fn enable(
        &mut self,
        bounds: Option<RolloutBounds>,
        me: InstanceId,
        incarnation: Incarnation,
        domain: DomainId,
    ) {
        self.bounds = bounds;
        self.me = me;
        self.incarnation = incarnation;
        self.domain = domain;
    }

    /// Records the failure domains of which instances are listed. No share rises and
    /// nothing completes without recent counts of each.
    pub fn know_domains(&mut self, now: Time, listed: impl IntoIterator<Item = DomainId>) {
        let others = listed.into_iter().filter(|id| *id != self.domain);
        self.domains.extend(others.map(|id| (id, now)));
        self.domains
            .retain(|_, at| now.saturating_sub(*at) < DOMAIN_MEMORY);
    }

    /// Applies an order that is in the store. `instances` is the number of instances
    /// that share the slack; 0 where this one has not known them for long. Returns
    /// whether the order is new.
    pub fn set_order(&mut self, now: Time, order: RolloutOrder, instances: usize) -> bool {
        let Some(bounds) = &self.bounds else {
            return false;
        };
        let known = self.by_service.get(&order.service);
        if known.is_some_and(|k| k.order.version == order.version) {
            return false;
        }
        let mut rollout = Rollout::new(now, order);
        if let Some(former) = known {
            rollout.barred.clone_from(&former.barred);
            if former.phase() != Some(RolloutPhase::Complete) {
                rollout.barred.insert(former.order.to.clone());
            }
        }
        rollout.barred.remove(&rollout.order.to);
        self.unexpected.remove(&rollout.order.service);
        if instances > 0 {
            let draw = hash_parts(&[self.me.as_bytes(), &rollout.order.version.to_le_bytes()]);
            let draw = draw as f64 / u64::MAX as f64;
            rollout.budget = Budget::new(bounds.exposure_slack, instances, draw);
        }
        self.by_service
            .insert(rollout.order.service.clone(), rollout);
        true
    }

    /// Records which targets a service has when its order is read.
    pub(crate) fn note_registered(&mut self, now: Time, service: &str, ready: &ReadyTargets) {
        if let Some(rollout) = self.by_service.get_mut(service) {
            rollout.note_registered(now, ready, &self.left);
        }
    }

    /// Records that a target has left.
    pub(crate) fn note_left(&mut self, now: Time, service: &ServiceId, software: &SmolStr) {
        self.left
            .retain(|_, at| now.saturating_sub(*at) < ALONE_AFTER);
        self.left.insert((service.clone(), software.clone()), now);
    }

    /// Records that the operators have withdrawn the order for a service. A roll-out
    /// that is undecided is taken back.
    pub fn withdraw(&mut self, service: &str) {
        if let Some(rollout) = self.by_service.get_mut(service) {
            rollout.is_withdrawn = true;
        }
    }

    /// Records that the store has come back from a backup, which may lack records.
    pub fn store_restored(&mut self) {
        for rollout in self.by_service.values_mut() {
            rollout.lead.forget_row();
        }
    }

    /// Returns the news for pulses of a scope.
    pub fn news(&mut self, now: Time, scope: PulseScope) -> Vec<RolloutNews> {
        let mut news = Vec::new();
        for (service, rollout) in &mut self.by_service {
            let is_decided = rollout.is_decided();
            let is_old = is_decided && now.saturating_sub(rollout.decided_at) >= DECIDED_NEWS;
            if is_old && now.saturating_sub(rollout.told_at) < DECIDED_INTERVAL {
                continue;
            }
            if scope != PulseScope::Domain {
                rollout.told_at = now;
            }
            let mut counts = Counts::default();
            if !is_decided {
                counts = rollout.tally.report(scope, &self.domain);
            }
            let tally = &rollout.tally;
            let is_whole = tally.is_whole(now, &self.domain, MAX_COUNTS_AGE);
            let is_fresh = tally.is_fresh(now, &self.domains, MAX_COUNTS_AGE);
            news.push(RolloutNews {
                service: service.clone(),
                order: rollout.order.version,
                domain: self.domain.clone(),
                incarnation: self.incarnation,
                elapsed: rollout.elapsed(now),
                record: rollout.record.clone(),
                beat: rollout.lead.beat(),
                is_stopped: rollout.is_stopped,
                is_whole,
                is_fresh,
                counts,
            });
        }
        news
    }

    /// Processes the news of another instance. Those of another order than the one
    /// that this instance has read have no effect.
    pub fn receive(
        &mut self,
        now: Time,
        from: &InstanceId,
        scope: PulseScope,
        news: &[RolloutNews],
    ) {
        for news in news {
            let Some(rollout) = self.by_service.get_mut(&news.service) else {
                continue;
            };
            if rollout.order.version != news.order {
                continue;
            }
            rollout.note_elapsed(now, news.elapsed);
            rollout.is_stopped |= news.is_stopped;
            rollout.lead.note_beat(now, news.beat);
            if let Some(record) = &news.record {
                rollout.apply_record(now, record.clone());
            }
            rollout.tally.receive(now, from, scope, news);
        }
    }

    /// Judges the new versions, and returns the calls to the store that are due.
    ///
    /// `position` returns the position of this instance among those that may lead a
    /// service's roll-out, and `ready` its ready targets.
    pub(crate) fn poll(
        &mut self,
        now: Time,
        is_hub: bool,
        position: impl Fn(&ServiceId) -> Option<usize>,
        ready: impl Fn(&RolloutOrder) -> ReadyTargets,
    ) -> Vec<RolloutCommand> {
        self.is_hub = is_hub;
        let Some(bounds) = &self.bounds else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        for rollout in self.by_service.values_mut() {
            let ready = ready(&rollout.order);
            rollout.choose_canaries(bounds, &ready);
            rollout.note_registered(now, &ready, &self.left);
            let mut evidence = Evidence {
                elapsed: rollout.elapsed(now),
                observed: now.saturating_sub(rollout.read_at),
                slots: ready.slots,
                is_alone: rollout.is_alone(),
                ..Evidence::default()
            };
            if !rollout.is_decided() {
                let age = MAX_COUNTS_AGE.min(bounds.rollback_time / 3);
                let total = rollout.tally.total(now, is_hub, &self.domain, age);
                if let Some(total) = &total {
                    rollout.judge.observe(now, total);
                    evidence.requests = total.total();
                }
                evidence.is_known =
                    total.is_some() && rollout.tally.is_proof(now, is_hub, &self.domains, age);
                rollout.is_stopped |= rollout.judge.is_bad();
            }
            evidence.is_stopped = rollout.is_stopped || rollout.is_withdrawn;
            evidence.excess = rollout.judge.excess();
            evidence.responses = rollout.judge.responses();
            evidence.timed = rollout.judge.timed();
            evidence.least_on_route = rollout.judge.least_on_route(lead::FREQUENT_ROUTE);
            let view = View {
                me: &self.me,
                order: &rollout.order,
                bounds,
                record: rollout.record.as_ref(),
                barred: &rollout.barred,
                evidence,
                position: position(&rollout.order.service),
            };
            commands.extend(rollout.lead.poll(now, &view));
        }
        commands
    }

    /// Processes the result of a call to the store for a service.
    pub fn handle(&mut self, now: Time, service: &str, event: RolloutEvent) {
        let Some(rollout) = self.by_service.get_mut(service) else {
            return;
        };
        match event {
            RolloutEvent::Written(version) => {
                if let Some(record) = rollout.lead.written(now, version) {
                    rollout.apply_record(now, record);
                }
            }
            // The row belongs to a later order, which this instance has not read yet.
            RolloutEvent::Row(_, Some(record)) if record.order > rollout.order.version => {
                rollout.lead.failed(now);
            }
            RolloutEvent::Row(version, stored) => {
                let order = rollout.order.version;
                if let Some(former) = stored.as_ref().filter(|s| s.order < order) {
                    rollout.bar_former(former);
                }
                let stored = stored.filter(|s| s.order == order);
                let known = rollout.record.as_ref();
                rollout.lead.read(now, version, stored.as_ref(), known);
                if let Some(record) = stored {
                    rollout.apply_record(now, record);
                }
            }
            RolloutEvent::Failed => rollout.lead.failed(now),
        }
    }

    /// Returns the versions among which a service's targets are looked for, the
    /// preferred one first; `None` where all are alike.
    pub(crate) fn sides(&mut self, now: Time, service: &str, draw: Draw) -> Option<Vec<Side>> {
        let bounds = self.bounds.as_ref()?;
        let rollout = self.by_service.get_mut(service)?;
        let is_complete = rollout.phase() == Some(RolloutPhase::Complete);
        if is_complete && now.saturating_sub(rollout.decided_at) >= HOLD_AFTER {
            let has_barred = !rollout.barred.is_empty();
            return has_barred.then(|| vec![Side::New, Side::Old]);
        }
        let age = MAX_COUNTS_AGE.min(bounds.rollback_time / 3);
        let is_known = rollout.tally.is_known(now, self.is_hub, &self.domain, age);
        Some(rollout.sides(now, bounds, draw, is_known))
    }

    /// Restricts the choice that follows to the targets of one version; `None` ends
    /// that.
    pub(crate) fn restrict(&mut self, side: Option<Side>) {
        self.chosen_side = side;
    }

    /// Records that the first target of a version has appeared beside those of another.
    pub(crate) fn note_version(&mut self, now: Time, service: &ServiceId, software: &SmolStr) {
        let known = self.by_service.get(service);
        if self.bounds.is_some() && known.is_none_or(Rollout::is_decided) {
            let held = (software.clone(), now + ORDER_DELAY);
            self.unexpected.insert(service.clone(), held);
        }
    }

    /// Has the choice that follows leave out a version of a service that has just
    /// appeared without an order; returns whether there is one.
    pub(crate) fn leave_out(&mut self, now: Time, service: &str) -> bool {
        let held = self.unexpected.get(service);
        self.leaves_out = held.is_some_and(|(_, until)| now < *until);
        self.leaves_out
    }

    fn is_left_out(&self, service: &str, software: &str) -> bool {
        let held = self.unexpected.get(service);
        self.leaves_out && held.is_some_and(|(version, _)| version == software)
    }

    /// Ends [`Rollouts::leave_out`].
    pub(crate) fn leave_out_none(&mut self) {
        self.leaves_out = false;
    }

    /// Returns whether the choice that is under way may take a target by the version
    /// of its software.
    pub(crate) fn admits(&self, service: &str, id: &TargetId, software: &str) -> bool {
        match (self.chosen_side, self.by_service.get(service)) {
            (Some(side), Some(rollout)) if rollout.side(software) == side => match side {
                Side::New => {
                    rollout.is_decided() || rollout.is_alone() || rollout.canaries.contains(id)
                }
                Side::Old => {
                    !rollout.barred.contains(software) && !self.is_left_out(service, software)
                }
            },
            (Some(_), Some(_)) => false,
            _ => !self.is_left_out(service, software),
        }
    }

    /// Counts an attempt, and returns what its outcome is counted by.
    pub(crate) fn begin(
        &mut self,
        service: &str,
        side: Side,
        draw: Draw,
        (route, domain): (&str, &str),
        is_warm: bool,
    ) -> Option<RolloutLease> {
        let bounds = self.bounds.as_ref()?;
        let rollout = self.by_service.get_mut(service)?;
        if draw.is_first {
            rollout.budget.earn(bounds.exposure_share);
        }
        if side == Side::New {
            rollout.budget.spend();
        }
        Some(RolloutLease {
            order: rollout.order.version,
            side,
            cell: (target_tag(route) % ROUTE_TAGS, target_tag(domain)),
            is_first: draw.is_first,
            is_warm,
            has_begun: false,
        })
    }

    /// Records the first byte of a response, `wait` after its attempt began.
    pub(crate) fn record_first_byte(
        &mut self,
        service: &str,
        lease: &mut RolloutLease,
        wait: Duration,
    ) {
        let Some(rollout) = self.running(service, lease) else {
            return;
        };
        if !std::mem::replace(&mut lease.has_begun, true) {
            let wait = Some(wait).filter(|_| lease.is_warm);
            let counts = rollout.tally.own.side(lease.cell, lease.side);
            counts.record_first_byte(wait);
        }
    }

    /// Records the end of an attempt. `failed` is `None` where it tells nothing of the
    /// target.
    pub(crate) fn record_end(
        &mut self,
        service: &str,
        lease: &RolloutLease,
        failed: Option<bool>,
        has_arrived: bool,
    ) {
        let share = self.bounds.as_ref().map_or(0.0, |b| b.exposure_share);
        let Some(rollout) = self.running(service, lease) else {
            return;
        };
        if lease.is_first && !has_arrived {
            rollout.budget.forfeit(share);
        }
        let counts = rollout.tally.own.side(lease.cell, lease.side);
        match failed {
            Some(true) if lease.has_begun => counts.late += 1,
            Some(true) => counts.early += 1,
            Some(false) if !lease.has_begun => counts.record_first_byte(None),
            Some(false) | None => {}
        }
    }

    /// Returns the roll-out of an attempt's order, while it is undecided.
    fn running(&mut self, service: &str, lease: &RolloutLease) -> Option<&mut Rollout> {
        let rollout = self.by_service.get_mut(service)?;
        (rollout.order.version == lease.order && !rollout.is_decided()).then_some(rollout)
    }

    /// Returns whether an attempt for which a target was chosen before may no longer
    /// be sent there.
    pub(crate) fn is_stopped(&self, service: &str, lease: &RolloutLease) -> bool {
        let rollout = self.by_service.get(service);
        rollout.is_some_and(|r| {
            let is_stopped = r.is_stopped || r.is_withdrawn;
            let is_back = r.phase() == Some(RolloutPhase::RolledBack);
            let is_undecided = r.phase() != Some(RolloutPhase::Complete);
            let is_current = r.order.version == lease.order;
            let is_stopped = is_back || (is_undecided && is_stopped) || !is_current;
            lease.side == Side::New && is_stopped
        })
    }

    /// Forgets orders that were withdrawn once they have no effect: no target is left
    /// that a decision keeps requests from.
    pub(crate) fn forget_withdrawn(&mut self, slots: impl Fn(&RolloutOrder) -> (u32, u32)) {
        self.by_service.retain(|_, rollout| {
            let (old, new) = slots(&rollout.order);
            let is_moot = match rollout.phase() {
                Some(RolloutPhase::Complete) | None => old == 0,
                Some(RolloutPhase::RolledBack) => new == 0 || old == 0,
                Some(RolloutPhase::Running) => false,
            };
            !(rollout.is_withdrawn && is_moot)
        });
    }

    /// Returns the state of all roll-outs.
    pub fn statuses(&self) -> Vec<RolloutStatus> {
        let status = |(service, rollout): (&ServiceId, &Rollout)| {
            let record = rollout.record.as_ref();
            let (responses, bad) = rollout.judge.responses();
            RolloutStatus {
                service: service.clone(),
                to: rollout.order.to.clone(),
                phase: rollout.phase(),
                stage: record.map_or(0, |r| r.stage),
                term: record.map_or(0, |r| r.term),
                leader: record.map(|r| r.leader.clone()),
                is_stopped: rollout.is_stopped,
                responses,
                bad,
            }
        };
        self.by_service.iter().map(status).collect()
    }
}

impl Rollout {
    fn note_registered(
        &mut self,
        now: Time,
        ready: &ReadyTargets,
        left: &BTreeMap<(ServiceId, SmolStr), Time>,
    ) {
        self.others = match (self.others, ready.registered) {
            (OtherVersions::Registered, _) | (_, (true, _)) => OtherVersions::Registered,
            (_, (false, true)) => OtherVersions::Absent,
            (_, (false, false)) => OtherVersions::Unknown,
        };
        let is_long = |at: Time| now.saturating_sub(at) >= ALONE_AFTER;
        let (service, to) = (&self.order.service, &self.order.to);
        let mut left = left.iter().filter(|((s, v), _)| s == service && v != to);
        self.is_absent_long =
            ready.new_since.is_some_and(is_long) && left.all(|(_, at)| is_long(*at));
    }

    /// Returns whether all targets are of the new version, and have been for a while. An
    /// instance that has just started may not know the others yet. Nor does that hold
    /// once responses were compared: there have been others.
    fn is_alone(&self) -> bool {
        let is_compared = self
            .record
            .as_ref()
            .is_some_and(|r| r.phase == RolloutPhase::Running && (r.stage > 0 || r.responses > 0));
        self.others == OtherVersions::Absent && self.is_absent_long && !is_compared
    }

    /// Chooses the targets that get requests before the decision: so few that each has
    /// nearly the load that it will have, and one in each failure domain at least.
    fn choose_canaries(&mut self, bounds: &RolloutBounds, ready: &ReadyTargets) {
        let stage = self.record.as_ref().map_or(0, |r| r.stage);
        let all: usize = ready.new.values().map(Vec::len).sum();
        let share = lead::stage_share(stage, bounds) * CANARY_FACTOR;
        let count = (all as f64 * share).ceil() as usize;
        let each = count.div_ceil(ready.new.len().max(1)).max(1);
        let key = self.order.version;
        let chosen = ready.new.values().flat_map(|targets| {
            let names = targets.iter().map(|id| (id.as_str(), 1));
            rank(key, names).into_iter().take(each)
        });
        self.canaries = chosen.map(TargetId::from).collect();
    }

    fn side(&self, software: &str) -> Side {
        if self.order.to == software {
            Side::New
        } else {
            Side::Old
        }
    }

    /// Keeps requests from the version of a former order that was not completed.
    fn bar_former(&mut self, former: &RolloutRecord) {
        self.barred.extend(former.barred.iter().cloned());
        match former.phase {
            RolloutPhase::Complete => self.barred.remove(&former.to),
            RolloutPhase::Running | RolloutPhase::RolledBack => {
                self.barred.insert(former.to.clone())
            }
        };
        self.barred.remove(&self.order.to);
        while self.barred.len() > MAX_BARRED {
            self.barred.pop_first();
        }
    }
}

/// Returns whether requests with a prompt prefix, of which so many run at once, are
/// split over both versions.
pub(crate) fn is_split(running: f64) -> bool {
    running >= FREQUENT_PREFIX
}
