//! Claims under crashes of instances and faults of the platform's table.

mod support;

use decision::{Claim, ClaimAction, ClaimEvent, ClaimRow, ClaimState};
use proptest::prelude::*;

/// The table's one row with its version, and writes that are not applied yet.
#[derive(Default)]
struct Table {
    row: Option<(u64, ClaimRow)>,
    delayed: Vec<(u64, ClaimRow)>,
}

impl Table {
    fn write(&mut self, expect: u64, row: &ClaimRow) -> Result<u64, Option<(u64, ClaimRow)>> {
        let found = self.row.as_ref().map_or(0, |r| r.0);
        if found != expect {
            return Err(self.row.clone());
        }
        self.row = Some((found + 1, row.clone()));
        Ok(found + 1)
    }
}

/// Fault of the table during one call.
#[derive(Clone, Copy, Debug)]
enum CallFault {
    None,
    /// The write is applied and its result is lost.
    ResultLost,
    /// The result is lost and the write is applied later or never.
    AppliedLate,
    /// The call fails without effect.
    Unavailable,
}

fn call_fault() -> impl Strategy<Value = CallFault> {
    prop_oneof![
        5 => Just(CallFault::None),
        2 => Just(CallFault::ResultLost),
        2 => Just(CallFault::AppliedLate),
        2 => Just(CallFault::Unavailable),
    ]
}

/// An operation of an attempt, the caller or the table.
#[derive(Clone, Copy, Debug)]
enum Operation {
    /// An attempt carries out its next action, under a fault.
    Step(usize, CallFault),
    /// The instance of an attempt crashes.
    Crash(usize),
    /// The caller repeats the request, which starts a new attempt.
    Resend,
    /// A delayed write is applied.
    ApplyDelayed(usize),
    /// A dispatched request fails before any byte of it was sent, so that its
    /// claim is voided.
    Void(usize),
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        12 => (0..6usize, call_fault()).prop_map(|(i, f)| Operation::Step(i, f)),
        1 => (0..6usize).prop_map(Operation::Crash),
        3 => Just(Operation::Resend),
        3 => (0..4usize).prop_map(Operation::ApplyDelayed),
        1 => (0..6usize).prop_map(Operation::Void),
    ]
}

/// An attempt at the request with its own claim.
struct Attempt {
    claim: Claim,
    action: ClaimAction,
    version: u64,
    dispatched: bool,
    crashed: bool,
}

/// The table and all attempts at one request.
#[derive(Default)]
struct Simulation {
    table: Table,
    attempts: Vec<Attempt>,
    /// Dispatched requests without those whose claim was voided.
    runs: usize,
}

impl Simulation {
    fn add_attempt(&mut self) {
        let token = format!("token-{}", self.attempts.len()).into();
        let (claim, action) = Claim::new(token, 7);
        self.attempts.push(Attempt {
            claim,
            action,
            version: 0,
            dispatched: false,
            crashed: false,
        });
    }

    fn step(&mut self, i: usize, fault: CallFault) {
        let table = &mut self.table;
        let Some(attempt) = self.attempts.get_mut(i).filter(|s| !s.crashed) else {
            return;
        };
        let input = match (&attempt.action, fault) {
            (ClaimAction::Insert(_), CallFault::Unavailable)
            | (
                ClaimAction::Read,
                CallFault::Unavailable | CallFault::ResultLost | CallFault::AppliedLate,
            ) => ClaimEvent::Down,
            (ClaimAction::Read, CallFault::None) => {
                attempt.version = table.row.as_ref().map_or(0, |r| r.0);
                ClaimEvent::Row(table.row.as_ref().map(|r| r.1.clone()))
            }
            (ClaimAction::Insert(row), CallFault::AppliedLate) => {
                table.delayed.push((attempt.version, row.clone()));
                ClaimEvent::Lost
            }
            (ClaimAction::Insert(row), fault) => {
                let written = table.write(attempt.version, row);
                match (written, fault) {
                    (_, CallFault::ResultLost) => ClaimEvent::Lost,
                    (Ok(_), _) => ClaimEvent::Written,
                    (Err(found), _) => {
                        attempt.version = found.as_ref().map_or(0, |r| r.0);
                        ClaimEvent::Conflict(found.map(|r| r.1))
                    }
                }
            }
            (ClaimAction::Dispatch, _) if !attempt.dispatched => {
                attempt.dispatched = true;
                self.runs += 1;
                return;
            }
            _ => return,
        };
        attempt.action = attempt.claim.handle(input);
    }

    /// Undoes the dispatch of a request that was never sent, by voiding its claim
    /// in the table.
    fn void(&mut self, i: usize) {
        let Some(attempt) = self
            .attempts
            .get_mut(i)
            .filter(|s| s.dispatched && !s.crashed)
        else {
            return;
        };
        let token = &attempt.claim.row().token;
        let Some((version, row)) = self.table.row.clone() else {
            return;
        };
        if row.token != *token || row.state != ClaimState::Claimed {
            return;
        }
        let void = ClaimRow {
            state: ClaimState::Void,
            ..row
        };
        if self.table.write(version, &void).is_ok() {
            self.runs -= 1;
            attempt.crashed = true;
        }
    }
}

proptest! {
    #![proptest_config(support::config(50_000))]

    /// Guards against a request that runs twice, whatever faults the table has,
    /// whichever instances crash and however often the caller repeats the request.
    #[test]
    fn a_claim_runs_at_most_once(ops in proptest::collection::vec(operation(), 1..80)) {
        let mut simulation = Simulation::default();
        simulation.add_attempt();
        for op in ops {
            match op {
                Operation::Step(i, fault) => simulation.step(i, fault),
                Operation::Crash(i) => {
                    if let Some(attempt) = simulation.attempts.get_mut(i) {
                        attempt.crashed = true;
                    }
                }
                Operation::Resend if simulation.attempts.len() < 6 => simulation.add_attempt(),
                Operation::ApplyDelayed(i) if !simulation.table.delayed.is_empty() => {
                    let index = i % simulation.table.delayed.len();
                    let (expect, row) = simulation.table.delayed.remove(index);
                    let _ = simulation.table.write(expect, &row);
                }
                Operation::Resend | Operation::ApplyDelayed(_) => {}
                Operation::Void(i) => simulation.void(i),
            }
            prop_assert!(simulation.runs <= 1, "ran {} times", simulation.runs);
        }
    }
}

#[test]
fn a_repeated_request_gets_the_stored_response() {
    let (mut claim, _) = Claim::new("b".into(), 7);
    let done = ClaimRow {
        token: "a".into(),
        digest: 7,
        state: ClaimState::Done {
            status: 200,
            body: Some("{}".to_owned()),
        },
    };
    let action = claim.handle(ClaimEvent::Conflict(Some(done)));
    let body = Some("{}".to_owned());
    assert_eq!(action, ClaimAction::Repeat { status: 200, body });
}

#[test]
fn a_key_used_for_another_request_is_a_mismatch() {
    let (mut claim, _) = Claim::new("b".into(), 7);
    let other = ClaimRow {
        token: "a".into(),
        digest: 8,
        state: ClaimState::Claimed,
    };
    assert_eq!(
        claim.handle(ClaimEvent::Conflict(Some(other))),
        ClaimAction::Mismatch
    );
}

#[test]
fn a_lost_write_result_is_resolved_by_reading() {
    let (mut claim, _) = Claim::new("a".into(), 7);
    assert_eq!(claim.handle(ClaimEvent::Lost), ClaimAction::Read);
    let row = claim.row().clone();
    assert_eq!(
        claim.handle(ClaimEvent::Row(Some(row))),
        ClaimAction::Dispatch
    );
}
