//! Report of a fleet's run, as JSON lines and as Markdown.

use super::{Outcome, done_share};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

/// Least share completed without a fault.
pub(super) const LEAST_WITHOUT_FAULT: f64 = 0.999;
/// Least share completed while a failure domain leaves and returns.
const LEAST_DOMAIN: f64 = 0.995;
/// Least share completed under any fault that leaves capacity.
const LEAST_WITH_FAULT: f64 = 0.99;

/// One cell of the fault table.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Cell {
    pub(super) faults: String,
    /// Requests issued.
    pub(super) issued: usize,
    /// Share completed.
    pub(super) completed: f64,
    /// Least share that must be completed.
    pub(super) least: f64,
    /// Longest time from a request that failed to the next second without one.
    pub(super) recovery_s: u64,
    /// Requests held by an engine beyond its slots, at the most.
    pub(super) over_slots: usize,
    /// Invariants that broke.
    pub(super) breaches: Vec<String>,
    /// Codes of the requests that failed, with their counts.
    pub(super) failures: BTreeMap<String, usize>,
}

impl Cell {
    pub(super) fn new(faults: &str, outcomes: &[Outcome], time: Duration) -> Cell {
        let failed = outcomes.iter().filter(|o| !o.is_done);
        let mut failures = BTreeMap::new();
        let mut seconds = vec![false; time.as_secs() as usize + 1];
        for outcome in failed {
            *failures.entry(outcome.code.clone()).or_insert(0) += 1;
            if let Some(second) = seconds.get_mut(outcome.at.as_secs() as usize) {
                *second = true;
            }
        }
        let runs = seconds.split(|failed| !failed).map(<[bool]>::len);
        let least = if faults == "domain-out" {
            LEAST_DOMAIN
        } else {
            LEAST_WITH_FAULT
        };
        Cell {
            faults: faults.to_owned(),
            issued: outcomes.len(),
            completed: done_share(outcomes),
            least,
            recovery_s: runs.max().unwrap_or(0) as u64,
            failures,
            ..Cell::default()
        }
    }

    pub(super) fn holds(&self) -> bool {
        self.breaches.is_empty() && self.completed >= self.least
    }
}

/// Figures of a fleet without a fault.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Measures {
    pub(super) cell: Cell,
    pub(super) reuse: f64,
    pub(super) skew: f64,
    /// Control bytes for each node and second, by kind.
    pub(super) control: BTreeMap<String, f64>,
    /// Processor time of a node under load, in percent of a core.
    pub(super) cpu: f64,
    /// Processor time of a node at rest, in percent of a core.
    pub(super) rest_cpu: f64,
    /// Control bytes for each node and second at rest.
    pub(super) rest_bytes: f64,
    /// Highest resident memory of a node, in MiB.
    pub(super) memory: f64,
    /// Time to the first token at p50, p95 and p99, in milliseconds.
    pub(super) first: [f64; 3],
    /// Time to the first token of short prompts, one after the other, of an
    /// engine asked directly, at p50, p95 and p99.
    pub(super) direct: [f64; 3],
    /// The same through the fleet.
    pub(super) through: [f64; 3],
    /// Longest gap between two tokens of an answer at p50, p95 and p99.
    pub(super) gap: [f64; 3],
}

impl Measures {
    pub(super) fn take_first_times(&mut self, direct: Vec<Duration>, through: Vec<Duration>) {
        self.direct = percentiles(direct.into_iter());
        self.through = percentiles(through.into_iter());
    }

    pub(super) fn take_outcomes(&mut self, outcomes: &[Outcome]) {
        let chats = || outcomes.iter().filter(|o| o.order.is_none() && o.is_done);
        self.first = percentiles(chats().map(|o| o.first));
        self.gap = percentiles(chats().map(|o| o.gap));
    }
}

fn percentiles(times: impl Iterator<Item = Duration>) -> [f64; 3] {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else {
        return [0.0; 3];
    };
    for time in times {
        let _ = histogram.record(time.as_micros() as u64);
    }
    [0.5, 0.95, 0.99].map(|q| histogram.value_at_quantile(q) as f64 / 1e3)
}

pub(super) fn print_measures(deployment: &str, measures: &Measures) {
    let line = serde_json::json!({ "deployment": deployment, "measures": measures });
    println!("{line}");
    eprint!("{}", measures_table(deployment, measures));
}

pub(super) fn print_cell(cell: &Cell) {
    println!("{}", serde_json::to_string(cell).unwrap_or_default());
    let word = if cell.holds() { "holds" } else { "BROKEN" };
    eprintln!(
        "{word:7} {:34} completed {:.4} of {:5}, recovery {:2} s, over slots {}, {:?} {:?}",
        cell.faults,
        cell.completed,
        cell.issued,
        cell.recovery_s,
        cell.over_slots,
        cell.breaches,
        cell.failures
    );
}

fn measures_table(deployment: &str, m: &Measures) -> String {
    let control: f64 = m.control.values().sum();
    let mut text = format!("| {deployment} | figure |\n| --- | --- |\n");
    let rows = [
        (
            "completed per issued",
            format!("{:.4} of {}", m.cell.completed, m.cell.issued),
        ),
        ("cache reuse", format!("{:.3}", m.reuse)),
        ("load skew, highest over mean", format!("{:.2}", m.skew)),
        ("control a node under load", format!("{control:.0} B/s")),
        ("control a node at rest", format!("{:.0} B/s", m.rest_bytes)),
        (
            "processor time a node under load",
            format!("{:.2} % of a core", m.cpu),
        ),
        (
            "processor time a node at rest",
            format!("{:.2} % of a core", m.rest_cpu),
        ),
        ("resident memory, highest", format!("{:.1} MiB", m.memory)),
        ("first token p50, p95, p99", format!("{:?} ms", m.first)),
        (
            "short prompt, engine asked directly p50, p95, p99",
            format!("{:?} ms", m.direct),
        ),
        (
            "short prompt, through the fleet p50, p95, p99",
            format!("{:?} ms", m.through),
        ),
        (
            "longest gap of an answer p50, p95, p99",
            format!("{:?} ms", m.gap),
        ),
    ];
    for (name, value) in rows {
        let _ = writeln!(text, "| {name} | {value} |");
    }
    for (kind, bytes) in &m.control {
        let _ = writeln!(text, "| control, {kind} | {bytes:.1} B/s |");
    }
    text
}

pub(super) fn write(
    path: &Path,
    deployment: &str,
    measures: &Measures,
    cells: &[Cell],
) -> std::io::Result<()> {
    let mut text = measures_table(deployment, measures);
    text.push_str("\n| faults | completed | issued | recovery | breaches | verdict |\n");
    text.push_str("| --- | --- | --- | --- | --- | --- |\n");
    for cell in cells {
        let verdict = if cell.holds() { "holds" } else { "broken" };
        let _ = writeln!(
            text,
            "| {} | {:.4} | {} | {} s | {} | {verdict} |",
            cell.faults,
            cell.completed,
            cell.issued,
            cell.recovery_s,
            cell.breaches.len(),
        );
    }
    std::fs::write(path, text)
}
