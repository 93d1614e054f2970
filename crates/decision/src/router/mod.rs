//! Admission of callers' requests, choice of a target for each attempt, and the
//! budget of retries.

mod choose;
mod connections;
mod crashes;
mod evacuations;
mod freshness;
mod load_bounds;
mod memory;
mod prefixes;
mod restore;
mod rollouts;
mod room;
mod targets;
mod versions;

pub use choose::{Exclusion, Pick, PoolView, TargetQuery};
pub use connections::ConnectionClaim;
pub use crashes::{CrashReport, QuarantineChange};
pub use freshness::Freshness;
pub use targets::{
    AttemptOutcome, Lease, NoticeChange, RouterTargetDump, TargetNotice, WarmupChange,
};

use crate::capacity::Held;
use crate::configuration::{Configuration, KeyOwner, Route, TargetEntry};
use crate::connections::Sharers;
use crate::fleet::LoadSummary;
use crate::id::{DomainId, Fingerprint, ServiceId, TargetId, Time, Version, WorkspaceId};
use crate::retry_budget::RetryBudget;
use crate::rollout::Rollouts;
use crashes::{Crashes, Share};
use evacuations::Evacuations;
use prefixes::Prefixes;
use serde::Serialize;
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use targets::{TargetState, Targets};
use versions::Versions;

/// Shortest outage of the store in which an entry can lapse: it lapses after
/// three intervals of 1.2 s without a report of its target, and one of them may
/// have passed before the outage began.
const MIN_LAPSE_GAP: Duration = Duration::from_millis(2_400);
/// Grace period after an outage in which lapsed entries may return.
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);
/// Time after the start of the process by which it knows the other instances.
const FLEET_DISCOVERY_TIME: Duration = Duration::from_secs(3);
/// Share of the retry budget that is used. Requests that callers gave up on, and
/// arrivals that no instance counted, draw on the budget too.
const RETRY_BUDGET_SHARE: f64 = 0.75;
/// Window over which the operators count retries.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Bounds that the operators' settings define.
#[derive(Clone, Debug)]
pub struct RouterBounds {
    /// Age of the configuration at which keys are no longer accepted.
    pub key_age: Duration,
    /// Retries allowed per first attempt, over all instances.
    pub retry_ratio: f64,
    /// Retries allowed on top of that ratio in each window of 10 s, over all
    /// instances.
    pub retry_slack: f64,
    /// Factor by which the request rate at a cold target may exceed its
    /// `cold_rate`.
    pub cold_excess: f64,
    /// Requests per second that a cold target may get on top of that.
    pub cold_slack: f64,
    /// Multiple of its pool's mean load that no target's load may exceed.
    pub load_multiple: f64,
}

/// Reason for refusing a request, which has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known yet.
    Unconfigured,
    /// The configuration is too old to check a key or to deny a path.
    Stale,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown, or belongs to another workspace by now.
    BadKey,
    /// No target of the service takes requests.
    NoTarget,
    /// Every target of the service is full.
    Full,
    /// The request is larger than the memory of any target.
    Oversized,
    /// The line for slots of the service is too long for the request's time.
    NoRoom {
        /// Time after which the request may come again.
        retry_after: Duration,
    },
    /// Targets of the service want no request for a while, and the others can't
    /// take it.
    Paused,
    /// Requests like this one crash their targets.
    Quarantined {
        /// Fingerprint that is quarantined.
        fingerprint: Fingerprint,
        /// Time after which a request with it may be admitted.
        time_left: Duration,
    },
}

impl Refusal {
    fn quarantined((fingerprint, time_left): (Fingerprint, Duration)) -> Refusal {
        Refusal::Quarantined {
            fingerprint,
            time_left,
        }
    }

    /// Returns the word for this reason in logs, metrics and responses.
    pub fn word(self) -> &'static str {
        match self {
            Refusal::Unconfigured => "unconfigured",
            Refusal::Stale => "stale_configuration",
            Refusal::NoRoute => "no_route",
            Refusal::BadKey => "bad_key",
            Refusal::NoTarget => "no_target",
            Refusal::Full => "full",
            Refusal::Oversized => "oversized",
            Refusal::NoRoom { .. } => "no_room",
            Refusal::Paused => "paused",
            Refusal::Quarantined { .. } => "quarantined",
        }
    }
}

/// Decision that a request may be forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admission {
    /// Route of the request.
    pub route: Route,
    /// Service chosen from the route's split.
    pub service: ServiceId,
    /// Workspace that owns the request's key; `None` where no key is needed.
    pub workspace: Option<WorkspaceId>,
    /// Priority class of the key's owner or else of the route; 0 is the most
    /// urgent.
    pub priority_class: u8,
    /// Version of the configuration by which the request was admitted.
    pub version: Version,
}

/// Routing state of one instance: the configuration, the targets and their load.
pub struct Router {
    bounds: RouterBounds,
    configuration: Option<Arc<Configuration>>,
    freshness: Freshness,
    versions: Versions,
    evacuated: Evacuations,
    targets: Targets,
    budgets: BTreeMap<ServiceId, RetryBudget>,
    prefixes: Prefixes,
    crashes: Crashes,
    rollouts: Rollouts,
    /// Instances that share the limits.
    instances: usize,
    /// Position of this instance among them, in the order of their names.
    position: usize,
    /// Instances among which limits on connections are divided.
    sharers: Sharers,
    /// Time at which the remote load was reported; `None` where none is known.
    remote_load_at: Option<Time>,
}

impl Router {
    /// Creates a router without configuration and targets.
    pub fn new(bounds: RouterBounds) -> Self {
        Router {
            freshness: Freshness::new(bounds.key_age),
            bounds,
            configuration: None,
            versions: Versions::default(),
            evacuated: Evacuations::default(),
            targets: Targets::default(),
            budgets: BTreeMap::new(),
            prefixes: Prefixes::default(),
            crashes: Crashes::default(),
            rollouts: Rollouts::default(),
            instances: 1,
            position: 0,
            sharers: Sharers::default(),
            remote_load_at: None,
        }
    }

    /// Puts a configuration in force and returns `true`, unless its version is no
    /// newer than that of the current one.
    pub fn configure(&mut self, configuration: Configuration) -> bool {
        let current = self.version();
        if current.is_some_and(|v| v >= configuration.version) {
            return false;
        }
        self.configuration = Some(Arc::new(configuration));
        self.resume_proofs();
        true
    }

    /// Returns the version of the configuration in force.
    pub fn version(&self) -> Option<Version> {
        self.configuration.as_ref().map(|c| c.version)
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns how recently the configuration was proved to be the newest.
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// Records that the copy of the operators' table was the newest one at `at`.
    ///
    /// That proves the configuration in force to be the newest, unless another
    /// instance has a newer one in force or the copy has another one: a copy that is
    /// known to be older proves nothing.
    pub fn configuration_verified(&mut self, at: Time) {
        self.evacuated.set_verified(at);
        if self.versions.prove(self.version(), at) {
            self.freshness.set_verified(at);
        }
    }

    /// Applies a change of a target's entry; `None` is its removal.
    pub fn update_target(&mut self, now: Time, id: &TargetId, entry: Option<TargetEntry>) {
        let cold_time = self.least_cold_time(entry.as_ref());
        if let Some(entry) = &entry {
            self.note_version(now, id, entry);
        }
        self.note_left(now, id, entry.as_ref());
        self.targets.apply(now, id, entry, cold_time);
    }

    /// Returns the cold time of the service of an entry.
    fn least_cold_time(&self, entry: Option<&TargetEntry>) -> Duration {
        entry
            .and_then(|e| self.configuration.as_ref()?.services.get(&e.service))
            .map_or(Duration::ZERO, |s| s.cold_time)
    }

    /// Records that the copy of the targets' entries was the newest one at `at`,
    /// and the last time before that at `before`.
    pub fn entries_verified(&mut self, now: Time, before: Option<Time>, at: Time) {
        self.targets.former.set_verified(at);
        self.keep_lapsed(now, before, at);
    }

    /// Prepares for changes of targets' entries that were the newest ones at `at` or
    /// earlier; `before` is the time of the last proof.
    ///
    /// Where the gap between the two is long enough for entries to lapse because
    /// the store was out of service, targets whose entries are removed are kept
    /// for a grace period. The changes themselves may be removals.
    pub fn keep_lapsed(&mut self, now: Time, before: Option<Time>, at: Time) {
        if before.is_some_and(|b| at.saturating_sub(b) > MIN_LAPSE_GAP) {
            self.targets.keep_lapsed_until(now + LAPSE_GRACE);
        }
    }

    /// Removes targets whose entries lapsed during an outage of the store and have
    /// not returned within the grace period, and returns their names.
    ///
    /// It also ends what holds for a while after [`Router::store_restored`].
    pub fn remove_lapsed(&mut self, now: Time) -> Vec<TargetId> {
        let removed = self.targets.remove_lapsed(now);
        self.targets.confirm_held(now);
        self.evacuated.end_unlisted(now);
        removed
    }

    /// Records whether the operators have evacuated a failure domain by a row in the
    /// store, and returns whether that is a change. For [`crate::Node`], a drain mark
    /// has the same meaning.
    pub fn set_evacuated(&mut self, domain: &DomainId, evacuated: bool) -> bool {
        self.evacuated.set(domain, evacuated)
    }

    /// Returns the evacuated failure domains, whose targets get no requests.
    pub fn evacuated(&self) -> &BTreeSet<DomainId> {
        self.evacuated.domains()
    }

    /// Sets how many instances share the limits, and the position of this one in
    /// the order of their names.
    pub fn set_share(&mut self, instances: usize, position: usize) {
        self.instances = instances.max(1);
        self.position = position;
    }

    /// Sets the load of all other instances, which was reported at `at`.
    pub fn set_remote_load(&mut self, at: Option<Time>, load: LoadSummary) {
        self.remote_load_at = at;
        self.targets.set_remote_load(&load);
        self.prefixes.set_remote_counts(load.prefixes);
    }

    /// Records how long a target took for the next event of a stream.
    pub fn record_work(&mut self, now: Time, lease: &Lease, took: Duration) {
        self.targets.record_work(now, lease, took);
    }

    /// Records the time that work takes at a target as it tells itself, in hundredths
    /// of the usual time. Its service's targets are weighed by their pace from then on.
    pub fn record_pace(&mut self, now: Time, lease: &Lease, pace: u32) {
        self.targets.record_pace(now, lease, pace);
    }

    /// Estimates anew how fast the targets work, which is to be done several times a
    /// second. Returns the warm-ups that have begun or ended.
    pub fn update_paces(&mut self, now: Time) -> Vec<WarmupChange> {
        self.targets.update_paces(now, self.bounds.load_multiple)
    }

    /// Returns the load of this instance, which its pulses report.
    pub fn own_load(&self, now: Time) -> LoadSummary {
        let none = BTreeMap::new();
        let services = self.configuration.as_ref().map_or(&none, |c| &c.services);
        let reported = |id: &TargetId, state: &TargetState| Held {
            connections: self.excess_connections(now, id, state),
            tokens: state.reported_tokens(self.instances, services.get(&state.entry.service)),
            ..state.own
        };
        LoadSummary {
            prefixes: self.prefixes.top_counts(now),
            ..self.targets.own_load(now, reported)
        }
    }

    /// Returns the number of requests that this instance has at targets.
    pub fn in_flight(&self) -> u32 {
        self.targets.in_flight()
    }

    /// Returns the state of every target.
    pub fn target_dumps(&self, now: Time) -> Vec<RouterTargetDump> {
        self.targets.dumps(now)
    }

    /// Decides whether a request may be forwarded, and to which service.
    ///
    /// `hash` selects a service from the route's split. An old configuration
    /// denies neither a path nor a key, as a newer one may allow them.
    ///
    /// # Errors
    ///
    /// Returns the reason for refusing the request.
    pub fn admit(
        &self,
        now: Time,
        host: &str,
        path: &str,
        key: Option<&str>,
        hash: u64,
    ) -> Result<Admission, Refusal> {
        let configuration = self.configuration.as_ref().ok_or(Refusal::Unconfigured)?;
        let Some(route) = configuration.route(host, path) else {
            return Err(if self.freshness.is_fresh(now) {
                Refusal::NoRoute
            } else {
                Refusal::Stale
            });
        };
        let owner = match &configuration.keys {
            Some(keys) if !route.public => Some(self.key_owner(now, keys, key)?),
            _ => None,
        };
        let service = route.service(hash).ok_or(Refusal::NoTarget)?;
        Ok(Admission {
            service: service.clone(),
            workspace: owner.map(|o| o.workspace.clone()),
            priority_class: owner
                .and_then(|o| o.priority_class)
                .unwrap_or(route.priority_class),
            version: configuration.version,
            route: route.clone(),
        })
    }

    /// Decides whether an admitted request may still be sent to a target: the key
    /// may have been revoked, or the configuration may have grown too old, since
    /// it was admitted.
    ///
    /// # Errors
    ///
    /// Returns the reason for refusing the request.
    pub fn readmit(
        &self,
        now: Time,
        admission: &Admission,
        key: Option<&str>,
    ) -> Result<(), Refusal> {
        let Some(workspace) = &admission.workspace else {
            return Ok(());
        };
        let none = BTreeMap::new();
        let keys = self.configuration.as_ref().and_then(|c| c.keys.as_ref());
        let owner = self.key_owner(now, keys.unwrap_or(&none), key)?;
        if owner.workspace == *workspace {
            Ok(())
        } else {
            Err(Refusal::BadKey)
        }
    }

    /// Decides whether an attempt for which a target was chosen earlier may still
    /// be sent: another response may have said since that the target leaves or
    /// wants a pause.
    ///
    /// # Errors
    ///
    /// Returns why the target takes no requests.
    pub fn recheck_target(&self, now: Time, lease: &Lease) -> Result<(), Refusal> {
        match self.targets.availability(lease) {
            _ if self.is_rolled_back(lease) => Err(Refusal::NoTarget),
            known if known.is_leaving => Err(Refusal::NoTarget),
            known if known.is_paused(now) => Err(Refusal::Paused),
            _ => Ok(()),
        }
    }

    /// Returns the time until the first of a service's targets takes requests
    /// again, if all of them have asked for a pause.
    pub fn pause_left(&self, now: Time, service: &ServiceId) -> Option<Duration> {
        choose::pause_left(self, now, service)
    }

    /// Records what the response to an attempt says of its target, and returns
    /// what is new of it.
    pub fn record_notice(
        &mut self,
        now: Time,
        lease: &Lease,
        notice: TargetNotice,
    ) -> NoticeChange {
        self.targets.record_notice(now, lease, notice)
    }

    /// Returns the owner of a key, unless the configuration is too old.
    fn key_owner<'a>(
        &self,
        now: Time,
        keys: &'a BTreeMap<SmolStr, KeyOwner>,
        key: Option<&str>,
    ) -> Result<&'a KeyOwner, Refusal> {
        if !self.freshness.is_fresh(now) {
            return Err(Refusal::Stale);
        }
        key.and_then(|k| keys.get(k)).ok_or(Refusal::BadKey)
    }

    /// Chooses a target for an attempt and counts the attempt in the target's load
    /// until [`Router::finish_attempt`].
    ///
    /// # Errors
    ///
    /// Returns why no target can take the request.
    pub fn choose(&mut self, now: Time, query: &TargetQuery<'_>) -> Result<Pick, Refusal> {
        self.choose_on(now, query, "")
    }

    /// Ends an attempt: it no longer counts in the target's load, and its outcome
    /// counts for the target's health.
    pub fn finish_attempt(&mut self, now: Time, lease: &Lease, outcome: AttemptOutcome) {
        if let Some(prefix) = lease.prompt_prefix
            && outcome == AttemptOutcome::Completed
        {
            let duration = now.saturating_sub(lease.since);
            self.prefixes.record_duration(prefix, duration);
        }
        self.end_rollout(lease, outcome);
        self.targets.finish(now, lease, outcome);
    }

    /// Returns whether the target of an attempt, in the start that the attempt was
    /// for, is draining, has said that it leaves, or has no entry any more, so that
    /// its end is planned.
    pub fn is_leaving(&self, lease: &Lease) -> bool {
        self.targets.is_leaving(lease)
    }

    /// Records that a target was found to have crashed after the connection of an
    /// attempt ended at `lost_at`, before the response was under way.
    pub fn record_crash(
        &mut self,
        now: Time,
        lease: &Lease,
        lost_at: Time,
        fingerprints: &[Fingerprint],
    ) {
        let wait = lost_at.saturating_sub(lease.since);
        let target = lease.incarnation;
        self.crashes
            .record_crash(now, lost_at, wait, target, fingerprints);
    }

    /// Records that a target responded to a request, or that the response is under
    /// way for so long that the request does not crash its target.
    pub fn record_begin(&mut self, now: Time, fingerprints: &[Fingerprint]) {
        self.crashes.record_begin(now, fingerprints);
    }

    /// Decides whether a request may be sent by what is known to crash targets. One
    /// that is admitted may be the trial of a suspect, after which no other request
    /// with it is admitted here for a while.
    ///
    /// # Errors
    ///
    /// Returns the quarantine for which the request is refused.
    pub fn check_quarantine(
        &mut self,
        now: Time,
        fingerprints: &[Fingerprint],
    ) -> Result<(), Refusal> {
        let share = Share {
            instances: self.instances,
            position: self.position,
        };
        let admitted = self.crashes.admit(now, share, fingerprints);
        admitted.map_err(Refusal::quarantined)
    }

    /// Decides once more whether a request may be sent that
    /// [`Router::check_quarantine`] admitted shortly before.
    ///
    /// # Errors
    ///
    /// Returns the quarantine for which the request is refused.
    pub fn recheck_quarantine(
        &self,
        now: Time,
        fingerprints: &[Fingerprint],
    ) -> Result<(), Refusal> {
        let readmitted = self.crashes.readmit(now, fingerprints);
        readmitted.map_err(Refusal::quarantined)
    }

    /// Returns the evidence of crashes for a pulse.
    pub fn crash_reports(&self, now: Time) -> Vec<CrashReport> {
        self.crashes.reports(now)
    }

    /// Merges the evidence of crashes of another instance.
    pub fn merge_crashes(&mut self, now: Time, reports: &[CrashReport]) {
        self.crashes.merge(now, reports);
    }

    /// Returns the quarantines that have begun or ended since the last call.
    pub fn quarantine_changes(&mut self, now: Time) -> Vec<QuarantineChange> {
        self.crashes.changes(now)
    }

    /// Counts the first attempt at a request towards the retry budget of its
    /// service.
    pub fn count_request(&mut self, service: &ServiceId) {
        self.budget(service).deposit();
    }

    /// Takes a token for one retry from the service's budget; returns `false`
    /// where none is left.
    pub fn take_retry_token(&mut self, now: Time, service: &ServiceId) -> bool {
        // An instance that has just started does not know how many share the budget.
        let slack = match now {
            now if now < FLEET_DISCOVERY_TIME => 0.0,
            _ => self.bounds.retry_slack * RETRY_BUDGET_SHARE / self.instances as f64,
        };
        let (burst, refill) = (slack / 2.0, slack / 2.0 / RETRY_WINDOW.as_secs_f64());
        let budget = self.budget(service);
        budget.set_limits(refill, burst.max(1.0));
        budget.withdraw(now)
    }

    /// Puts back a token of [`Router::take_retry_token`] for a retry that was not
    /// sent.
    pub fn return_retry_token(&mut self, service: &ServiceId) {
        self.budget(service).put_back();
    }

    /// Returns this instance's share of a service's retry budget.
    fn budget(&mut self, service: &ServiceId) -> &mut RetryBudget {
        let ratio = self.bounds.retry_ratio * RETRY_BUDGET_SHARE;
        let budgets = &mut self.budgets;
        let budget = budgets.entry(service.clone());
        budget.or_insert_with(|| RetryBudget::new(ratio, 0.0, 1.0))
    }
}

/// State of a router, for the dump of the instance.
#[derive(Clone, Debug, Serialize)]
pub struct RouterDump {
    /// Version of the configuration in force.
    pub version: Option<Version>,
    /// Milliseconds since the configuration was last proved to be the newest.
    pub age_ms: Option<u64>,
    /// Evacuated failure domains.
    pub evacuated: Vec<DomainId>,
    /// Instances that share the limits.
    pub instances: usize,
    /// Fingerprints with evidence of crashes.
    pub crash_records: usize,
    /// Targets.
    pub targets: Vec<RouterTargetDump>,
    /// Targets with restored entries that are not used yet.
    pub held: Vec<TargetId>,
}

impl Router {
    /// Returns the state of the router, for the dump of the instance.
    pub fn dump(&self, now: Time) -> RouterDump {
        RouterDump {
            version: self.version(),
            age_ms: self.freshness.age(now).map(|a| a.as_millis() as u64),
            evacuated: self.evacuated.domains().iter().cloned().collect(),
            instances: self.instances,
            crash_records: self.crashes.len(),
            targets: self.target_dumps(now),
            held: self.targets.former.held(),
        }
    }
}
