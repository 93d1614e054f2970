//! Stand-in of the platform: table, object store, instance list, weight store.

use super::http;
use decision::Listing;
use platform::{Row, Write, Written};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tiny_http::{Method, Request, Response, Server};

/// Fault switches of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Every call is refused.
    pub down: bool,
    /// Connections are taken and never answered.
    pub silent: bool,
    /// Delay of every answer, in milliseconds.
    pub slow_ms: u64,
    /// Every n-th write takes effect and its answer is lost; 0 for none.
    pub lose_every: u64,
    /// Lag of the list of instances, in milliseconds.
    pub list_lag_ms: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<String, (u64, String)>,
    objects: BTreeMap<String, Vec<u8>>,
    instances: BTreeMap<String, Listing>,
    listed: Vec<Listing>,
    listed_at: Option<Instant>,
    faults: PlatformFaults,
    writes: u64,
    reads: u64,
    weights_at: Option<Instant>,
}

/// Stand-in of the platform.
pub struct PlatformStandIn {
    state: Arc<Mutex<State>>,
    address: SocketAddr,
    _server: Arc<Server>,
}

/// Longest that a silent connection is held.
const SILENCE: Duration = Duration::from_secs(30);
/// Shortest time between two reads of the weight store.
const WEIGHTS_INTERVAL: Duration = Duration::from_millis(200);

impl PlatformStandIn {
    /// Starts the stand-in on a free port.
    pub fn start() -> Self {
        Self::start_at("127.0.0.1:0".parse().expect("address"))
    }

    /// Starts the stand-in at an address.
    pub fn start_at(listen: SocketAddr) -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = state.clone();
        let (server, address) = http::start(listen, move |request| serve(&shared, request));
        PlatformStandIn {
            state,
            address,
            _server: server,
        }
    }

    /// Base address.
    pub fn base(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.lock().expect("state").faults = faults;
    }

    /// Reads and writes of the table so far.
    pub fn calls(&self) -> (u64, u64) {
        let state = self.state.lock().expect("state");
        (state.reads, state.writes)
    }

    /// Value of a row.
    pub fn row(&self, key: &str) -> Option<String> {
        let state = self.state.lock().expect("state");
        state.rows.get(key).map(|r| r.1.clone())
    }
}

fn serve(state: &Mutex<State>, mut request: Request) {
    let url = request.url().to_owned();
    let faults = state.lock().expect("state").faults.clone();
    if url == "/fault" {
        if let Some(faults) = http::read_json(&mut request) {
            state.lock().expect("state").faults = faults;
        }
        return http::json(request, 200, &true);
    }
    if faults.slow_ms > 0 {
        std::thread::sleep(Duration::from_millis(faults.slow_ms));
    }
    if faults.silent {
        std::thread::sleep(SILENCE);
        return http::hang_up(request);
    }
    if faults.down {
        return http::json(request, 503, &"down");
    }
    match (request.method().clone(), url.as_str()) {
        (Method::Post, "/table/read") => read(state, request),
        (Method::Post, "/table/write") => write(state, request, faults.lose_every),
        (Method::Get, "/instances") => http::json(request, 200, &list(state, faults.list_lag_ms)),
        (Method::Post, "/instances") => {
            if let Some(listing) = http::read_json::<Listing>(&mut request) {
                let mut state = state.lock().expect("state");
                state.instances.insert(listing.id.to_string(), listing);
            }
            http::json(request, 200, &true);
        }
        (Method::Get, path) if path.starts_with("/weights/") => weights(state, request),
        (method, path) if path.starts_with("/objects/") => {
            let key = path.trim_start_matches("/objects/").to_owned();
            object(state, request, &method, key);
        }
        _ => http::json(request, 404, &"not found"),
    }
}

fn read(state: &Mutex<State>, mut request: Request) {
    let keys: Vec<String> = http::read_json(&mut request).unwrap_or_default();
    let mut state = state.lock().expect("state");
    state.reads += keys.len() as u64;
    let rows: Vec<Option<Row>> = keys.iter().map(|key| row(&state, key)).collect();
    drop(state);
    http::json(request, 200, &rows);
}

fn row(state: &State, key: &str) -> Option<Row> {
    let (version, value) = state.rows.get(key)?;
    Some(Row {
        version: *version,
        value: value.clone(),
    })
}

fn write(state: &Mutex<State>, mut request: Request, lose_every: u64) {
    let writes: Vec<Write> = http::read_json(&mut request).unwrap_or_default();
    let mut state = state.lock().expect("state");
    let mut results = Vec::new();
    for write in writes {
        let found = state.rows.get(write.key.as_str()).map_or(0, |r| r.0);
        if found != write.expect {
            results.push(Written::Conflict(row(&state, &write.key)));
            continue;
        }
        let new = (found + 1, write.value);
        state.rows.insert(write.key.to_string(), new);
        results.push(Written::Ok(found + 1));
    }
    state.writes += 1;
    let is_lost = lose_every > 0 && state.writes.is_multiple_of(lose_every);
    drop(state);
    if is_lost {
        return http::hang_up(request);
    }
    http::json(request, 200, &results);
}

fn list(state: &Mutex<State>, lag_ms: u64) -> Vec<Listing> {
    let mut state = state.lock().expect("state");
    let lag = Duration::from_millis(lag_ms);
    if state.listed_at.is_none_or(|at| at.elapsed() >= lag) {
        state.listed = state.instances.values().cloned().collect();
        state.listed_at = Some(Instant::now());
    }
    state.listed.clone()
}

/// The weight store allows one read at an interval.
fn weights(state: &Mutex<State>, request: Request) {
    let mut state = state.lock().expect("state");
    let is_early = state
        .weights_at
        .is_some_and(|at| at.elapsed() < WEIGHTS_INTERVAL);
    if is_early {
        drop(state);
        return http::json(request, 429, &"too many reads");
    }
    state.weights_at = Some(Instant::now());
    drop(state);
    http::json(request, 200, &"weights");
}

fn object(state: &Mutex<State>, mut request: Request, method: &Method, key: String) {
    if *method == Method::Put {
        let body = http::read_bytes(&mut request);
        state.lock().expect("state").objects.insert(key, body);
        return http::json(request, 200, &true);
    }
    let found = state.lock().expect("state").objects.get(&key).cloned();
    match found {
        Some(body) => {
            let _ = request.respond(Response::from_data(body));
        }
        None => http::json(request, 404, &"not found"),
    }
}
