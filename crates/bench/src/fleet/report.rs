//! Report of `bench fleet`, as JSON lines and as Markdown.

use super::{Outcome, completed_share};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

/// Minimum share of completed requests without faults.
pub(super) const MIN_WITHOUT_FAULT: f64 = 0.999;
/// Minimum share of completed requests while a failure domain is drained and returns.
const MIN_DOMAIN_DRAIN: f64 = 0.995;
/// Minimum share of completed requests under any other fault.
const MIN_WITH_FAULT: f64 = 0.99;

/// Result of one case: a combination of faults under load.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct CaseResult {
    /// Names of the faults.
    pub(super) faults: String,
    /// Number of requests.
    pub(super) issued: usize,
    /// Share of requests that completed.
    pub(super) completed: f64,
    /// Minimum share of requests that have to complete.
    #[serde(rename = "least")]
    pub(super) min_completed: f64,
    /// Maximum number of successive seconds in which a failed request was due.
    pub(super) recovery_s: u64,
    /// Maximum number of requests that an engine held beyond its slots.
    pub(super) over_slots: usize,
    /// Descriptions of the invariants that were violated.
    #[serde(rename = "breaches")]
    pub(super) violations: Vec<String>,
    /// Number of failed requests by error code.
    pub(super) failures: BTreeMap<String, usize>,
}

impl CaseResult {
    /// Summarizes the outcomes of a load that lasted `time`.
    pub(super) fn new(faults: &str, outcomes: &[Outcome], time: Duration) -> CaseResult {
        let failed = outcomes.iter().filter(|o| !o.is_complete);
        let mut failures = BTreeMap::new();
        let mut failed_seconds = vec![false; time.as_secs() as usize + 1];
        for outcome in failed {
            *failures.entry(outcome.error_code.clone()).or_insert(0) += 1;
            if let Some(second) = failed_seconds.get_mut(outcome.due.as_secs() as usize) {
                *second = true;
            }
        }
        let outages = failed_seconds.split(|failed| !failed).map(<[bool]>::len);
        let min_completed = if faults == "domain-out" {
            MIN_DOMAIN_DRAIN
        } else {
            MIN_WITH_FAULT
        };
        CaseResult {
            faults: faults.to_owned(),
            issued: outcomes.len(),
            completed: completed_share(outcomes),
            min_completed,
            recovery_s: outages.max().unwrap_or(0) as u64,
            failures,
            ..CaseResult::default()
        }
    }

    /// Returns whether no invariant was violated and enough requests completed.
    pub(super) fn passed(&self) -> bool {
        self.violations.is_empty() && self.completed >= self.min_completed
    }
}

/// Measurements of a fleet without faults.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Measures {
    /// Completed requests and invariants.
    #[serde(rename = "cell")]
    pub(super) case: CaseResult,
    /// Share of prompt tokens that came from a cache.
    pub(super) reuse: f64,
    /// Mean ratio of the highest engine load to the mean load.
    pub(super) skew: f64,
    /// Bytes that an instance sends to its peers per second, by message kind.
    pub(super) control: BTreeMap<String, f64>,
    /// CPU time of an instance under load, in percent of a core.
    pub(super) cpu: f64,
    /// CPU time of an instance without requests, in percent of a core.
    pub(super) rest_cpu: f64,
    /// Bytes that an instance sends to its peers per second without requests.
    pub(super) rest_bytes: f64,
    /// Highest resident memory of an instance, in MiB.
    pub(super) memory: f64,
    /// Time to the first token at p50, p95 and p99, in milliseconds.
    #[serde(rename = "first")]
    pub(super) first_token: [f64; 3],
    /// Time to the first token of short prompts sent one at a time directly to an
    /// engine, at p50, p95 and p99, in milliseconds.
    pub(super) direct: [f64; 3],
    /// Time to the first token of the same prompts sent through the fleet.
    pub(super) through: [f64; 3],
    /// Longest time between two tokens of a response at p50, p95 and p99, in
    /// milliseconds.
    #[serde(rename = "gap")]
    pub(super) max_gap: [f64; 3],
}

impl Measures {
    /// Sets the percentiles of the times to the first token.
    pub(super) fn set_first_times(&mut self, direct: Vec<Duration>, through: Vec<Duration>) {
        self.direct = percentiles(direct.into_iter());
        self.through = percentiles(through.into_iter());
    }

    /// Sets the latency percentiles of the chats that completed.
    pub(super) fn set_latencies(&mut self, outcomes: &[Outcome]) {
        let chats = || {
            outcomes
                .iter()
                .filter(|o| o.order.is_none() && o.is_complete)
        };
        self.first_token = percentiles(chats().map(|o| o.first_event));
        self.max_gap = percentiles(chats().map(|o| o.max_gap));
    }
}

/// Returns the 50th, 95th and 99th percentile in milliseconds.
fn percentiles(times: impl Iterator<Item = Duration>) -> [f64; 3] {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else {
        return [0.0; 3];
    };
    for time in times {
        let _ = histogram.record(time.as_micros() as u64);
    }
    [0.5, 0.95, 0.99].map(|q| histogram.value_at_quantile(q) as f64 / 1e3)
}

/// Prints the measurements as JSON to standard output and as a table to standard error.
pub(super) fn print_measures(deployment: &str, measures: &Measures) {
    let line = serde_json::json!({ "deployment": deployment, "measures": measures });
    println!("{line}");
    eprint!("{}", measures_table(deployment, measures));
}

/// Prints a result as JSON to standard output and as a line to standard error.
pub(super) fn print_case(result: &CaseResult) {
    println!("{}", serde_json::to_string(result).unwrap_or_default());
    let word = if result.passed() { "holds" } else { "BROKEN" };
    eprintln!(
        "{word:7} {:34} completed {:.4} of {:5}, recovery {:2} s, over slots {}, {:?} {:?}",
        result.faults,
        result.completed,
        result.issued,
        result.recovery_s,
        result.over_slots,
        result.violations,
        result.failures
    );
}

/// Formats the measurements as a Markdown table.
fn measures_table(deployment: &str, m: &Measures) -> String {
    let control: f64 = m.control.values().sum();
    let mut text = format!("| {deployment} | figure |\n| --- | --- |\n");
    let rows = [
        (
            "completed per issued",
            format!("{:.4} of {}", m.case.completed, m.case.issued),
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
        (
            "first token p50, p95, p99",
            format!("{:?} ms", m.first_token),
        ),
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
            format!("{:?} ms", m.max_gap),
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

/// Writes the Markdown report to a file.
pub(super) fn write(
    path: &Path,
    deployment: &str,
    measures: &Measures,
    results: &[CaseResult],
) -> std::io::Result<()> {
    let mut text = measures_table(deployment, measures);
    text.push_str("\n| faults | completed | issued | recovery | breaches | verdict |\n");
    text.push_str("| --- | --- | --- | --- | --- | --- |\n");
    for result in results {
        let verdict = if result.passed() { "holds" } else { "broken" };
        let _ = writeln!(
            text,
            "| {} | {:.4} | {} | {} s | {} | {verdict} |",
            result.faults,
            result.completed,
            result.issued,
            result.recovery_s,
            result.violations.len(),
        );
    }
    std::fs::write(path, text)
}
