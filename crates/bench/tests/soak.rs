//! The soak's checks see each promise broken.

use bench::soak::{Call, EVENTS, Evidence, KEY_AGE, Keys, Kind, Run, judge};
use standin::caller::Response;
use standin::event_stream;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

/// A request that was served as it should be, and its run.
fn served(kind: Kind) -> (Call, Run) {
    let now = Instant::now();
    let path = "/any/a".to_owned();
    let body = match kind {
        Kind::Stream => event_stream(1, EVENTS),
        Kind::Read | Kind::Order => format!("a {path}"),
    };
    let call = Call {
        id: "a".to_owned(),
        kind,
        path: path.clone(),
        key: 0,
        at: "127.0.0.1:1".parse().expect("an address"),
        sent: now,
        ended: now + SECOND,
        kept: false,
        answer: Response::complete(200, "a", &body),
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

/// Names of the promises that these calls and runs break.
fn broken(
    calls: &[Call],
    runs: &[Run],
    keys: &Keys,
    unplanned: &[(Instant, Instant)],
) -> Vec<String> {
    let findings = judge(&Evidence {
        calls,
        runs,
        keys,
        unplanned,
    });
    let names = findings.iter().filter_map(|f| f.split(':').next());
    names.map(str::to_owned).collect()
}

#[test]
fn what_was_served_as_it_should_be_breaks_nothing() {
    for kind in [Kind::Read, Kind::Order, Kind::Stream] {
        let (call, run) = served(kind);
        assert!(broken(&[call], &[run], &Keys::default(), &[]).is_empty());
    }
}

#[test]
fn an_order_that_ran_twice_is_seen_and_a_read_may_run_twice() {
    let (call, run) = served(Kind::Order);
    let keys = Keys::default();
    assert_eq!(broken(&[call], &[run.clone(), run], &keys, &[]), ["TWICE"]);
    let (call, run) = served(Kind::Read);
    assert!(broken(&[call], &[run.clone(), run], &keys, &[]).is_empty());
}

#[test]
fn a_refusal_of_what_ran_is_seen() {
    let (mut call, run) = served(Kind::Read);
    call.answer = Response::complete(503, "a", "");
    assert_eq!(broken(&[call], &[run], &Keys::default(), &[]), ["REFUSED"]);
}

#[test]
fn another_answer_and_one_that_lacks_an_event_are_seen() {
    let keys = Keys::default();
    let (mut call, run) = served(Kind::Read);
    call.answer = Response::complete(200, "b", "b /any/b");
    assert_eq!(broken(&[call], &[run], &keys, &[]), ["MIXED"]);
    let (mut call, run) = served(Kind::Stream);
    call.answer = Response::complete(200, "a", &event_stream(2, EVENTS));
    assert_eq!(broken(&[call], &[run], &keys, &[]), ["MIXED"]);
}

#[test]
fn a_key_that_was_taken_away_for_too_long_is_seen() {
    let keys = Keys::default();
    keys.add();
    keys.take_away_old();
    let (call, mut run) = served(Kind::Read);
    run.at += KEY_AGE;
    let calls = [call];
    assert!(broken(&calls, std::slice::from_ref(&run), &keys, &[]).is_empty());
    run.at += SECOND;
    assert_eq!(broken(&calls, &[run], &keys, &[]), ["CONFIG"]);
}

#[test]
fn a_request_that_is_cut_while_nothing_but_planned_work_is_on_is_seen() {
    let keys = Keys::default();
    let (mut call, run) = served(Kind::Read);
    call.answer.is_complete = false;
    let calls = [call.clone()];
    let runs = [run];
    assert_eq!(broken(&calls, &runs, &keys, &[]), ["LOST"]);
    let fault = (call.sent, call.ended);
    assert!(broken(&calls, &runs, &keys, &[fault]).is_empty());
    let long_over = call.sent.checked_sub(SECOND * 10).expect("a running clock");
    assert_eq!(
        broken(&calls, &runs, &keys, &[(long_over, long_over)]),
        ["LOST"]
    );
}

#[test]
fn a_connection_that_closed_as_idle_took_no_request() {
    let (mut call, run) = served(Kind::Read);
    call.answer = Response::default();
    call.kept = true;
    let calls = [call];
    let keys = Keys::default();
    assert!(broken(&calls, &[], &keys, &[]).is_empty());
    assert_eq!(broken(&calls, &[run], &keys, &[]), ["LOST"]);
}

#[test]
fn a_request_that_nobody_sent_is_seen() {
    let (call, mut run) = served(Kind::Read);
    let keys = Keys::default();
    assert_eq!(
        broken(&[], std::slice::from_ref(&run), &keys, &[]),
        ["UNASKED"]
    );
    run.workspace = "another".to_owned();
    assert_eq!(broken(&[call], &[run], &keys, &[]), ["UNASKED"]);
}
