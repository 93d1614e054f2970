//! The configuration that operators keep in the platform's store.

use crate::id::{DomainId, ServiceId, Version, WorkspaceId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::Duration;

/// What may be done with a request after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryPolicy {
    /// It may run any number of times.
    Idempotent,
    /// It runs once at most.
    Once,
    /// A stream that runs once at most.
    Stream,
    /// A stream that may go on at another target after its last event.
    Resumable,
}

impl RetryPolicy {
    /// Whether the request may run again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RetryPolicy::Idempotent | RetryPolicy::Resumable)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RetryPolicy::Stream | RetryPolicy::Resumable)
    }
}

/// A path prefix of one host and the services that serve it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: SmolStr,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// Longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// Time to the first byte of an answer that is on time.
    pub ttfb_goal: Duration,
    /// Longest pause between events of a stream that is on time.
    pub gap_goal: Duration,
    /// Rank; 0 is the most urgent.
    pub priority_class: u8,
    /// Most targets that one request may run on.
    pub max_attempts: u32,
    /// Whether it needs no key.
    pub public: bool,
    /// Whether requests name the parts of their prompts.
    pub has_prompts: bool,
    /// Services and their weights.
    pub split: Vec<(ServiceId, u32)>,
}

impl Route {
    /// Service for a request, spread over the split by a hash of the request.
    pub fn service(&self, hash: u64) -> Option<&ServiceId> {
        let total: u64 = self.split.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut rest = hash.checked_rem(total)?;
        for (service, weight) in &self.split {
            let weight = u64::from(*weight);
            if rest < weight {
                return Some(service);
            }
            rest -= weight;
        }
        None
    }
}

/// What holds for all targets of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceSpec {
    /// Time for which a target is cold after its start.
    pub cold_time: Duration,
    /// Requests a second that a cold target bears; 0 for no limit.
    pub cold_rate: f64,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Most bytes of a head.
    pub header_bytes: usize,
    /// Most bytes of a body.
    pub body_bytes: usize,
    /// Longest time for a head.
    pub header_timeout: Duration,
    /// Longest time without a request on an open connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Owner of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyOwner {
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Rank that goes before the route's, if it has one.
    pub priority_class: Option<u8>,
}

/// One version of the configuration, ready for look-ups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version; rises in uneven steps.
    pub version: Version,
    /// Services.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Owners of keys; `None` where no keys are in use.
    pub keys: Option<BTreeMap<SmolStr, KeyOwner>>,
    routes: BTreeMap<SmolStr, BTreeMap<SmolStr, Route>>,
}

impl Configuration {
    /// Adds a route of a host.
    pub fn add_route(&mut self, host: SmolStr, route: Route) {
        let routes = self.routes.entry(host).or_default();
        routes.insert(route.prefix.clone(), route);
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(BTreeMap::len).sum()
    }

    /// Route of a host with the longest prefix of a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(host)?;
        let slashes = path.rmatch_indices('/');
        let mut prefixes = slashes.map(|(at, _)| &path[..=at]);
        prefixes.find_map(|prefix| routes.get(prefix))
    }
}

/// State of a target by its own entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetStage {
    /// It takes requests.
    Ready,
    /// It finishes what it has and then leaves.
    Draining,
}

/// Entry that a target keeps of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetEntry {
    /// Service.
    pub service: ServiceId,
    /// Address.
    pub address: std::net::SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Requests that run at once.
    pub slots: u32,
    /// State.
    pub stage: TargetStage,
    /// Time for which it stays cold, counted from when the entry was written.
    pub cold_left: Duration,
    /// Start of its process in milliseconds since the Unix epoch; 0 if untold.
    pub started_ms: u64,
}
