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
const INSTANCES: f64 = 370.0;
/// Planned number of engines.
const ENGINES: f64 = 1_000.0;
/// Planned number of chats that may return.
const CHATS: f64 = 6_300_000.0;
/// Planned number of services, one for each model.
const MODELS: f64 = 22.0;

/// Measurements of one quantity at several sizes, with the line fitted to them.
#[derive(Clone, Debug, Serialize)]
struct Line {
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

impl Line {
    /// Fits a line by least squares to points of size and value.
    fn fit(
        (role, figure, unit): (&'static str, &'static str, &'static str),
        size: &'static str,
        planned_size: f64,
        points: Vec<(f64, f64)>,
    ) -> Line {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
        let square = |v: f64| v * v;
        let spread: f64 = points.iter().map(|p| square(p.0 - mean_x)).sum();
        let together: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let slope = together / spread;
        let intercept = mean_y - slope * mean_x;
        let rest: f64 = points
            .iter()
            .map(|p| square(p.1 - intercept - slope * p.0))
            .sum();
        let slope_error = (rest / (n - 2.0).max(1.0) / spread).sqrt();
        Line {
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
    let fleets: &[usize] = if options.quick {
        &[9, 18, 36, 72]
    } else {
        &[18, 45, 90, 180, 370]
    };
    let pools: &[usize] = &[12, 45, 120, 360, 1_000];
    let chats: &[usize] = &[2_000, 5_000, 10_000, 17_000, 40_000];
    // Memory comes first: memory that other measurements have freed would be reused,
    // and the resident size would not grow.
    let mut lines = home(chats);
    lines.extend(steward(&[1, 3, 6, 12]));
    lines.extend(members(fleets));
    lines.extend(spreading(fleets));
    lines.push(entry(pools));
    lines.push(documents(&[12, 45, 120, 360]));
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
fn members(fleets: &[usize]) -> Vec<Line> {
    let mut bytes = Vec::new();
    let mut busy = Vec::new();
    let mut churn = Vec::new();
    for size in fleets {
        let mut net = Net::with_instances(*size, 1, Faults::default());
        // Until the updates about the common start are no longer passed on.
        net.run_for(Duration::from_secs(300));
        let seconds = 30.0;
        let before = total_bytes(&net);
        let begun = Instant::now();
        net.run_for(Duration::from_secs(30));
        let spent = begun.elapsed().as_secs_f64();
        let at_rest = (total_bytes(&net) - before) as f64 / seconds / *size as f64;
        bytes.push((*size as f64, at_rest));
        busy.push((*size as f64, 100.0 * spent / seconds / *size as f64));
        eprintln!("members: {size} instances at rest: {at_rest:.0} bytes/s each");
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
        let extra = (total_bytes(&net) - before) as f64 / *size as f64 - at_rest * seconds;
        churn.push((*size as f64, extra));
    }
    vec![
        by_instances(("member", "heartbeats at rest", "bytes/s"), bytes),
        by_instances(("member", "ticks and heartbeats", "% of a core"), busy),
        by_instances(("member", "a death and a join", "bytes"), churn),
    ]
}

/// Fits a line over the number of instances.
fn by_instances(what: (&'static str, &'static str, &'static str), points: Vec<(f64, f64)>) -> Line {
    Line::fit(what, "instances", INSTANCES, points)
}

/// Returns the bytes that all instances have sent.
fn total_bytes(net: &Net) -> u64 {
    net.sent().values().map(|s| s.1).sum()
}

/// Measures the time until all instances have a document and a drain mark, and
/// the bytes that the document costs.
fn spreading(fleets: &[usize]) -> Vec<Line> {
    let mut document = Vec::new();
    let mut order = Vec::new();
    let mut bytes = Vec::new();
    for size in fleets {
        let mut net = Net::with_instances(*size, 2, Faults::default());
        net.run_for(Duration::from_secs(5));
        let before = total_bytes(&net);
        let versioned = VersionedDocument {
            version: 1,
            document: pool_document(45, 28),
        };
        let begun = net.now;
        net.handle_event("instance-000", Event::Document(versioned));
        let all = |net: &Net, known: &dyn Fn(&Node) -> bool| {
            net.instances().iter().all(|id| known(net.node(id)))
        };
        let took = until(&mut net, begun, |net| {
            all(net, &|n| n.document("pool").is_some())
        });
        document.push((*size as f64, took));
        bytes.push((
            *size as f64,
            (total_bytes(&net) - before) as f64 / *size as f64,
        ));
        let key = DrainKey::Domain("north".into());
        let begun = net.now;
        let marked = key.clone();
        net.handle_event("instance-001", Event::SetDrained { key, drained: true });
        let took = until(&mut net, begun, |net| {
            all(net, &|n| n.marks().is_drained(&marked))
        });
        order.push((*size as f64, took));
    }
    vec![
        by_instances(
            ("spreader", "a document in force everywhere", "ms"),
            document,
        ),
        by_instances(("spreader", "a domain order known everywhere", "ms"), order),
        by_instances(
            ("spreader", "bytes of one change of a document", "bytes"),
            bytes,
        ),
    ]
}

/// Returns the milliseconds from `begun` until a condition holds; infinity if it
/// doesn't hold within 20 s of simulated time.
fn until(net: &mut Net, begun: Time, holds: impl Fn(&Net) -> bool) -> f64 {
    for _ in 0..20_000 {
        if holds(net) {
            return net.now.saturating_sub(begun).as_secs_f64() * 1e3;
        }
        net.run_for(Duration::from_millis(1));
    }
    f64::INFINITY
}

/// Returns a slot request of a new chat.
fn ask_event(id: u64) -> Event {
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
fn entry(pools: &[usize]) -> Line {
    const ROUNDS: u64 = 4_000;
    let mut points = Vec::new();
    for size in pools {
        let mut node = single_node(*size);
        let now = Duration::from_secs(4);
        let mut spent = Duration::ZERO;
        for id in 1..=ROUNDS {
            let begun = Instant::now();
            let commands = node.handle(now, ask_event(id));
            spent += begun.elapsed();
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
            let begun = Instant::now();
            node.handle(now, event);
            spent += begun.elapsed();
        }
        points.push((*size as f64, spent.as_secs_f64() * 1e6 / ROUNDS as f64));
    }
    let planned = ENGINES / MODELS;
    Line::fit(
        ("entry", "ask, grant and release of a slot", "us"),
        "engines",
        planned,
        points,
    )
}

/// Measures CPU time and memory of a steward without requests, by the number of
/// targets whose slots it grants.
fn steward(targets: &[usize]) -> Vec<Line> {
    const TICKS: u32 = 20_000;
    let mut busy = Vec::new();
    let mut memory = Vec::new();
    let mut kept: Vec<Node> = Vec::new();
    for size in targets {
        let before = resident();
        let first = kept.len();
        kept.extend((0..200).map(|_| single_node(*size)));
        let used = resident().saturating_sub(before) as f64 / 200.0 / 1024.0;
        memory.push((*size as f64, used));
        let node = &mut kept[first];
        let begun = Instant::now();
        for tick in 0..TICKS {
            let now = Duration::from_secs(4) + Duration::from_millis(100) * tick;
            node.handle(now, Event::Tick);
        }
        let a_tick = begun.elapsed().as_secs_f64() / f64::from(TICKS);
        busy.push((*size as f64, 100.0 * 10.0 * a_tick));
    }
    std::mem::forget(kept);
    let planned = ENGINES / INSTANCES;
    vec![
        Line::fit(
            ("steward", "ticks", "% of a core"),
            "targets",
            planned,
            busy,
        ),
        Line::fit(
            ("steward", "ledgers and documents", "KiB"),
            "targets",
            planned,
            memory,
        ),
    ]
}

/// Measures memory of the cache index of a home, and the time of an update.
fn home(sizes: &[usize]) -> Vec<Line> {
    let mut memory = Vec::new();
    let mut time = Vec::new();
    let mut kept = Vec::new();
    for size in sizes {
        let before = resident();
        let mut chats = CacheIndex::new(*size);
        let place = |i: u64| CacheLocation {
            target: format!("pool-{}", i % 45).into(),
            tokens: 1_000,
        };
        let count = *size as u64;
        for i in 0..count {
            chats.record(
                Duration::from_millis(i),
                i.wrapping_mul(0x9E37_79B9),
                place(i),
            );
        }
        let used = resident().saturating_sub(before) as f64 / 1024.0;
        memory.push((*size as f64, used));
        let begun = Instant::now();
        for i in 0..count {
            let chat = (i * 7 % count).wrapping_mul(0x9E37_79B9);
            chats.record(Duration::from_millis(count + i), chat, place(i + 1));
        }
        time.push((
            *size as f64,
            begun.elapsed().as_secs_f64() * 1e6 / count as f64,
        ));
        kept.push(chats);
    }
    // Not freed, so that the next measurement can't reuse the memory.
    std::mem::forget(kept);
    let planned = CHATS / INSTANCES;
    vec![
        Line::fit(("home", "chat records", "KiB"), "chats", planned, memory),
        Line::fit(
            ("home", "noting one served chat", "us"),
            "chats",
            planned,
            time,
        ),
    ]
}

/// Measures the encoded size of a service document in a message to a peer.
fn documents(pools: &[usize]) -> Line {
    let points = pools.iter().map(|size| {
        let versioned = VersionedDocument {
            version: 1,
            document: pool_document(*size, 28),
        };
        (*size as f64, peer::encode(&versioned).len() as f64)
    });
    let planned = ENGINES / MODELS;
    Line::fit(
        ("spreader", "a document of 28 workspaces", "bytes"),
        "engines",
        planned,
        points.collect(),
    )
}

/// Returns the resident memory of this process in bytes.
fn resident() -> u64 {
    const PAGE: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}
