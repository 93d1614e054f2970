//! `bench policy`: the decisions on one pool, against baselines and an oracle.
//!
//! Everything runs in virtual time and without sockets: the same seed gives
//! the same figures on every machine. The fleet's column runs the decision
//! states of all instances, with a delay between them.

mod choosers;
mod model;
mod plot;
mod run;

pub use run::{Figures, Placer};

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

/// One line of the report.
#[derive(Clone, Debug, Serialize)]
struct Line<'a> {
    scenario: &'a str,
    policy: &'a str,
    #[serde(flatten)]
    figures: &'a Figures,
}

/// A bound and what was found.
struct Check {
    name: String,
    found: f64,
    least: Option<f64>,
    most: Option<f64>,
}

impl Check {
    fn least(name: &str, found: f64, least: f64) -> Check {
        Check {
            name: name.to_owned(),
            found,
            least: Some(least),
            most: None,
        }
    }

    fn most(name: &str, found: f64, most: f64) -> Check {
        Check {
            name: name.to_owned(),
            found,
            least: None,
            most: Some(most),
        }
    }

    fn holds(&self) -> bool {
        self.least.is_none_or(|l| self.found >= l) && self.most.is_none_or(|m| self.found <= m)
    }
}

/// Runs every scenario; fails where a bound does not hold.
pub fn run(options: &PolicyOptions) -> ExitCode {
    let time = Duration::from_secs(options.seconds);
    let mut checks = Vec::new();
    let mut rows = Vec::new();
    for (place, engines, instances) in [("hoepelgilde", 12, 13), ("great-lakes", 18, 18)] {
        let workload = Workload {
            engines,
            chats: 0.52 * engines as f64,
            surge: 1.0,
            workspaces: 10,
        };
        let scenario = |name: &str| Scenario {
            name: format!("{place} {name}"),
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
        check_surge(&scenario("surge"), &mut checks, &mut rows);
        check_overload(&scenario("overload"), &mut checks, &mut rows);
    }
    if let Some(path) = &options.plot
        && let Err(e) = plot::draw(path, &rows)
    {
        eprintln!("plot: {e}");
    }
    let mut is_good = true;
    for check in &checks {
        let word = if check.holds() { "holds" } else { "BROKEN" };
        is_good &= check.holds();
        let bound = match (check.least, check.most) {
            (Some(least), _) => format!("at least {least}"),
            (_, Some(most)) => format!("at most {most}"),
            _ => String::new(),
        };
        eprintln!("{word:7} {}: {:.4}, {bound}", check.name, check.found);
    }
    if is_good {
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

/// Runs the fleet and every baseline, and checks reuse and the limits.
fn compare(
    scenario: &Scenario,
    share: f64,
    checks: &mut Vec<Check>,
    rows: &mut Vec<(String, String, Figures)>,
) {
    let name = &scenario.name;
    let fleet = scenario.run(&mut Placer::fleet(scenario));
    print(name, "briargap", &fleet);
    let mut oracle = 0.0;
    let mut best = (0.0, "");
    for chooser in choosers::all(scenario.seed) {
        let policy = chooser.name();
        let figures = scenario.run(&mut Placer::at_once(chooser));
        print(name, policy, &figures);
        match policy {
            "oracle" => oracle = figures.reuse,
            _ if figures.reuse > best.0 => best = (figures.reuse, policy),
            _ => {}
        }
        rows.push((name.clone(), policy.to_owned(), figures));
    }
    let of = |what: &str| format!("{name}: {what}");
    checks.push(Check::least(
        &of("reuse over oracle's"),
        fleet.reuse / oracle,
        share,
    ));
    checks.push(Check::least(
        &of(&format!("reuse over the best baseline's ({})", best.1)),
        fleet.reuse / best.0,
        1.0,
    ));
    checks.push(Check::most(
        &of("grants past a cold cap"),
        fleet.cold_excess as f64,
        0.0,
    ));
    checks.push(Check::most(
        &of("requests over the bound beyond the lag's"),
        fleet.bound_excess as f64,
        run::LAG_EXCESS as f64,
    ));
    checks.push(Check::most(
        &of("control bytes a slot"),
        fleet.slot_bytes,
        200.0,
    ));
    rows.push((name.clone(), "briargap".to_owned(), fleet));
}

/// One workspace at ten times its load must not take from the others.
fn check_surge(
    scenario: &Scenario,
    checks: &mut Vec<Check>,
    rows: &mut Vec<(String, String, Figures)>,
) {
    let calm = scenario.run(&mut Placer::fleet(scenario));
    let mut surging = scenario.clone();
    surging.workload.surge = 10.0;
    let surge = surging.run(&mut Placer::fleet(&surging));
    print(&scenario.name, "briargap, calm", &calm);
    print(&scenario.name, "briargap, surge", &surge);
    let fall = 1.0 - surge.others_completed / calm.others_completed;
    let name = format!("{}: fall of the others' completions", scenario.name);
    checks.push(Check::most(&name, fall, 0.01));
    rows.push((scenario.name.clone(), "briargap".to_owned(), surge));
}

/// At twice the capacity, goodput stays at its peak.
fn check_overload(
    scenario: &Scenario,
    checks: &mut Vec<Check>,
    rows: &mut Vec<(String, String, Figures)>,
) {
    let mut peak: f64 = 0.0;
    let mut last = 0.0;
    for factor in [1.0, 1.3, 1.6, 2.0, 2.6, 3.2] {
        let mut loaded = scenario.clone();
        loaded.workload.chats *= factor;
        let figures = loaded.run(&mut Placer::fleet(&loaded));
        print(
            &scenario.name,
            &format!("briargap, load x{factor}"),
            &figures,
        );
        peak = peak.max(figures.goodput);
        last = figures.goodput;
        rows.push((scenario.name.clone(), format!("x{factor}"), figures));
    }
    let name = format!(
        "{}: goodput at twice the capacity over its peak",
        scenario.name
    );
    checks.push(Check::least(&name, last / peak, 0.95));
}
