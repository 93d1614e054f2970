//! Choice of a target for one attempt.

use super::load_bounds::LoadBounds;
use super::memory::MAX_SHARE;
use super::targets::{Lease, TargetState};
use super::{Refusal, Router};
use crate::capacity::{Capacity, RequestTokens};
use crate::configuration::TargetStage;
use crate::hash::{hash_parts, rank};
use crate::id::{PrefixHash, ServiceId, TargetId, Time};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Requests above the multiple of the mean that the operators allow.
const LIMIT_SLACK: f64 = 3.0;
/// Share of a cold target's request limit that all instances together use.
const COLD_SHARE: f64 = 0.8;
/// Share of their slots up to which targets take the requests of others that are slow
/// or warm up.
const ROOM_SHARE: f64 = 0.6;
/// Time for which a new target may not have cached its prompts yet.
const CACHE_FILL_TIME: Duration = Duration::from_secs(20);
/// Time after the start of the process in which it reads the targets for the
/// first time; a target seen by then may be older than the process.
pub(super) const FIRST_READ_TIME: Duration = Duration::from_secs(3);

/// What an attempt requires of a target.
#[derive(Clone, Debug)]
pub struct TargetQuery<'a> {
    /// Service.
    pub service: &'a ServiceId,
    /// Prefix of the prompt, if the service's targets cache prompts.
    pub prompt_prefix: Option<PrefixHash>,
    /// Hash of the request, which stands in for a random number: it draws the
    /// load bound, spreads a frequent prefix and breaks ties.
    pub spread_hash: u64,
    /// Targets that earlier attempts at the request used.
    pub tried: &'a [TargetId],
    /// Tokens that the request is going to hold; zeros where it doesn't say.
    pub tokens: RequestTokens,
}

/// The pool of a service as an instance knew it when it chose a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct PoolView {
    /// Targets of the service except ejected ones, whether or not they take
    /// requests.
    pub targets: u32,
    /// Targets that could take the request.
    pub usable: u32,
    /// Requests of all instances at [`PoolView::targets`].
    pub load: u32,
    /// Milliseconds since the remote load was reported; `None` where none is
    /// known.
    pub age_ms: Option<u64>,
}

/// Target chosen for one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Target, with the attempt counted in its load.
    pub lease: Lease,
    /// Address of the target.
    pub address: SocketAddr,
    /// Another target that may cache the prompt and can send its cache to the
    /// chosen one.
    pub cache_source: Option<SocketAddr>,
    /// Requests of all instances at the target, without this one.
    pub load: u32,
    /// Bound on the target's load that was drawn for the attempt.
    pub load_bound: u32,
    /// Position of the target in the ranking for the prompt prefix: 0 for the
    /// first, the number of usable targets where all were above the bound.
    pub rank: u32,
    /// Pool as it was known.
    pub pool: PoolView,
    /// Load above which the operators count the target as loaded beyond the
    /// multiple of its pool's mean.
    pub load_limit: u32,
}

pub(super) type Candidate<'a> = (&'a TargetId, &'a TargetState);

pub(super) fn choose(
    router: &mut Router,
    now: Time,
    query: &TargetQuery<'_>,
) -> Result<Pick, Refusal> {
    router.update_sharers(now);
    let mut usable = usable(router, now, query);
    if !usable.is_empty() {
        usable.retain(|(id, state)| router.has_connection_room(now, id, state));
        if usable.is_empty() {
            return Err(Refusal::Full);
        }
    }
    if usable.is_empty() {
        return Err(match pause_left(router, now, query.service) {
            Some(_) => Refusal::Paused,
            None => Refusal::NoTarget,
        });
    }
    let pool = pool_view(router, now, query.service, usable.len());
    let running = query
        .prompt_prefix
        .map_or(0.0, |prefix| router.prefixes.running(now, prefix));
    let bounds = LoadBounds::new(router.bounds.load_multiple, &pool, &usable);
    let bound = bounds.draw(query.spread_hash);
    let load_limit = load_limit(router, &pool);
    let is_within = |(_, state): &Candidate<'_>| state.load() < load_limit;
    // The load of targets that pause must not push the others over the limit.
    if !usable.iter().all(is_within) && has_paused(router, now, query.service) {
        usable.retain(is_within);
        if usable.is_empty() {
            return Err(Refusal::Paused);
        }
    }
    let spread = bounds.spread(running);
    let running = running / spread as f64;
    check_memory(router, query, &mut usable, running)?;
    let found = match query.prompt_prefix {
        Some(prefix) => by_prefix(&usable, prefix, &bounds, bound, query.spread_hash, spread),
        None => least_loaded(&usable, query.spread_hash).map(|id| (id, 0)),
    };
    let (id, rank) = found.ok_or(Refusal::Full)?;
    let id = id.clone();
    let cache_source = query
        .prompt_prefix
        .and_then(|p| cache_source(router, now, query, p, &id));
    let state = router.targets.get(&id).ok_or(Refusal::NoTarget)?;
    let (address, load) = (state.entry.address, state.load());
    let lease = router.targets.lease(now, &id, query, running);
    let lease = lease.ok_or(Refusal::NoTarget)?;
    if let Some(prefix) = query.prompt_prefix {
        router.prefixes.record_sent(now, prefix, &id);
    }
    Ok(Pick {
        lease,
        address,
        cache_source,
        load,
        load_bound: bound,
        rank,
        pool,
        load_limit,
    })
}

/// Leaves the targets whose memory has room for the request. `running` is the number of
/// requests with its prefix at each target.
///
/// # Errors
///
/// Returns whether the request has to wait for room or will find none.
fn check_memory(
    router: &Router,
    query: &TargetQuery<'_>,
    usable: &mut Vec<Candidate<'_>>,
    running: f64,
) -> Result<(), Refusal> {
    let specs = router.configuration.as_ref().map(|c| &c.services);
    let spec = specs.and_then(|services| services.get(query.service));
    let capacity = |state: &TargetState| Capacity::new(&state.entry, spec);
    let alone = query.tokens.added(1.0);
    let can_hold = |s: &TargetState| capacity(s).has_memory(0, alone, MAX_SHARE);
    if !usable.iter().any(|(_, s)| can_hold(s)) {
        return Err(Refusal::Oversized);
    }
    usable.retain(|(_, s)| s.memory.has_room(&capacity(s), query, running));
    if usable.is_empty() {
        return Err(Refusal::Full);
    }
    Ok(())
}

fn pool_view(router: &Router, now: Time, service: &ServiceId, usable: usize) -> PoolView {
    let all = router.targets.of_service(service);
    let all = all.filter(|(_, s)| !s.is_ejected(now));
    let (targets, load) = all.fold((0, 0), |(n, load), (_, s)| (n + 1, load + s.load()));
    let age = router.remote_load_at.map(|at| now.saturating_sub(at));
    PoolView {
        targets,
        usable: usable as u32,
        load,
        age_ms: age.map(|age| age.as_millis() as u64),
    }
}

/// Returns the load above which a target exceeds the multiple of its pool's mean.
fn load_limit(router: &Router, pool: &PoolView) -> u32 {
    let mean = f64::from(pool.load) / f64::from(pool.targets.max(1));
    (mean * router.bounds.load_multiple + LIMIT_SLACK) as u32
}

/// Reason why a target does not take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Exclusion {
    /// Its entry says that it drains.
    Draining,
    /// Its entry lapsed too long ago.
    Lapsed,
    /// A response of it said that it leaves.
    Leaving,
    /// It has asked for a pause.
    Paused,
    /// Its failure domain is evacuated.
    Evacuated,
    /// An earlier attempt at the request used it.
    Tried,
    /// A roll-out gives the request to another version of the software.
    OtherVersion,
    /// It is cold, and this instance has used up its share of the rate.
    ColdRate,
    /// Its requests failed too often lately.
    Ejected,
    /// It has as many requests as its warm-up allows.
    WarmingUp,
}

/// Rule that looks at one target; returns whether it excludes the target.
type Rule = fn(&Router, Time, &TargetQuery<'_>, &Candidate<'_>) -> bool;

/// Rules that a target must pass. The first that excludes it names the reason.
const RULES: [(Exclusion, Rule); 8] = [
    (Exclusion::Draining, |_, _, _, (_, state)| {
        state.entry.stage != TargetStage::Ready
    }),
    (Exclusion::Lapsed, |_, now, _, (_, state)| {
        !state.is_kept(now)
    }),
    (Exclusion::Leaving, |_, _, _, (_, state)| {
        state.availability.is_leaving
    }),
    (Exclusion::Paused, |_, now, _, (_, state)| {
        state.availability.is_paused(now)
    }),
    (Exclusion::Evacuated, |router, _, _, (_, state)| {
        router.evacuated.contains(&state.entry.domain)
    }),
    (Exclusion::Tried, |_, _, query, (id, _)| {
        query.tried.contains(id)
    }),
    (Exclusion::OtherVersion, |router, _, query, (id, state)| {
        let rollouts = &router.rollouts;
        !rollouts.admits(query.service, id, &state.entry.software)
    }),
    (Exclusion::ColdRate, |router, now, query, (id, state)| {
        !allows_cold(router, now, query.service, id, state)
    }),
];

/// Rules that exclude a target only where others are left, so that a pool that fails
/// or warms up as a whole is still used.
const PREFERENCES: [(Exclusion, Rule); 2] = [
    (Exclusion::Ejected, |_, now, _, (_, state)| {
        state.is_ejected(now)
    }),
    (Exclusion::WarmingUp, |router, _, query, (_, state)| {
        router.targets.is_paced(query.service) && state.is_warming_up_full()
    }),
];

/// Returns whether targets have so few requests that they can do the work of others.
fn have_spare_slots(targets: &[Candidate<'_>]) -> bool {
    let loads = targets.iter().map(|(_, s)| (s.load(), s.entry.slots));
    let (load, slots) = loads.fold((0, 0), |(a, b), (load, slots)| (a + load, b + slots));
    f64::from(load) < f64::from(slots) * ROOM_SHARE
}

/// Returns the targets that may take the request.
fn usable<'a>(router: &'a Router, now: Time, query: &'a TargetQuery<'_>) -> Vec<Candidate<'a>> {
    let mut usable: Vec<Candidate<'_>> = router.targets.of_service(query.service).collect();
    for (_, excludes) in RULES {
        usable.retain(|target| !excludes(router, now, query, target));
    }
    for (exclusion, excludes) in PREFERENCES {
        let preferred = usable.iter().filter(|t| !excludes(router, now, query, t));
        let preferred: Vec<Candidate<'_>> = preferred.copied().collect();
        let is_enough = match exclusion {
            Exclusion::WarmingUp => have_spare_slots(&preferred),
            _ => !preferred.is_empty(),
        };
        if is_enough {
            usable = preferred;
        }
    }
    usable
}

/// Returns the targets of a service that would take requests but for a pause.
fn staying<'a>(
    router: &'a Router,
    now: Time,
    service: &'a ServiceId,
) -> impl Iterator<Item = &'a TargetState> {
    let all = router.targets.of_service(service).map(|(_, state)| state);
    all.filter(move |state| {
        state.entry.stage == TargetStage::Ready
            && state.is_kept(now)
            && !state.availability.is_leaving
            && !router.evacuated.contains(&state.entry.domain)
    })
}

fn has_paused(router: &Router, now: Time, service: &ServiceId) -> bool {
    staying(router, now, service).any(|state| state.availability.is_paused(now))
}

/// Returns the time until the first of a service's targets takes requests again,
/// if all of them pause.
pub(super) fn pause_left(router: &Router, now: Time, service: &ServiceId) -> Option<Duration> {
    let pauses = staying(router, now, service).map(|state| state.availability.pause_left(now));
    pauses.min().filter(|left| !left.is_zero())
}

/// Returns whether the rate limit of a cold target allows another request from
/// this instance; a warm target has no such limit.
///
/// The limit holds for all instances together, without messages between them:
/// each one sends at its share of the rate. Where the limit is too small for a
/// share of each instance, only some of them send to the target, selected by a
/// hash of its name.
fn allows_cold(
    router: &Router,
    now: Time,
    service: &ServiceId,
    id: &TargetId,
    state: &TargetState,
) -> bool {
    let spec = router
        .configuration
        .as_ref()
        .and_then(|c| c.services.get(service));
    let rate = spec.map_or(0.0, |s| s.cold_rate);
    if !state.is_cold(now) || rate <= 0.0 {
        return true;
    }
    let bounds = &router.bounds;
    let limit = (rate * bounds.cold_excess + bounds.cold_slack) * COLD_SHARE;
    // A sender's share is two requests a second or more: one of them is kept for
    // a burst on top of its steady rate.
    let senders = (limit / 2.0).floor().max(1.0) as usize;
    let instances = router.instances;
    if instances > senders {
        let offset = hash_parts(&[id.as_bytes()]) as usize;
        if (router.position + offset) % instances >= senders {
            return false;
        }
    }
    let sharing = instances.min(senders) as f64;
    let own_rate = (limit / sharing - 1.0).min(rate / sharing).max(0.1);
    let interval = Duration::from_secs_f64(1.0 / own_rate);
    state
        .cold_sent
        .is_none_or(|sent| now.saturating_sub(sent) >= interval)
}

/// Returns the first target in the prefix's ranking whose expected load, weighed by its
/// pace, is below the bound, or else the least loaded one, with its rank. Requests start at any
/// of the first `spread` targets of the ranking, by their hash.
fn by_prefix<'a>(
    usable: &[Candidate<'a>],
    prefix: PrefixHash,
    bounds: &LoadBounds,
    bound: u32,
    hash: u64,
    spread: usize,
) -> Option<(&'a TargetId, u32)> {
    let loads: BTreeMap<&str, (Candidate<'a>, f64)> = usable
        .iter()
        .map(|c| {
            let load = c.1.weighed(bounds.expected_load(c.1));
            (c.0.as_str(), (*c, load))
        })
        .collect();
    let load = |id: &str| loads.get(id).map_or(f64::MAX, |(_, load)| *load);
    let names = usable.iter().map(|(id, _)| (id.as_str(), 1));
    let mut ranking: Vec<(usize, &str)> = rank(prefix, names).into_iter().enumerate().collect();
    let spread = spread.min(ranking.len()).max(1);
    ranking[..spread].rotate_left((hash % spread as u64) as usize);
    let below = ranking.iter().find(|(_, id)| load(id) < f64::from(bound));
    let weighed = |state: &TargetState| state.weighed(f64::from(state.load()));
    let least = || {
        let least = usable
            .iter()
            .min_by(|(_, a), (_, b)| weighed(a).total_cmp(&weighed(b)));
        least.map(|(id, _)| (usable.len(), id.as_str()))
    };
    let (rank, id) = below.copied().or_else(least)?;
    Some((loads.get(id)?.0.0, rank as u32))
}

/// Returns the target with the least load per slot, where recent failures count
/// as load. Ties are broken by a hash of the target and the request.
fn least_loaded<'a>(usable: &[Candidate<'a>], hash: u64) -> Option<&'a TargetId> {
    let cost = |(id, state): &Candidate<'_>| {
        let load = state.weighed(f64::from(state.load())) / f64::from(state.entry.slots.max(1));
        let tie = hash_parts(&[id.as_bytes(), &hash.to_le_bytes()]);
        (load + state.failure_share(), tie)
    };
    let least = usable.iter().min_by(|a, b| {
        let ((x, tie_x), (y, tie_y)) = (cost(a), cost(b));
        x.total_cmp(&y).then(tie_x.cmp(&tie_y))
    });
    least.map(|(id, _)| *id)
}

/// Returns the target from which the chosen one may fetch cached parts of the
/// prompt: the one to which this instance last sent the prefix, or else the first
/// in the prefix's ranking of the established targets. `None` where that is the
/// chosen target itself.
fn cache_source(
    router: &Router,
    now: Time,
    query: &TargetQuery<'_>,
    prefix: PrefixHash,
    chosen: &TargetId,
) -> Option<SocketAddr> {
    let last = router.prefixes.last_target(prefix);
    if let Some(state) = last.and_then(|last| router.targets.get(last)) {
        let is_other = last.is_some_and(|last| last != chosen);
        return is_other.then_some(state.entry.address);
    }
    let established = router.targets.of_service(query.service);
    let established = established.filter(|(_, s)| is_established(s, now));
    let ranking = rank(prefix, established.map(|(id, _)| (id.as_str(), 1)));
    let first = ranking.into_iter().next().filter(|id| id != chosen)?;
    router.targets.get(first).map(|s| s.entry.address)
}

/// Returns whether a target has run long enough to have cached its prompts.
/// Targets found at the start of this process count as such.
fn is_established(state: &TargetState, now: Time) -> bool {
    state.known_since < FIRST_READ_TIME || now.saturating_sub(state.known_since) >= CACHE_FILL_TIME
}
