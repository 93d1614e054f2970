//! Which instances the result of a lookup names.
//!
//! Callers connect to the instances that a lookup names and drop connections to
//! others. A result can't name all instances of a large fleet, so each caller gets
//! a subset of its own by rendezvous hashing: all instances get the same share of
//! the callers, a caller gets the same result from every instance, and an instance
//! that joins or leaves changes one address of a result.

use super::Fleet;
use crate::hash::{hash_parts, score};
use crate::id::Time;
use crate::members::Listing;
use std::net::{IpAddr, SocketAddr};

impl Fleet {
    /// Returns the addresses of at most `max` live instances for the caller at an
    /// address. Callers behind the same address get the same ones.
    pub fn lookup(&self, now: Time, caller: &IpAddr, max: usize) -> Vec<SocketAddr> {
        let mut live = self.live(now);
        if live.len() > max {
            live = subset(live, caller, max);
        }
        live.into_iter().map(|l| l.caller).collect()
    }
}

fn subset<'a>(live: Vec<&'a Listing>, caller: &IpAddr, size: usize) -> Vec<&'a Listing> {
    let key = hash_parts(&[caller.to_string().as_bytes()]);
    let scored = live
        .into_iter()
        .map(|l| (score(key, l.id.as_bytes(), 1), l));
    let mut scored: Vec<(f64, &Listing)> = scored.collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.id.cmp(&b.1.id)));
    scored.into_iter().take(size).map(|(_, l)| l).collect()
}
