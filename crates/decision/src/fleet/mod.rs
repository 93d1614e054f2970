//! Who is in the fleet, and how all of it loads the targets.
//!
//! In each failure domain the first live instance by rendezvous hashing is the
//! domain's hub. Instances send a pulse to their hub a few times a second; hubs
//! send pulses to each other and back to their domain. A pulse says who was
//! heard when, how many requests are at each target, and how new the sender's
//! copies of the store's tables are. Hubs are the fleet's readers of the store,
//! so that its calls grow with the number of domains and not of instances. All
//! of this is soft: an instance that hears from no hub reads for itself.

mod counts;
mod pulse;
mod reader;
mod supply;

pub use counts::{Counts, Tag};
pub use pulse::{FeedAge, Heard, Outgoing, Proof, Pulse, Scope, Work, target_tag};
pub use reader::Pace;
pub use supply::Supply;

use crate::hash::{hash_parts, rank, winner};
use crate::id::{DomainId, Incarnation, InstanceId, Time};
use crate::members::Listing;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Silence after which an instance no longer counts as live: it is told of
/// over at most two hops, each within [`LISTS`] pulses.
const LIVE: Duration = Duration::from_millis(2_500);
/// Time for which an instance that is taken for the hub may leave pulses
/// without an answer: five of them.
const HUB_TRIAL: Duration = Duration::from_secs(1);
/// Time after which an instance that is silent is forgotten; until then it
/// keeps its share of the limits, because it may only be out of touch.
const FORGET: Duration = Duration::from_secs(20);
/// Age at which work told by others is no longer counted.
const WORK_AGE: Duration = Duration::from_millis(1_500);
/// Silence of the hubs after which an instance is no longer told who is heard.
const PULSE_LATE: Duration = Duration::from_millis(600);
/// Longest time for which the last news of who is heard stands: with [`LIVE`],
/// under the 6 s that operators allow for naming an instance that is gone.
const NEWS_KEPT: Duration = Duration::from_millis(2_500);
/// Longest time for which a connection holds a pulse up, in milliseconds: a
/// link gives up a silent connection after less.
const LATE_MAX_MS: u64 = 3_000;
/// Pulses of a hub of which one tells all instances; the others tell the hub.
const LISTS: u64 = 3;
/// Lists of a hub over which all that is known of each instance is spread.
const SLICES: u32 = 32;
/// Time for which what has changed of an instance is told in each list.
const CHANGE_TOLD: Duration = Duration::from_secs(3);
/// Busy targets for each pulse between two that tell the work at all of them:
/// at 14 KB a second for control, an instance can be told of 1,000 a second.
const TARGETS_A_PULSE: usize = 200;
/// Most pulses from one that tells the work to the next: a second.
const WORK_PULSES: usize = 5;
/// Subjects that a hub's pulse names.
const SUBJECTS: usize = 16;
/// Own pulses whose work is remembered until a hub's answer.
const PULSES: usize = 16;

#[derive(Clone, Debug)]
struct Peer {
    listing: Listing,
    incarnation: Incarnation,
    /// Tag of its life.
    tag: Tag,
    heard: Time,
    /// When what is known of it last changed.
    changed: Time,
    /// Whether this instance, as a hub, has told it of all others.
    greeted: bool,
    /// When it last failed to answer; it is live again once it is heard later.
    failed: Option<Time>,
    /// Time of its last pulse on its own clock.
    pulse_ms: Option<u64>,
    /// When its last pulse came, and what its loads covered.
    told: Option<(Time, Scope)>,
    work: Work,
    /// When its work was told.
    worked: Option<Time>,
    /// Estimated moments at which its copies were the newest.
    feeds: Vec<Option<Time>>,
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
    trial: Option<(InstanceId, Time)>,
    /// Own work by the time of the pulse that told it.
    told: VecDeque<(u64, Work)>,
    /// Work of the whole fleet but for this instance, and when it came.
    others: Option<(Time, Work)>,
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
            trial: None,
            told: VecDeque::new(),
            others: None,
        }
    }

    /// Tells that this instance has seeds to ask, and is none itself.
    #[must_use]
    pub fn with_seeds(mut self, has_seeds: bool) -> Self {
        self.has_seeds = has_seeds;
        self
    }

    /// Takes the list of instances; those that are new count as just heard.
    pub fn listed(&mut self, now: Time, list: Vec<Listing>) {
        for listing in list {
            let is_other = listing.id != self.me.id && !listing.leaving;
            if is_other && !self.peers.contains_key(&listing.id) {
                self.meet(now, now, listing, 0);
            }
        }
    }

    fn meet(&mut self, now: Time, heard: Time, listing: Listing, incarnation: Incarnation) {
        let peer = Peer {
            tag: life_tag(&listing.id, incarnation),
            incarnation,
            heard,
            changed: now,
            greeted: false,
            failed: None,
            pulse_ms: None,
            told: None,
            work: Work::default(),
            worked: None,
            feeds: Vec::new(),
            listing,
        };
        self.peers.insert(peer.listing.id.clone(), peer);
    }

    /// This instance.
    pub fn me(&self) -> &Listing {
        &self.me
    }

    /// Address of another instance.
    pub fn address(&self, id: &str) -> Option<SocketAddr> {
        self.peers.get(id).map(|p| p.listing.peer)
    }

    /// Tells whether this instance knows no configuration yet.
    pub fn start(&mut self, starting: bool) {
        self.me.starting = starting;
    }

    /// Whether an instance has been met.
    pub fn knows(&self, id: &str) -> bool {
        self.peers.contains_key(id)
    }

    /// Pulse to a seed, which names this instance alone: many may ask at once.
    pub fn introduction(&self, now: Time) -> Pulse {
        self.first_pulse(now, |_| false)
    }

    /// First pulse to an instance that has introduced itself: its domain, in
    /// which it finds its hub, and the hubs of the others.
    pub fn welcome(&self, now: Time, to: &str) -> Pulse {
        let domain = self.peers.get(to).map(|p| p.listing.domain.clone());
        let hubs: BTreeSet<InstanceId> = self.hubs(now).into_iter().map(|h| h.id.clone()).collect();
        self.first_pulse(now, |p| {
            Some(&p.listing.domain) == domain.as_ref() || hubs.contains(&p.listing.id)
        })
    }

    fn first_pulse(&self, now: Time, wanted: impl Fn(&Peer) -> bool) -> Pulse {
        Pulse {
            at_ms: now.as_millis() as u64,
            echo_ms: None,
            scope: Scope::Own,
            heard: self.heard(now, wanted),
            ages: Counts::default(),
            work: None,
            feeds: Vec::new(),
        }
    }

    /// Marks this instance as stopping.
    pub fn leave(&mut self) {
        self.me.leaving = true;
    }

    /// Notes that an instance can't be reached; it doesn't count as live until
    /// it is heard again.
    pub fn lost(&mut self, now: Time, id: &str) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.failed = Some(now);
            peer.greeted = false;
        }
    }

    /// Gives up an instance that is taken for the hub and does not answer.
    fn try_hub(&mut self, now: Time) {
        let hub = self.hub(now, &self.me.domain).map(|hub| hub.id.clone());
        let Some(hub) = hub.filter(|hub| *hub != self.me.id) else {
            self.trial = None;
            return;
        };
        let since = match &self.trial {
            Some((id, since)) if *id == hub => *since,
            _ => now,
        };
        self.trial = Some((hub.clone(), since));
        let told = self.peers.get(&hub).and_then(|p| p.told).map(|(at, _)| at);
        let answered = told.map_or(since, |at| at.max(since));
        if now.saturating_sub(answered) >= HUB_TRIAL {
            self.lost(now, &hub);
            self.trial = None;
        }
    }

    /// Takes a pulse; returns what it proves about the sender's tables.
    pub fn pulse(&mut self, now: Time, from: &InstanceId, pulse: Pulse) -> Proof {
        for heard in pulse.heard {
            self.hear(now, heard);
        }
        self.hear_ages(now, &pulse.ages);
        let Some(peer) = self.peers.get_mut(from) else {
            return Proof::new();
        };
        // A pulse that was held up on its way is overtaken by a newer one; one
        // that is far older comes from a new life whose clock was set back.
        let is_late = |last: u64| pulse.at_ms < last && last - pulse.at_ms < LATE_MAX_MS;
        if peer.pulse_ms.is_some_and(is_late) {
            return Proof::new();
        }
        peer.pulse_ms = Some(pulse.at_ms);
        peer.heard = peer.heard.max(now);
        peer.told = Some((now, pulse.scope));
        let age = |f: &FeedAge| Duration::from_millis(u64::from(f.age_ms));
        let estimates = pulse.feeds.iter();
        peer.feeds = estimates
            .map(|f| f.as_ref().map(|f| now.saturating_sub(age(f))))
            .collect();
        match pulse.work {
            Some(work) if pulse.scope == Scope::All => {
                self.take_total(now, pulse.echo_ms, work);
            }
            Some(work) => {
                peer.work = work;
                peer.worked = Some(now);
            }
            None => {}
        }
        let Some(echo) = pulse.echo_ms.map(Duration::from_millis) else {
            return Proof::new();
        };
        let feeds = pulse.feeds.iter();
        feeds
            .map(|f| {
                f.as_ref()
                    .and_then(|f| Some((*f, echo.checked_sub(age(f))?)))
            })
            .collect()
    }

    /// Takes the fleet's work; this instance's own, as it had told it, is taken
    /// off.
    fn take_total(&mut self, now: Time, echo_ms: Option<u64>, mut total: Work) {
        let own = self.told.iter().find(|(at, _)| Some(*at) == echo_ms);
        if let Some((_, own)) = own {
            total.subtract(own);
        }
        self.others = Some((now, total));
    }

    fn hear(&mut self, now: Time, heard: Heard) {
        let at = now.saturating_sub(Duration::from_millis(u64::from(heard.age_ms)));
        let id = heard.listing.id.clone();
        if id == self.me.id {
            return;
        }
        match self.peers.get_mut(&id) {
            Some(peer) => {
                let is_newer = heard.incarnation > peer.incarnation;
                if is_newer {
                    peer.pulse_ms = None;
                    peer.greeted = false;
                }
                if is_newer || (heard.incarnation == peer.incarnation && at > peer.heard) {
                    let leaving = heard.listing.leaving || (!is_newer && peer.listing.leaving);
                    let listing = Listing {
                        leaving,
                        ..heard.listing
                    };
                    if is_newer || peer.listing != listing {
                        peer.changed = now;
                    }
                    peer.tag = life_tag(&id, heard.incarnation);
                    peer.listing = listing;
                    peer.incarnation = heard.incarnation;
                    peer.heard = peer.heard.max(at);
                }
            }
            None => self.meet(now, at, heard.listing, heard.incarnation),
        }
    }

    fn hear_ages(&mut self, now: Time, ages: &Counts) {
        for peer in self.peers.values_mut() {
            if let Some(age_ms) = ages.0.get(&peer.tag) {
                let age = Duration::from_millis(u64::from(*age_ms));
                peer.heard = peer.heard.max(now.saturating_sub(age));
            }
        }
    }

    fn is_live(&self, peer: &Peer, now: Time) -> bool {
        !peer.listing.starting && self.is_heard(peer, now)
    }

    fn is_heard(&self, peer: &Peer, now: Time) -> bool {
        let answers = peer.failed.is_none_or(|failed| peer.heard > failed);
        let age = self.news_at(now).saturating_sub(peer.heard);
        !peer.listing.leaving && answers && age < LIVE
    }

    /// Moment up to which this instance is told who is heard. Without a hub it
    /// is told nothing, and for a while that is no sign of the others' silence.
    fn news_at(&self, now: Time) -> Time {
        match self.silence(now) {
            Some(silence) if silence >= PULSE_LATE => now.saturating_sub(silence.min(NEWS_KEPT)),
            _ => now,
        }
    }

    /// Live instances that take callers, this one included where it does.
    pub fn live(&self, now: Time) -> Vec<&Listing> {
        let me = Some(&self.me).filter(|me| !me.leaving && !me.starting);
        let others = self.peers.values().filter(|p| self.is_live(p, now));
        me.into_iter().chain(others.map(|p| &p.listing)).collect()
    }

    /// Instances that share the limits, and this one's place among them.
    pub fn share(&self, now: Time) -> (usize, usize) {
        let known = |p: &&Peer| now.saturating_sub(p.heard) < FORGET;
        let ids = self.peers.values().filter(known).map(|p| &p.listing.id);
        let ids: Vec<&InstanceId> = ids.collect();
        let before = ids.iter().filter(|id| ***id < self.me.id).count();
        (ids.len() + 1, before)
    }

    /// Hub of a failure domain: of the live instances on the strongest machines
    /// the first by rendezvous hashing. Where no other of this instance's domain
    /// is known to serve, those that start count too: instances that start
    /// together know each other's state late, and would all act as hubs.
    pub fn hub(&self, now: Time, domain: &str) -> Option<&Listing> {
        let here = self.live(now).into_iter().filter(|l| l.domain == domain);
        let mut here: Vec<&Listing> = here.collect();
        if domain == self.me.domain && here.iter().all(|l| l.id == self.me.id) {
            let me = Some(&self.me).filter(|me| !me.leaving);
            let others = self.peers.values().filter(|p| self.is_heard(p, now));
            let starting = me.into_iter().chain(others.map(|p| &p.listing));
            here = starting.filter(|l| l.domain == domain).collect();
        }
        let power = here.iter().map(|l| l.power).max()?;
        let strongest = here.iter().filter(|l| l.power == power);
        let id = winner(domain, strongest.map(|l| l.id.as_str()))?;
        here.iter().find(|l| l.id == id).copied()
    }

    /// Whether this instance is the hub of its failure domain.
    pub fn is_hub(&self, now: Time) -> bool {
        let hub = self.hub(now, &self.me.domain);
        hub.is_none_or(|hub| hub.id == self.me.id)
    }

    /// Hubs of all domains in which an instance is live.
    fn hubs(&self, now: Time) -> Vec<&Listing> {
        let live = self.live(now);
        let domains: BTreeSet<&DomainId> = live.iter().map(|l| &l.domain).collect();
        let hubs = domains.into_iter().filter_map(|d| self.hub(now, d));
        hubs.collect()
    }

    /// Whether this instance is one of the first `most` hubs, in an order by
    /// rendezvous hashing of `key`, which spreads the work over the hubs.
    pub fn is_first_hub(&self, now: Time, key: &str, most: usize) -> bool {
        if !self.is_hub(now) {
            return false;
        }
        let hubs = self.hubs(now).into_iter();
        let hubs = hubs.map(|hub| (hub.id.as_str(), 1));
        let order = rank(hash_parts(&[key.as_bytes()]), hubs);
        let before = order.iter().position(|id| **id == *self.me.id);
        // A hub that starts is not live; it reads for itself.
        before.is_none_or(|before| before < most)
    }

    /// Time since any hub's pulse came, if one ever did.
    pub fn silence(&self, now: Time) -> Option<Duration> {
        let told = self.hub_pulses().map(|(at, _)| at).max();
        told.map(|at| now.saturating_sub(at))
    }

    /// Estimated age of the newest copy of a table that any hub told of. It
    /// decides when to read; it proves nothing.
    pub fn feed_age(&self, now: Time, table: usize) -> Option<Duration> {
        let newest = self.hub_pulses().filter_map(|(_, peer)| {
            let at = peer.feeds.get(table)?;
            *at
        });
        newest.max().map(|at| now.saturating_sub(at))
    }

    fn hub_pulses(&self) -> impl Iterator<Item = (Time, &Peer)> {
        let told = self.peers.values().filter_map(|p| Some((p.told?, p)));
        told.filter(|((_, scope), _)| *scope != Scope::Own)
            .map(|((at, _), peer)| (at, peer))
    }

    /// Work of all other instances.
    pub fn others(&self, now: Time) -> Work {
        if self.is_hub(now) {
            return self.sum(now, |_| true);
        }
        let fresh = self.others.as_ref();
        let fresh = fresh.filter(|(at, _)| now.saturating_sub(*at) < WORK_AGE);
        fresh.map(|(_, work)| work.clone()).unwrap_or_default()
    }

    fn sum(&self, now: Time, wanted: impl Fn(&Peer) -> bool) -> Work {
        let is_fresh = |peer: &Peer| {
            let worked = peer.worked;
            worked.is_some_and(|at| now.saturating_sub(at) < WORK_AGE)
        };
        let mut sum = Work::default();
        for peer in self.peers.values().filter(|p| wanted(p) && is_fresh(p)) {
            sum.add(&peer.work);
        }
        sum
    }

    /// Forgets instances that have been silent for long, and says what to send.
    pub fn tick(&mut self, now: Time, own: &Work, feeds: &[Option<FeedAge>]) -> Vec<Outgoing> {
        self.peers
            .retain(|_, p| now.saturating_sub(p.heard) < FORGET);
        self.ticks += 1;
        self.try_hub(now);
        let at_ms = now.as_millis() as u64;
        self.told.push_back((at_ms, own.clone()));
        if self.told.len() > PULSES {
            self.told.pop_front();
        }
        let pulse = |scope, heard, ages, work| Pulse {
            at_ms,
            echo_ms: None,
            scope,
            heard,
            ages,
            work,
            feeds: feeds.to_vec(),
        };
        let mut out = Vec::new();
        if self.is_hub(now) {
            self.tick_hub(now, own, pulse, &mut out);
        } else if let Some(hub) = self.hub(now, &self.me.domain).cloned() {
            let heard = self.heard(now, |_| false);
            let own_pulse = pulse(Scope::Own, heard, Counts::default(), Some(own.clone()));
            self.send(&mut out, &hub, &own_pulse);
        }
        out
    }

    fn tick_hub(
        &mut self,
        now: Time,
        own: &Work,
        pulse: impl Fn(Scope, Vec<Heard>, Counts, Option<Work>) -> Pulse,
        out: &mut Vec<Outgoing>,
    ) {
        let domain = self.me.domain.clone();
        let is_here = |p: &Peer| p.listing.domain == domain;
        let tells_all = self.ticks.is_multiple_of(LISTS);
        let is_due = |p: &Peer| tells_all && self.is_due(p, now);
        let to_hubs = pulse(
            Scope::Domain,
            self.heard(now, |p| is_here(p) && is_due(p)),
            self.ages(now, |p| tells_all && is_here(p)),
            self.work_to_tell(now, own, is_here),
        );
        let to_domain = pulse(
            Scope::All,
            self.heard(now, is_due),
            self.ages(now, |_| tells_all),
            self.work_to_tell(now, own, |_| true),
        );
        let greeting = self.heard(now, is_here);
        for hub in self.other_hubs(now) {
            self.tell(out, &hub, &to_hubs, &greeting);
        }
        let greeting = self.heard(now, |_| true);
        let here = self.peers.values().filter(|p| is_here(p));
        // Those that are silent may not know of this hub.
        let here = here.filter(|p| self.is_heard(p, now) || tells_all && !p.listing.leaving);
        let here: Vec<Listing> = here.map(|p| p.listing.clone()).collect();
        for listing in here {
            self.tell(out, &listing, &to_domain, &greeting);
        }
    }

    /// Sends a pulse, the first one with all that is known of others.
    fn tell(&mut self, out: &mut Vec<Outgoing>, to: &Listing, pulse: &Pulse, greeting: &[Heard]) {
        let greeted = self.peers.get_mut(&to.id).map(|p| &mut p.greeted);
        if greeted.is_some_and(|greeted| std::mem::replace(greeted, true)) {
            return self.send(out, to, pulse);
        }
        let first = Pulse {
            heard: greeting.to_vec(),
            ..pulse.clone()
        };
        self.send(out, to, &first);
    }

    /// Whether all that is known of an instance is told in this list.
    fn is_due(&self, peer: &Peer, now: Time) -> bool {
        let turn = (self.ticks / LISTS) as u32 % SLICES;
        now.saturating_sub(peer.changed) < CHANGE_TOLD || peer.tag % SLICES == turn
    }

    /// Work of this instance and of some others, if it is told in this pulse.
    fn work_to_tell(&self, now: Time, own: &Work, wanted: impl Fn(&Peer) -> bool) -> Option<Work> {
        let mut work = self.sum(now, wanted);
        work.add(own);
        let pulses = work.targets.0.len().div_ceil(TARGETS_A_PULSE);
        let pulses = pulses.clamp(1, WORK_PULSES) as u64;
        if !self.ticks.is_multiple_of(pulses) {
            return None;
        }
        work.keep_subjects(SUBJECTS);
        Some(work)
    }

    fn send(&self, out: &mut Vec<Outgoing>, to: &Listing, pulse: &Pulse) {
        let echo_ms = self.peers.get(&to.id).and_then(|p| p.pulse_ms);
        out.push(Outgoing {
            to: to.id.clone(),
            address: to.peer,
            pulse: Pulse {
                echo_ms,
                ..pulse.clone()
            },
        });
    }

    /// Hubs of the other failure domains. Of a domain in which nobody is heard
    /// one instance after the other is tried.
    pub fn other_hubs(&self, now: Time) -> Vec<Listing> {
        let mut domains: BTreeMap<&DomainId, Vec<&Listing>> = BTreeMap::new();
        let known = self.peers.values().map(|p| &p.listing);
        for listing in known.filter(|l| l.domain != self.me.domain && !l.leaving) {
            domains.entry(&listing.domain).or_default().push(listing);
        }
        let hub = |(domain, known): (&DomainId, Vec<&Listing>)| {
            let turn = (self.ticks as usize) % known.len();
            self.hub(now, domain).unwrap_or(known[turn]).clone()
        };
        domains.into_iter().map(hub).collect()
    }

    /// Instances to which news of the store's tables goes on from here.
    pub fn audience(&self, now: Time) -> Vec<Listing> {
        if !self.is_hub(now) {
            return Vec::new();
        }
        let here = self
            .peers
            .values()
            .filter(|p| p.listing.domain == self.me.domain && self.is_heard(p, now));
        here.map(|p| p.listing.clone()).collect()
    }

    fn ages(&self, now: Time, wanted: impl Fn(&Peer) -> bool) -> Counts {
        let age = |p: &Peer| now.saturating_sub(p.heard);
        let known = self.peers.values().filter(|p| wanted(p) && age(p) < FORGET);
        Counts(known.map(|p| (p.tag, age(p).as_millis() as u32)).collect())
    }

    fn heard(&self, now: Time, wanted: impl Fn(&Peer) -> bool) -> Vec<Heard> {
        let me = Heard {
            listing: self.me.clone(),
            incarnation: self.incarnation,
            age_ms: 0,
        };
        let others = self.peers.values().filter(|p| wanted(p));
        let others = others.filter(|p| now.saturating_sub(p.heard) < FORGET);
        let others = others.map(|p| Heard {
            listing: p.listing.clone(),
            incarnation: p.incarnation,
            age_ms: now.saturating_sub(p.heard).as_millis() as u32,
        });
        std::iter::once(me).chain(others).collect()
    }
}

fn life_tag(id: &str, incarnation: Incarnation) -> Tag {
    counts::tag(&[id.as_bytes(), &incarnation.to_le_bytes()])
}
