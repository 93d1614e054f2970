//! Routing configuration and target entries, as decoded from the store.

use crate::id::{DomainId, ServiceId, Version, WorkspaceId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::Duration;

/// Whether a request may run again after it may have run, and how its response is
/// sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryPolicy {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs at most once.
    Once,
    /// The response is a stream of events, and the request runs at most once.
    Stream,
    /// The response is a stream of events that another target can continue after
    /// the last event received.
    Resumable,
}

impl RetryPolicy {
    /// Returns whether the request may run again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RetryPolicy::Idempotent | RetryPolicy::Resumable)
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RetryPolicy::Stream | RetryPolicy::Resumable)
    }
}

/// Route of the requests to one host whose path has a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: SmolStr,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether requests may run again.
    pub retry_policy: RetryPolicy,
    /// Longest time for which a request may wait for its response.
    pub timeout: Duration,
    /// Time within which the first byte of the response is due.
    pub ttfb_goal: Duration,
    /// Time within which the next event of a streamed response is due.
    pub gap_goal: Duration,
    /// Priority class; 0 is the most urgent.
    pub priority_class: u8,
    /// Most targets on which one request may run.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether requests name the parts of their prompts in a header.
    pub has_prompts: bool,
    /// Services among which requests are split, with their weights.
    pub split: Vec<(ServiceId, u32)>,
}

impl Route {
    /// Returns the service for a request, in proportion to the weights of the split;
    /// `None` where all weights are 0.
    ///
    /// Requests are distributed by `hash`, a hash of the request.
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

/// Settings that hold for all targets of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceSpec {
    /// Time for which a target is cold after its start.
    pub cold_time: Duration,
    /// Requests per second that a cold target can take; 0 for no limit.
    pub cold_rate: f64,
    /// Connections that one target accepts from all instances together; `None` for
    /// no limit.
    pub max_connections: Option<u32>,
    /// Properties of the targets that are model engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// Properties of the model engines of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSpec {
    /// Tokens that an engine's memory holds, of running requests and cached prompts.
    pub cache_tokens: u64,
    /// Bytes of memory that one token takes.
    pub token_bytes: f64,
    /// Bits per second at which an engine sends memory to another one.
    pub link_rate: f64,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
    /// Whether running requests can be moved to another engine.
    pub can_move: bool,
    /// Whether an engine can copy a running request's memory to another one as it grows.
    pub can_back_up: bool,
    /// Longest time for which a copied request's memory is kept unused.
    pub handle_time: Duration,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Most bytes of a request's headers.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time in which the headers must arrive.
    pub header_timeout: Duration,
    /// Longest time for which a connection stays open without a request.
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

/// Owner of an API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyOwner {
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Priority class that overrides the route's, if set; 0 is the most urgent.
    pub priority_class: Option<u8>,
}

/// One version of the routing configuration, indexed for lookups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version; rises by one or more with each change.
    pub version: Version,
    /// Services.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Owners by API key; `None` where no keys are in use.
    pub keys: Option<BTreeMap<SmolStr, KeyOwner>>,
    /// Routes by host and path prefix.
    routes: BTreeMap<SmolStr, BTreeMap<SmolStr, Route>>,
}

impl Configuration {
    /// Adds a route of a host.
    pub fn add_route(&mut self, host: SmolStr, route: Route) {
        let routes = self.routes.entry(host).or_default();
        routes.insert(route.prefix.clone(), route);
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(BTreeMap::len).sum()
    }

    /// Returns the route of a host with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(host)?;
        let slashes = path.rmatch_indices('/');
        let mut prefixes = slashes.map(|(at, _)| &path[..=at]);
        prefixes.find_map(|prefix| routes.get(prefix))
    }
}

/// Stage of a target's life, as its entry declares it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetStage {
    /// It accepts requests.
    Ready,
    /// It completes its requests, accepts no new ones, and then stops.
    Draining,
}

/// Entry in the store by which a target registers itself.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetEntry {
    /// Service.
    pub service: ServiceId,
    /// Address for requests.
    pub address: std::net::SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Version of its software.
    pub software: SmolStr,
    /// Stage.
    pub stage: TargetStage,
    /// Time for which it stays cold from when the entry was written.
    pub cold_left: Duration,
    /// Start of its process in milliseconds since the Unix epoch; 0 if unknown.
    pub started_ms: u64,
}
