//! Cost of requesting a slot, granting it and releasing it, and of a fleet's tick.

use bench::net::single_node;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use decision::{Command, Event, Fleet, Listing, LoadSummary, Node, Release};
use std::time::Duration;

fn request_and_release(node: &mut Node, id: u64) {
    let now = Duration::from_secs(4);
    let request = Event::RequestSlot {
        id,
        service: "pool".into(),
        workspace: "w1".into(),
        chat: id % 10_000,
        digest: id,
        priority: 5,
        wait: Duration::from_secs(5),
        avoid: Vec::new(),
        retry: false,
    };
    for command in node.handle(now, request) {
        if let Command::Granted { grant, target, .. } = command {
            let event = Event::AttemptEnded {
                release: Release::unused(grant, "pool".into(), target),
                digest: id,
                crashed: false,
            };
            node.handle(now, event);
        }
    }
}

fn bench_slots(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("slot");
    for engines in [12, 120, 1_000] {
        let mut node = single_node(engines);
        let mut id = 0;
        let name = BenchmarkId::from_parameter(engines);
        group.bench_function(name, |bencher| {
            bencher.iter(|| {
                id += 1;
                request_and_release(&mut node, id);
            });
        });
    }
    group.finish();
}

/// Returns one of many instances in five failure domains. The first of each domain
/// runs on the strongest machine.
fn listing(number: usize) -> Listing {
    Listing {
        id: format!("i{number:04}").into(),
        domain: format!("d{}", number % 5).into(),
        caller: ([10, 0, 0, 1], number as u16).into(),
        peer: ([10, 0, 0, 2], number as u16).into(),
        leaving: false,
        starting: false,
        power: if number < 5 { 500 } else { 84 },
    }
}

/// Measures what an instance decides in one interval of pulses.
fn bench_ticks(criterion: &mut Criterion) {
    for (role, number) in [("hub", 0), ("member", 5)] {
        let mut group = criterion.benchmark_group(format!("tick of a {role}"));
        for instances in [30, 100, 300, 1_000] {
            let mut fleet = Fleet::new(listing(number), 1);
            let peers = (0..instances).filter(|n| *n != number);
            fleet.add_listed(Duration::ZERO, peers.map(listing).collect());
            let mut step = 0;
            let load = LoadSummary::default();
            let name = BenchmarkId::from_parameter(instances);
            group.bench_function(name, |bencher| {
                bencher.iter(|| {
                    // Within the time for which the silent peers count as live.
                    step = (step + 1) % 10;
                    let now = Duration::from_millis(200 * (step + 1));
                    let pulses = fleet.tick(now, &load, &[]).len();
                    let pulses = pulses + fleet.pulse_domain(now, &load, &[]).len();
                    let is_reader = fleet.is_chosen_hub(now, "servers", 2);
                    (
                        pulses,
                        fleet.share(now),
                        is_reader,
                        fleet.next_tick_delay(now),
                    )
                });
            });
        }
        group.finish();
    }
}

criterion_group!(benches, bench_slots, bench_ticks);
criterion_main!(benches);
