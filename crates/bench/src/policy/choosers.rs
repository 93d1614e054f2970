//! The baselines and the oracle: policies that choose an engine at once.

use super::model::{Engine, Request, SLOTS};
use decision::rank;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Multiple of the mean load in the policies with a bound.
pub const MULTIPLE: f64 = 1.25;

/// What a policy that chooses at once may look at.
pub struct View<'a> {
    /// Engines as they are, for the oracle alone.
    pub engines: &'a [Engine],
    /// Loads as last reported.
    pub reported: &'a [Option<usize>],
}

/// A policy that chooses an engine at once.
pub trait Chooser {
    /// Name.
    fn name(&self) -> &'static str;

    /// Chooses among the engines whose reported load is known.
    fn choose(&mut self, request: &Request, view: &View<'_>) -> Option<usize>;
}

/// Every chooser, by name.
pub fn all(seed: u64) -> Vec<Box<dyn Chooser>> {
    vec![
        Box::new(Random(ChaCha8Rng::seed_from_u64(seed))),
        Box::new(LeastReported),
        Box::new(TwoChoices(ChaCha8Rng::seed_from_u64(seed))),
        Box::new(Rendezvous),
        Box::new(BoundedHashing),
        Box::new(Oracle),
    ]
}

fn up(view: &View<'_>) -> Vec<usize> {
    let reported = view.reported.iter().enumerate();
    reported
        .filter(|(_, r)| r.is_some())
        .map(|(i, _)| i)
        .collect()
}

fn reported(view: &View<'_>, engine: usize) -> usize {
    view.reported[engine].unwrap_or(usize::MAX)
}

struct Random(ChaCha8Rng);

impl Chooser for Random {
    fn name(&self) -> &'static str {
        "random"
    }

    fn choose(&mut self, _: &Request, view: &View<'_>) -> Option<usize> {
        let up = up(view);
        (!up.is_empty()).then(|| up[self.0.random_range(0..up.len())])
    }
}

struct LeastReported;

impl Chooser for LeastReported {
    fn name(&self) -> &'static str {
        "least reported load"
    }

    fn choose(&mut self, _: &Request, view: &View<'_>) -> Option<usize> {
        up(view).into_iter().min_by_key(|e| reported(view, *e))
    }
}

struct TwoChoices(ChaCha8Rng);

impl Chooser for TwoChoices {
    fn name(&self) -> &'static str {
        "two choices on reports"
    }

    fn choose(&mut self, _: &Request, view: &View<'_>) -> Option<usize> {
        let up = up(view);
        if up.is_empty() {
            return None;
        }
        let mut pick = || up[self.0.random_range(0..up.len())];
        let (one, other) = (pick(), pick());
        let is_less = reported(view, other) < reported(view, one);
        Some(if is_less { other } else { one })
    }
}

/// Engines in the order in which a chat prefers them.
fn ranking(request: &Request, among: &[usize]) -> Vec<usize> {
    let names: Vec<String> = among.iter().map(|e| format!("pool-{e}")).collect();
    let ranked = rank(request.chat, names.iter().map(|n| (n.as_str(), 1)));
    let position = |name: &str| names.iter().position(|n| n == name);
    ranked
        .into_iter()
        .filter_map(|name| position(name).map(|i| among[i]))
        .collect()
}

struct Rendezvous;

impl Chooser for Rendezvous {
    fn name(&self) -> &'static str {
        "plain rendezvous"
    }

    fn choose(&mut self, request: &Request, view: &View<'_>) -> Option<usize> {
        ranking(request, &up(view)).first().copied()
    }
}

struct BoundedHashing;

impl Chooser for BoundedHashing {
    fn name(&self) -> &'static str {
        "bounded hashing on reports"
    }

    fn choose(&mut self, request: &Request, view: &View<'_>) -> Option<usize> {
        let up = up(view);
        let total: usize = up.iter().map(|e| reported(view, *e)).sum();
        let mean = total as f64 / up.len().max(1) as f64;
        let bound = (MULTIPLE * mean) as usize + 1;
        let ranked = ranking(request, &up);
        let free = ranked.iter().find(|e| reported(view, **e) < bound);
        free.or(ranked.first()).copied()
    }
}

/// Knows the true loads and caches; keeps the bound, the slots and the cold cap.
struct Oracle;

impl Chooser for Oracle {
    fn name(&self) -> &'static str {
        "oracle"
    }

    fn choose(&mut self, request: &Request, view: &View<'_>) -> Option<usize> {
        let up: Vec<usize> = (0..view.engines.len())
            .filter(|e| view.engines[*e].is_up)
            .collect();
        let loads = up.iter().map(|e| view.engines[*e].load());
        let bears: usize = up.iter().map(|e| view.engines[*e].bears()).sum();
        let share = loads.sum::<usize>() as f64 / bears.max(1) as f64;
        let has_room = |e: &usize| {
            let engine = &view.engines[*e];
            let bound = (MULTIPLE * share * engine.bears() as f64) as usize + 1;
            engine.load() < bound.min(engine.bears()).min(SLOTS)
        };
        let free: Vec<usize> = up.iter().copied().filter(has_room).collect();
        let among = if free.is_empty() { up } else { free };
        among.into_iter().max_by_key(|e| {
            let engine = &view.engines[*e];
            (
                engine.cached(request.chat),
                std::cmp::Reverse(engine.load()),
            )
        })
    }
}
