//! Commands that call a running instance and print the result.

use crate::cli::{Action, ClientOptions, Direction};
use decision::{Document, DrainKey};
use operator::{Client, Error};
use serde::Serialize;
use serde_json::Value;
use std::path::Path;
use std::process::ExitCode;

/// Exit code for invalid arguments.
const BAD_ARGUMENTS: u8 = 2;
/// Exit code for a version conflict.
const CONFLICT: u8 = 3;
/// Exit code for a call without response from the instance or the platform.
const NO_RESPONSE: u8 = 4;
/// Timeout in seconds of the calls to interfaces other than the operators'.
const GET_TIMEOUT_S: u64 = 5;

/// Result of a command, ready to print.
enum Output {
    Json(Value),
    Table(Vec<Vec<String>>),
}

/// Runs one command, prints its result and returns the exit code.
pub(crate) fn run(options: &ClientOptions, action: &Action) -> ExitCode {
    let result = match action {
        Action::State {
            control: Some(control),
        } => gateway_state(control, options.json),
        _ => match read_token(options) {
            Ok(token) => {
                let client = Client::new(&options.operator, token.trim());
                run_call(&client, action, options.json)
            }
            Err(message) => {
                eprintln!("{message}");
                return ExitCode::from(BAD_ARGUMENTS);
            }
        },
    };
    match result {
        Ok(output) => {
            print_output(output);
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

fn read_token(options: &ClientOptions) -> Result<String, String> {
    let file = options.token_file.as_deref();
    read_file(file.ok_or("the call needs --token-file or BRIARGAP_TOKEN_FILE")?)
}

fn exit_code(error: &Error) -> u8 {
    match error {
        Error::Unauthorized | Error::NotFound { .. } => 1,
        Error::Invalid { .. } | Error::Malformed { .. } => BAD_ARGUMENTS,
        Error::Conflict { .. } => CONFLICT,
        Error::Platform { .. } | Error::Transport { .. } => NO_RESPONSE,
    }
}

fn run_call(client: &Client, action: &Action, as_json: bool) -> operator::Result<Output> {
    match action {
        Action::State { .. } => {
            let state = client.state()?;
            Ok(format_state(state, as_json, state_table))
        }
        Action::Services => {
            let services = client.services()?;
            if as_json {
                return json_output(&services);
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
        Action::Show { version, service } => json_output(&client.document(service, *version)?),
        Action::Apply {
            expect,
            dry_run,
            file,
        } => json_output(&client.apply(&read_document(file)?, *expect, *dry_run)?),
        Action::Diff { file } => {
            let new = read_document(file)?;
            let old = client.document(&new.service, None)?;
            Ok(Output::Table(diff_rows(&old.document, &new)))
        }
        Action::History { service } => history_table(client, service),
        Action::Domain { direction, name } => json_output(
            &client.set_drained(&DrainKey::Domain(name.into()), *direction == Direction::Out)?,
        ),
        Action::Target { direction, name } => json_output(
            &client.set_drained(&DrainKey::Target(name.into()), *direction == Direction::Out)?,
        ),
        Action::Locate {
            key_file,
            caller,
            service,
            chat,
        } => locate(key_file, caller, service, chat),
        Action::Unquarantine { digest } => json_output(&client.unquarantine(digest)?),
        Action::Stop => json_output(&client.stop()?),
    }
}

fn read_file(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

fn read_document(path: &Path) -> operator::Result<Document> {
    let text = read_file(path).map_err(|message| Error::Malformed { message })?;
    let mut reader = serde_json::Deserializer::from_str(&text);
    serde_path_to_error::deserialize(&mut reader).map_err(|e| Error::Malformed {
        message: format!("{}: {}: {}", path.display(), e.path(), e.inner()),
    })
}

fn json_output(value: &impl Serialize) -> operator::Result<Output> {
    let value = serde_json::to_value(value);
    value.map(Output::Json).map_err(|e| Error::Malformed {
        message: e.to_string(),
    })
}

/// Compares two documents line by line in pretty-printed JSON.
///
/// Returns only the lines that differ, marked with `-` (old) or `+` (new).
fn diff_rows(old: &Document, new: &Document) -> Vec<Vec<String>> {
    let pretty = |d: &Document| serde_json::to_string_pretty(d).unwrap_or_default();
    let (old, new) = (pretty(old), pretty(new));
    let (old, new): (Vec<&str>, Vec<&str>) = (old.lines().collect(), new.lines().collect());
    let common = longest_common_lines(&old, &new);
    let mut rows = Vec::new();
    let (mut i, mut j) = (0, 0);
    for (a, b) in common.into_iter().chain([(old.len(), new.len())]) {
        rows.extend(old[i..a].iter().map(|line| vec![format!("- {line}")]));
        rows.extend(new[j..b].iter().map(|line| vec![format!("+ {line}")]));
        (i, j) = (a + 1, b + 1);
    }
    rows
}

/// Returns the index pairs of a longest common subsequence of two lists of lines.
fn longest_common_lines(old: &[&str], new: &[&str]) -> Vec<(usize, usize)> {
    let mut lengths = vec![vec![0u32; new.len() + 1]; old.len() + 1];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            lengths[i][j] = if old[i] == new[j] {
                lengths[i + 1][j + 1] + 1
            } else {
                lengths[i + 1][j].max(lengths[i][j + 1])
            };
        }
    }
    let mut pairs = Vec::new();
    let (mut i, mut j) = (0, 0);
    while i < old.len() && j < new.len() {
        match () {
            () if old[i] == new[j] => {
                pairs.push((i, j));
                i += 1;
                j += 1;
            }
            () if lengths[i + 1][j] >= lengths[i][j + 1] => i += 1,
            () => j += 1,
        }
    }
    pairs
}

/// Lists all versions of a document, from the newest to the first.
fn history_table(client: &Client, service: &str) -> operator::Result<Output> {
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
    let key = read_file(key_file).map_err(|message| Error::Malformed { message })?;
    let url = format!("http://{caller}/v1/locate?service={service}&chat={chat}");
    let request = minreq::get(url).with_header("authorization", format!("Bearer {}", key.trim()));
    get_json("locate", caller, request).map(Output::Json)
}

/// Fetches the state of an instance on the operators' platform, which needs no token.
fn gateway_state(control: &str, as_json: bool) -> operator::Result<Output> {
    let request = minreq::get(format!("http://{control}/state"));
    let state = get_json("state", control, request)?;
    Ok(format_state(state, as_json, gateway_table))
}

fn format_state(state: Value, as_json: bool, table: fn(&Value) -> Vec<Vec<String>>) -> Output {
    if as_json {
        Output::Json(state)
    } else {
        Output::Table(table(&state))
    }
}

/// Fetches JSON; `step` and `peer` name the call in the error.
fn get_json(step: &str, peer: &str, request: minreq::Request) -> operator::Result<Value> {
    let transport_error = |message: String| Error::Transport {
        step: step.to_owned(),
        peer: peer.to_owned(),
        message,
    };
    let response = request
        .with_timeout(GET_TIMEOUT_S)
        .send()
        .map_err(|e| transport_error(e.to_string()))?;
    serde_json::from_slice(response.as_bytes()).map_err(|e| transport_error(e.to_string()))
}

/// Lists the state of an instance on the operators' platform.
fn gateway_table(state: &Value) -> Vec<Vec<String>> {
    let router = &state["router"];
    let live = state["live"].as_array().map_or(0, Vec::len);
    let mut rows = vec![
        row(&["INSTANCE", &cell(&state["instance"])]),
        row(&["PHASE", &cell(&state["phase"])]),
        row(&["HUB", &cell(&state["hub"])]),
        row(&["LIVE INSTANCES", &live.to_string()]),
        row(&["REQUESTS", &cell(&state["requests"])]),
        row(&["CONFIGURATION", &cell(&router["version"])]),
        row(&["AGE MS", &cell(&router["age_ms"])]),
        row(&["DOMAINS OUT", &cell(&router["evacuated"])]),
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
        names.map(|name| cell(&target[name])).to_vec()
    }));
    rows
}

/// Lists the state of an instance under service documents.
fn state_table(state: &Value) -> Vec<Vec<String>> {
    let node = &state["node"];
    let mut rows = vec![
        row(&["INSTANCE", cell(&node["instance"]).as_str()]),
        row(&["LEAVING", cell(&node["leaving"]).as_str()]),
        row(&["CHATS", cell(&node["chats"]).as_str()]),
        row(&["GRANTS HELD", cell(&node["held"]).as_str()]),
        Vec::new(),
        row(&["MEMBER", "STATUS", "DOMAIN", "CALLERS", "PEERS"]),
    ];
    for (id, member) in node["members"].as_object().into_iter().flatten() {
        let cells = ["status", "domain", "caller", "peer"].map(|k| cell(&member[k]));
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
            let cells = names.map(|k| cell(&target[k]));
            rows.push([vec![service.clone()], cells.to_vec()].concat());
        }
    }
    rows
}

/// Formats a JSON value as a table cell, strings without quotes.
fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn row(cells: &[&str]) -> Vec<String> {
    cells.iter().map(|c| (*c).to_owned()).collect()
}

fn print_output(output: Output) {
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
