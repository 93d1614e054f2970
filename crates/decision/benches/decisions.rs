//! Cost of one decision: asking for a slot, granting it and releasing it.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use decision::{Command, Event, Kind, Limits, Node, Release, Report, Settings, Time, Versioned};
use std::time::Duration;

/// One instance that stewards a warm pool.
fn node(engines: usize) -> Node {
    let listing = bench::net::listing("alone", "north");
    let mut node = Node::new(Settings::builder(listing, 1).build(), Time::ZERO);
    let address = "127.0.0.1:9".parse().expect("address");
    let workspaces = vec![bench::kit::workspace("w", 1)];
    let document = bench::kit::document(
        "pool",
        Kind::Engine,
        Limits::default(),
        &vec![address; engines],
        workspaces,
    );
    let versioned = Versioned {
        version: 1,
        document,
    };
    node.handle(Time::ZERO, Event::Accepted(versioned));
    for poll in node.polls() {
        let report = Report {
            boot: 1,
            completed: 10_000,
            ..Report::default()
        };
        let event = Event::Report {
            service: poll.service,
            target: poll.target,
            report,
        };
        node.handle(Time::ZERO, event);
    }
    for tenth in 1..=40 {
        node.handle(Duration::from_millis(100 * tenth), Event::Tick);
    }
    node
}

fn slot(node: &mut Node, id: u64) {
    let now = Duration::from_secs(4);
    let ask = Event::Ask {
        id,
        service: "pool".into(),
        workspace: "w".into(),
        chat: id % 10_000,
        digest: id,
        priority: 5,
        wait: Duration::from_secs(5),
        avoid: Vec::new(),
        retry: false,
    };
    for command in node.handle(now, ask) {
        if let Command::Granted { grant, target, .. } = command {
            let event = Event::Release {
                release: Release::unused(grant, "pool".into(), target),
                digest: id,
                crashed: false,
            };
            node.handle(now, event);
        }
    }
}

fn slots(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("slot");
    for engines in [12, 120, 1_000] {
        let mut node = node(engines);
        let mut id = 0;
        let name = BenchmarkId::from_parameter(engines);
        group.bench_function(name, |bencher| {
            bencher.iter(|| {
                id += 1;
                slot(&mut node, id);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, slots);
criterion_main!(benches);
