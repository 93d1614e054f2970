//! Stand-in of a plain service, which counts the runs of each call.

use serde::{Deserialize, Serialize};
use serde_json::json;
use standin::http;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tiny_http::{Header, Method, Request, Response, Server};

/// Longest time for which a silent connection is kept open.
const MAX_SILENCE: Duration = Duration::from_secs(30);

/// Fault switches of a plain service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Delay before a call runs, in milliseconds.
    pub slow_ms: u64,
    /// Number of next calls that run and whose responses are lost.
    pub lose: u32,
    /// Number of next calls that run and whose connections go silent.
    pub silent: u32,
    /// Number of next calls that are refused before they run.
    pub refuse: u32,
    /// Number of next calls that run and get the status 500.
    pub fail: u32,
}

/// Calls that a plain service has run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecords {
    /// Number of runs of each request body.
    pub runs: BTreeMap<String, u32>,
    /// Number of runs of each attempt.
    pub attempts: BTreeMap<String, u32>,
}

#[derive(Default)]
struct State {
    faults: ServiceFaults,
    records: ServiceRecords,
}

/// Stand-in of a plain service.
pub struct Service {
    state: Arc<Mutex<State>>,
    address: SocketAddr,
    _server: Arc<Server>,
}

impl Service {
    /// Starts the stand-in on a free port.
    pub fn start() -> Service {
        Service::start_at("127.0.0.1:0".parse().expect("address"))
    }

    /// Starts the stand-in at an address.
    pub fn start_at(listen: SocketAddr) -> Service {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = state.clone();
        let (server, address) = http::start(listen, move |request| serve(&shared, request));
        Service {
            state,
            address,
            _server: server,
        }
    }

    /// Returns the address at which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.state.lock().expect("state").faults = faults;
    }

    /// Returns what the service has recorded.
    pub fn records(&self) -> ServiceRecords {
        self.state.lock().expect("state").records.clone()
    }
}

/// Uses up one call of a fault that is set for a number of calls; returns whether
/// one was left.
fn consume(count: &mut u32) -> bool {
    let is_set = *count > 0;
    *count = count.saturating_sub(1);
    is_set
}

fn serve(state: &Mutex<State>, mut request: Request) {
    match (request.method().clone(), request.url()) {
        (Method::Post, "/fault") => {
            if let Some(faults) = http::read_json(&mut request) {
                state.lock().expect("state").faults = faults;
            }
            return http::respond_json(request, 200, &true);
        }
        (Method::Get, "/records") => {
            let records = state.lock().expect("state").records.clone();
            return http::respond_json(request, 200, &records);
        }
        _ => {}
    }
    let attempt = http::header(&request, "x-request-id").unwrap_or_default();
    let body = String::from_utf8_lossy(&http::read_bytes(&mut request)).into_owned();
    let slow_ms = state.lock().expect("state").faults.slow_ms;
    std::thread::sleep(Duration::from_millis(slow_ms));
    let mut guard = state.lock().expect("state");
    if consume(&mut guard.faults.refuse) {
        drop(guard);
        let header = Header::from_bytes("x-not-run", "true").expect("header");
        let response = Response::from_string("busy")
            .with_status_code(503)
            .with_header(header);
        let _ = request.respond(response);
        return;
    }
    *guard.records.runs.entry(body).or_insert(0) += 1;
    *guard.records.attempts.entry(attempt.clone()).or_insert(0) += 1;
    let number = guard.records.runs.len();
    let is_lost = consume(&mut guard.faults.lose);
    let is_silent = consume(&mut guard.faults.silent);
    let is_failed = consume(&mut guard.faults.fail);
    drop(guard);
    if is_lost {
        return http::disconnect(request);
    }
    if is_silent {
        std::thread::sleep(MAX_SILENCE);
        return http::disconnect(request);
    }
    let status = if is_failed { 500 } else { 200 };
    let header = Header::from_bytes("x-request-id", attempt).expect("header");
    let body = json!({ "accepted": !is_failed, "number": number });
    let json = Header::from_bytes("content-type", "application/json").expect("header");
    let response = Response::from_string(body.to_string())
        .with_status_code(status)
        .with_header(header)
        .with_header(json);
    let _ = request.respond(response);
}
