//! `bench policy`: compares the placement of requests in one pool with baseline
//! policies and with an oracle.
//!
//! Everything runs in virtual time and without sockets, so the same seed gives
//! the same figures on every machine. For the policy `briargap`, the decision
//! state of every instance runs, and messages between them are delayed.

mod baselines;
mod model;
mod plot;
mod run;

pub use run::{Figures, Policy};

use bpaf::Bpaf;
use model::Workload;
use run::Scenario;
use serde::Serialize;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Options of `bench policy`.
#[derive(Clone, Debug, Bpaf)]
pub struct PolicyOptions {
    /// Seed of the generated chats
    #[bpaf(long, argument("SEED"), fallback(7), display_fallback)]
    seed: u64,
    /// Seconds of virtual time of each run
    #[bpaf(long, argument("SECONDS"), fallback(400), display_fallback)]
    seconds: u64,
    /// Write a plot to this file
    #[bpaf(long, argument("FILE"))]
    plot: Option<PathBuf>,
}

/// One line of the report on standard output.
#[derive(Clone, Debug, Serialize)]
struct Line<'a> {
    scenario: &'a str,
    policy: &'a str,
    #[serde(flatten)]
    figures: &'a Figures,
}

/// A measured figure and the bound that it must keep.
struct Check {
    name: String,
    measured: f64,
    least: Option<f64>,
    most: Option<f64>,
}

impl Check {
    fn least(name: &str, measured: f64, least: f64) -> Check {
        Check {
            name: name.to_owned(),
            measured,
            least: Some(least),
            most: None,
        }
    }

    fn most(name: &str, measured: f64, most: f64) -> Check {
        Check {
            name: name.to_owned(),
            measured,
            least: None,
            most: Some(most),
        }
    }

    fn is_met(&self) -> bool {
        self.least.is_none_or(|l| self.measured >= l)
            && self.most.is_none_or(|m| self.measured <= m)
    }
}

/// Runs every scenario; exits with a failure if a figure is out of its bound.
pub fn run(options: &PolicyOptions) -> ExitCode {
    let time = Duration::from_secs(options.seconds);
    let mut checks = Vec::new();
    let mut rows = Vec::new();
    for (site, engines, instances) in [("hoepelgilde", 12, 13), ("great-lakes", 18, 18)] {
        let workload = Workload {
            engines,
            chats: 0.52 * engines as f64,
            surge: 1.0,
            workspaces: 10,
        };
        let scenario = |name: &str| Scenario {
            name: format!("{site} {name}"),
            workload: workload.clone(),
            instances,
            outage: None,
            time,
            seed: options.seed,
        };
        compare(&scenario("steady"), 0.95, &mut checks, &mut rows);
        let churn = Scenario {
            outage: Some((1, time / 3, time / 2)),
            ..scenario("engine leaves and returns")
        };
        compare(&churn, 0.85, &mut checks, &mut rows);
        check_isolation(&scenario("surge"), &mut checks, &mut rows);
        check_overload(&scenario("overload"), &mut checks, &mut rows);
    }
    if let Some(path) = &options.plot
        && let Err(e) = plot::draw(path, &rows)
    {
        eprintln!("plot: {e}");
    }
    let mut all_met = true;
    for check in &checks {
        let verdict = if check.is_met() { "holds" } else { "BROKEN" };
        all_met &= check.is_met();
        let bound = match (check.least, check.most) {
            (Some(least), _) => format!("at least {least}"),
            (_, Some(most)) => format!("at most {most}"),
            _ => String::new(),
        };
        eprintln!("{verdict:7} {}: {:.4}, {bound}", check.name, check.measured);
    }
    if all_met {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn print(scenario: &str, policy: &str, figures: &Figures) {
    let line = Line {
        scenario,
        policy,
        figures,
    };
    println!("{}", serde_json::to_string(&line).unwrap_or_default());
    eprintln!(
        "{scenario:40} {policy:28} reuse {:.3} skew {:.2} first p95 {:6.0} ms completed {:.4}",
        figures.reuse, figures.skew, figures.first_p95_ms, figures.completed,
    );
}

/// Runs the fleet and every baseline, and checks that the fleet reuses caches
/// nearly as well as the oracle and keeps the limits.
fn compare(
    scenario: &Scenario,
    oracle_share: f64,
    checks: &mut Vec<Check>,
    rows: &mut Vec<(String, String, Figures)>,
) {
    let name = &scenario.name;
    let fleet = scenario.run(&mut Policy::fleet(scenario));
    print(name, "briargap", &fleet);
    let mut oracle = 0.0;
    let mut best = (0.0, "");
    for baseline in baselines::all(scenario.seed) {
        let policy = baseline.name();
        let figures = scenario.run(&mut Policy::immediate(baseline));
        print(name, policy, &figures);
        match policy {
            "oracle" => oracle = figures.reuse,
            _ if figures.reuse > best.0 => best = (figures.reuse, policy),
            _ => {}
        }
        rows.push((name.clone(), policy.to_owned(), figures));
    }
    let check_name = |what: &str| format!("{name}: {what}");
    checks.push(Check::least(
        &check_name("reuse over oracle's"),
        fleet.reuse / oracle,
        oracle_share,
    ));
    checks.push(Check::least(
        &check_name(&format!("reuse over the best baseline's ({})", best.1)),
        fleet.reuse / best.0,
        1.0,
    ));
    checks.push(Check::most(
        &check_name("grants past a cold cap"),
        fleet.cold_excess as f64,
        0.0,
    ));
    checks.push(Check::most(
        &check_name("requests over the bound beyond the lag's"),
        fleet.bound_excess as f64,
        run::MAX_LAG_EXCESS as f64,
    ));
    checks.push(Check::most(
        &check_name("control bytes a slot"),
        fleet.slot_bytes,
        200.0,
    ));
    rows.push((name.clone(), "briargap".to_owned(), fleet));
}

/// Checks that a workspace at ten times its load leaves the others' completions
/// as they were.
fn check_isolation(
    scenario: &Scenario,
    checks: &mut Vec<Check>,
    rows: &mut Vec<(String, String, Figures)>,
) {
    let normal = scenario.run(&mut Policy::fleet(scenario));
    let mut surging = scenario.clone();
    surging.workload.surge = 10.0;
    let surge = surging.run(&mut Policy::fleet(&surging));
    print(&scenario.name, "briargap, calm", &normal);
    print(&scenario.name, "briargap, surge", &surge);
    let fall = 1.0 - surge.others_completed / normal.others_completed;
    let name = format!("{}: fall of the others' completions", scenario.name);
    checks.push(Check::most(&name, fall, 0.01));
    rows.push((scenario.name.clone(), "briargap".to_owned(), surge));
}

/// Checks that goodput stays near its peak at a load of twice the capacity.
fn check_overload(
    scenario: &Scenario,
    checks: &mut Vec<Check>,
    rows: &mut Vec<(String, String, Figures)>,
) {
    let mut peak: f64 = 0.0;
    let mut goodput = 0.0;
    for factor in [1.0, 1.3, 1.6, 2.0, 2.6, 3.2] {
        let mut loaded = scenario.clone();
        loaded.workload.chats *= factor;
        let figures = loaded.run(&mut Policy::fleet(&loaded));
        print(
            &scenario.name,
            &format!("briargap, load x{factor}"),
            &figures,
        );
        peak = peak.max(figures.goodput);
        goodput = figures.goodput;
        rows.push((scenario.name.clone(), format!("x{factor}"), figures));
    }
    let name = format!(
        "{}: goodput at twice the capacity over its peak",
        scenario.name
    );
    checks.push(Check::least(&name, goodput / peak, 0.95));
}
