//! Callers that reuse their connections and record every response.

use super::testbed::Keys;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standin::caller::{self, Request, Response};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Number of events of a streamed response.
pub const STREAM_EVENTS: u64 = 6;
/// Timeout that a request carries; equals the limit of the routes.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after which a caller stops waiting for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time for which a lookup result is used.
const LOOKUP_TTL: Duration = Duration::from_secs(1);
/// Timeout of a lookup and of connecting to an instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest pause between two requests of one caller, in milliseconds.
const MAX_PAUSE_MS: u64 = 60;

/// Kind of a request, by how often it may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Runs once or more; retries are allowed.
    Read,
    /// Runs once at most.
    Order,
    /// Streams events; another target may resume it.
    Stream,
}

/// One request and its response, as the caller saw them.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request id.
    pub id: String,
    /// Kind of the request.
    pub kind: Kind,
    /// Path of the request.
    pub path: String,
    /// Index of the API key in [`Keys`].
    pub key_index: usize,
    /// Address of the instance.
    pub instance: SocketAddr,
    /// When it was sent.
    pub sent: Instant,
    /// When the response was complete or had failed.
    pub ended: Instant,
    /// Whether the connection had carried a request before.
    pub reused: bool,
    /// Response, as far as it was received.
    pub response: Response,
}

/// State that all callers of a run share.
pub(super) struct CallerContext {
    pub(super) directories: Vec<SocketAddr>,
    pub(super) keys: Arc<Keys>,
    pub(super) calls: Mutex<Vec<Call>>,
    pub(super) is_over: AtomicBool,
}

/// Sends requests one after another until the run is over.
pub(super) fn run(context: &CallerContext, seed: u64, index: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ ((index as u64 + 1) << 32));
    let mut instances: Vec<SocketAddr> = Vec::new();
    let mut looked_up = Instant::now();
    let mut open: Option<(SocketAddr, TcpStream)> = None;
    let mut number = 0;
    while !context.is_over.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)));
        if instances.is_empty() || looked_up.elapsed() > LOOKUP_TTL {
            let directory = context.directories[rng.random_range(0..context.directories.len())];
            if let Some(found) = caller::resolve(directory, CONNECT_TIMEOUT) {
                instances = found;
                looked_up = Instant::now();
            }
        }
        if instances.is_empty() {
            continue;
        }
        let reused = open.is_some();
        let at = instances[rng.random_range(0..instances.len())];
        let connect = || TcpStream::connect_timeout(&at, CONNECT_TIMEOUT).ok();
        let Some((at, mut stream)) = open.take().or_else(|| Some((at, connect()?))) else {
            instances.retain(|i| *i != at);
            continue;
        };
        number += 1;
        let mut call = send_request(
            context,
            &mut rng,
            &format!("s{seed}-{index}-{number}"),
            at,
            &mut stream,
        );
        call.reused = reused;
        let is_reusable =
            call.response.is_complete && call.response.header("connection") != Some("close");
        context.calls.lock().expect("calls").push(call);
        // Reuses most connections unless the instance asks to close them.
        if is_reusable && rng.random_bool(0.9) {
            open = Some((at, stream));
        }
    }
}

fn send_request(
    context: &CallerContext,
    rng: &mut ChaCha8Rng,
    id: &str,
    at: SocketAddr,
    stream: &mut TcpStream,
) -> Call {
    let (kind, prefix, method) = match rng.random_range(0..10) {
        0..4 => (Kind::Read, "read", "GET"),
        4..7 => (Kind::Order, "order", "POST"),
        _ => (Kind::Stream, "resume", "GET"),
    };
    let path = format!("/{prefix}/{id}");
    let (key_index, key) = context.keys.draw(rng);
    let request = Request {
        method,
        path: &path,
        attempt: id,
        key: &key,
        timeout: REQUEST_TIMEOUT,
        extra_headers: "",
        body: "",
    };
    let sent = Instant::now();
    let response = caller::send(stream, &request.to_http(), RESPONSE_TIMEOUT);
    Call {
        id: id.to_owned(),
        kind,
        path,
        key_index,
        instance: at,
        sent,
        ended: Instant::now(),
        reused: false,
        response,
    }
}
