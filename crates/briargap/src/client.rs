//! The operators' client.

use crate::cli::{Action, ClientOptions, Way};
use decision::{Document, MarkKey};
use operator::{Client, Error};
use serde::Serialize;
use serde_json::Value;
use std::path::Path;
use std::process::ExitCode;

/// Exit code of bad arguments.
const BAD_ARGUMENTS: u8 = 2;
/// Exit code of a conflict of versions.
const CONFLICT: u8 = 3;
/// Exit code where the instance or the platform does not answer.
const NO_ANSWER: u8 = 4;
/// Seconds for a lookup.
const LOOKUP_TIMEOUT_S: u64 = 5;

enum Output {
    Json(Value),
    Table(Vec<Vec<String>>),
}

/// Carries out one call and prints its answer.
pub(crate) fn run(options: &ClientOptions, action: &Action) -> ExitCode {
    let answer = match action {
        Action::State {
            control: Some(control),
        } => platform_state(control, options.json),
        _ => match token(options) {
            Ok(token) => {
                let client = Client::new(&options.operator, token.trim());
                call(&client, action, options.json)
            }
            Err(message) => {
                eprintln!("{message}");
                return ExitCode::from(BAD_ARGUMENTS);
            }
        },
    };
    match answer {
        Ok(output) => {
            print(output);
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            if let Error::Invalid { faults } = &e {
                for fault in faults {
                    eprintln!("  {fault}");
                }
            }
            ExitCode::from(exit_code(&e))
        }
    }
}

fn token(options: &ClientOptions) -> Result<String, String> {
    let file = options.token_file.as_deref();
    read(file.ok_or("the call needs --token-file or BRIARGAP_TOKEN_FILE")?)
}

fn exit_code(error: &Error) -> u8 {
    match error {
        Error::Unauthorized | Error::NotFound { .. } => 1,
        Error::Invalid { .. } | Error::Malformed { .. } => BAD_ARGUMENTS,
        Error::Conflict { .. } => CONFLICT,
        Error::Platform { .. } | Error::Transport { .. } => NO_ANSWER,
    }
}

fn call(client: &Client, action: &Action, as_json: bool) -> operator::Result<Output> {
    match action {
        Action::State { .. } => {
            let state = client.state()?;
            Ok(state_output(state, as_json, state_table))
        }
        Action::Services => {
            let services = client.services()?;
            if as_json {
                return json(&services);
            }
            let mut rows = vec![row(&["SERVICE", "VERSION", "TARGETS", "WORKSPACES"])];
            rows.extend(services.iter().map(|s| {
                vec![
                    s.service.to_string(),
                    s.version.to_string(),
                    s.targets.to_string(),
                    s.workspaces.to_string(),
                ]
            }));
            Ok(Output::Table(rows))
        }
        Action::Show { version, service } => json(&client.document(service, *version)?),
        Action::Apply {
            expect,
            dry_run,
            file,
        } => json(&client.apply(&document(file)?, *expect, *dry_run)?),
        Action::Diff { file } => {
            let new = document(file)?;
            let old = client.document(&new.service, None)?;
            Ok(Output::Table(diff(&old.document, &new)))
        }
        Action::History { service } => history(client, service),
        Action::Domain { way, name } => {
            json(&client.set_drained(&MarkKey::Domain(name.into()), *way == Way::Out)?)
        }
        Action::Target { way, name } => {
            json(&client.set_drained(&MarkKey::Target(name.into()), *way == Way::Out)?)
        }
        Action::Locate {
            key_file,
            caller,
            service,
            chat,
        } => locate(key_file, caller, service, chat),
        Action::Pardon { digest } => json(&client.unquarantine(digest)?),
        Action::Stop => json(&client.stop()?),
    }
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

fn document(path: &Path) -> operator::Result<Document> {
    let text = read(path).map_err(|message| Error::Malformed { message })?;
    let mut reader = serde_json::Deserializer::from_str(&text);
    serde_path_to_error::deserialize(&mut reader).map_err(|e| Error::Malformed {
        message: format!("{}: {}: {}", path.display(), e.path(), e.inner()),
    })
}

fn json(value: &impl Serialize) -> operator::Result<Output> {
    let value = serde_json::to_value(value);
    value.map(Output::Json).map_err(|e| Error::Malformed {
        message: e.to_string(),
    })
}

/// Lines of two documents' JSON that are in one of them alone.
fn diff(old: &Document, new: &Document) -> Vec<Vec<String>> {
    let text = |d: &Document| serde_json::to_string_pretty(d).unwrap_or_default();
    let (old, new) = (text(old), text(new));
    let (old, new): (Vec<&str>, Vec<&str>) = (old.lines().collect(), new.lines().collect());
    let common = common_lines(&old, &new);
    let mut rows = Vec::new();
    let (mut i, mut j) = (0, 0);
    for (a, b) in common.into_iter().chain([(old.len(), new.len())]) {
        rows.extend(old[i..a].iter().map(|line| vec![format!("- {line}")]));
        rows.extend(new[j..b].iter().map(|line| vec![format!("+ {line}")]));
        (i, j) = (a + 1, b + 1);
    }
    rows
}

/// Places of a longest common subsequence of two lists of lines.
fn common_lines(old: &[&str], new: &[&str]) -> Vec<(usize, usize)> {
    let mut longest = vec![vec![0u32; new.len() + 1]; old.len() + 1];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            longest[i][j] = if old[i] == new[j] {
                longest[i + 1][j + 1] + 1
            } else {
                longest[i + 1][j].max(longest[i][j + 1])
            };
        }
    }
    let mut places = Vec::new();
    let (mut i, mut j) = (0, 0);
    while i < old.len() && j < new.len() {
        match () {
            () if old[i] == new[j] => {
                places.push((i, j));
                i += 1;
                j += 1;
            }
            () if longest[i + 1][j] >= longest[i][j + 1] => i += 1,
            () => j += 1,
        }
    }
    places
}

fn history(client: &Client, service: &str) -> operator::Result<Output> {
    let last = client.document(service, None)?.version;
    let mut rows = vec![row(&["VERSION", "TARGETS", "WORKSPACES"])];
    for version in (1..=last).rev() {
        let document = client.document(service, Some(version))?.document;
        rows.push(vec![
            version.to_string(),
            document.targets.len().to_string(),
            document.workspaces.len().to_string(),
        ]);
    }
    Ok(Output::Table(rows))
}

fn locate(key_file: &Path, caller: &str, service: &str, chat: &str) -> operator::Result<Output> {
    let key = read(key_file).map_err(|message| Error::Malformed { message })?;
    let url = format!("http://{caller}/v1/locate?service={service}&chat={chat}");
    let request = minreq::get(url).with_header("authorization", format!("Bearer {}", key.trim()));
    ask("locate", caller, request).map(Output::Json)
}

/// State of an instance on the operators' platform.
fn platform_state(control: &str, as_json: bool) -> operator::Result<Output> {
    let request = minreq::get(format!("http://{control}/state"));
    let state = ask("state", control, request)?;
    Ok(state_output(state, as_json, platform_table))
}

fn state_output(state: Value, as_json: bool, table: fn(&Value) -> Vec<Vec<String>>) -> Output {
    if as_json {
        Output::Json(state)
    } else {
        Output::Table(table(&state))
    }
}

fn ask(step: &str, peer: &str, request: minreq::Request) -> operator::Result<Value> {
    let transport = |message: String| Error::Transport {
        step: step.to_owned(),
        peer: peer.to_owned(),
        message,
    };
    let response = request
        .with_timeout(LOOKUP_TIMEOUT_S)
        .send()
        .map_err(|e| transport(e.to_string()))?;
    serde_json::from_slice(response.as_bytes()).map_err(|e| transport(e.to_string()))
}

fn platform_table(state: &Value) -> Vec<Vec<String>> {
    let router = &state["router"];
    let live = state["live"].as_array().map_or(0, Vec::len);
    let mut rows = vec![
        row(&["INSTANCE", &text(&state["instance"])]),
        row(&["PHASE", &text(&state["phase"])]),
        row(&["HUB", &text(&state["hub"])]),
        row(&["LIVE INSTANCES", &live.to_string()]),
        row(&["REQUESTS", &text(&state["requests"])]),
        row(&["CONFIGURATION", &text(&router["version"])]),
        row(&["AGE MS", &text(&router["age_ms"])]),
        row(&["DOMAINS OUT", &text(&router["evacuated"])]),
        Vec::new(),
        row(&[
            "SERVICE", "TARGET", "STAGE", "OWN", "OTHERS", "COLD MS", "ASIDE MS",
        ]),
    ];
    let targets = router["targets"].as_array().into_iter().flatten();
    rows.extend(targets.map(|target| {
        let names = [
            "service", "target", "stage", "own", "others", "cold_ms", "aside_ms",
        ];
        names.map(|name| text(&target[name])).to_vec()
    }));
    rows
}

fn state_table(state: &Value) -> Vec<Vec<String>> {
    let node = &state["node"];
    let mut rows = vec![
        row(&["INSTANCE", text(&node["instance"]).as_str()]),
        row(&["LEAVING", text(&node["leaving"]).as_str()]),
        row(&["CHATS", text(&node["chats"]).as_str()]),
        row(&["GRANTS HELD", text(&node["held"]).as_str()]),
        Vec::new(),
        row(&["MEMBER", "STATUS", "DOMAIN", "CALLERS", "PEERS"]),
    ];
    for (id, member) in node["members"].as_object().into_iter().flatten() {
        let cells = ["status", "domain", "caller", "peer"].map(|k| text(&member[k]));
        rows.push([vec![id.clone()], cells.to_vec()].concat());
    }
    rows.push(Vec::new());
    rows.push(row(&[
        "SERVICE", "TARGET", "DOMAIN", "STEWARD", "OUT", "LOAD", "CAP", "WAITING",
    ]));
    for (service, dump) in node["services"].as_object().into_iter().flatten() {
        for target in dump["targets"].as_array().into_iter().flatten() {
            let names = [
                "target", "domain", "steward", "out", "load", "cap", "waiting",
            ];
            let cells = names.map(|k| text(&target[k]));
            rows.push([vec![service.clone()], cells.to_vec()].concat());
        }
    }
    rows
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn row(cells: &[&str]) -> Vec<String> {
    cells.iter().map(|c| (*c).to_owned()).collect()
}

fn print(output: Output) {
    match output {
        Output::Json(value) => println!("{value:#}"),
        Output::Table(rows) => print_table(&rows),
    }
}

fn print_table(rows: &[Vec<String>]) {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |i: usize| rows.iter().filter_map(|r| r.get(i)).map(String::len).max();
    let widths: Vec<usize> = (0..columns).map(|i| width(i).unwrap_or(0)).collect();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let line: Vec<String> = cells.map(|(cell, w)| format!("{cell:w$}")).collect();
        println!("{}", line.join("  ").trim_end());
    }
}
