//! What a target can take, and what requests hold there.

use crate::configuration::{ServiceSpec, TargetEntry};
use serde::Serialize;

/// Pace of a target that works as fast as usual, in hundredths.
pub const USUAL_PACE: u32 = 100;

/// What one target can take at once. Every decision on where a request goes, and
/// whether it waits, reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Capacity {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it accepts from all instances together; `None` without a
    /// limit. One that was closed counts for some time.
    pub connections: Option<u32>,
    /// Tokens that its running requests may hold; `None` if it is no engine.
    pub tokens: Option<u64>,
    /// Time that work takes on it now, in hundredths of the usual time; it is
    /// [`USUAL_PACE`] where nothing is known.
    pub pace: u32,
}

impl Capacity {
    /// Returns whether a request fits beside what is held at the target, in a share of
    /// its memory.
    pub fn has_memory(&self, held: u64, added: u64, share: f64) -> bool {
        let limit = |tokens: u64| (tokens as f64 * share) as u64;
        self.tokens
            .is_none_or(|t| t == 0 || held + added <= limit(t))
    }

    /// Returns what a target can take by its entry and its service, at the usual pace.
    pub fn new(entry: &TargetEntry, service: Option<&ServiceSpec>) -> Self {
        let engine = service.and_then(|s| s.engine.as_ref());
        Capacity {
            slots: entry.slots,
            connections: service.and_then(|s| s.max_connections),
            tokens: engine.map(|e| e.cache_tokens),
            pace: USUAL_PACE,
        }
    }
}

/// Tokens that a request is going to hold in an engine's memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RequestTokens {
    /// Tokens of the prompt's last part and of the response, which no other request
    /// shares.
    pub own: u64,
    /// Tokens of the parts of the prompt that requests with the same prefix share.
    pub shared: u64,
}

impl RequestTokens {
    /// Returns the tokens that the request adds to an engine at which `running`
    /// requests share its prefix, itself included.
    pub fn added(self, running: f64) -> u64 {
        self.own + (self.shared as f64 / running.max(1.0)).ceil() as u64
    }
}

/// What requests hold at one target: those of one instance, or of several together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Held {
    /// Requests that are sent and not answered yet.
    pub requests: u32,
    /// Connections beyond what each instance may hold whatever the others do. Those
    /// that were closed lately may still count.
    pub connections: u32,
    /// Tokens of prompts and responses.
    pub tokens: u64,
}

impl std::ops::Add for Held {
    type Output = Held;

    fn add(self, other: Held) -> Held {
        Held {
            requests: self.requests + other.requests,
            connections: self.connections + other.connections,
            tokens: self.tokens + other.tokens,
        }
    }
}
