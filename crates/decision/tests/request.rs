//! The life of a request: what is delivered, how often it runs, what is said.

mod support;

use decision::{
    AttemptPolicy, DenyCode, Execution, GrantId, Request, RequestAction, RequestEvent,
    RequestOutcome,
};
use proptest::prelude::*;

/// Events of a whole answer, the end mark included.
const LENGTH: u64 = 5;

/// What a target, the fleet or the caller does next.
#[derive(Clone, Copy, Debug)]
enum Move {
    Grant,
    GrantAgain,
    Deny,
    Left,
    NotRun,
    Event,
    /// An event of an attempt that is no longer live.
    LateEvent,
    /// The last event once more.
    Doubled,
    /// An event is skipped.
    Gap,
    Broken,
    LateBroken,
    Silent,
    Failed {
        transient: bool,
    },
    Withdrawn,
    Expired,
}

fn any_move() -> impl Strategy<Value = Move> {
    prop_oneof![
        6 => Just(Move::Grant),
        1 => Just(Move::GrantAgain),
        1 => Just(Move::Deny),
        6 => Just(Move::Left),
        1 => Just(Move::NotRun),
        10 => Just(Move::Event),
        2 => Just(Move::LateEvent),
        2 => Just(Move::Doubled),
        1 => Just(Move::Gap),
        2 => Just(Move::Broken),
        1 => Just(Move::LateBroken),
        2 => Just(Move::Silent),
        1 => any::<bool>().prop_map(|transient| Move::Failed { transient }),
        1 => Just(Move::Withdrawn),
        1 => Just(Move::Expired),
    ]
}

/// The world around one request: what truly ran and what the caller has.
struct World {
    request: Request,
    policy: AttemptPolicy,
    live: Option<(u32, u64)>,
    /// Attempts of which a byte has left and that the target did not disown.
    ran: Vec<u32>,
    delivered: Vec<u64>,
    open: Vec<GrantId>,
    next_grant: GrantId,
    asking: bool,
    staged: Option<u64>,
    outcome: Option<RequestOutcome>,
}

impl World {
    fn new(policy: AttemptPolicy) -> Self {
        let (request, actions) = Request::new(policy);
        let mut world = World {
            request,
            policy,
            live: None,
            ran: Vec::new(),
            delivered: Vec::new(),
            open: Vec::new(),
            next_grant: 0,
            asking: false,
            staged: None,
            outcome: None,
        };
        world.carry_out(actions);
        world
    }

    fn input(&mut self, input: RequestEvent) {
        let actions = self.request.handle(input);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<RequestAction>) {
        for action in actions {
            assert!(self.outcome.is_none(), "{action:?} after the end");
            match action {
                RequestAction::RequestSlot { .. } => self.asking = true,
                RequestAction::CancelSlotRequest => self.asking = false,
                RequestAction::Dispatch {
                    attempt, offset, ..
                } => {
                    assert_eq!(offset, self.delivered.len() as u64);
                    assert!(attempt <= self.policy.max_attempts, "too many attempts");
                    self.live = Some((attempt, offset));
                }
                RequestAction::Deliver => {
                    let index = self.staged.take().expect("an event to deliver");
                    assert_eq!(index, self.delivered.len() as u64, "out of order");
                    self.delivered.push(index);
                }
                RequestAction::Disconnect(_) => self.live = None,
                RequestAction::Release { grant, .. } => {
                    let at = self.open.iter().position(|g| *g == grant);
                    self.open.remove(at.expect("released once"));
                }
                RequestAction::Finish(outcome) => self.outcome = Some(outcome),
            }
        }
    }

    fn grant(&mut self) {
        self.next_grant += 1;
        self.open.push(self.next_grant);
        self.input(RequestEvent::Granted {
            grant: self.next_grant,
            target: format!("t{}", self.next_grant).into(),
        });
    }

    fn step(&mut self, step: Move) {
        let has_left = self.live.is_some_and(|(a, _)| self.ran.contains(&a));
        match (step, self.live) {
            (Move::Grant, _) if self.asking => {
                self.asking = false;
                self.grant();
            }
            // A slot may come twice, but only before the end.
            (Move::GrantAgain, _) if self.outcome.is_none() => {
                let was_asking = std::mem::take(&mut self.asking);
                self.grant();
                self.asking = was_asking && self.live.is_none() && self.outcome.is_none();
            }
            (Move::Deny, _) if self.asking => {
                self.asking = false;
                self.input(RequestEvent::Denied(DenyCode::Overloaded));
            }
            (Move::Left, Some((attempt, _))) if !has_left => {
                self.ran.push(attempt);
                self.input(RequestEvent::Sending(attempt));
            }
            (Move::NotRun, Some((attempt, next))) if next == self.delivered.len() as u64 => {
                // Before an answer begins, the target may say that it did not run.
                if !self.delivered.is_empty() {
                    return;
                }
                self.ran.retain(|a| *a != attempt);
                self.input(RequestEvent::NotRun(attempt));
            }
            (Move::Event, Some((attempt, next))) if has_left && next < LENGTH => {
                self.staged = Some(next);
                self.live = Some((attempt, next + 1));
                self.event(attempt, next);
            }
            (Move::Doubled, Some((attempt, next))) if has_left && next > 0 => {
                self.staged = Some(next - 1);
                self.event(attempt, next - 1);
            }
            (Move::Gap, Some((attempt, next))) if has_left && next + 1 < LENGTH => {
                self.staged = Some(next + 1);
                self.live = Some((attempt, next + 2));
                self.event(attempt, next + 1);
            }
            (Move::LateEvent, _) => {
                let live = self.live.map_or(u32::MAX, |l| l.0);
                self.staged = None;
                self.event(live.wrapping_sub(1), self.delivered.len() as u64);
            }
            (Move::LateBroken, Some((attempt, _))) => {
                self.input(RequestEvent::Incomplete(attempt - 1));
            }
            (Move::Broken, Some((attempt, _))) => self.input(RequestEvent::Incomplete(attempt)),
            (Move::Silent, Some((attempt, _))) => self.input(RequestEvent::TimedOut(attempt)),
            (Move::Failed { transient }, Some((attempt, _))) if has_left => {
                self.input(RequestEvent::Failed { attempt, transient });
            }
            (Move::Withdrawn, _) if self.outcome.is_none() => self.input(RequestEvent::Cancelled),
            (Move::Expired, _) if self.outcome.is_none() => {
                self.input(RequestEvent::DeadlineExceeded);
            }
            _ => {}
        }
    }

    fn event(&mut self, attempt: u32, index: u64) {
        self.input(RequestEvent::Event {
            attempt,
            index,
            last: index + 1 == LENGTH,
        });
    }

    fn check(&self) {
        let runs = self.ran.len();
        if !self.policy.repeatable {
            assert!(runs <= 1, "ran {runs} times");
        }
        let whole: Vec<u64> = (0..LENGTH).collect();
        match self.outcome {
            Some(RequestOutcome::Done) => assert_eq!(self.delivered, whole, "cut, but told whole"),
            Some(_) => assert!(self.delivered.len() < whole.len()),
            None => {}
        }
        if let Some(outcome) = self.outcome {
            assert!(self.open.is_empty(), "slots are left: {:?}", self.open);
            if outcome.has_not_run() {
                assert_eq!(runs, 0, "told not run, but ran");
            }
        }
    }
}

proptest! {
    #![proptest_config(support::config(50_000))]

    /// At most one run where it may not be repeated, one delivery in order,
    /// nothing cut told whole, nothing that ran told not run, no slot kept.
    #[test]
    fn request_is_sound(
        repeatable in any::<bool>(),
        attempts in 1..5u32,
        moves in proptest::collection::vec(any_move(), 1..60),
    ) {
        let mut world = World::new(AttemptPolicy { repeatable, max_attempts: attempts });
        for step in moves {
            world.step(step);
            world.check();
        }
    }
}

#[test]
fn a_broken_answer_goes_on_at_its_offset() {
    let mut world = World::new(AttemptPolicy {
        repeatable: true,
        max_attempts: 3,
    });
    for step in [
        Move::Grant,
        Move::Left,
        Move::Event,
        Move::Event,
        Move::Broken,
    ] {
        world.step(step);
    }
    assert_eq!(
        world.live,
        Some((2, 2)),
        "a new connection, from the third event"
    );
    for step in [Move::Left, Move::Event, Move::Event, Move::Event] {
        world.step(step);
    }
    world.check();
    assert_eq!(world.outcome, Some(RequestOutcome::Done));
}

#[test]
fn an_order_that_may_have_run_is_not_sent_again() {
    let mut world = World::new(AttemptPolicy {
        repeatable: false,
        max_attempts: 4,
    });
    for step in [Move::Grant, Move::Left, Move::Silent] {
        world.step(step);
    }
    assert_eq!(
        world.outcome,
        Some(RequestOutcome::Failed(Execution::Unknown))
    );
}

#[test]
fn an_order_that_was_never_sent_goes_to_another_target() {
    let mut world = World::new(AttemptPolicy {
        repeatable: false,
        max_attempts: 4,
    });
    for step in [Move::Grant, Move::NotRun, Move::Grant, Move::Deny] {
        world.step(step);
    }
    assert_eq!(world.live.map(|l| l.0), Some(2));
}

#[test]
fn a_refusal_without_an_attempt_says_not_run() {
    let mut world = World::new(AttemptPolicy {
        repeatable: true,
        max_attempts: 4,
    });
    world.step(Move::Deny);
    let outcome = RequestOutcome::Refused(DenyCode::Overloaded, Execution::NotRun);
    assert_eq!(world.outcome, Some(outcome));
}
