//! Placement and limits: properties over any order of events.

mod support;

use bench::net::Faults;
use decision::{DrainKey, Event, Limits};
use proptest::prelude::*;
use std::time::Duration;
use support::{World, target};

#[derive(Clone, Debug)]
enum Op {
    Ask {
        entry: usize,
        chat: u64,
        workspace: usize,
    },
    Finish {
        pick: usize,
        whole: bool,
    },
    Wait(u64),
    Kill(usize),
    Pause {
        pick: usize,
        time: u64,
    },
    Split {
        at: usize,
        time: u64,
    },
    Order {
        entry: usize,
        domain: usize,
        out: bool,
    },
}

fn op(with_faults: bool) -> impl Strategy<Value = Op> {
    let rare = u32::from(with_faults);
    prop_oneof![
        12 => (0..8usize, 0..40u64, 0..4usize)
            .prop_map(|(entry, chat, workspace)| Op::Ask { entry, chat, workspace }),
        8 => (0..64usize, any::<bool>()).prop_map(|(pick, whole)| Op::Finish { pick, whole }),
        4 => (1..400u64).prop_map(Op::Wait),
        1 => (2_000..6_000u64).prop_map(Op::Wait),
        rare => (0..8usize).prop_map(Op::Kill),
        rare => (0..8usize, 500..16_000u64).prop_map(|(pick, time)| Op::Pause { pick, time }),
        rare => (1..4usize, 500..16_000u64).prop_map(|(at, time)| Op::Split { at, time }),
        1 => (0..8usize, 0..3usize, any::<bool>())
            .prop_map(|(entry, domain, out)| Op::Order { entry, domain, out }),
    ]
}

/// Carries out an operation; `check` is called after every step of time.
fn apply(world: &mut World, op: &Op, check: &mut dyn FnMut(&World)) {
    let ids = world.net.instances();
    let pick = |i: usize| ids[i % ids.len()].clone();
    let step = |world: &mut World, ms: u64, check: &mut dyn FnMut(&World)| {
        for _ in 0..ms.div_ceil(50) {
            world.run_for(Duration::from_millis(50));
            check(world);
        }
    };
    match op {
        Op::Ask {
            entry,
            chat,
            workspace,
        } => {
            world.ask(&pick(*entry), *chat, *workspace);
        }
        Op::Finish { pick, whole } => {
            let grants: Vec<u64> = world.running.keys().copied().collect();
            if !grants.is_empty() {
                world.finish(grants[pick % grants.len()], *whole);
            }
        }
        Op::Wait(ms) => step(world, *ms, check),
        Op::Kill(i) if ids.len() > 2 => world.kill(&pick(*i)),
        Op::Kill(_) => {}
        Op::Pause { pick: i, time } => {
            world.net.pause(&pick(*i), true);
            step(world, *time, check);
            world.net.pause(&pick(*i), false);
        }
        Op::Split { at, time } => {
            let (one, other) = ids.split_at(at % ids.len());
            world.net.cut(one, other, true);
            step(world, *time, check);
            world.net.cut(one, other, false);
        }
        Op::Order { entry, domain, out } => {
            let key = DrainKey::Domain(bench::kit::DOMAINS[*domain].into());
            world
                .net
                .hand(&pick(*entry), Event::SetDrained { key, drained: *out });
        }
    }
    check(world);
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

    /// No schedule of losses, kills, pauses and partitions puts more work on a
    /// cold target than it bears.
    #[test]
    fn cold_cap_holds(ops in proptest::collection::vec(op(true), 1..60), seed in 0..1_000u64) {
        let faults = Faults { loss: 0.05, repeat: 0.05, jitter: Duration::from_millis(20), ..Faults::default() };
        let limits = small_limits();
        let mut world = World::new(4, 3, limits.clone(), seed, faults);
        for op in &ops {
            apply(&mut world, op, &mut |world| {
                for i in 0..3 {
                    let load = world.load(&target(i));
                    assert!(load <= limits.cold_slots as usize, "{load} on cold {}", target(i));
                }
            });
        }
    }

    /// Without lost instances no target is ever granted more than its slots.
    #[test]
    fn warm_cap_holds(ops in proptest::collection::vec(op(false), 1..80), seed in 0..1_000u64) {
        let faults = Faults { repeat: 0.05, jitter: Duration::from_millis(20), ..Faults::default() };
        let limits = small_limits();
        let mut world = World::new(4, 3, limits.clone(), seed, faults);
        world.warm();
        for op in &ops {
            apply(&mut world, op, &mut |world| {
                for i in 0..3 {
                    let load = world.load(&target(i));
                    assert!(load <= limits.slots as usize, "{load} on {}", target(i));
                }
            });
        }
    }

    /// Every ask is answered in the end, and every slot is free again.
    #[test]
    fn nothing_is_lost(ops in proptest::collection::vec(op(true), 1..50), seed in 0..1_000u64) {
        let faults = Faults { loss: 0.02, repeat: 0.02, jitter: Duration::from_millis(5), ..Faults::default() };
        let mut world = World::new(4, 3, small_limits(), seed, faults);
        world.warm();
        for op in &ops {
            apply(&mut world, op, &mut |_| {});
        }
        for _ in 0..4 {
            let grants: Vec<u64> = world.running.keys().copied().collect();
            for grant in grants {
                world.finish(grant, true);
            }
            world.run_for(Duration::from_secs(4));
        }
        let grants: Vec<u64> = world.running.keys().copied().collect();
        for grant in grants {
            world.finish(grant, true);
        }
        // Past the lease of a grant whose release was lost.
        world.run_for(Duration::from_secs(15));
        prop_assert_eq!(world.waiting(), 0, "asks without an answer");
        for id in world.net.instances() {
            let dump = world.net.node(&id).dump(world.net.now);
            prop_assert_eq!(dump.held, 0);
            prop_assert_eq!(dump.pending, 0);
            for t in dump.services.values().flat_map(|s| &s.targets) {
                prop_assert!(t.workspaces.is_empty(), "{} still has grants", t.target);
                prop_assert_eq!(t.waiting, 0);
            }
        }
    }

    /// The same events give the same commands.
    #[test]
    fn decisions_repeat(ops in proptest::collection::vec(op(true), 1..40), seed in 0..1_000u64) {
        let run = || {
            let faults = Faults { loss: 0.05, repeat: 0.05, jitter: Duration::from_millis(20), ..Faults::default() };
            let mut world = World::new(3, 3, small_limits(), seed, faults);
            world.warm();
            for op in &ops {
                apply(&mut world, op, &mut |_| {});
            }
            let running: Vec<String> = world.running.iter().map(|r| format!("{r:?}")).collect();
            (world.granted, world.denied, running, world.net.sent().clone())
        };
        prop_assert_eq!(run(), run());
    }
}

#[test]
fn a_domain_that_is_out_gets_no_new_work_after_three_seconds() {
    let mut world = World::new(18, 18, Limits::default(), 1, Faults::default());
    world.warm();
    world.run_for(Duration::from_secs(5));
    let key = DrainKey::Domain("north".into());
    world
        .net
        .hand("instance-007", Event::SetDrained { key, drained: true });
    world.run_for(Duration::from_secs(3));
    for chat in 0..150 {
        let entry = format!("instance-{:03}", chat % 18);
        world.ask(&entry, chat, 0);
        world.run_for(Duration::from_millis(10));
    }
    for run in world.running.values() {
        let spec = world.document.target(&run.target).expect("target");
        assert_ne!(spec.domain, "north");
    }
    assert_eq!(world.running.len(), 150);
}

#[test]
fn a_chat_returns_to_where_its_cache_lies() {
    let mut world = World::new(5, 6, Limits::default(), 2, Faults::default());
    world.warm();
    world.run_for(Duration::from_secs(5));
    let mut first = Vec::new();
    for round in 0..3 {
        for chat in 0..20u64 {
            let entry = format!("instance-{:03}", (chat + round) % 5);
            world.ask(&entry, chat, 0);
            world.run_for(Duration::from_millis(20));
            let (grant, run) = world.running.pop_first().expect("granted");
            if round == 0 {
                first.push(run.target.clone());
            } else {
                assert_eq!(run.target, first[chat as usize], "chat {chat}");
            }
            world.running.insert(grant, run);
            world.finish(grant, true);
            world.run_for(Duration::from_millis(5));
        }
    }
}

/// One workspace sends ten times what the other does; both together want more
/// than there is. Returns how many of its 360 requests the small one had served.
fn surge(pick: impl Fn(&World) -> Vec<u64>) -> u32 {
    let limits = Limits {
        slots: 4,
        queue: 24,
        queue_time: Duration::from_secs(5),
        ..Limits::default()
    };
    let mut world = World::new(3, 2, limits, 3, Faults::default());
    world.warm();
    world.run_for(Duration::from_secs(5));
    let mut chat = 0;
    let mut served = [0u32; 2];
    for round in 0..400 {
        for _ in 0..10 {
            chat += 1;
            world.ask(&format!("instance-{:03}", chat % 3), chat << 1, 0);
        }
        chat += 1;
        let entry = format!("instance-{:03}", chat % 3);
        world.ask(&entry, (chat << 1) | 1, 1);
        world.run_for(Duration::from_millis(500));
        for grant in pick(&world) {
            if round >= 40 {
                served[(world.running[&grant].chat & 1) as usize] += 1;
            }
            world.finish(grant, true);
        }
    }
    served[1]
}

#[test]
fn a_surging_workspace_leaves_the_others_their_share() {
    let served = surge(|world| {
        let each = (0..2).flat_map(|i| {
            let running = world.running.iter();
            let there = running.filter(move |(_, r)| r.target == target(i));
            there.map(|(grant, _)| *grant).take(2)
        });
        each.collect()
    });
    assert!(served >= 357, "the small workspace got {served} of 360");
}

#[test]
fn a_queue_is_served_though_its_target_is_stuck() {
    // The requests of one target never end: all that is served is the other's.
    let served = surge(|world| world.running.keys().copied().take(4).collect());
    assert!(served >= 357, "the small workspace got {served} of 360");
}

#[test]
fn a_restarted_target_is_cold_again() {
    let limits = Limits {
        slots: 8,
        cold_slots: 1,
        ..Limits::default()
    };
    let mut world = World::new(3, 1, limits, 4, Faults::default());
    world.warm();
    world.run_for(Duration::from_secs(5));
    for chat in 0..8 {
        world.ask("instance-000", chat, 0);
    }
    world.run_for(Duration::from_secs(1));
    assert_eq!(world.load(&target(0)), 8);
    let grants: Vec<u64> = world.running.keys().copied().collect();
    for grant in grants {
        world.finish(grant, false);
    }
    world.boots.insert(target(0), 2);
    world.completed.insert(target(0), 0);
    world.run_for(Duration::from_secs(1));
    for chat in 0..8 {
        world.ask("instance-001", chat, 0);
    }
    world.run_for(Duration::from_secs(1));
    assert_eq!(world.load(&target(0)), 1, "a cold target bears one request");
}
