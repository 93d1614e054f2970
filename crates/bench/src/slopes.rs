//! `bench slopes`: cost of each role of an instance, as a function of size.
//!
//! Each quantity is measured at four sizes or more and fitted with a straight
//! line by least squares. The report gives the slope, its standard error and the
//! line's value at the size that `docs/CAPACITY.md` plans for.
//!
//! Roles: a member exchanges heartbeats with the others, a spreader passes on
//! documents and drain marks, an entry received the request, a steward grants a
//! target's slots, and a home remembers which targets cache a chat.

use crate::net::{Faults, Net, listing, pool_document, single_node};
use bpaf::Bpaf;
use decision::{
    CacheIndex, CacheLocation, Command, DrainKey, Event, Node, Time, VersionedDocument,
};
use serde::Serialize;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Options of `bench slopes`.
#[derive(Clone, Debug, Bpaf)]
pub struct SlopesOptions {
    /// Measure fewer sizes
    #[bpaf(long)]
    quick: bool,
}

/// Planned number of instances.
const PLANNED_INSTANCES: f64 = 370.0;
/// Planned number of engines.
const PLANNED_ENGINES: f64 = 1_000.0;
/// Planned number of chats that may return.
const PLANNED_CHATS: f64 = 6_300_000.0;
/// Planned number of services, one for each model.
const PLANNED_MODELS: f64 = 22.0;

/// Measurements of one quantity at several sizes, with the line fitted to them.
#[derive(Clone, Debug, Serialize)]
struct LinearFit {
    /// Role of the instance whose cost is measured.
    role: &'static str,
    /// Measured quantity.
    figure: &'static str,
    /// Unit of the quantity.
    unit: &'static str,
    /// What the size counts.
    size: &'static str,
    /// Sizes with the values measured there.
    points: Vec<(f64, f64)>,
    intercept: f64,
    slope: f64,
    /// Standard error of the slope.
    slope_error: f64,
    planned_size: f64,
    /// Value of the line at the planned size.
    planned: f64,
}

impl LinearFit {
    /// Fits a line by least squares to points of size and value.
    fn fit(
        (role, figure, unit): (&'static str, &'static str, &'static str),
        size: &'static str,
        planned_size: f64,
        points: Vec<(f64, f64)>,
    ) -> LinearFit {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
        let square = |v: f64| v * v;
        let squares: f64 = points.iter().map(|p| square(p.0 - mean_x)).sum();
        let products: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let slope = products / squares;
        let intercept = mean_y - slope * mean_x;
        let residual: f64 = points
            .iter()
            .map(|p| square(p.1 - intercept - slope * p.0))
            .sum();
        let slope_error = (residual / (n - 2.0).max(1.0) / squares).sqrt();
        LinearFit {
            role,
            figure,
            unit,
            size,
            points,
            intercept,
            slope,
            slope_error,
            planned_size,
            planned: intercept + slope * planned_size,
        }
    }
}

/// Measures every role and prints a JSON line for each quantity.
pub fn run(options: &SlopesOptions) -> ExitCode {
    let fleet_sizes: &[usize] = if options.quick {
        &[9, 18, 36, 72]
    } else {
        &[18, 45, 90, 180, 370]
    };
    let pool_sizes: &[usize] = &[12, 45, 120, 360, 1_000];
    let chat_counts: &[usize] = &[2_000, 5_000, 10_000, 17_000, 40_000];
    // Memory comes first: memory that other measurements have freed would be reused,
    // and the resident size would not grow.
    let mut lines = measure_home(chat_counts);
    lines.extend(measure_steward(&[1, 3, 6, 12]));
    lines.extend(measure_membership(fleet_sizes));
    lines.extend(measure_spreading(fleet_sizes));
    lines.push(measure_entry(pool_sizes));
    lines.push(measure_documents(&[12, 45, 120, 360]));
    for line in &lines {
        println!("{}", serde_json::to_string(line).unwrap_or_default());
        eprintln!(
            "{:12} {:44} at {:>9} {:10} {:12.4} {}",
            line.role, line.figure, line.planned_size, line.size, line.planned, line.unit
        );
    }
    ExitCode::SUCCESS
}

/// Measures bytes and CPU time of a fleet without requests, and the bytes that a
/// change of its members costs.
fn measure_membership(fleet_sizes: &[usize]) -> Vec<LinearFit> {
    let mut bytes = Vec::new();
    let mut cpu = Vec::new();
    let mut churn = Vec::new();
    for size in fleet_sizes {
        let mut net = Net::with_instances(*size, 1, Faults::default());
        // Until the updates about the common start are no longer passed on.
        net.run_for(Duration::from_secs(300));
        let seconds = 30.0;
        let before = total_bytes(&net);
        let started = Instant::now();
        net.run_for(Duration::from_secs(30));
        let elapsed = started.elapsed().as_secs_f64();
        let rest_rate = (total_bytes(&net) - before) as f64 / seconds / *size as f64;
        bytes.push((*size as f64, rest_rate));
        cpu.push((*size as f64, 100.0 * elapsed / seconds / *size as f64));
        eprintln!("members: {size} instances at rest: {rest_rate:.0} bytes/s each");
        // One instance dies and another one joins: the extra bytes of each instance.
        let before = total_bytes(&net);
        net.kill("instance-001");
        net.add("instance-new", "north", 1);
        let list: Vec<_> = net
            .instances()
            .iter()
            .map(|id| listing(id, "north"))
            .collect();
        net.handle_event("instance-new", Event::InstanceList(list));
        net.run_for(Duration::from_secs(30));
        let extra_bytes = (total_bytes(&net) - before) as f64 / *size as f64 - rest_rate * seconds;
        churn.push((*size as f64, extra_bytes));
    }
    vec![
        fit_over_instances(("member", "heartbeats at rest", "bytes/s"), bytes),
        fit_over_instances(("member", "ticks and heartbeats", "% of a core"), cpu),
        fit_over_instances(("member", "a death and a join", "bytes"), churn),
    ]
}

/// Fits a line over the number of instances.
fn fit_over_instances(
    quantity: (&'static str, &'static str, &'static str),
    points: Vec<(f64, f64)>,
) -> LinearFit {
    LinearFit::fit(quantity, "instances", PLANNED_INSTANCES, points)
}

/// Returns the bytes that all instances have sent.
fn total_bytes(net: &Net) -> u64 {
    net.sent().values().map(|s| s.1).sum()
}

/// Measures the time until all instances have a document and a drain mark, and
/// the bytes that the document costs.
fn measure_spreading(fleet_sizes: &[usize]) -> Vec<LinearFit> {
    let mut document = Vec::new();
    let mut drain = Vec::new();
    let mut bytes = Vec::new();
    for size in fleet_sizes {
        let mut net = Net::with_instances(*size, 2, Faults::default());
        net.run_for(Duration::from_secs(5));
        let before = total_bytes(&net);
        let versioned = VersionedDocument {
            version: 1,
            document: pool_document(45, 28),
        };
        let started = net.now;
        net.handle_event("instance-000", Event::Document(versioned));
        let all_nodes = |net: &Net, holds: &dyn Fn(&Node) -> bool| {
            net.instances().iter().all(|id| holds(net.node(id)))
        };
        let elapsed_ms = time_until(&mut net, started, |net| {
            all_nodes(net, &|n| n.document("pool").is_some())
        });
        document.push((*size as f64, elapsed_ms));
        bytes.push((
            *size as f64,
            (total_bytes(&net) - before) as f64 / *size as f64,
        ));
        let key = DrainKey::Domain("north".into());
        let started = net.now;
        let drained_key = key.clone();
        net.handle_event("instance-001", Event::SetDrained { key, drained: true });
        let elapsed_ms = time_until(&mut net, started, |net| {
            all_nodes(net, &|n| n.marks().is_drained(&drained_key))
        });
        drain.push((*size as f64, elapsed_ms));
    }
    vec![
        fit_over_instances(
            ("spreader", "a document in force everywhere", "ms"),
            document,
        ),
        fit_over_instances(("spreader", "a domain order known everywhere", "ms"), drain),
        fit_over_instances(
            ("spreader", "bytes of one change of a document", "bytes"),
            bytes,
        ),
    ]
}

/// Returns the milliseconds from `started` until a condition holds; infinity if it
/// doesn't hold within 20 s of simulated time.
fn time_until(net: &mut Net, started: Time, holds: impl Fn(&Net) -> bool) -> f64 {
    for _ in 0..20_000 {
        if holds(net) {
            return net.now.saturating_sub(started).as_secs_f64() * 1e3;
        }
        net.run_for(Duration::from_millis(1));
    }
    f64::INFINITY
}

/// Returns a slot request of a new chat.
fn slot_request_event(id: u64) -> Event {
    Event::RequestSlot {
        id,
        service: "pool".into(),
        workspace: format!("w{}", id % 28).into(),
        chat: id.wrapping_mul(0x9E37_79B9_7F4A_7C15),
        digest: id,
        priority: 5,
        wait: Duration::from_secs(5),
        avoid: Vec::new(),
        retry: false,
    }
}

/// Measures the CPU time of requesting, granting and releasing a slot.
fn measure_entry(pool_sizes: &[usize]) -> LinearFit {
    const ROUNDS: u64 = 4_000;
    let mut points = Vec::new();
    for size in pool_sizes {
        let mut node = single_node(*size);
        let now = Duration::from_secs(4);
        let mut elapsed = Duration::ZERO;
        for id in 1..=ROUNDS {
            let started = Instant::now();
            let commands = node.handle(now, slot_request_event(id));
            elapsed += started.elapsed();
            let granted = commands.into_iter().find_map(|c| match c {
                Command::Granted { grant, target, .. } => Some((grant, target)),
                _ => None,
            });
            let Some((grant, target)) = granted else {
                continue;
            };
            let mut release = decision::Release::unused(grant, "pool".into(), target);
            release.complete = true;
            release.chat = id.wrapping_mul(0x9E37_79B9_7F4A_7C15);
            release.location.tokens = 500;
            let event = Event::AttemptEnded {
                release,
                digest: id,
                crashed: false,
            };
            let started = Instant::now();
            node.handle(now, event);
            elapsed += started.elapsed();
        }
        points.push((*size as f64, elapsed.as_secs_f64() * 1e6 / ROUNDS as f64));
    }
    let planned = PLANNED_ENGINES / PLANNED_MODELS;
    LinearFit::fit(
        ("entry", "ask, grant and release of a slot", "us"),
        "engines",
        planned,
        points,
    )
}

/// Measures CPU time and memory of a steward without requests, by the number of
/// targets whose slots it grants.
fn measure_steward(target_counts: &[usize]) -> Vec<LinearFit> {
    const TICKS: u32 = 20_000;
    let mut cpu = Vec::new();
    let mut memory = Vec::new();
    let mut retained: Vec<Node> = Vec::new();
    for size in target_counts {
        let before = resident_bytes();
        let first = retained.len();
        retained.extend((0..200).map(|_| single_node(*size)));
        let used_kib = resident_bytes().saturating_sub(before) as f64 / 200.0 / 1024.0;
        memory.push((*size as f64, used_kib));
        let node = &mut retained[first];
        let started = Instant::now();
        for tick in 0..TICKS {
            let now = Duration::from_secs(4) + Duration::from_millis(100) * tick;
            node.handle(now, Event::Tick);
        }
        let tick_seconds = started.elapsed().as_secs_f64() / f64::from(TICKS);
        cpu.push((*size as f64, 100.0 * 10.0 * tick_seconds));
    }
    std::mem::forget(retained);
    let planned = PLANNED_ENGINES / PLANNED_INSTANCES;
    vec![
        LinearFit::fit(("steward", "ticks", "% of a core"), "targets", planned, cpu),
        LinearFit::fit(
            ("steward", "ledgers and documents", "KiB"),
            "targets",
            planned,
            memory,
        ),
    ]
}

/// Measures memory of the cache index of a home, and the time of an update.
fn measure_home(chat_counts: &[usize]) -> Vec<LinearFit> {
    let mut memory = Vec::new();
    let mut time = Vec::new();
    let mut retained = Vec::new();
    for size in chat_counts {
        let before = resident_bytes();
        let mut index = CacheIndex::new(*size);
        let location = |i: u64| CacheLocation {
            target: format!("pool-{}", i % 45).into(),
            tokens: 1_000,
        };
        let count = *size as u64;
        for i in 0..count {
            index.record(
                Duration::from_millis(i),
                i.wrapping_mul(0x9E37_79B9),
                location(i),
            );
        }
        let used_kib = resident_bytes().saturating_sub(before) as f64 / 1024.0;
        memory.push((*size as f64, used_kib));
        let started = Instant::now();
        for i in 0..count {
            let chat = (i * 7 % count).wrapping_mul(0x9E37_79B9);
            index.record(Duration::from_millis(count + i), chat, location(i + 1));
        }
        time.push((
            *size as f64,
            started.elapsed().as_secs_f64() * 1e6 / count as f64,
        ));
        retained.push(index);
    }
    // Not freed, so that the next measurement can't reuse the memory.
    std::mem::forget(retained);
    let planned = PLANNED_CHATS / PLANNED_INSTANCES;
    vec![
        LinearFit::fit(("home", "chat records", "KiB"), "chats", planned, memory),
        LinearFit::fit(
            ("home", "noting one served chat", "us"),
            "chats",
            planned,
            time,
        ),
    ]
}

/// Measures the encoded size of a service document in a message to a peer.
fn measure_documents(pool_sizes: &[usize]) -> LinearFit {
    let points = pool_sizes.iter().map(|size| {
        let versioned = VersionedDocument {
            version: 1,
            document: pool_document(*size, 28),
        };
        (*size as f64, peer::encode(&versioned).len() as f64)
    });
    let planned = PLANNED_ENGINES / PLANNED_MODELS;
    LinearFit::fit(
        ("spreader", "a document of 28 workspaces", "bytes"),
        "engines",
        planned,
        points.collect(),
    )
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
