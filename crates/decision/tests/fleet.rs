//! Hubs, loads and proofs among many instances, with loss and delay.

use decision::{
    CopyStatus, Fleet, InstanceId, Listing, LoadSummary, OutgoingPulse, ReadPolicy, TagMap, Time,
    TransferLimiter, target_tag,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const PULSE: Duration = Duration::from_millis(200);

/// How a table is followed that others tell at the start.
const TOLD: ReadPolicy = ReadPolicy {
    table: "servers",
    readers: 2,
    poll_wait: Duration::from_millis(1_400),
    max_age: Duration::from_millis(1_850),
    read_at_start: false,
};

fn listing(number: usize, domains: usize) -> Listing {
    let port = number as u16;
    Listing {
        id: format!("i{number:03}").into(),
        domain: format!("d{}", number % domains).into(),
        caller: ([10, 0, 0, 1], port).into(),
        peer: ([10, 0, 0, 2], port).into(),
        leaving: false,
        starting: false,
        power: if number < domains * 2 { 500 } else { 84 },
    }
}

/// Instances that exchange pulses in virtual time.
struct Net {
    fleets: BTreeMap<InstanceId, Fleet>,
    work: BTreeMap<InstanceId, LoadSummary>,
    cut: BTreeSet<InstanceId>,
    now: Time,
    sent: usize,
    links: BTreeSet<(InstanceId, InstanceId)>,
    /// Bytes that each instance sent and received, while they are counted.
    bytes: Option<BTreeMap<InstanceId, usize>>,
}

impl Net {
    fn new(instances: usize, domains: usize) -> Net {
        let all: Vec<Listing> = (0..instances).map(|n| listing(n, domains)).collect();
        let fleets = all.iter().map(|me| {
            let mut fleet = Fleet::new(me.clone(), 1);
            fleet.add_listed(Time::ZERO, all.clone());
            (me.id.clone(), fleet)
        });
        Net {
            fleets: fleets.collect(),
            work: BTreeMap::new(),
            cut: BTreeSet::new(),
            now: Time::ZERO,
            sent: 0,
            links: BTreeSet::new(),
            bytes: None,
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += PULSE;
            let feeds = [Some(CopyStatus {
                version: 5,
                changed: 5,
                age_ms: 300,
            })];
            for step in [Fleet::tick, Fleet::pulse_domain] {
                let mut out: Vec<(InstanceId, OutgoingPulse)> = Vec::new();
                for (id, fleet) in &mut self.fleets {
                    let own = self.work.get(id).cloned().unwrap_or_default();
                    let pulses = step(fleet, self.now, &own, &feeds);
                    out.extend(pulses.into_iter().map(|p| (id.clone(), p)));
                }
                self.deliver(out);
            }
        }
    }

    fn deliver(&mut self, out: Vec<(InstanceId, OutgoingPulse)>) {
        self.sent += out.len();
        for (from, outgoing) in out {
            self.links.insert((from.clone(), outgoing.to.clone()));
            self.count(&from, &outgoing);
            if self.cut.contains(&from) || self.cut.contains(&outgoing.to) {
                continue;
            }
            if let Some(to) = self.fleets.get_mut(&outgoing.to) {
                to.receive_pulse(self.now, &from, outgoing.pulse);
            }
        }
    }

    fn count(&mut self, from: &InstanceId, outgoing: &OutgoingPulse) {
        let Some(bytes) = &mut self.bytes else { return };
        let mut frame = Vec::new();
        ciborium::into_writer(&outgoing.pulse, &mut frame).expect("a pulse has no bad types");
        for id in [from, &outgoing.to] {
            *bytes.entry(id.clone()).or_default() += frame.len();
        }
    }

    fn hubs(&self) -> BTreeSet<InstanceId> {
        let hubs = self.fleets.iter().filter(|(_, f)| f.is_hub(self.now));
        hubs.map(|(id, _)| id.clone()).collect()
    }
}

#[test]
fn each_domain_has_one_hub_on_its_strongest_machines() {
    for instances in [3, 13, 93, 370] {
        let mut net = Net::new(instances, 3);
        net.run(Duration::from_secs(5));
        let hubs = net.hubs();
        assert_eq!(hubs.len(), 3, "{instances} instances");
        for hub in hubs {
            assert!(net.fleets[&hub].me().power == 500);
        }
    }
}

#[test]
fn a_table_has_so_many_readers_and_another_when_one_is_cut_off() {
    let mut net = Net::new(40, 9);
    net.run(Duration::from_secs(5));
    let readers = |net: &Net, key: &str| -> BTreeSet<InstanceId> {
        let reads = |f: &&Fleet| f.is_chosen_hub(net.now, key, 2);
        let readers = net.fleets.values().filter(reads);
        readers.map(|f| f.me().id.clone()).collect()
    };
    let first = readers(&net, "servers");
    assert_eq!(first.len(), 2);
    assert!(first.is_subset(&net.hubs()));
    let lost = first.first().expect("two readers").clone();
    net.cut.insert(lost.clone());
    net.run(Duration::from_secs(4));
    let mut replaced = readers(&net, "servers");
    // It knows nobody any more, and reads for itself.
    assert!(replaced.remove(&lost));
    assert_eq!(replaced.len(), 2);
}

#[test]
fn an_instance_that_starts_leaves_the_targets_to_its_seeds() {
    const READ: ReadPolicy = ReadPolicy {
        read_at_start: true,
        ..TOLD
    };
    let reason = |fleet: &Fleet, pace: &ReadPolicy, ms: u64, known: bool| {
        let now = Duration::from_millis(ms);
        fleet.reason_to_read(now, 0, pace, known.then_some(now))
    };
    let alone = Fleet::new(listing(0, 3), 1);
    assert_eq!(reason(&alone, &TOLD, 0, false), Some("nothing known"));
    let asking = Fleet::new(listing(0, 3), 1).with_seeds(true);
    assert_eq!(reason(&asking, &READ, 0, false), Some("nothing known"));
    assert_eq!(
        reason(&asking, &READ, 10, true),
        None,
        "it may not be a hub"
    );
    assert_eq!(reason(&asking, &TOLD, 10, false), None);
    let seeds_are_gone = reason(&asking, &TOLD, 500, false);
    assert_eq!(seeds_are_gone, Some("nothing known"));
    assert_eq!(
        reason(&asking, &TOLD, 500, true),
        Some("hub"),
        "nobody answered"
    );
    let mut told = Fleet::new(listing(3, 3), 1).with_seeds(true);
    let all = (0..9).map(|n| listing(n, 3)).collect();
    told.add_listed(Time::ZERO, all);
    assert!(!told.is_hub(Duration::from_millis(500)));
    assert_eq!(
        reason(&told, &TOLD, 500, true),
        None,
        "a hub's pulse may come"
    );
    assert_eq!(reason(&told, &TOLD, 900, true), Some("hubs silent"));
}

#[test]
fn instances_that_start_together_open_few_connections() {
    const INSTANCES: usize = 93;
    let mut net = Net::new(0, 3);
    let all: Vec<Listing> = (0..INSTANCES)
        .map(|n| Listing {
            starting: true,
            ..listing(n, 3)
        })
        .collect();
    for me in &all {
        let mut fleet = Fleet::new(me.clone(), 1);
        fleet.add_listed(Time::ZERO, all.clone());
        net.fleets.insert(me.id.clone(), fleet);
    }
    net.run(Duration::from_millis(600));
    for fleet in net.fleets.values_mut() {
        fleet.set_starting(false);
    }
    net.run(Duration::from_secs(5));
    assert_eq!(net.hubs().len(), 3);
    // To the hub and back, once more for a hub that is replaced as it is known
    // who serves, and between the hubs.
    let links = net.links.len();
    assert!(links <= INSTANCES * 4 + 20, "{links} connections");
}

#[test]
fn a_copy_that_falls_behind_its_hubs_is_read() {
    let mut net = Net::new(40, 4);
    net.run(Duration::from_secs(8));
    let hubs = net.hubs();
    let member = net.fleets.values().find(|f| !hubs.contains(&f.me().id));
    let member = member.expect("an instance that is no hub");
    let reason = |age: Duration| {
        let copy = net.now.checked_sub(age);
        member.reason_to_read(net.now, 0, &TOLD, copy)
    };
    assert_eq!(reason(Duration::from_millis(2_200)), None);
    let late = Duration::from_millis(2_300);
    assert_eq!(reason(late), Some("copy behind"));
}

#[test]
fn whole_tables_are_given_once_and_all_news_within_a_rate() {
    const TABLE: usize = 300_000;
    let mut supply = TransferLimiter::default();
    let id = |n: usize| listing(n, 3).id;
    let give = |supply: &mut TransferLimiter, now: Duration| {
        let given = (0..100).filter(|_| supply.allow_bytes(now, TABLE));
        given.count()
    };
    assert_eq!(give(&mut supply, Time::ZERO), 3);
    assert_eq!(give(&mut supply, Duration::from_secs(1)), 2);
    assert_eq!(give(&mut supply, Duration::from_secs(10)), 3);
    let mut fresh = TransferLimiter::default();
    assert!(
        !fresh.allow_bytes(Time::ZERO, 1 << 20),
        "no message holds it"
    );
    assert!(fresh.allow_bytes(Time::ZERO, 100));
    assert!(fresh.allow_full_table(Time::ZERO, &id(0), 1));
    assert!(
        fresh.allow_full_table(Time::ZERO, &id(0), 0),
        "another table"
    );
    let soon = Duration::from_secs(1);
    assert!(!fresh.allow_full_table(soon, &id(0), 1), "it is on its way");
    assert!(fresh.allow_full_table(soon, &id(1), 1));
    fresh.peer_lost(&id(0));
    assert!(
        fresh.allow_full_table(soon, &id(0), 1),
        "it was lost on its way"
    );
    assert!(
        fresh.allow_full_table(soon * 4, &id(1), 1),
        "it may be missing again"
    );
}

#[test]
fn a_newcomer_is_told_of_its_domain_and_of_hubs_alone() {
    let mut net = Net::new(90, 9);
    net.run(Duration::from_secs(5));
    let seed = &net.fleets[&listing(0, 9).id];
    let asked = net.fleets[&listing(13, 9).id].join_pulse(net.now);
    assert_eq!(asked.instances.len(), 1);
    let told = seed.join_reply(net.now, &listing(13, 9).id);
    let domains: Vec<_> = told.instances.iter().map(|h| &h.listing.domain).collect();
    let own = domains.iter().filter(|d| ***d == listing(13, 9).domain);
    assert_eq!(own.count(), 10);
    assert!(domains.len() <= 10 + 9, "{domains:?}");
    let all: BTreeSet<_> = domains.into_iter().collect();
    assert_eq!(all.len(), 9);
}

#[test]
fn pulses_grow_with_instances_and_not_with_their_square() {
    let count = |instances| {
        let mut net = Net::new(instances, 3);
        net.run(Duration::from_secs(4));
        let before = net.sent;
        net.run(Duration::from_secs(1));
        net.sent - before
    };
    // To a hub and back five times a second, and between the hubs.
    assert!(count(93) <= 93 * 10 + 30);
    assert!(count(370) <= 370 * 10 + 30);
}

#[test]
fn every_instance_knows_the_loads_of_all_others() {
    let mut net = Net::new(40, 4);
    for number in 0..40 {
        let work = LoadSummary {
            targets: TagMap(BTreeMap::from([
                (target_tag("t1"), 2),
                (target_tag(&format!("own{number}")), 1),
            ])),
            prefixes: BTreeMap::from([(7, 150), (1_000 + number as u64, 50)]),
        };
        net.work.insert(listing(number, 4).id, work);
    }
    net.run(Duration::from_secs(3));
    for (id, fleet) in &net.fleets {
        let others = fleet.remote_load(net.now);
        assert_eq!(others.targets.0[&target_tag("t1")], 78, "at {id}");
        let total: u32 = others.targets.0.values().sum();
        assert_eq!(total, 78 + 39, "at {id}");
        assert_eq!(others.prefixes[&7], 39 * 150, "at {id}");
    }
}

#[test]
fn control_at_the_planned_size_stays_within_its_bytes() {
    const INSTANCES: usize = 370;
    const TARGETS: usize = 1_000;
    /// Bytes a second that an instance may spend on control, by the first letter.
    const BOUND: usize = 14_000;
    let mut net = Net::new(INSTANCES, 9);
    for number in 0..INSTANCES {
        // Each instance has requests at some targets, all together at every one.
        let busy = (0..9).map(|n| (target_tag(&format!("t{}", (number * 9 + n) % TARGETS)), 1));
        let work = LoadSummary {
            targets: TagMap(busy.collect()),
            prefixes: (0..4).map(|n| (number as u64 * 4 + n, 100)).collect(),
        };
        net.work.insert(listing(number, 9).id, work);
    }
    net.run(Duration::from_secs(5));
    net.bytes = Some(BTreeMap::new());
    net.run(Duration::from_secs(4));
    let hubs = net.hubs();
    let bytes = net.bytes.take().expect("counted");
    for (id, bytes) in bytes.iter().filter(|(id, _)| !hubs.contains(*id)) {
        assert!(bytes / 4 <= BOUND, "{id}: {} bytes a second", bytes / 4);
    }
}

#[test]
fn an_instance_that_starts_again_is_told_of_all_others_at_once() {
    let mut net = Net::new(60, 3);
    net.run(Duration::from_secs(8));
    let hubs = net.hubs();
    let again = net.fleets.keys().find(|id| !hubs.contains(*id)).cloned();
    let again = again.expect("an instance that is no hub");
    let listing = net.fleets[&again].me().clone();
    // It knows its seed alone.
    let mut fleet = Fleet::new(listing, 2);
    let hub = net.fleets[&again].hub(net.now, &fleet.me().domain).cloned();
    fleet.add_listed(net.now, hub.into_iter().collect());
    net.fleets.insert(again.clone(), fleet);
    net.run(Duration::from_millis(1_200));
    assert_eq!(net.fleets[&again].live(net.now).len(), 60);
    assert_eq!(net.fleets[&again].share(net.now).0, 60);
}

#[test]
fn a_hub_that_dies_is_replaced_and_leaves_the_live_list() {
    let mut net = Net::new(20, 2);
    net.run(Duration::from_secs(3));
    let dead = net.hubs().into_iter().next().expect("a hub");
    net.cut.insert(dead.clone());
    net.run(Duration::from_secs(6));
    let hubs: BTreeSet<InstanceId> = net.hubs().into_iter().filter(|h| *h != dead).collect();
    assert_eq!(hubs.len(), 2);
    for (id, fleet) in net.fleets.iter().filter(|(id, _)| **id != dead) {
        let live = fleet.live(net.now);
        assert!(live.iter().all(|l| l.id != dead), "at {id}");
        assert_eq!(live.len(), 19, "at {id}");
        let (instances, _) = fleet.share(net.now);
        assert_eq!(
            instances, 20,
            "the silent one keeps its share of the limits"
        );
    }
    net.cut.clear();
    net.run(Duration::from_secs(4));
    assert_eq!(net.hubs().len(), 2);
    assert!(net.fleets.values().all(|f| f.live(net.now).len() == 20));
}

#[test]
fn a_domain_that_loses_most_of_its_instances_finds_a_hub() {
    let mut net = Net::new(30, 3);
    net.run(Duration::from_secs(3));
    let domain: Vec<InstanceId> = (0..30).step_by(3).map(|n| listing(n, 3).id).collect();
    let left = domain.last().cloned().expect("an instance");
    net.cut
        .extend(domain.iter().filter(|id| **id != left).cloned());
    net.run(Duration::from_secs(15));
    assert!(net.fleets[&left].is_hub(net.now));
    let live = net.fleets[&left].live(net.now);
    assert_eq!(live.len(), 21);
    net.cut.clear();
    net.run(Duration::from_secs(5));
    assert_eq!(net.hubs().len(), 3);
    assert!(net.fleets.values().all(|f| f.live(net.now).len() == 30));
}

#[test]
fn a_domain_that_loses_many_at_once_names_none_of_them_for_long() {
    let mut net = Net::new(90, 3);
    net.run(Duration::from_secs(3));
    // Those that would be hubs one after the other, and most others.
    let domain = (0..90).step_by(3);
    let gone: BTreeSet<InstanceId> = domain.take(27).map(|n| listing(n, 3).id).collect();
    net.cut.extend(gone.iter().cloned());
    // The operators allow seven seconds.
    net.run(Duration::from_secs(6));
    for (id, fleet) in net.fleets.iter().filter(|(id, _)| !gone.contains(*id)) {
        let live = fleet.live(net.now);
        let named = live.iter().filter(|l| gone.contains(&l.id));
        assert_eq!(named.count(), 0, "at {id}");
    }
    net.run(Duration::from_secs(10));
    let hubs = net.hubs();
    assert_eq!(hubs.difference(&gone).count(), 3);
    for (id, fleet) in net.fleets.iter().filter(|(id, _)| !gone.contains(*id)) {
        assert_eq!(fleet.live(net.now).len(), 63, "at {id}");
    }
}

#[test]
fn an_instance_that_is_cut_off_knows_that_its_hubs_are_silent() {
    let mut net = Net::new(12, 3);
    net.run(Duration::from_secs(3));
    let lone = net
        .fleets
        .keys()
        .find(|id| !net.hubs().contains(*id))
        .cloned()
        .expect("no hub");
    let fleet = &net.fleets[&lone];
    assert!(fleet.hub_silence(net.now).is_some_and(|s| s <= PULSE));
    net.cut.insert(lone.clone());
    net.run(Duration::from_secs(1));
    let fleet = &net.fleets[&lone];
    assert!(
        fleet
            .hub_silence(net.now)
            .is_some_and(|s| s >= Duration::from_millis(800))
    );
    let age = fleet.hub_copy_age(net.now, 0).expect("told before");
    assert!(age >= Duration::from_secs(1));
    net.run(Duration::from_secs(4));
    let fleet = &net.fleets[&lone];
    assert!(fleet.is_hub(net.now), "no other answers it");
    assert_eq!(
        fleet.live(net.now).len(),
        1,
        "old news doesn't stand for long"
    );
    assert!(
        fleet.remote_load(net.now) == LoadSummary::default(),
        "old loads are not counted"
    );
}

#[test]
fn a_pulse_that_was_held_up_proves_nothing_new() {
    let (a, b) = (listing(0, 1), listing(1, 1));
    let mut one = Fleet::new(a.clone(), 1);
    let mut two = Fleet::new(b.clone(), 1);
    one.add_listed(Time::ZERO, vec![b.clone()]);
    two.add_listed(Time::ZERO, vec![a.clone()]);
    let feeds = [Some(CopyStatus {
        version: 5,
        changed: 5,
        age_ms: 100,
    })];
    let second = Duration::from_secs(1);
    let (hub, other, hub_id, other_id) = if one.is_hub(Time::ZERO) {
        (&mut one, &mut two, a.id, b.id)
    } else {
        (&mut two, &mut one, b.id, a.id)
    };
    let asked = other.tick(second, &LoadSummary::default(), &[]).remove(0);
    hub.receive_pulse(second, &other_id, asked.pulse);
    let told = hub
        .pulse_domain(second, &LoadSummary::default(), &feeds)
        .remove(0);
    // The connection delivers it four seconds later.
    let proof = other.receive_pulse(second * 5, &hub_id, told.pulse);
    let (_, at) = proof[0].expect("a proof");
    assert!(at <= second, "{at:?}");
}

#[test]
fn an_instance_that_stops_is_told_of_as_leaving() {
    let mut net = Net::new(9, 3);
    net.run(Duration::from_secs(2));
    let leaving = listing(5, 3).id;
    net.fleets.get_mut(&leaving).expect("known").set_leaving();
    net.run(Duration::from_secs(2));
    for fleet in net.fleets.values() {
        let live = fleet.live(net.now);
        assert!(live.iter().all(|l| l.id != leaving));
    }
}

#[test]
fn an_instance_that_starts_is_told_of_once_it_serves() {
    let mut net = Net::new(9, 3);
    let starting = listing(5, 3).id;
    net.fleets
        .get_mut(&starting)
        .expect("known")
        .set_starting(true);
    net.run(Duration::from_secs(2));
    let is_listed = |net: &Net, id: &InstanceId| {
        let live = net.fleets[id].live(net.now);
        live.iter().any(|l| l.id == starting)
    };
    let ids: Vec<InstanceId> = net.fleets.keys().cloned().collect();
    assert!(ids.iter().all(|id| !is_listed(&net, id)));
    assert!(
        net.fleets[&starting]
            .hub_silence(net.now)
            .is_some_and(|s| s <= PULSE)
    );
    net.fleets
        .get_mut(&starting)
        .expect("known")
        .set_starting(false);
    net.run(Duration::from_secs(2));
    assert!(ids.iter().all(|id| is_listed(&net, id)));
}
