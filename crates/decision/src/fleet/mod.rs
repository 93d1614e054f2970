//! Which instances are in the fleet, and the load of all of them at the targets.
//!
//! Instances gossip by pulses. In each failure domain one live instance, chosen
//! by rendezvous hashing, is the domain's hub. Instances send a pulse to their
//! hub a few times a second; hubs exchange pulses with each other and send one
//! back to their domain. A pulse says which instances were heard from and when,
//! how many requests are at each target, and how new the sender's copies of the
//! store's tables are.
//!
//! The hubs also read the store for the fleet, so that the number of calls to it
//! grows with the number of domains and not of instances. None of this is needed
//! to serve: an instance that hears from no hub reads the store itself.

mod hub;
mod lookup;
mod pulse;
mod read_policy;
mod receive;
mod send;
mod tag_map;
mod timing;
mod transfer_limiter;

pub use pulse::{
    CopyStatus, FreshnessProofs, InstanceRecord, LoadSummary, OutgoingPulse, Pulse, PulseScope,
    TOKEN_UNIT, service_tag, target_tag,
};
pub use read_policy::ReadPolicy;
pub use tag_map::{Tag, TagMap};
pub use transfer_limiter::{LINK_MBPS, TransferLimiter};

use crate::id::{Incarnation, InstanceId, Time};
use crate::members::Listing;
use hub::HubTable;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Silence after which an instance is forgotten. Until then it keeps its share of
/// the limits, because it may be serving and only be out of reach from here.
const FORGET_AFTER: Duration = Duration::from_secs(20);
/// Age at which a remote load is no longer counted.
const MAX_LOAD_AGE: Duration = Duration::from_millis(1_500);

/// Another instance, as this one knows it.
#[derive(Clone, Debug)]
struct Peer {
    listing: Listing,
    incarnation: Incarnation,
    /// Tag of the instance and its incarnation in pulses.
    tag: Tag,
    /// Latest time at which any instance heard from it.
    last_heard: Time,
    /// Time of the last change of its listing or incarnation.
    changed_at: Time,
    /// Whether this instance, as a hub, has sent it the records of all instances
    /// that a pulse covers.
    has_records: bool,
    /// Time at which it last could not be reached; it is live again once it is
    /// heard from later than that.
    failed_at: Option<Time>,
    /// Time at which it sent its last pulse, on its own clock.
    sent_ms: Option<u64>,
    /// Time at which its last pulse arrived, and the scope of that pulse.
    last_pulse: Option<(Time, PulseScope)>,
    load: LoadSummary,
    /// Time at which it reported its load.
    load_at: Option<Time>,
    /// Whether it sends and takes tables in pages; known once a pulse came from it.
    pages: Option<bool>,
    /// Estimated times at which its copies of the store's tables were the newest.
    copies_at: Vec<Option<Time>>,
}

/// The fleet as one instance knows it.
#[derive(Clone, Debug)]
pub struct Fleet {
    me: Listing,
    incarnation: Incarnation,
    /// Whether this instance joins the fleet through seeds.
    has_seeds: bool,
    /// Whether there are seeds besides this instance.
    has_other_seeds: bool,
    /// Whether a pulse has come of an instance that knows a configuration.
    is_informed: bool,
    peers: BTreeMap<InstanceId, Peer>,
    ticks: u64,
    /// Instance that is regarded as the hub of this domain, and since when.
    presumed_hub: Option<(InstanceId, Time)>,
    /// Loads that this instance reported, each with the sending time of its pulse.
    reported: VecDeque<(u64, LoadSummary)>,
    /// Load of all other instances from the hub's last pulse, and when it arrived.
    remote: Option<(Time, LoadSummary)>,
    /// The hubs as determined last; `None` where an instance has changed since.
    hubs: RefCell<Option<HubTable>>,
}

impl Fleet {
    /// Creates the fleet of an instance that knows only itself.
    pub fn new(me: Listing, incarnation: Incarnation) -> Self {
        Fleet {
            me,
            incarnation,
            has_seeds: false,
            has_other_seeds: false,
            is_informed: false,
            peers: BTreeMap::new(),
            ticks: 0,
            presumed_hub: None,
            reported: VecDeque::new(),
            remote: None,
            hubs: RefCell::default(),
        }
    }

    /// Sets whether this instance joins the fleet through seeds, which it does where
    /// there are seeds and it is none of them.
    #[must_use]
    pub fn with_seeds(mut self, has_seeds: bool) -> Self {
        self.has_seeds = has_seeds;
        self
    }

    /// Sets whether there are seeds besides this instance, which may itself be one.
    #[must_use]
    pub fn with_other_seeds(mut self, has_other_seeds: bool) -> Self {
        self.has_other_seeds = has_other_seeds;
        self
    }

    /// Adds the instances of the platform's list. New ones count as heard from
    /// just now.
    pub fn add_listed(&mut self, now: Time, list: Vec<Listing>) {
        for listing in list {
            let is_other = listing.id != self.me.id && !listing.leaving;
            if is_other && !self.peers.contains_key(&listing.id) {
                self.add_peer(now, now, listing, 0);
            }
        }
    }

    fn add_peer(&mut self, now: Time, heard: Time, listing: Listing, incarnation: Incarnation) {
        let peer = Peer {
            tag: incarnation_tag(&listing.id, incarnation),
            incarnation,
            last_heard: heard,
            changed_at: now,
            has_records: false,
            failed_at: None,
            sent_ms: None,
            last_pulse: None,
            load: LoadSummary::default(),
            load_at: None,
            pages: None,
            copies_at: Vec::new(),
            listing,
        };
        self.peers.insert(peer.listing.id.clone(), peer);
        self.hubs.take();
    }

    /// Returns the listing of this instance.
    pub fn me(&self) -> &Listing {
        &self.me
    }

    /// Returns the address at which another instance receives pulses.
    pub fn peer_address(&self, id: &str) -> Option<SocketAddr> {
        self.peers.get(id).map(|p| p.listing.peer)
    }

    /// Sets whether this instance is starting, as it knows no configuration yet.
    pub fn set_starting(&mut self, starting: bool) {
        if std::mem::replace(&mut self.me.starting, starting) != starting {
            self.hubs.take();
        }
    }

    /// Returns whether another instance is known.
    pub fn knows_peer(&self, id: &str) -> bool {
        self.peers.contains_key(id)
    }

    /// Returns whether an instance sends and takes tables in pages, as its pulses say.
    pub fn takes_pages(&self, id: &str) -> bool {
        self.peers.get(id).is_some_and(|p| p.pages == Some(true))
    }

    /// Marks this instance as leaving.
    pub fn set_leaving(&mut self) {
        self.me.leaving = true;
        self.hubs.take();
    }

    /// Records that an instance can't be reached. It does not count as live until
    /// it is heard from again.
    pub fn peer_lost(&mut self, now: Time, id: &str) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.failed_at = Some(now);
            peer.has_records = false;
            self.hubs.take();
        }
    }

    /// Returns the load of all other instances, without reports that are too old.
    pub fn remote_load(&self, now: Time) -> LoadSummary {
        if self.is_hub(now) {
            return self.sum_loads(now, |_| true);
        }
        let recent = self.remote.as_ref().filter(|(at, _)| is_recent(*at, now));
        recent.map(|(_, load)| load.clone()).unwrap_or_default()
    }

    /// Returns the time of the oldest report in [`Fleet::remote_load`]; `None`
    /// where it has none.
    pub fn remote_load_at(&self, now: Time) -> Option<Time> {
        if self.is_hub(now) {
            let reports = self.peers.values().filter_map(|p| p.load_at);
            return reports.filter(|at| is_recent(*at, now)).min();
        }
        let total_at = self.remote.as_ref().map(|(at, _)| *at);
        total_at.filter(|at| is_recent(*at, now))
    }

    /// Sums the recent loads of the peers that `is_included` selects.
    fn sum_loads(&self, now: Time, is_included: impl Fn(&Peer) -> bool) -> LoadSummary {
        let mut sum = LoadSummary::default();
        for peer in self.peers.values().filter(|p| is_included(p)) {
            if peer.load_at.is_some_and(|at| is_recent(at, now)) {
                sum.add(&peer.load);
            }
        }
        sum
    }
}

/// Returns whether a load that was reported at `at` still counts.
fn is_recent(at: Time, now: Time) -> bool {
    now.saturating_sub(at) < MAX_LOAD_AGE
}

/// Returns the tag of an instance or a target, and its incarnation.
pub(crate) fn incarnation_tag(id: &str, incarnation: Incarnation) -> Tag {
    tag_map::tag(&[id.as_bytes(), &incarnation.to_le_bytes()])
}
