//! Detection of requests under which targets crash.

use crate::SharedGateway;
use crate::admitted::AdmittedRequest;
use crate::attempt::CallerRequest;
use decision::{Admission, Fingerprint, Pick, Time, hash_parts};
use hyper::HeaderMap;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use platform::requests::CallerHead;
use serde_json::json;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Times from the loss of a connection to the checks of its target. One that has
/// crashed may take a moment to stop listening.
const CHECK_DELAYS: [Duration; 3] = [
    Duration::from_millis(10),
    Duration::from_millis(100),
    Duration::from_millis(400),
];
/// Timeout of each check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time from the first event of a stream after which its request does not crash the
/// target: one that does may send an event before it is gone.
const PROOF_TIME: Duration = Duration::from_millis(500);

/// Returns the fingerprints of a request: those of its prompt's shared parts, and
/// one of the whole request.
pub(crate) fn fingerprints(
    request: &CallerRequest,
    head: &CallerHead,
    admission: &Admission,
) -> Vec<Fingerprint> {
    let path = request.uri.path_and_query().map_or("", |p| p.as_str());
    let whole = hash_parts(&[
        b"request",
        admission
            .workspace
            .as_deref()
            .unwrap_or_default()
            .as_bytes(),
        request.method.as_str().as_bytes(),
        head.host.as_bytes(),
        path.as_bytes(),
        &head.prompt_hash.unwrap_or_default().to_le_bytes(),
        &request.body,
    ]);
    let parts = head.prompt_parts.iter().copied();
    parts.chain([whole]).collect()
}

/// Formats a fingerprint for logs.
pub(crate) fn hex(fingerprint: Fingerprint) -> String {
    format!("{fingerprint:016x}")
}

/// Checks in the background whether the target of an attempt has crashed. To be called
/// where the connection ended before the response was under way.
pub(crate) fn check_target(request: &AdmittedRequest, pick: &Pick) {
    check(request, pick, false);
}

/// Checks the target of an attempt as [`check_target`] does. If it is up, a response
/// that seems complete is.
fn check(request: &AdmittedRequest, pick: &Pick, seems_complete: bool) {
    let (lease, address) = (pick.lease.clone(), pick.address);
    let gateway = request.gateway.clone();
    let attempt = request.head.attempt.clone();
    let fingerprints = request.fingerprints.clone();
    let lost_at = gateway.now();
    let is_leaving = gateway.router.borrow().is_leaving(&lease);
    tokio::task::spawn_local(async move {
        let is_down = is_down(address).await;
        if seems_complete && !is_down {
            let mut router = gateway.router.borrow_mut();
            return router.record_begin(gateway.now(), &fingerprints);
        }
        if is_down && !is_leaving {
            let mut router = gateway.router.borrow_mut();
            router.record_crash(gateway.now(), &lease, lost_at, &fingerprints);
        }
        let label = match is_down {
            true if is_leaving => "left",
            true => "down",
            false => "up",
        };
        gateway.metrics.count("lost_targets", label);
        gateway.event_log.request(true, || {
            let fingerprints: Vec<String> = fingerprints.iter().copied().map(hex).collect();
            json!({
                "event": "attempt lost", "id": attempt, "target": lease.target,
                "down": is_down, "leaving": is_leaving, "fingerprints": fingerprints,
            })
        });
    });
}

/// Records the complete success of a request. Where its end is that of the
/// connection, a crash of the target looks the same, so that the target is checked
/// before.
pub(crate) fn record_response(request: &AdmittedRequest, pick: &Pick, ends_with_connection: bool) {
    if ends_with_connection {
        return check(request, pick, true);
    }
    let mut router = request.gateway.router.borrow_mut();
    router.record_begin(request.gateway.now(), &request.fingerprints);
}

/// Returns whether the end of a response's body is that of its connection.
pub(crate) fn ends_with_connection(headers: &HeaderMap) -> bool {
    !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}

/// What a stream from one target tells of crashes so far.
#[derive(Clone, Debug)]
pub(crate) struct StreamProgress {
    /// Choice of the target.
    pick: Pick,
    ends_with_connection: bool,
    /// Time of the first event.
    since: Option<Time>,
    /// Whether the request is known not to crash its target.
    is_proved: bool,
}

impl StreamProgress {
    /// Starts with the head of the response.
    pub(crate) fn new(headers: &HeaderMap, pick: Pick) -> Self {
        StreamProgress {
            pick,
            ends_with_connection: ends_with_connection(headers),
            since: None,
            is_proved: false,
        }
    }

    /// Records an event.
    pub(crate) fn record_event(&mut self, request: &AdmittedRequest) {
        let now = request.gateway.now();
        let since = *self.since.get_or_insert(now);
        if !self.is_proved && now.saturating_sub(since) >= PROOF_TIME {
            self.is_proved = true;
            record_response(request, &self.pick, false);
        }
    }

    /// Records that the stream has ended as if it were complete.
    pub(crate) fn record_complete(&mut self, request: &AdmittedRequest) {
        if self.since.is_some() && !self.is_proved {
            self.is_proved = true;
            record_response(request, &self.pick, self.ends_with_connection);
        }
    }

    /// Records that the connection was closed or reset before the end of the stream.
    pub(crate) fn record_loss(&self, request: &AdmittedRequest) {
        if !self.is_proved {
            check_target(request, &self.pick);
        }
    }
}

/// Logs the quarantines that have begun or ended.
pub(crate) fn log_changes(gateway: &SharedGateway) {
    let now = gateway.now();
    let changes = gateway.router.borrow_mut().quarantine_changes(now);
    for change in changes {
        let has_begun = change.time_left.is_some();
        let label = if has_begun { "begun" } else { "ended" };
        gateway.metrics.count("quarantines", label);
        gateway.event_log.state_change(&json!({
            "event": "quarantine", "fingerprint": hex(change.fingerprint),
            "begun": has_begun, "left_ms": change.time_left.map(|t| t.as_millis() as u64),
        }));
    }
}

/// Returns whether no process listens on the address of a target that has just
/// closed a connection.
async fn is_down(address: SocketAddr) -> bool {
    for delay in CHECK_DELAYS {
        tokio::time::sleep(delay).await;
        if refuses_connections(address).await {
            return true;
        }
    }
    false
}

async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
    match connected {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        // A connection that is accepted, or accepted and reset for want of room, shows
        // that the target is up; one that is not answered shows nothing.
        Ok(Ok(_)) | Err(_) => false,
    }
}
