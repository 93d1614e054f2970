//! Checks the guarantees of briargap by what callers and targets recorded.

use super::caller::{Call, Kind, STREAM_EVENTS};
use super::testbed::{Keys, MAX_KEY_AGE, Run};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Longest time between an instance's decision to send a request and its record
/// at the target; covers two delays of slowed connections.
const TRANSIT_TIME: Duration = Duration::from_millis(700);
/// Time after the end of an unplanned fault in which requests may still fail
/// because of it: [`MAX_KEY_AGE`] and a second.
const AFTER_FAULT: Duration = Duration::from_secs(4);
/// Workspace of every key.
const WORKSPACE: &str = "acme";

/// What callers and targets recorded in one run.
pub struct Observations<'a> {
    /// Requests of callers, with their responses.
    pub calls: &'a [Call],
    /// Requests that targets received.
    pub runs: &'a [Run],
    /// API keys and when each was revoked.
    pub keys: &'a Keys,
    /// Start and end of each unplanned fault.
    pub unplanned: &'a [(Instant, Instant)],
}

/// Returns a line for each guarantee that was broken.
pub fn check(observed: &Observations<'_>) -> Vec<String> {
    let mut runs: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in observed.runs {
        runs.entry(&run.id).or_default().push(run);
    }
    let mut findings = Vec::new();
    let mut calls: BTreeMap<&str, &Call> = BTreeMap::new();
    for call in observed.calls {
        calls.insert(&call.id, call);
        let ran = runs.get(call.id.as_str()).map_or(&[][..], Vec::as_slice);
        let failed = [
            twice(call, ran),
            refused(call, ran),
            mixed(call),
            key(call, ran, observed.keys),
            lost(call, ran, observed.unplanned),
        ];
        let details = || {
            let response = (
                call.response.status,
                call.response.is_complete,
                &call.response.body,
            );
            let ran: Vec<_> = ran.iter().map(|r| (r.target, r.at - call.sent)).collect();
            let duration = call.ended - call.sent;
            format!(
                "{} at {}: {response:?} in {duration:?}, ran {ran:?}",
                call.id, call.instance
            )
        };
        let failed = failed.into_iter().flatten();
        findings.extend(failed.map(|rule| format!("{rule}: {}", details())));
    }
    for run in observed.runs {
        let call = calls.get(run.id.as_str());
        if call.is_none_or(|call| call.path != run.path) || run.workspace != WORKSPACE {
            findings.push(format!("UNASKED: {run:?}"));
        }
    }
    findings
}

/// An order, which may run once at most, ran more than once.
fn twice(call: &Call, ran: &[&Run]) -> Option<&'static str> {
    (call.kind == Kind::Order && ran.len() > 1).then_some("TWICE")
}

/// A response with a status that means "not run" came although the request had run.
fn refused(call: &Call, ran: &[&Run]) -> Option<&'static str> {
    let says_not_run = matches!(call.response.status, 401 | 404 | 503);
    (says_not_run && !ran.is_empty()).then_some("REFUSED")
}

/// A response that looks complete belongs to another request or lacks a part.
fn mixed(call: &Call) -> Option<&'static str> {
    let response = &call.response;
    if response.status != 200 || !response.is_complete {
        return None;
    }
    let expected = match call.kind {
        Kind::Stream => standin::event_stream(1, STREAM_EVENTS),
        Kind::Read | Kind::Order => format!("{} {}", call.id, call.path),
    };
    (response.body != expected || response.attempt() != Some(&call.id)).then_some("MIXED")
}

/// A request ran although its key had been revoked for longer than allowed.
fn key(call: &Call, ran: &[&Run], keys: &Keys) -> Option<&'static str> {
    let revoked = keys.revoked_at(call.key_index)?;
    let limit = revoked + MAX_KEY_AGE + TRANSIT_TIME;
    ran.iter().any(|r| r.at > limit).then_some("CONFIG")
}

/// A request got no complete response although no unplanned fault explains it.
fn lost(call: &Call, ran: &[&Run], unplanned: &[(Instant, Instant)]) -> Option<&'static str> {
    let response = &call.response;
    // The instance closed the idle connection just before the request was sent.
    let is_idle_close = call.reused && response.status == 0 && ran.is_empty();
    if response.is_complete || is_idle_close {
        return None;
    }
    let may_cause =
        |(from, to): &(Instant, Instant)| call.ended >= *from && call.sent <= *to + AFTER_FAULT;
    (!unplanned.iter().any(may_cause)).then_some("LOST")
}
