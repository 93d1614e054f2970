//! Properties of placement and limits under arbitrary sequences of events.

mod support;

use bench::net::Faults;
use decision::{DrainKey, Event, Limits};
use proptest::prelude::*;
use std::time::Duration;
use support::{Simulation, target};

/// An operation of a caller, an operator or a fault; numbers are taken modulo the
/// number of candidates.
#[derive(Clone, Debug)]
enum Operation {
    RequestSlot {
        entry: usize,
        chat: u64,
        workspace: usize,
    },
    Finish {
        pick: usize,
        complete: bool,
    },
    Wait(u64),
    Kill(usize),
    Pause {
        pick: usize,
        time: u64,
    },
    Partition {
        position: usize,
        time: u64,
    },
    SetDrained {
        entry: usize,
        domain: usize,
        drained: bool,
    },
}

fn operation(with_faults: bool) -> impl Strategy<Value = Operation> {
    let rare = u32::from(with_faults);
    prop_oneof![
        12 => (0..8usize, 0..40u64, 0..4usize)
            .prop_map(|(entry, chat, workspace)| Operation::RequestSlot { entry, chat, workspace }),
        8 => (0..64usize, any::<bool>()).prop_map(|(pick, complete)| Operation::Finish { pick, complete }),
        4 => (1..400u64).prop_map(Operation::Wait),
        1 => (2_000..6_000u64).prop_map(Operation::Wait),
        rare => (0..8usize).prop_map(Operation::Kill),
        rare => (0..8usize, 500..16_000u64).prop_map(|(pick, time)| Operation::Pause { pick, time }),
        rare => (1..4usize, 500..16_000u64).prop_map(|(position, time)| Operation::Partition { position, time }),
        1 => (0..8usize, 0..3usize, any::<bool>())
            .prop_map(|(entry, domain, drained)| Operation::SetDrained { entry, domain, drained }),
    ]
}

/// Carries out an operation and calls `check` after every 50 ms of its duration
/// and at its end.
fn apply(simulation: &mut Simulation, op: &Operation, check: &mut dyn FnMut(&Simulation)) {
    let ids = simulation.net.instances();
    let pick = |i: usize| ids[i % ids.len()].clone();
    let step = |simulation: &mut Simulation, ms: u64, check: &mut dyn FnMut(&Simulation)| {
        for _ in 0..ms.div_ceil(50) {
            simulation.run_for(Duration::from_millis(50));
            check(simulation);
        }
    };
    match op {
        Operation::RequestSlot {
            entry,
            chat,
            workspace,
        } => {
            simulation.request_slot(&pick(*entry), *chat, *workspace);
        }
        Operation::Finish { pick, complete } => {
            let grants: Vec<u64> = simulation.running.keys().copied().collect();
            if !grants.is_empty() {
                simulation.finish(grants[pick % grants.len()], *complete);
            }
        }
        Operation::Wait(ms) => step(simulation, *ms, check),
        Operation::Kill(i) if ids.len() > 2 => simulation.kill(&pick(*i)),
        Operation::Kill(_) => {}
        Operation::Pause { pick: i, time } => {
            simulation.net.pause(&pick(*i), true);
            step(simulation, *time, check);
            simulation.net.pause(&pick(*i), false);
        }
        Operation::Partition { position, time } => {
            let (left, right) = ids.split_at(position % ids.len());
            simulation.net.cut(left, right, true);
            step(simulation, *time, check);
            simulation.net.cut(left, right, false);
        }
        Operation::SetDrained {
            entry,
            domain,
            drained,
        } => {
            let key = DrainKey::Domain(bench::test_fleet::DOMAINS[*domain].into());
            simulation.net.handle_event(
                &pick(*entry),
                Event::SetDrained {
                    key,
                    drained: *drained,
                },
            );
        }
    }
    check(simulation);
}

fn small_limits() -> Limits {
    Limits {
        slots: 6,
        cold_slots: 2,
        ramp_step: 1_000_000,
        queue: 8,
        ..Limits::default()
    }
}

proptest! {
    #![proptest_config(support::config(96))]

    /// Guards against more work on a cold target than its cap, which stewards that
    /// do not know of each other could grant after message losses, killed or paused
    /// instances and partitions.
    #[test]
    fn a_cold_target_never_exceeds_its_cap(ops in proptest::collection::vec(operation(true), 1..60), seed in 0..1_000u64) {
        let faults = Faults { loss: 0.05, duplicate: 0.05, jitter: Duration::from_millis(20), ..Faults::default() };
        let limits = small_limits();
        let mut simulation = Simulation::new(4, 3, limits.clone(), seed, faults);
        for op in &ops {
            apply(&mut simulation, op, &mut |simulation| {
                for i in 0..3 {
                    let load = simulation.load(&target(i));
                    assert!(load <= limits.cold_slots as usize, "{load} on cold {}", target(i));
                }
            });
        }
    }

    /// Guards against more grants than slots of a target while all instances live.
    #[test]
    fn a_warm_target_never_exceeds_its_slots(ops in proptest::collection::vec(operation(false), 1..80), seed in 0..1_000u64) {
        let faults = Faults { duplicate: 0.05, jitter: Duration::from_millis(20), ..Faults::default() };
        let limits = small_limits();
        let mut simulation = Simulation::new(4, 3, limits.clone(), seed, faults);
        simulation.warm();
        for op in &ops {
            apply(&mut simulation, op, &mut |simulation| {
                for i in 0..3 {
                    let load = simulation.load(&target(i));
                    assert!(load <= limits.slots as usize, "{load} on {}", target(i));
                }
            });
        }
    }

    /// Guards against slot requests that are never answered and slots that are
    /// never freed, which lost messages and instances could leave behind.
    #[test]
    fn every_request_is_answered_and_every_slot_freed(ops in proptest::collection::vec(operation(true), 1..50), seed in 0..1_000u64) {
        let faults = Faults { loss: 0.02, duplicate: 0.02, jitter: Duration::from_millis(5), ..Faults::default() };
        let mut simulation = Simulation::new(4, 3, small_limits(), seed, faults);
        simulation.warm();
        for op in &ops {
            apply(&mut simulation, op, &mut |_| {});
        }
        for _ in 0..4 {
            let grants: Vec<u64> = simulation.running.keys().copied().collect();
            for grant in grants {
                simulation.finish(grant, true);
            }
            simulation.run_for(Duration::from_secs(4));
        }
        let grants: Vec<u64> = simulation.running.keys().copied().collect();
        for grant in grants {
            simulation.finish(grant, true);
        }
        // Longer than the lease of a grant whose release was lost.
        simulation.run_for(Duration::from_secs(15));
        prop_assert_eq!(simulation.pending(), 0, "slot requests without a reply");
        for id in simulation.net.instances() {
            let dump = simulation.net.node(&id).dump(simulation.net.now);
            prop_assert_eq!(dump.held, 0);
            prop_assert_eq!(dump.pending, 0);
            for t in dump.services.values().flat_map(|s| &s.targets) {
                prop_assert!(t.workspaces.is_empty(), "{} still has grants", t.target);
                prop_assert_eq!(t.waiting, 0);
            }
        }
    }

    /// Guards against sources of randomness: equal events give equal commands.
    #[test]
    fn decisions_are_deterministic(ops in proptest::collection::vec(operation(true), 1..40), seed in 0..1_000u64) {
        let run = || {
            let faults = Faults { loss: 0.05, duplicate: 0.05, jitter: Duration::from_millis(20), ..Faults::default() };
            let mut simulation = Simulation::new(3, 3, small_limits(), seed, faults);
            simulation.warm();
            for op in &ops {
                apply(&mut simulation, op, &mut |_| {});
            }
            let running: Vec<String> = simulation.running.iter().map(|r| format!("{r:?}")).collect();
            (simulation.granted, simulation.denied, running, simulation.net.sent().clone())
        };
        prop_assert_eq!(run(), run());
    }
}

#[test]
fn a_drained_domain_gets_no_new_work_after_three_seconds() {
    let mut simulation = Simulation::new(18, 18, Limits::default(), 1, Faults::default());
    simulation.warm();
    simulation.run_for(Duration::from_secs(5));
    let key = DrainKey::Domain("north".into());
    simulation
        .net
        .handle_event("instance-007", Event::SetDrained { key, drained: true });
    simulation.run_for(Duration::from_secs(3));
    for chat in 0..150 {
        let entry = format!("instance-{:03}", chat % 18);
        simulation.request_slot(&entry, chat, 0);
        simulation.run_for(Duration::from_millis(10));
    }
    for run in simulation.running.values() {
        let spec = simulation.document.target(&run.target).expect("target");
        assert_ne!(spec.domain, "north");
    }
    assert_eq!(simulation.running.len(), 150);
}

#[test]
fn a_chat_returns_to_the_target_that_caches_it() {
    let mut simulation = Simulation::new(5, 6, Limits::default(), 2, Faults::default());
    simulation.warm();
    simulation.run_for(Duration::from_secs(5));
    let mut first = Vec::new();
    for round in 0..3 {
        for chat in 0..20u64 {
            let entry = format!("instance-{:03}", (chat + round) % 5);
            simulation.request_slot(&entry, chat, 0);
            simulation.run_for(Duration::from_millis(20));
            let (grant, run) = simulation.running.pop_first().expect("granted");
            if round == 0 {
                first.push(run.target.clone());
            } else {
                assert_eq!(run.target, first[chat as usize], "chat {chat}");
            }
            simulation.running.insert(grant, run);
            simulation.finish(grant, true);
            simulation.run_for(Duration::from_millis(5));
        }
    }
}

/// Simulates two workspaces that together send more than the targets can serve,
/// one of them ten times as much as the other.
///
/// `pick` chooses the requests that end in each round. Returns how many of the
/// 360 measured requests of the smaller workspace were served.
fn served_during_surge(pick: impl Fn(&Simulation) -> Vec<u64>) -> u32 {
    let limits = Limits {
        slots: 4,
        queue: 24,
        queue_time: Duration::from_secs(5),
        ..Limits::default()
    };
    let mut simulation = Simulation::new(3, 2, limits, 3, Faults::default());
    simulation.warm();
    simulation.run_for(Duration::from_secs(5));
    let mut chat = 0;
    let mut served = [0u32; 2];
    for round in 0..400 {
        for _ in 0..10 {
            chat += 1;
            simulation.request_slot(&format!("instance-{:03}", chat % 3), chat << 1, 0);
        }
        chat += 1;
        let entry = format!("instance-{:03}", chat % 3);
        simulation.request_slot(&entry, (chat << 1) | 1, 1);
        simulation.run_for(Duration::from_millis(500));
        for grant in pick(&simulation) {
            if round >= 40 {
                served[(simulation.running[&grant].chat & 1) as usize] += 1;
            }
            simulation.finish(grant, true);
        }
    }
    served[1]
}

#[test]
fn a_surging_workspace_does_not_starve_others() {
    let served = served_during_surge(|simulation| {
        let each = (0..2).flat_map(|i| {
            let running = simulation.running.iter();
            let there = running.filter(move |(_, r)| r.target == target(i));
            there.map(|(grant, _)| *grant).take(2)
        });
        each.collect()
    });
    assert!(served >= 357, "the small workspace got {served} of 360");
}

#[test]
fn requests_queued_for_a_stuck_target_are_served() {
    // The requests of one target never end, so that only the other one serves.
    let served =
        served_during_surge(|simulation| simulation.running.keys().copied().take(4).collect());
    assert!(served >= 357, "the small workspace got {served} of 360");
}

#[test]
fn a_restarted_target_becomes_cold() {
    let limits = Limits {
        slots: 8,
        cold_slots: 1,
        ..Limits::default()
    };
    let mut simulation = Simulation::new(3, 1, limits, 4, Faults::default());
    simulation.warm();
    simulation.run_for(Duration::from_secs(5));
    for chat in 0..8 {
        simulation.request_slot("instance-000", chat, 0);
    }
    simulation.run_for(Duration::from_secs(1));
    assert_eq!(simulation.load(&target(0)), 8);
    let grants: Vec<u64> = simulation.running.keys().copied().collect();
    for grant in grants {
        simulation.finish(grant, false);
    }
    simulation.boots.insert(target(0), 2);
    simulation.completed.insert(target(0), 0);
    simulation.run_for(Duration::from_secs(1));
    for chat in 0..8 {
        simulation.request_slot("instance-001", chat, 0);
    }
    simulation.run_for(Duration::from_secs(1));
    assert_eq!(
        simulation.load(&target(0)),
        1,
        "a cold target bears one request"
    );
}
