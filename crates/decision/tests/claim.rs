//! Claims: two instances, one table that loses answers, goes down and is late.

mod support;

use decision::{Claim, ClaimAction, ClaimEvent, ClaimRow, ClaimState};
use proptest::prelude::*;

/// The table's one row, and writes that are still on their way.
#[derive(Default)]
struct Table {
    row: Option<(u64, ClaimRow)>,
    late: Vec<(u64, ClaimRow)>,
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

/// How the table treats one call.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// The write takes effect and its answer is lost.
    Lost,
    /// The answer is lost and the write takes effect later, or never.
    Late,
    /// The call is refused.
    Down,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        5 => Just(Fault::None),
        2 => Just(Fault::Lost),
        2 => Just(Fault::Late),
        2 => Just(Fault::Down),
    ]
}

#[derive(Clone, Copy, Debug)]
enum Op {
    /// A sender takes its next step, under a fault.
    Step(usize, Fault),
    /// A sender's instance dies.
    Die(usize),
    /// The caller sends the request again, to a new sender.
    Resend,
    /// A late write arrives.
    Arrive(usize),
    /// The request of a sender that dispatched is refused before it left, so
    /// that its claim is voided.
    Void(usize),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        12 => (0..6usize, fault()).prop_map(|(i, f)| Op::Step(i, f)),
        1 => (0..6usize).prop_map(Op::Die),
        3 => Just(Op::Resend),
        3 => (0..4usize).prop_map(Op::Arrive),
        1 => (0..6usize).prop_map(Op::Void),
    ]
}

struct Sender {
    claim: Claim,
    step: ClaimAction,
    version: u64,
    dispatched: bool,
    dead: bool,
}

#[derive(Default)]
struct World {
    table: Table,
    senders: Vec<Sender>,
    /// Runs that were not disowned.
    runs: usize,
}

impl World {
    fn send(&mut self) {
        let token = format!("token-{}", self.senders.len()).into();
        let (claim, step) = Claim::new(token, 7);
        self.senders.push(Sender {
            claim,
            step,
            version: 0,
            dispatched: false,
            dead: false,
        });
    }

    fn step(&mut self, i: usize, fault: Fault) {
        let table = &mut self.table;
        let Some(sender) = self.senders.get_mut(i).filter(|s| !s.dead) else {
            return;
        };
        let input = match (&sender.step, fault) {
            (ClaimAction::Insert(_), Fault::Down)
            | (ClaimAction::Read, Fault::Down | Fault::Lost | Fault::Late) => ClaimEvent::Down,
            (ClaimAction::Read, Fault::None) => {
                sender.version = table.row.as_ref().map_or(0, |r| r.0);
                ClaimEvent::Row(table.row.as_ref().map(|r| r.1.clone()))
            }
            (ClaimAction::Insert(row), Fault::Late) => {
                table.late.push((sender.version, row.clone()));
                ClaimEvent::Lost
            }
            (ClaimAction::Insert(row), fault) => {
                let written = table.write(sender.version, row);
                match (written, fault) {
                    (_, Fault::Lost) => ClaimEvent::Lost,
                    (Ok(_), _) => ClaimEvent::Written,
                    (Err(found), _) => {
                        sender.version = found.as_ref().map_or(0, |r| r.0);
                        ClaimEvent::Conflict(found.map(|r| r.1))
                    }
                }
            }
            (ClaimAction::Dispatch, _) if !sender.dispatched => {
                sender.dispatched = true;
                self.runs += 1;
                return;
            }
            _ => return,
        };
        sender.step = sender.claim.handle(input);
    }

    /// Disowns a run that never left, and voids its claim in the table.
    fn void(&mut self, i: usize) {
        let Some(sender) = self.senders.get_mut(i).filter(|s| s.dispatched && !s.dead) else {
            return;
        };
        let token = &sender.claim.row().token;
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
            sender.dead = true;
        }
    }
}

proptest! {
    #![proptest_config(support::config(50_000))]

    /// Whatever the table does, whoever dies and however often the caller
    /// sends again, the request runs at most once.
    #[test]
    fn a_claim_runs_at_most_once(ops in proptest::collection::vec(op(), 1..80)) {
        let mut world = World::default();
        world.send();
        for op in ops {
            match op {
                Op::Step(i, fault) => world.step(i, fault),
                Op::Die(i) => {
                    if let Some(sender) = world.senders.get_mut(i) {
                        sender.dead = true;
                    }
                }
                Op::Resend if world.senders.len() < 6 => world.send(),
                Op::Arrive(i) if !world.table.late.is_empty() => {
                    let at = i % world.table.late.len();
                    let (expect, row) = world.table.late.remove(at);
                    let _ = world.table.write(expect, &row);
                }
                Op::Resend | Op::Arrive(_) => {}
                Op::Void(i) => world.void(i),
            }
            prop_assert!(world.runs <= 1, "ran {} times", world.runs);
        }
    }
}

#[test]
fn a_repeat_gets_the_answer_of_the_first() {
    let (mut claim, _) = Claim::new("b".into(), 7);
    let done = ClaimRow {
        token: "a".into(),
        digest: 7,
        state: ClaimState::Done {
            status: 200,
            body: Some("{}".to_owned()),
        },
    };
    let step = claim.handle(ClaimEvent::Conflict(Some(done)));
    let body = Some("{}".to_owned());
    assert_eq!(step, ClaimAction::Repeat { status: 200, body });
}

#[test]
fn a_key_of_another_request_is_refused() {
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
fn a_lost_answer_is_settled_by_reading_back() {
    let (mut claim, _) = Claim::new("a".into(), 7);
    assert_eq!(claim.handle(ClaimEvent::Lost), ClaimAction::Read);
    let row = claim.row().clone();
    assert_eq!(
        claim.handle(ClaimEvent::Row(Some(row))),
        ClaimAction::Dispatch
    );
}
