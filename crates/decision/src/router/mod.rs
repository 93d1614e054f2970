//! Where a caller's request goes: admission, choice of a target, retries.

mod bounds;
mod choose;
mod freshness;
mod prefixes;
mod targets;

pub use choose::{Pick, PoolView, TargetQuery};
pub use freshness::Freshness;
pub use targets::{AttemptOutcome, Lease, RouterTargetDump};

use crate::configuration::{Configuration, KeyOwner, Route, TargetEntry};
use crate::fleet::LoadSummary;
use crate::id::{DomainId, ServiceId, TargetId, Time, Version, WorkspaceId};
use crate::retry_budget::RetryBudget;
use prefixes::Prefixes;
use serde::Serialize;
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use targets::Targets;

const MIN_LAPSE_GAP: Duration = Duration::from_millis(2_400);
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);
const FLEET_DISCOVERY_TIME: Duration = Duration::from_secs(3);
const RETRY_BUDGET_SHARE: f64 = 0.75;
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Bounds that the operators set.
#[derive(Clone, Debug)]
pub struct RouterBounds {
    /// Longest age of a configuration by which a key may be honoured.
    pub key_age: Duration,
    /// Retries allowed for each request, over all instances.
    pub retry_ratio: f64,
    /// Retries allowed besides, over all instances.
    pub retry_slack: f64,
    /// Factor on a cold target's rate that is still borne.
    pub cold_excess: f64,
    /// Requests a second that a cold target bears besides.
    pub cold_slack: f64,
    /// Multiple of the pool's mean load that no target may pass.
    pub load_multiple: f64,
}

/// Why a request is refused. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known yet.
    Unconfigured,
    /// The configuration is too old to honour a key by it.
    Stale,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    BadKey,
    /// No target of the service takes requests.
    NoTarget,
    /// Every target of the service is full.
    Full,
}

impl Refusal {
    /// Stable word for logs and metrics.
    pub fn word(self) -> &'static str {
        match self {
            Refusal::Unconfigured => "unconfigured",
            Refusal::Stale => "stale_configuration",
            Refusal::NoRoute => "no_route",
            Refusal::BadKey => "bad_key",
            Refusal::NoTarget => "no_target",
            Refusal::Full => "full",
        }
    }
}

/// A request that may be forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admission {
    /// Its route.
    pub route: Route,
    /// Service chosen from the route's split.
    pub service: ServiceId,
    /// Workspace that holds the key.
    pub workspace: Option<WorkspaceId>,
    /// Rank; 0 is the most urgent.
    pub priority_class: u8,
    /// Version of the configuration that decided.
    pub version: Version,
}

/// What an instance knows of configuration and targets, and decides by it.
pub struct Router {
    bounds: RouterBounds,
    configuration: Option<Arc<Configuration>>,
    freshness: Freshness,
    evacuated: BTreeSet<DomainId>,
    targets: Targets,
    budgets: BTreeMap<ServiceId, RetryBudget>,
    prefixes: Prefixes,
    instances: usize,
    position: usize,
    /// When the work of the others was told, if any was.
    remote_load_at: Option<Time>,
}

impl Router {
    /// Makes the router of an instance that knows nothing yet.
    pub fn new(bounds: RouterBounds) -> Self {
        Router {
            freshness: Freshness::new(bounds.key_age),
            bounds,
            configuration: None,
            evacuated: BTreeSet::new(),
            targets: Targets::default(),
            budgets: BTreeMap::new(),
            prefixes: Prefixes::default(),
            instances: 1,
            position: 0,
            remote_load_at: None,
        }
    }

    /// Puts a configuration in force; an older one than the one in force is
    /// left out. Returns whether it was taken.
    pub fn configure(&mut self, configuration: Configuration) -> bool {
        let current = self.version();
        if current.is_some_and(|v| v >= configuration.version) {
            return false;
        }
        self.configuration = Some(Arc::new(configuration));
        true
    }

    /// Version in force.
    pub fn version(&self) -> Option<Version> {
        self.configuration.as_ref().map(|c| c.version)
    }

    /// Configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Age of the configuration by the latest proof that it was the newest.
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// Notes that the configuration in force was the newest at `at`.
    pub fn configuration_verified(&mut self, at: Time) {
        self.freshness.set_verified(at);
    }

    /// Takes an entry of a target, or its removal.
    pub fn update_target(&mut self, now: Time, id: &TargetId, entry: Option<TargetEntry>) {
        let cold_time = entry
            .as_ref()
            .and_then(|e| self.configuration.as_ref()?.services.get(&e.service))
            .map_or(Duration::ZERO, |s| s.cold_time);
        self.targets.apply(now, id, entry, cold_time);
    }

    /// Notes that the copy of the targets' entries was the newest at `at`, and
    /// `before` that at `before`. After a gap in which entries may have lapsed,
    /// targets whose entries vanish are kept for a while.
    pub fn entries_verified(&mut self, now: Time, before: Option<Time>, at: Time) {
        if before.is_some_and(|b| at.saturating_sub(b) > MIN_LAPSE_GAP) {
            self.targets.keep_lapsed_until(now + LAPSE_GRACE);
        }
    }

    /// Forgets targets whose entries have not come back in time.
    pub fn remove_lapsed(&mut self, now: Time) -> Vec<TargetId> {
        self.targets.remove_lapsed(now)
    }

    /// Takes a failure domain out, or back in.
    pub fn set_evacuated(&mut self, domain: &DomainId, evacuated: bool) -> bool {
        if evacuated {
            self.evacuated.insert(domain.clone())
        } else {
            self.evacuated.remove(domain)
        }
    }

    /// Failure domains that are out.
    pub fn evacuated(&self) -> &BTreeSet<DomainId> {
        &self.evacuated
    }

    /// Tells how many instances share the limits, and this one's place in
    /// their order.
    pub fn set_share(&mut self, instances: usize, position: usize) {
        self.instances = instances.max(1);
        self.position = position;
    }

    /// Takes the work that all other instances have at targets, and when it
    /// was told.
    pub fn set_remote_load(&mut self, at: Option<Time>, load: LoadSummary) {
        self.remote_load_at = at;
        self.targets.set_remote_load(&load.targets);
        self.prefixes.set_remote_counts(load.prefixes);
    }

    /// Work of this instance at targets.
    pub fn own_load(&self, now: Time) -> LoadSummary {
        LoadSummary {
            targets: self.targets.own_load(),
            prefixes: self.prefixes.top_counts(now),
        }
    }

    /// Requests of this instance that are at targets.
    pub fn in_flight(&self) -> u32 {
        self.targets.own_load().0.values().sum()
    }

    /// Every target, for the dump.
    pub fn target_dumps(&self, now: Time) -> Vec<RouterTargetDump> {
        self.targets.dumps(now)
    }

    /// Decides whether a request may be forwarded, and to which service.
    ///
    /// # Errors
    ///
    /// Returns why it is refused.
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

    /// Decides whether a request that was admitted may still be sent to a
    /// target: time may have passed, and its key may have been taken away.
    ///
    /// # Errors
    ///
    /// Returns why it is refused.
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

    /// Owner of a key, if keys may be honoured now.
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

    /// Chooses a target and counts the request there until [`Router::finish_attempt`].
    ///
    /// # Errors
    ///
    /// Returns why no target can take it.
    pub fn choose(&mut self, now: Time, query: &TargetQuery<'_>) -> Result<Pick, Refusal> {
        choose::choose(self, now, query)
    }

    /// Notes that an attempt at a target has ended.
    pub fn finish_attempt(&mut self, now: Time, lease: &Lease, outcome: AttemptOutcome) {
        if let Some(prefix) = lease.prompt_prefix
            && outcome == AttemptOutcome::Completed
        {
            let duration = now.saturating_sub(lease.since);
            self.prefixes.record_duration(prefix, duration);
        }
        self.targets.finish(now, lease, outcome);
    }

    /// Counts a request for the retry budget of its service.
    pub fn count_request(&mut self, service: &ServiceId) {
        self.budget(service).deposit();
    }

    /// Takes a token for one retry, or returns false where none is left.
    pub fn take_retry_token(&mut self, now: Time, service: &ServiceId) -> bool {
        // Until it is settled, an instance doesn't know with how many it shares.
        let slack = match now {
            now if now < FLEET_DISCOVERY_TIME => 0.0,
            _ => self.bounds.retry_slack * RETRY_BUDGET_SHARE / self.instances as f64,
        };
        let (burst, refill) = (slack / 2.0, slack / 2.0 / RETRY_WINDOW.as_secs_f64());
        let budget = self.budget(service);
        budget.set_limits(refill, burst.max(1.0));
        budget.withdraw(now)
    }

    /// Budget of this instance: its share of what all may use together.
    fn budget(&mut self, service: &ServiceId) -> &mut RetryBudget {
        let ratio = self.bounds.retry_ratio * RETRY_BUDGET_SHARE;
        let budgets = &mut self.budgets;
        let budget = budgets.entry(service.clone());
        budget.or_insert_with(|| RetryBudget::new(ratio, 0.0, 1.0))
    }
}
/// Shortest outage of the store in which an entry can lapse: it does so after
/// three intervals of 1.2 s in which its target reports nothing, and the target
/// may have reported one of them before.
/// Time for which lapsed entries may come back after an outage.
/// Time after the start of the process at which the fleet is known.
/// Share of the retry budget that is used: requests that callers gave up and
/// arrivals that nobody counted here draw on it too.
/// Window over which the operators count retries.

/// Summary of a router for the dump.
#[derive(Clone, Debug, Serialize)]
pub struct RouterDump {
    /// Version in force.
    pub version: Option<Version>,
    /// Milliseconds since it was known to be the newest.
    pub age_ms: Option<u64>,
    /// Failure domains that are out.
    pub evacuated: Vec<DomainId>,
    /// Instances that share the limits.
    pub instances: usize,
    /// Targets.
    pub targets: Vec<RouterTargetDump>,
}

impl Router {
    /// Summary for the dump.
    pub fn dump(&self, now: Time) -> RouterDump {
        RouterDump {
            version: self.version(),
            age_ms: self.freshness.age(now).map(|a| a.as_millis() as u64),
            evacuated: self.evacuated.iter().cloned().collect(),
            instances: self.instances,
            targets: self.target_dumps(now),
        }
    }
}
