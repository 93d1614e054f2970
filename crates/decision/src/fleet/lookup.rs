//! Which instances the result of a lookup names.
//!
//! Callers connect to the instances that a lookup names and drop connections to
//! others. A result can't name all instances of a large fleet, so each caller gets
//! a subset of its own by rendezvous hashing: all instances get the same share of
//! the callers, a caller gets the same result from every instance, and an instance
//! that joins or leaves changes one address of a result.

use super::Fleet;
use crate::hash::{hash_parts, rank};
use crate::id::Time;
use std::net::{IpAddr, SocketAddr};

impl Fleet {
    /// Returns the addresses of at most `max` live instances for the caller at an
    /// address. Callers behind the same address get the same ones.
    pub fn lookup(&self, now: Time, caller: &IpAddr, max: usize) -> Vec<SocketAddr> {
        let live = self.live(now);
        if live.len() <= max {
            return live.into_iter().map(|l| l.caller).collect();
        }
        let key = hash_parts(&[caller.to_string().as_bytes()]);
        let ranking = rank(key, live.iter().map(|l| (l.id.as_str(), 1)));
        let subset = ranking.into_iter().take(max);
        let subset = subset.filter_map(|id| self.listing(id));
        subset.map(|l| l.caller).collect()
    }
}
