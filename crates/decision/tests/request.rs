//! Properties of a request's state machine: delivered events, number of runs and
//! reported outcome.

mod support;

use decision::{
    AttemptPolicy, DenyCode, Execution, GrantId, Request, RequestAction, RequestEvent,
    RequestOutcome,
};
use proptest::prelude::*;

/// Events of a complete response, including its end.
const RESPONSE_EVENTS: u64 = 5;

/// Next action of a target, a steward or the caller.
#[derive(Clone, Copy, Debug)]
enum Step {
    Grant,
    GrantTwice,
    Deny,
    Sending,
    NotRun,
    Event,
    /// An event of an earlier attempt.
    StaleEvent,
    /// The last event again.
    RepeatedEvent,
    /// An event is lost, and the next one arrives.
    Gap,
    Incomplete,
    StaleIncomplete,
    TimedOut,
    Failed {
        transient: bool,
    },
    Cancelled,
    DeadlineExceeded,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => Just(Step::Grant),
        1 => Just(Step::GrantTwice),
        1 => Just(Step::Deny),
        6 => Just(Step::Sending),
        1 => Just(Step::NotRun),
        10 => Just(Step::Event),
        2 => Just(Step::StaleEvent),
        2 => Just(Step::RepeatedEvent),
        1 => Just(Step::Gap),
        2 => Just(Step::Incomplete),
        1 => Just(Step::StaleIncomplete),
        2 => Just(Step::TimedOut),
        1 => any::<bool>().prop_map(|transient| Step::Failed { transient }),
        1 => Just(Step::Cancelled),
        1 => Just(Step::DeadlineExceeded),
    ]
}

/// The target and the caller of one request, with what truly ran and what was
/// delivered.
struct Simulation {
    request: Request,
    policy: AttemptPolicy,
    /// Number of the current attempt, and index of its next event.
    current: Option<(u32, u64)>,
    /// Attempts that were sent and that the target did not report as not run.
    ran: Vec<u32>,
    delivered: Vec<u64>,
    /// Grants that are not released.
    grants: Vec<GrantId>,
    next_grant: GrantId,
    slot_requested: bool,
    /// Index of the event that was the last input.
    staged: Option<u64>,
    outcome: Option<RequestOutcome>,
}

impl Simulation {
    fn new(policy: AttemptPolicy) -> Self {
        let (request, actions) = Request::new(policy);
        let mut simulation = Simulation {
            request,
            policy,
            current: None,
            ran: Vec::new(),
            delivered: Vec::new(),
            grants: Vec::new(),
            next_grant: 0,
            slot_requested: false,
            staged: None,
            outcome: None,
        };
        simulation.carry_out(actions);
        simulation
    }

    fn input(&mut self, input: RequestEvent) {
        let actions = self.request.handle(input);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<RequestAction>) {
        for action in actions {
            assert!(self.outcome.is_none(), "{action:?} after the end");
            match action {
                RequestAction::RequestSlot { .. } => self.slot_requested = true,
                RequestAction::CancelSlotRequest => self.slot_requested = false,
                RequestAction::Dispatch {
                    attempt, offset, ..
                } => {
                    assert_eq!(offset, self.delivered.len() as u64);
                    assert!(attempt <= self.policy.max_attempts, "too many attempts");
                    self.current = Some((attempt, offset));
                }
                RequestAction::Deliver => {
                    let index = self.staged.take().expect("an event to deliver");
                    assert_eq!(index, self.delivered.len() as u64, "out of order");
                    self.delivered.push(index);
                }
                RequestAction::Disconnect(_) => self.current = None,
                RequestAction::Release { grant, .. } => {
                    let at = self.grants.iter().position(|g| *g == grant);
                    self.grants.remove(at.expect("released once"));
                }
                RequestAction::Finish(outcome) => self.outcome = Some(outcome),
            }
        }
    }

    fn grant(&mut self) {
        self.next_grant += 1;
        self.grants.push(self.next_grant);
        self.input(RequestEvent::Granted {
            grant: self.next_grant,
            target: format!("t{}", self.next_grant).into(),
        });
    }

    fn step(&mut self, step: Step) {
        let is_sending = self.current.is_some_and(|(a, _)| self.ran.contains(&a));
        match (step, self.current) {
            (Step::Grant, _) if self.slot_requested => {
                self.slot_requested = false;
                self.grant();
            }
            // A slot may be granted twice, but only before the end.
            (Step::GrantTwice, _) if self.outcome.is_none() => {
                let was_requested = std::mem::take(&mut self.slot_requested);
                self.grant();
                self.slot_requested =
                    was_requested && self.current.is_none() && self.outcome.is_none();
            }
            (Step::Deny, _) if self.slot_requested => {
                self.slot_requested = false;
                self.input(RequestEvent::Denied(DenyCode::Overloaded));
            }
            (Step::Sending, Some((attempt, _))) if !is_sending => {
                self.ran.push(attempt);
                self.input(RequestEvent::Sending(attempt));
            }
            (Step::NotRun, Some((attempt, next))) if next == self.delivered.len() as u64 => {
                // Only before a response begins may the target report that the
                // request did not run.
                if !self.delivered.is_empty() {
                    return;
                }
                self.ran.retain(|a| *a != attempt);
                self.input(RequestEvent::NotRun(attempt));
            }
            (Step::Event, Some((attempt, next))) if is_sending && next < RESPONSE_EVENTS => {
                self.staged = Some(next);
                self.current = Some((attempt, next + 1));
                self.event(attempt, next);
            }
            (Step::RepeatedEvent, Some((attempt, next))) if is_sending && next > 0 => {
                self.staged = Some(next - 1);
                self.event(attempt, next - 1);
            }
            (Step::Gap, Some((attempt, next))) if is_sending && next + 1 < RESPONSE_EVENTS => {
                self.staged = Some(next + 1);
                self.current = Some((attempt, next + 2));
                self.event(attempt, next + 1);
            }
            (Step::StaleEvent, _) => {
                let attempt = self.current.map_or(u32::MAX, |l| l.0);
                self.staged = None;
                self.event(attempt.wrapping_sub(1), self.delivered.len() as u64);
            }
            (Step::StaleIncomplete, Some((attempt, _))) => {
                self.input(RequestEvent::Incomplete(attempt - 1));
            }
            (Step::Incomplete, Some((attempt, _))) => self.input(RequestEvent::Incomplete(attempt)),
            (Step::TimedOut, Some((attempt, _))) => self.input(RequestEvent::TimedOut(attempt)),
            (Step::Failed { transient }, Some((attempt, _))) if is_sending => {
                self.input(RequestEvent::Failed { attempt, transient });
            }
            (Step::Cancelled, _) if self.outcome.is_none() => self.input(RequestEvent::Cancelled),
            (Step::DeadlineExceeded, _) if self.outcome.is_none() => {
                self.input(RequestEvent::DeadlineExceeded);
            }
            _ => {}
        }
    }

    fn event(&mut self, attempt: u32, index: u64) {
        self.input(RequestEvent::Event {
            attempt,
            index,
            last: index + 1 == RESPONSE_EVENTS,
        });
    }

    fn check(&self) {
        let runs = self.ran.len();
        if !self.policy.repeatable {
            assert!(runs <= 1, "ran {runs} times");
        }
        let complete: Vec<u64> = (0..RESPONSE_EVENTS).collect();
        match self.outcome {
            Some(RequestOutcome::Done) => {
                assert_eq!(self.delivered, complete, "truncated but reported complete");
            }
            Some(_) => assert!(self.delivered.len() < complete.len()),
            None => {}
        }
        if let Some(outcome) = self.outcome {
            assert!(
                self.grants.is_empty(),
                "slots not released: {:?}",
                self.grants
            );
            if outcome.has_not_run() {
                assert_eq!(runs, 0, "reported not run but ran");
            }
        }
    }
}

proptest! {
    #![proptest_config(support::config(50_000))]

    /// Guards against a second run of a request that must not be repeated, events
    /// delivered twice or out of order, a truncated response reported as complete,
    /// a request that ran reported as not run, and slots that are never released.
    #[test]
    fn a_request_is_run_delivered_and_reported_correctly(
        repeatable in any::<bool>(),
        attempts in 1..5u32,
        steps in proptest::collection::vec(any_step(), 1..60),
    ) {
        let mut simulation = Simulation::new(AttemptPolicy { repeatable, max_attempts: attempts });
        for step in steps {
            simulation.step(step);
            simulation.check();
        }
    }
}

#[test]
fn an_incomplete_response_resumes_at_its_offset() {
    let mut simulation = Simulation::new(AttemptPolicy {
        repeatable: true,
        max_attempts: 3,
    });
    for step in [
        Step::Grant,
        Step::Sending,
        Step::Event,
        Step::Event,
        Step::Incomplete,
    ] {
        simulation.step(step);
    }
    assert_eq!(
        simulation.current,
        Some((2, 2)),
        "a new connection, from the third event"
    );
    for step in [Step::Sending, Step::Event, Step::Event, Step::Event] {
        simulation.step(step);
    }
    simulation.check();
    assert_eq!(simulation.outcome, Some(RequestOutcome::Done));
}

#[test]
fn a_non_repeatable_request_that_may_have_run_is_not_retried() {
    let mut simulation = Simulation::new(AttemptPolicy {
        repeatable: false,
        max_attempts: 4,
    });
    for step in [Step::Grant, Step::Sending, Step::TimedOut] {
        simulation.step(step);
    }
    assert_eq!(
        simulation.outcome,
        Some(RequestOutcome::Failed(Execution::Unknown))
    );
}

#[test]
fn a_non_repeatable_request_that_was_never_sent_is_retried() {
    let mut simulation = Simulation::new(AttemptPolicy {
        repeatable: false,
        max_attempts: 4,
    });
    for step in [Step::Grant, Step::NotRun, Step::Grant, Step::Deny] {
        simulation.step(step);
    }
    assert_eq!(simulation.current.map(|l| l.0), Some(2));
}

#[test]
fn a_request_denied_before_any_attempt_has_not_run() {
    let mut simulation = Simulation::new(AttemptPolicy {
        repeatable: true,
        max_attempts: 4,
    });
    simulation.step(Step::Deny);
    let outcome = RequestOutcome::Denied(DenyCode::Overloaded, Execution::NotRun);
    assert_eq!(simulation.outcome, Some(outcome));
}
