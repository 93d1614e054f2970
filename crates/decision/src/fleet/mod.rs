//! Who is in the fleet, and how all of it loads the targets.
//!
//! In each failure domain the first live instance by rendezvous hashing is the
//! domain's hub. Instances send a pulse to their hub a few times a second; hubs
//! send pulses to each other and back to their domain. A pulse says who was
//! heard when, how many requests are at each target, and how new the sender's
//! copies of the store's tables are. Hubs are the fleet's readers of the store,
//! so that its calls grow with the number of domains and not of instances. All
//! of this is soft: an instance that hears from no hub reads for itself.

mod hub;
mod pulse;
mod reader;
mod receive;
mod send;
mod tag_map;
mod timing;
mod transfer_limiter;

pub use pulse::{
    CopyStatus, FreshnessProofs, InstanceRecord, LoadSummary, OutgoingPulse, Pulse, PulseScope,
    target_tag,
};
pub use reader::ReadPolicy;
pub use tag_map::{Tag, TagMap};
pub use transfer_limiter::TransferLimiter;

use crate::id::{Incarnation, InstanceId, Time};
use crate::members::Listing;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which an instance that is silent is forgotten; until then it
/// keeps its share of the limits, because it may only be out of touch.
const FORGET_AFTER: Duration = Duration::from_secs(20);
/// Age at which work told by others is no longer counted.
const MAX_LOAD_AGE: Duration = Duration::from_millis(1_500);

#[derive(Clone, Debug)]
struct Peer {
    listing: Listing,
    incarnation: Incarnation,
    /// Tag of its life.
    tag: Tag,
    last_heard: Time,
    /// When what is known of it last changed.
    changed_at: Time,
    /// Whether this instance, as a hub, has told it of all others.
    has_records: bool,
    /// When it last failed to answer; it is live again once it is heard later.
    failed_at: Option<Time>,
    /// Time of its last pulse on its own clock.
    sent_ms: Option<u64>,
    /// When its last pulse came, and what its loads covered.
    last_pulse: Option<(Time, PulseScope)>,
    load: LoadSummary,
    /// When its work was told.
    load_at: Option<Time>,
    /// Estimated moments at which its copies were the newest.
    copies_at: Vec<Option<Time>>,
}

/// The fleet as one instance knows it.
#[derive(Clone, Debug)]
pub struct Fleet {
    me: Listing,
    incarnation: Incarnation,
    /// Whether others can be asked at the start.
    has_seeds: bool,
    peers: BTreeMap<InstanceId, Peer>,
    ticks: u64,
    /// Instance that is taken for the hub of the domain, and since when.
    hub_trial: Option<(InstanceId, Time)>,
    /// Own work by the time of the pulse that told it.
    reported: VecDeque<(u64, LoadSummary)>,
    /// Work of the whole fleet but for this instance, and when it came.
    remote: Option<(Time, LoadSummary)>,
}

impl Fleet {
    /// Makes the fleet of an instance that knows only itself.
    pub fn new(me: Listing, incarnation: Incarnation) -> Self {
        Fleet {
            me,
            incarnation,
            has_seeds: false,
            peers: BTreeMap::new(),
            ticks: 0,
            hub_trial: None,
            reported: VecDeque::new(),
            remote: None,
        }
    }

    /// Tells that this instance has seeds to ask, and is none itself.
    #[must_use]
    pub fn with_seeds(mut self, has_seeds: bool) -> Self {
        self.has_seeds = has_seeds;
        self
    }

    /// Takes the list of instances; those that are new count as just heard.
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
            copies_at: Vec::new(),
            listing,
        };
        self.peers.insert(peer.listing.id.clone(), peer);
    }

    /// This instance.
    pub fn me(&self) -> &Listing {
        &self.me
    }

    /// Address of another instance.
    pub fn peer_address(&self, id: &str) -> Option<SocketAddr> {
        self.peers.get(id).map(|p| p.listing.peer)
    }

    /// Tells whether this instance knows no configuration yet.
    pub fn set_starting(&mut self, starting: bool) {
        self.me.starting = starting;
    }

    /// Whether an instance has been met.
    pub fn knows_peer(&self, id: &str) -> bool {
        self.peers.contains_key(id)
    }

    /// Marks this instance as stopping.
    pub fn set_leaving(&mut self) {
        self.me.leaving = true;
    }

    /// Notes that an instance can't be reached; it doesn't count as live until
    /// it is heard again.
    pub fn peer_lost(&mut self, now: Time, id: &str) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.failed_at = Some(now);
            peer.has_records = false;
        }
    }

    /// Work of all other instances.
    pub fn remote_load(&self, now: Time) -> LoadSummary {
        if self.is_hub(now) {
            return self.sum_loads(now, |_| true);
        }
        let recent = self.remote.as_ref().filter(|(at, _)| is_recent(*at, now));
        recent.map(|(_, load)| load.clone()).unwrap_or_default()
    }

    /// When the oldest work in [`Fleet::remote_load`] was told; `None` where none is
    /// known.
    pub fn remote_load_at(&self, now: Time) -> Option<Time> {
        if self.is_hub(now) {
            let reports = self.peers.values().filter_map(|p| p.load_at);
            return reports.filter(|at| is_recent(*at, now)).min();
        }
        let total_at = self.remote.as_ref().map(|(at, _)| *at);
        total_at.filter(|at| is_recent(*at, now))
    }

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

/// Whether work that was told at `at` still counts.
fn is_recent(at: Time, now: Time) -> bool {
    now.saturating_sub(at) < MAX_LOAD_AGE
}

fn incarnation_tag(id: &str, incarnation: Incarnation) -> Tag {
    tag_map::tag(&[id.as_bytes(), &incarnation.to_le_bytes()])
}
