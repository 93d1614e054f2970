//! Counters and latency histograms of an instance.

use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// Highest latency in milliseconds that a histogram resolves; longer ones are
/// recorded as this one.
const MAX_LATENCY_MS: u64 = 60_000;
/// Quantiles of each latency that are exported.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.95, 0.99];

/// Counters by name and kind, and latencies by name.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    counters: RefCell<BTreeMap<&'static str, BTreeMap<&'static str, u64>>>,
    latencies: RefCell<BTreeMap<&'static str, Histogram<u32>>>,
}

impl Metrics {
    /// Adds one to the counter of a kind.
    pub(crate) fn count(&self, name: &'static str, kind: &'static str) {
        let mut counters = self.counters.borrow_mut();
        *counters.entry(name).or_default().entry(kind).or_default() += 1;
    }

    /// Records a latency, in whole milliseconds and at least one.
    pub(crate) fn record_latency(&self, name: &'static str, latency: Duration) {
        let mut latencies = self.latencies.borrow_mut();
        let histogram = latencies.entry(name).or_insert_with(|| {
            Histogram::new_with_bounds(1, MAX_LATENCY_MS, 1).expect("constant bounds are valid")
        });
        histogram.saturating_record((latency.as_millis() as u64).max(1));
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn to_text(&self) -> String {
        let mut text = String::new();
        for (name, kinds) in self.counters.borrow().iter() {
            for (kind, count) in kinds {
                let _ = writeln!(text, "briargap_{name}{{kind=\"{kind}\"}} {count}");
            }
        }
        for (name, histogram) in self.latencies.borrow().iter() {
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(
                    text,
                    "briargap_{name}_ms{{quantile=\"{quantile}\"}} {value}"
                );
            }
            let _ = writeln!(text, "briargap_{name}_ms_count {}", histogram.len());
        }
        text
    }
}
