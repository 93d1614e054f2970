//! Promises, checked by what callers and targets saw.

use super::caller::{Call, EVENTS, Kind};
use super::world::{KEY_AGE, Keys, Run};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time between a decision and a target's note of the request: what was sent
/// in time may come this much later, over slowed connections twice so.
const ON_ITS_WAY: Duration = Duration::from_millis(700);
/// Time after an unplanned fault in which requests may still fail by it: the
/// bound on a configuration's age, and a second.
const AFTERMATH: Duration = Duration::from_secs(4);
/// Workspace of every key.
const WORKSPACE: &str = "acme";

/// Everything that was seen of one run.
pub struct Evidence<'a> {
    /// What callers sent and got.
    pub calls: &'a [Call],
    /// What targets saw.
    pub runs: &'a [Run],
    /// Keys and when they were taken away.
    pub keys: &'a Keys,
    /// Unplanned faults: from and to.
    pub unplanned: &'a [(Instant, Instant)],
}

/// Lists the promises that were broken.
pub fn judge(evidence: &Evidence<'_>) -> Vec<String> {
    let mut runs: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in evidence.runs {
        runs.entry(&run.id).or_default().push(run);
    }
    let mut findings = Vec::new();
    let mut known: BTreeMap<&str, &Call> = BTreeMap::new();
    for call in evidence.calls {
        known.insert(&call.id, call);
        let ran = runs.get(call.id.as_str()).map_or(&[][..], Vec::as_slice);
        let broken = [
            twice(call, ran),
            refused(call, ran),
            mixed(call),
            key(call, ran, evidence.keys),
            lost(call, ran, evidence.unplanned),
        ];
        let story = || {
            let answer = (
                call.answer.status,
                call.answer.is_complete,
                &call.answer.body,
            );
            let ran: Vec<_> = ran.iter().map(|r| (r.target, r.at - call.sent)).collect();
            let took = call.ended - call.sent;
            format!(
                "{} at {}: {answer:?} in {took:?}, ran {ran:?}",
                call.id, call.at
            )
        };
        let broken = broken.into_iter().flatten();
        findings.extend(broken.map(|rule| format!("{rule}: {}", story())));
    }
    for run in evidence.runs {
        let asked = known.get(run.id.as_str());
        if asked.is_none_or(|call| call.path != run.path) || run.workspace != WORKSPACE {
            findings.push(format!("UNASKED: {run:?}"));
        }
    }
    findings
}

/// What runs once at most ran twice.
fn twice(call: &Call, ran: &[&Run]) -> Option<&'static str> {
    (call.kind == Kind::Order && ran.len() > 1).then_some("TWICE")
}

/// A refusal says that nothing ran, and something had.
fn refused(call: &Call, ran: &[&Run]) -> Option<&'static str> {
    let says_not_run = matches!(call.answer.status, 401 | 404 | 503);
    (says_not_run && !ran.is_empty()).then_some("REFUSED")
}

/// An answer that looks whole is another one, or lacks something.
fn mixed(call: &Call) -> Option<&'static str> {
    let answer = &call.answer;
    if answer.status != 200 || !answer.is_complete {
        return None;
    }
    let expected = match call.kind {
        Kind::Stream => standin::event_stream(1, EVENTS),
        Kind::Read | Kind::Order => format!("{} {}", call.id, call.path),
    };
    (answer.body != expected || answer.attempt() != Some(&call.id)).then_some("MIXED")
}

/// A request ran by a key that had been taken away for too long.
fn key(call: &Call, ran: &[&Run], keys: &Keys) -> Option<&'static str> {
    let taken = keys.taken_away(call.key)?;
    let limit = taken + KEY_AGE + ON_ITS_WAY;
    ran.iter().any(|r| r.at > limit).then_some("CONFIG")
}

/// A request was cut though nothing but planned work was on.
fn lost(call: &Call, ran: &[&Run], unplanned: &[(Instant, Instant)]) -> Option<&'static str> {
    let answer = &call.answer;
    // A connection that the instance has just closed as idle took no request.
    let is_idle_close = call.kept && answer.status == 0 && ran.is_empty();
    if answer.is_complete || is_idle_close {
        return None;
    }
    let meets =
        |(from, to): &(Instant, Instant)| call.ended >= *from && call.sent <= *to + AFTERMATH;
    (!unplanned.iter().any(meets)).then_some("LOST")
}
