//! The checks of `bench soak` report every broken guarantee, and only those.

use bench::soak::{Call, Keys, Kind, MAX_KEY_AGE, Observations, Run, STREAM_EVENTS, check};
use standin::caller::Response;
use standin::event_stream;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

/// A request that was served correctly, and its record at the target.
fn served(kind: Kind) -> (Call, Run) {
    let now = Instant::now();
    let path = "/any/a".to_owned();
    let body = match kind {
        Kind::Stream => event_stream(1, STREAM_EVENTS),
        Kind::Read | Kind::Order => format!("a {path}"),
    };
    let call = Call {
        id: "a".to_owned(),
        kind,
        path: path.clone(),
        key_index: 0,
        instance: "127.0.0.1:1".parse().expect("an address"),
        sent: now,
        ended: now + SECOND,
        reused: false,
        response: Response::complete(200, "a", &body),
    };
    let run = Run {
        at: now,
        id: "a".to_owned(),
        path,
        workspace: "acme".to_owned(),
        target: 0,
    };
    (call, run)
}

/// Names of the checks that fail for these calls and runs.
fn failed_checks(
    calls: &[Call],
    runs: &[Run],
    keys: &Keys,
    unplanned: &[(Instant, Instant)],
) -> Vec<String> {
    let findings = check(&Observations {
        calls,
        runs,
        keys,
        unplanned,
    });
    let names = findings.iter().filter_map(|f| f.split(':').next());
    names.map(str::to_owned).collect()
}

#[test]
fn correctly_served_requests_pass() {
    for kind in [Kind::Read, Kind::Order, Kind::Stream] {
        let (call, run) = served(kind);
        assert!(failed_checks(&[call], &[run], &Keys::default(), &[]).is_empty());
    }
}

#[test]
fn order_that_ran_twice_fails_but_read_passes() {
    let (call, run) = served(Kind::Order);
    let keys = Keys::default();
    assert_eq!(
        failed_checks(&[call], &[run.clone(), run], &keys, &[]),
        ["TWICE"]
    );
    let (call, run) = served(Kind::Read);
    assert!(failed_checks(&[call], &[run.clone(), run], &keys, &[]).is_empty());
}

#[test]
fn refusal_of_request_that_ran_fails() {
    let (mut call, run) = served(Kind::Read);
    call.response = Response::complete(503, "a", "");
    assert_eq!(
        failed_checks(&[call], &[run], &Keys::default(), &[]),
        ["REFUSED"]
    );
}

#[test]
fn wrong_and_truncated_responses_fail() {
    let keys = Keys::default();
    let (mut call, run) = served(Kind::Read);
    call.response = Response::complete(200, "b", "b /any/b");
    assert_eq!(failed_checks(&[call], &[run], &keys, &[]), ["MIXED"]);
    let (mut call, run) = served(Kind::Stream);
    call.response = Response::complete(200, "a", &event_stream(2, STREAM_EVENTS));
    assert_eq!(failed_checks(&[call], &[run], &keys, &[]), ["MIXED"]);
}

#[test]
fn request_with_long_revoked_key_fails() {
    let keys = Keys::default();
    keys.add();
    keys.revoke_old();
    let (call, mut run) = served(Kind::Read);
    run.at += MAX_KEY_AGE;
    let calls = [call];
    assert!(failed_checks(&calls, std::slice::from_ref(&run), &keys, &[]).is_empty());
    run.at += SECOND;
    assert_eq!(failed_checks(&calls, &[run], &keys, &[]), ["CONFIG"]);
}

#[test]
fn cut_request_fails_unless_unplanned_fault_overlaps() {
    let keys = Keys::default();
    let (mut call, run) = served(Kind::Read);
    call.response.is_complete = false;
    let calls = [call.clone()];
    let runs = [run];
    assert_eq!(failed_checks(&calls, &runs, &keys, &[]), ["LOST"]);
    let fault = (call.sent, call.ended);
    assert!(failed_checks(&calls, &runs, &keys, &[fault]).is_empty());
    let long_over = call.sent.checked_sub(SECOND * 10).expect("a running clock");
    assert_eq!(
        failed_checks(&calls, &runs, &keys, &[(long_over, long_over)]),
        ["LOST"]
    );
}

#[test]
fn close_of_idle_connection_passes_unless_request_ran() {
    let (mut call, run) = served(Kind::Read);
    call.response = Response::default();
    call.reused = true;
    let calls = [call];
    let keys = Keys::default();
    assert!(failed_checks(&calls, &[], &keys, &[]).is_empty());
    assert_eq!(failed_checks(&calls, &[run], &keys, &[]), ["LOST"]);
}

#[test]
fn run_without_matching_call_fails() {
    let (call, mut run) = served(Kind::Read);
    let keys = Keys::default();
    assert_eq!(
        failed_checks(&[], std::slice::from_ref(&run), &keys, &[]),
        ["UNASKED"]
    );
    run.workspace = "another".to_owned();
    assert_eq!(failed_checks(&[call], &[run], &keys, &[]), ["UNASKED"]);
}
