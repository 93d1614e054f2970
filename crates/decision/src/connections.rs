//! Connections to the targets of a service that limits them: which one a request
//! uses, and whether a new one may be opened.
//!
//! It answers a burst at many instances, or the start of all of them, at targets that
//! reset what exceeds their limit: a reset after the request was sent can't be told
//! from one after it ran. Instances know of each other by pulses that are late, so
//! that most of the limit is divided among them without messages. What an instance
//! holds beyond its share is reported, and taken from the rest of the limit.

use crate::hash::hash_parts;
use crate::id::Time;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Identifier of a connection to a target, unique in one process of an instance.
pub type ConnectionId = u64;

/// Time for which a closed connection counts: targets count one until they have
/// noticed its end and released it, up to 1.5 s later.
const LINGER: Duration = Duration::from_secs(2);
/// Share of a target's limit that is used. The rest is for connections of instances
/// that are cut off or frozen, for checks of targets, and for targets that accept
/// fewer while their queue is long.
const USED_SHARE: f64 = 0.85;
/// Part of that share that is divided among the instances in advance.
const RESERVED_SHARE: f64 = 0.6;
/// Age of the other instances' reports above which nothing beyond the own share is
/// opened, and time for which what was opened may not be known elsewhere.
pub(crate) const REPORT_AGE: Duration = Duration::from_secs(1);
/// Time for which instances that are gone keep their share: they may only be cut off.
const DEPARTURE_TIME: Duration = Duration::from_secs(60);
/// Instances that an instance assumes until it knows the others, so that a start of
/// all fits beside what lingers of their former connections.
const START_INSTANCES: usize = 256;
/// Longest rest of a connection on which a request is sent that may run only once: a
/// target that forgets resting connections keeps them longer.
const ONCE_REST: Duration = Duration::from_secs(1);
/// Time for which no connection is kept to a target that has sent an extra response.
const SURPLUS_TIME: Duration = Duration::from_secs(30);
/// Connections to one target that rest at once.
const MAX_RESTING: usize = 16;

/// Instances among which limits are divided.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sharers {
    instances: usize,
    position: usize,
    /// Time until which a greater number than the current one counts.
    until: Time,
    /// Whether the other instances are known.
    is_known: bool,
}

impl Default for Sharers {
    fn default() -> Self {
        Sharers {
            instances: START_INSTANCES,
            position: 0,
            until: Time::ZERO,
            is_known: false,
        }
    }
}

impl Sharers {
    /// Updates the number of instances and the position of this one. A decrease
    /// counts after [`DEPARTURE_TIME`]. Until the others are known, a start of all
    /// instances is assumed.
    pub(crate) fn update(&mut self, now: Time, instances: usize, position: usize, is_known: bool) {
        self.position = position;
        if !is_known {
            self.instances = instances.max(START_INSTANCES);
            return;
        }
        if !self.is_known || instances >= self.instances || now >= self.until {
            self.instances = instances.max(1);
            self.until = now.saturating_add(DEPARTURE_TIME);
        }
        self.is_known = true;
    }
}

/// What is known of the limit of one target when a connection is chosen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimit<'a> {
    /// Name of the target.
    pub(crate) target: &'a str,
    /// Connections that the target accepts from all instances.
    pub(crate) limit: u32,
    /// Connections of the other instances beyond their shares; `None` if no report is
    /// recent.
    pub(crate) reported: Option<u32>,
    pub(crate) sharers: Sharers,
}

impl ConnectionLimit<'_> {
    fn usable(&self) -> f64 {
        f64::from(self.limit) * USED_SHARE
    }

    /// Returns how many connections this instance may hold whatever the others do.
    fn own_share(&self) -> u32 {
        let reserved = (self.usable() * RESERVED_SHARE) as usize;
        let Sharers {
            instances,
            position,
            is_known,
            ..
        } = self.sharers;
        if reserved >= instances {
            return (reserved / instances) as u32;
        }
        // Some of the instances, others for each target.
        let offset = hash_parts(&[self.target.as_bytes()]) as usize;
        let is_selected = position.wrapping_add(offset) % instances < reserved;
        u32::from(is_selected || !is_known)
    }

    /// Returns how many connections beyond the own share may be opened in
    /// [`REPORT_AGE`] when `excess` are open. All instances may do so at once, and twice
    /// before they know of each other.
    fn burst(&self, excess: u32) -> u32 {
        let Some(reported) = self.reported.filter(|_| self.sharers.is_known) else {
            return 0;
        };
        let shared = self.usable() * (1.0 - RESERVED_SHARE);
        let free = shared - f64::from(reported) - f64::from(excess);
        (free.max(0.0) / (2.0 * self.sharers.instances as f64)) as u32
    }
}

/// How a request may use connections that have served others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// It may be repeated, so that any resting connection will do.
    Any,
    /// It runs at most once: only a connection that has rested for a short time.
    Recent,
    /// A new connection is needed.
    Never,
}

/// Connection on which a request is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPlan {
    /// The target has no limit: a connection for this request alone.
    Uncounted,
    /// A resting connection.
    Reuse(ConnectionId),
    /// A new connection, which counts from now on.
    Open(ConnectionId),
    /// The target has no room for a new connection, and none rests.
    Full,
}

/// Connection that rests between two requests.
#[derive(Clone, Copy, Debug)]
struct Resting {
    since: Time,
    /// Time from which on it is not used.
    until: Time,
}

/// Connections of one instance to one process of a target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connections {
    /// Open connections; `None` for one in use.
    open: BTreeMap<ConnectionId, Option<Resting>>,
    /// Times at which connections were closed that still count.
    closed: VecDeque<Time>,
    /// Times at which connections beyond the own share were opened.
    excess: VecDeque<Time>,
    /// Time until which none is kept.
    unkept_until: Time,
}

impl Connections {
    /// Returns the connections that count at the target.
    pub(crate) fn count(&self, now: Time) -> u32 {
        let closed = self.closed.iter().filter(|at| is_within(now, **at, LINGER));
        (self.open.len() + closed.count()) as u32
    }

    /// Returns the connections that count beyond the own share.
    pub(crate) fn excess(&self, now: Time, limit: &ConnectionLimit<'_>) -> u32 {
        // Without any, the share need not be determined.
        match self.count(now) {
            0 => 0,
            count => count.saturating_sub(limit.own_share()),
        }
    }

    /// Returns whether a new connection may be opened.
    fn may_open(&self, now: Time, limit: &ConnectionLimit<'_>) -> bool {
        let count = self.count(now);
        let share = limit.own_share();
        if count < share {
            return true;
        }
        let recent = self.excess.iter();
        let recent = recent.filter(|at| is_within(now, **at, REPORT_AGE)).count();
        (recent as u32) < limit.burst(count - share)
    }

    /// Returns whether any request can be sent to the target now.
    pub(crate) fn has_room(&self, now: Time, limit: &ConnectionLimit<'_>) -> bool {
        self.newest_resting(now, Reuse::Recent).is_some() || self.may_open(now, limit)
    }

    /// Returns the connection that has rested for the shortest time, so that those
    /// which are not needed grow old.
    fn newest_resting(&self, now: Time, reuse: Reuse) -> Option<ConnectionId> {
        let max_rest = match reuse {
            _ if !self.may_keep(now) => return None,
            Reuse::Any => Duration::MAX,
            Reuse::Recent => ONCE_REST,
            Reuse::Never => return None,
        };
        let resting = self.open.iter().filter_map(|(id, r)| Some((*id, (*r)?)));
        let usable = resting.filter(|(_, r)| now < r.until && is_within(now, r.since, max_rest));
        let newest = usable.max_by_key(|(id, r)| (r.since, *id));
        newest.map(|(id, _)| id)
    }

    /// Chooses the connection for a request and counts it as in use. `new_id` is the
    /// identifier of one that is opened.
    pub(crate) fn claim(
        &mut self,
        now: Time,
        limit: &ConnectionLimit<'_>,
        reuse: Reuse,
        new_id: ConnectionId,
    ) -> ConnectionPlan {
        if let Some(id) = self.newest_resting(now, reuse) {
            self.open.insert(id, None);
            return ConnectionPlan::Reuse(id);
        }
        if !self.may_open(now, limit) {
            return ConnectionPlan::Full;
        }
        if self.count(now) >= limit.own_share() {
            self.excess.retain(|at| is_within(now, *at, REPORT_AGE));
            self.excess.push_back(now);
        }
        self.open.insert(new_id, None);
        ConnectionPlan::Open(new_id)
    }

    /// Lets a connection in use rest until a time; returns whether it may.
    pub(crate) fn rest(&mut self, now: Time, id: ConnectionId, until: Time) -> bool {
        let resting = self.open.values().filter(|r| r.is_some()).count();
        let has_room = resting < MAX_RESTING && now < until && self.may_keep(now);
        match self.open.get_mut(&id) {
            Some(connection) if has_room => {
                *connection = Some(Resting { since: now, until });
                true
            }
            _ => false,
        }
    }

    /// Returns whether a connection rests and may still be used.
    pub(crate) fn is_resting(&self, now: Time, id: ConnectionId) -> bool {
        let resting = self.open.get(&id).copied().flatten();
        resting.is_some_and(|r| now < r.until) && self.may_keep(now)
    }

    /// Returns whether connections are kept.
    pub(crate) fn may_keep(&self, now: Time) -> bool {
        now >= self.unkept_until
    }

    /// Records that the target has sent bytes that belong to no request. More may
    /// follow, and arrive where the response to another request is expected.
    pub(crate) fn record_surplus(&mut self, now: Time) {
        self.unkept_until = now.saturating_add(SURPLUS_TIME);
    }

    /// Records that a connection was closed.
    pub(crate) fn close(&mut self, now: Time, id: ConnectionId) {
        self.closed.retain(|at| is_within(now, *at, LINGER));
        if self.open.remove(&id).is_some() {
            self.closed.push_back(now);
        }
    }
}

fn is_within(now: Time, at: Time, duration: Duration) -> bool {
    now.saturating_sub(at) < duration
}
