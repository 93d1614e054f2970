//! Cost of requesting a slot, granting it and releasing it.

use bench::net::single_node;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use decision::{Command, Event, Node, Release};
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

criterion_group!(benches, bench_slots);
criterion_main!(benches);
