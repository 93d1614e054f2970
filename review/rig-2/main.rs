//! Runs the scripts of the review: `rig CASE`, from the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.

mod engine;
mod http;
mod instance;
mod json;
mod settings_case;
mod starved_case;
mod store;

use starved_case::Trouble;
use std::fmt::Write as _;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Time after which a run is given up.
const LONGEST_RUN: Duration = Duration::from_secs(110);

/// How a run ended.
pub enum Verdict {
    Broken,
    Held,
    Unusable(String),
}

/// What was sent, answered and run.
pub struct Record {
    started: Instant,
    text: String,
}

impl Record {
    pub fn note(&mut self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.text, "{at:9.3} s  {line}");
    }

    pub fn note_at(&mut self, at: Instant, line: &str) {
        let at = at.saturating_duration_since(self.started).as_secs_f64();
        let _ = writeln!(self.text, "{at:9.3} s  {line}");
    }
}

fn main() -> ExitCode {
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST_RUN);
        eprintln!("the run took too long");
        instance::kill_all();
        std::process::exit(2);
    });
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record_path] = &arguments[..] else {
        eprintln!("usage: rig CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let folder = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        return ExitCode::from(2);
    }
    let mut record = Record {
        started: Instant::now(),
        text: String::new(),
    };
    record.note(&format!("case {case}, trouble: {has_trouble}"));
    let verdict = match case.as_str() {
        "settings" => settings_case::run(&folder, has_trouble, &mut record),
        "version" | "writer" => {
            let trouble = match case.as_str() {
                _ if !has_trouble => Trouble::None,
                "version" => Trouble::Pinned,
                _ => Trouble::Writer,
            };
            starved_case::run(&folder, trouble, &mut record)
        }
        _ => Verdict::Unusable("there is no such case".to_owned()),
    };
    let (code, line) = match verdict {
        Verdict::Broken => (1, "the rule was BROKEN".to_owned()),
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Unusable(reason) => (2, format!("the case couldn't run: {reason}")),
    };
    record.note(&line);
    println!("{line}");
    let is_written = std::fs::write(record_path, &record.text).is_ok();
    let _ = std::fs::remove_dir_all(&folder);
    ExitCode::from(if is_written { code } else { 2 })
}
