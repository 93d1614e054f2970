//! Callers that keep their connections open and note what they get.

use super::world::Keys;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standin::caller::{self, Request, Response};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Events of a stream.
pub const EVENTS: u64 = 6;
/// Time for which a caller says that it waits: the routes' own limit.
const WAIT: Duration = Duration::from_secs(6);
/// Longest that it waits.
const LIMIT: Duration = Duration::from_secs(8);
/// Time for which an answer of the directory is kept.
const LOOKUP: Duration = Duration::from_secs(1);
/// Pause between two requests of one caller, at most.
const PAUSE_MS: u64 = 60;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It may run more than once.
    Read,
    /// It runs once at most.
    Order,
    /// A stream that may go on at another target.
    Stream,
}

/// One request and what came of it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Attempt.
    pub id: String,
    /// Kind.
    pub kind: Kind,
    /// Path.
    pub path: String,
    /// Place of the key among all that were ever given out.
    pub key: usize,
    /// Instance.
    pub at: SocketAddr,
    /// When it was sent.
    pub sent: Instant,
    /// When its answer was over.
    pub ended: Instant,
    /// Whether the connection had served a request before.
    pub kept: bool,
    /// Response.
    pub answer: Response,
}

/// What callers share.
pub(super) struct Field {
    pub(super) directories: Vec<SocketAddr>,
    pub(super) keys: Arc<Keys>,
    pub(super) calls: Mutex<Vec<Call>>,
    pub(super) is_over: AtomicBool,
}

/// Sends requests until the run is over.
pub(super) fn run(field: &Field, seed: u64, name: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ ((name as u64 + 1) << 32));
    let mut instances: Vec<SocketAddr> = Vec::new();
    let mut asked = Instant::now();
    let mut open: Option<(SocketAddr, TcpStream)> = None;
    let mut number = 0;
    while !field.is_over.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(rng.random_range(0..PAUSE_MS)));
        if instances.is_empty() || asked.elapsed() > LOOKUP {
            let directory = field.directories[rng.random_range(0..field.directories.len())];
            if let Some(found) = caller::resolve(directory, LOOKUP) {
                instances = found;
                asked = Instant::now();
            }
        }
        if instances.is_empty() {
            continue;
        }
        let kept = open.is_some();
        let at = instances[rng.random_range(0..instances.len())];
        let connect = || TcpStream::connect_timeout(&at, LOOKUP).ok();
        let Some((at, mut stream)) = open.take().or_else(|| Some((at, connect()?))) else {
            instances.retain(|i| *i != at);
            continue;
        };
        number += 1;
        let mut call = request(
            field,
            &mut rng,
            &format!("s{seed}-{name}-{number}"),
            at,
            &mut stream,
        );
        call.kept = kept;
        let is_kept = call.answer.is_complete && call.answer.header("connection") != Some("close");
        field.calls.lock().expect("calls").push(call);
        // Most connections are kept for as long as the instance takes requests.
        if is_kept && rng.random_bool(0.9) {
            open = Some((at, stream));
        }
    }
}

fn request(
    field: &Field,
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
    let (place, key) = field.keys.draw(rng);
    let request = Request {
        method,
        path: &path,
        attempt: id,
        key: &key,
        timeout: WAIT,
        extra_headers: "",
        body: "",
    };
    let sent = Instant::now();
    let answer = caller::send(stream, &request.to_http(), LIMIT);
    Call {
        id: id.to_owned(),
        kind,
        path,
        key: place,
        at,
        sent,
        ended: Instant::now(),
        kept: false,
        answer,
    }
}
