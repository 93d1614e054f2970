//! Baseline policies and the oracle, which choose an engine as a request arrives.

use super::model::{Engine, Request, SLOTS};
use decision::rank;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Load bound of an engine, as a multiple of the mean load.
pub const LOAD_MULTIPLE: f64 = 1.25;

/// Loads that a baseline chooses by.
pub struct View<'a> {
    /// Current state of the engines; only the oracle may use it.
    pub engines: &'a [Engine],
    /// Load that each engine reported last, or `None` for one that is down.
    pub reported_loads: &'a [Option<usize>],
}

/// A policy that chooses an engine as a request arrives, without queueing.
pub trait Baseline {
    /// Name of the policy in the report.
    fn name(&self) -> &'static str;

    /// Chooses an engine, or `None` if there is none to choose from.
    fn choose(&mut self, request: &Request, view: &View<'_>) -> Option<usize>;
}

/// Returns every baseline and, last, the oracle.
pub fn all(seed: u64) -> Vec<Box<dyn Baseline>> {
    vec![
        Box::new(Random(ChaCha8Rng::seed_from_u64(seed))),
        Box::new(LeastReported),
        Box::new(TwoChoices(ChaCha8Rng::seed_from_u64(seed))),
        Box::new(Rendezvous),
        Box::new(BoundedHashing),
        Box::new(Oracle),
    ]
}

/// Engines whose reported load is known.
fn reachable(view: &View<'_>) -> Vec<usize> {
    let reported = view.reported_loads.iter().enumerate();
    reported
        .filter(|(_, r)| r.is_some())
        .map(|(i, _)| i)
        .collect()
}

/// Reported load of an engine; an unknown one counts as the highest.
fn reported_load(view: &View<'_>, engine: usize) -> usize {
    view.reported_loads[engine].unwrap_or(usize::MAX)
}

/// Draws an engine.
struct Random(ChaCha8Rng);

impl Baseline for Random {
    fn name(&self) -> &'static str {
        "random"
    }

    fn choose(&mut self, _: &Request, view: &View<'_>) -> Option<usize> {
        let reachable = reachable(view);
        (!reachable.is_empty()).then(|| reachable[self.0.random_range(0..reachable.len())])
    }
}

/// Takes the engine with the lowest reported load.
struct LeastReported;

impl Baseline for LeastReported {
    fn name(&self) -> &'static str {
        "least reported load"
    }

    fn choose(&mut self, _: &Request, view: &View<'_>) -> Option<usize> {
        reachable(view)
            .into_iter()
            .min_by_key(|e| reported_load(view, *e))
    }
}

/// Draws two engines and takes the one with the lower reported load.
struct TwoChoices(ChaCha8Rng);

impl Baseline for TwoChoices {
    fn name(&self) -> &'static str {
        "two choices on reports"
    }

    fn choose(&mut self, _: &Request, view: &View<'_>) -> Option<usize> {
        let reachable = reachable(view);
        if reachable.is_empty() {
            return None;
        }
        let mut pick = || reachable[self.0.random_range(0..reachable.len())];
        let (first, second) = (pick(), pick());
        let is_less = reported_load(view, second) < reported_load(view, first);
        Some(if is_less { second } else { first })
    }
}

/// Orders engines by rendezvous hashing on the chat, best first.
fn ranking(request: &Request, among: &[usize]) -> Vec<usize> {
    let names: Vec<String> = among.iter().map(|e| format!("pool-{e}")).collect();
    let ranked = rank(request.chat, names.iter().map(|n| (n.as_str(), 1)));
    let position = |name: &str| names.iter().position(|n| n == name);
    ranked
        .into_iter()
        .filter_map(|name| position(name).map(|i| among[i]))
        .collect()
}

/// Takes the first engine of the chat's ranking, whatever its load.
struct Rendezvous;

impl Baseline for Rendezvous {
    fn name(&self) -> &'static str {
        "plain rendezvous"
    }

    fn choose(&mut self, request: &Request, view: &View<'_>) -> Option<usize> {
        ranking(request, &reachable(view)).first().copied()
    }
}

/// Takes the first engine of the chat's ranking whose reported load is below the
/// load bound, or the very first if none is.
struct BoundedHashing;

impl Baseline for BoundedHashing {
    fn name(&self) -> &'static str {
        "bounded hashing on reports"
    }

    fn choose(&mut self, request: &Request, view: &View<'_>) -> Option<usize> {
        let reachable = reachable(view);
        let total: usize = reachable.iter().map(|e| reported_load(view, *e)).sum();
        let mean = total as f64 / reachable.len().max(1) as f64;
        let bound = (LOAD_MULTIPLE * mean) as usize + 1;
        let ranked = ranking(request, &reachable);
        let below_bound = ranked.iter().find(|e| reported_load(view, **e) < bound);
        below_bound.or(ranked.first()).copied()
    }
}

/// Takes the engine that caches most of the chat by the true loads and caches,
/// within the load bound, the slots and the cap of cold engines.
struct Oracle;

impl Baseline for Oracle {
    fn name(&self) -> &'static str {
        "oracle"
    }

    fn choose(&mut self, request: &Request, view: &View<'_>) -> Option<usize> {
        let reachable: Vec<usize> = (0..view.engines.len())
            .filter(|e| view.engines[*e].is_available)
            .collect();
        let loads = reachable.iter().map(|e| view.engines[*e].load());
        let capacity: usize = reachable.iter().map(|e| view.engines[*e].capacity()).sum();
        let share = loads.sum::<usize>() as f64 / capacity.max(1) as f64;
        let has_room = |e: &usize| {
            let engine = &view.engines[*e];
            let bound = (LOAD_MULTIPLE * share * engine.capacity() as f64) as usize + 1;
            engine.load() < bound.min(engine.capacity()).min(SLOTS)
        };
        let with_room: Vec<usize> = reachable.iter().copied().filter(has_room).collect();
        let among = if with_room.is_empty() {
            reachable
        } else {
            with_room
        };
        among.into_iter().max_by_key(|e| {
            let engine = &view.engines[*e];
            (
                engine.cached(request.chat),
                std::cmp::Reverse(engine.load()),
            )
        })
    }
}
