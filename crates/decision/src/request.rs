//! The life of one request at the instance that received it.

use crate::error::Execution;
use crate::id::{GrantId, TargetId};
use crate::message::DenyCode;
use std::collections::BTreeSet;

/// Failed connections or broken answers of one target before it is avoided.
const TRIES_A_TARGET: u32 = 2;

/// What is fixed of a request from its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptPolicy {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Most attempts.
    pub max_attempts: u32,
}

/// Something that happened to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// It has a slot.
    Granted {
        /// Grant.
        grant: GrantId,
        /// Target.
        target: TargetId,
    },
    /// It gets no slot.
    Denied(DenyCode),
    /// A byte of it may have left for the target.
    Sending(u32),
    /// The attempt did not run: no connection, or the target said so.
    NotRun(u32),
    /// An event of the answer came.
    Event {
        /// Attempt that the answer echoes.
        attempt: u32,
        /// Position of the event in the answer.
        index: u64,
        /// Whether it is the end mark.
        last: bool,
    },
    /// The target answered that the request failed there.
    Failed {
        /// Attempt.
        attempt: u32,
        /// Whether another target may do better.
        transient: bool,
    },
    /// The connection ended before the end mark.
    Incomplete(u32),
    /// The connection has been silent for too long.
    TimedOut(u32),
    /// The caller has gone.
    Cancelled,
    /// The request's time is over.
    DeadlineExceeded,
}

/// Something to do for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestAction {
    /// Ask for a slot.
    RequestSlot {
        /// Targets not to use.
        avoid: Vec<TargetId>,
        /// Whether this draws on the retry budget.
        retry: bool,
    },
    /// Withdraw the ask for a slot.
    CancelSlotRequest,
    /// Send the request to a target over a new connection.
    Dispatch {
        /// Number of the attempt.
        attempt: u32,
        /// Target.
        target: TargetId,
        /// Events of the answer that are not wanted again.
        offset: u64,
    },
    /// Give the event that just came to the caller.
    Deliver,
    /// Close the connection of an attempt, which cancels it at the target.
    Disconnect(u32),
    /// Free the slot.
    Release {
        /// Grant.
        grant: GrantId,
        /// Target.
        target: TargetId,
        /// Whether the answer was whole.
        complete: bool,
    },
    /// The request is over.
    Finish(RequestOutcome),
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The answer was delivered whole.
    Done,
    /// It was refused.
    Refused(DenyCode, Execution),
    /// It failed at its targets.
    Failed(Execution),
    /// The caller has gone.
    Cancelled,
    /// Its time is over.
    DeadlineExceeded(Execution),
}

impl RequestOutcome {
    /// Whether it is certain that the request did not run.
    pub fn has_not_run(self) -> bool {
        matches!(
            self,
            RequestOutcome::Refused(_, Execution::NotRun)
                | RequestOutcome::Failed(Execution::NotRun)
                | RequestOutcome::DeadlineExceeded(Execution::NotRun)
        )
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Asking,
    Running {
        grant: GrantId,
        target: TargetId,
        attempt: u32,
        tries: u32,
        left: bool,
    },
    Over,
}

/// State machine of one request.
///
/// An answer is delivered only if it echoes the live attempt and continues
/// where the last delivered event ended, so that late, crossed, doubled and
/// cut answers never reach the caller.
#[derive(Clone, Debug)]
pub struct Request {
    policy: AttemptPolicy,
    state: State,
    attempts: u32,
    delivered: u64,
    may_have_run: bool,
    avoid: BTreeSet<TargetId>,
    stale: u64,
}

impl Request {
    /// Starts a request; the caller then asks for a slot.
    pub fn new(policy: AttemptPolicy) -> (Self, Vec<RequestAction>) {
        let request = Request {
            policy,
            state: State::Asking,
            attempts: 0,
            delivered: 0,
            may_have_run: false,
            avoid: BTreeSet::new(),
            stale: 0,
        };
        let ask = RequestAction::RequestSlot {
            avoid: Vec::new(),
            retry: false,
        };
        (request, vec![ask])
    }

    /// Events delivered to the caller.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Attempts made.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Inputs of attempts that are not live, which were dropped.
    pub fn stale(&self) -> u64 {
        self.stale
    }

    /// Whether the request is over.
    pub fn is_over(&self) -> bool {
        self.state == State::Over
    }

    /// Whether the request ran: the only place that may say that it did not.
    fn ran(&self) -> Execution {
        let left = matches!(self.state, State::Running { left: true, .. });
        match () {
            () if self.delivered > 0 => Execution::Ran,
            () if self.may_have_run || left => Execution::Unknown,
            () => Execution::NotRun,
        }
    }

    /// Takes what happened and says what to do.
    pub fn handle(&mut self, input: RequestEvent) -> Vec<RequestAction> {
        match (&self.state, input) {
            // A slot that came too late, or twice.
            (State::Over | State::Running { .. }, RequestEvent::Granted { grant, target }) => {
                vec![RequestAction::Release {
                    grant,
                    target,
                    complete: false,
                }]
            }
            (State::Over, _) => self.drop_stale(),
            (_, RequestEvent::Cancelled) => self.finish(RequestOutcome::Cancelled, false),
            (_, RequestEvent::DeadlineExceeded) => {
                let outcome = RequestOutcome::DeadlineExceeded(self.ran());
                self.finish(outcome, false)
            }
            (State::Asking, RequestEvent::Granted { grant, target }) => {
                self.dispatch(grant, target, 0)
            }
            (State::Asking, RequestEvent::Denied(code)) => {
                let outcome = RequestOutcome::Refused(code, self.ran());
                self.finish(outcome, false)
            }
            (State::Running { attempt, .. }, input) if input.attempt() == Some(*attempt) => {
                self.running(&input)
            }
            _ => self.drop_stale(),
        }
    }

    fn drop_stale(&mut self) -> Vec<RequestAction> {
        self.stale += 1;
        Vec::new()
    }

    fn running(&mut self, input: &RequestEvent) -> Vec<RequestAction> {
        match input {
            RequestEvent::Sending(_) => {
                if let State::Running { left, .. } = &mut self.state {
                    *left = true;
                }
                Vec::new()
            }
            RequestEvent::NotRun(_) => {
                if let State::Running { left, .. } = &mut self.state {
                    *left = false;
                }
                self.leave_target()
            }
            RequestEvent::Event { index, last, .. } => self.event(*index, *last),
            RequestEvent::Failed { transient, .. } => {
                self.may_have_run = true;
                let has_attempts = self.attempts < self.policy.max_attempts;
                if *transient && self.policy.repeatable && has_attempts {
                    return self.leave_target();
                }
                self.finish(RequestOutcome::Failed(Execution::Ran), false)
            }
            RequestEvent::Incomplete(_) | RequestEvent::TimedOut(_) => self.interrupted(),
            _ => self.drop_stale(),
        }
    }

    fn event(&mut self, index: u64, last: bool) -> Vec<RequestAction> {
        match () {
            () if index < self.delivered => self.drop_stale(),
            // A gap: something before this event was lost on the way.
            () if index > self.delivered => self.interrupted(),
            () if last => {
                self.delivered += 1;
                let mut actions = vec![RequestAction::Deliver];
                actions.extend(self.finish(RequestOutcome::Done, true));
                actions
            }
            () => {
                self.delivered += 1;
                vec![RequestAction::Deliver]
            }
        }
    }

    /// Goes on over a new connection, or on another target.
    fn interrupted(&mut self) -> Vec<RequestAction> {
        let State::Running {
            grant,
            target,
            attempt,
            tries,
            left,
        } = self.state.clone()
        else {
            return Vec::new();
        };
        self.may_have_run |= left;
        if !left || (self.policy.repeatable && tries >= TRIES_A_TARGET) {
            return self.leave_target();
        }
        if !self.policy.repeatable || self.attempts >= self.policy.max_attempts {
            let outcome = RequestOutcome::Failed(self.ran());
            return self.finish(outcome, false);
        }
        let mut actions = vec![RequestAction::Disconnect(attempt)];
        actions.extend(self.dispatch(grant, target, tries));
        actions
    }

    /// Frees the target and asks for another one, where attempts are left.
    fn leave_target(&mut self) -> Vec<RequestAction> {
        let State::Running {
            grant,
            target,
            attempt,
            left,
            ..
        } = self.state.clone()
        else {
            return Vec::new();
        };
        self.may_have_run |= left;
        let may_repeat = self.policy.repeatable || !self.may_have_run;
        if !may_repeat || self.attempts >= self.policy.max_attempts {
            let outcome = RequestOutcome::Failed(self.ran());
            return self.finish(outcome, false);
        }
        self.avoid.insert(target.clone());
        self.state = State::Asking;
        vec![
            RequestAction::Disconnect(attempt),
            RequestAction::Release {
                grant,
                target,
                complete: false,
            },
            RequestAction::RequestSlot {
                avoid: self.avoid.iter().cloned().collect(),
                retry: true,
            },
        ]
    }

    fn dispatch(&mut self, grant: GrantId, target: TargetId, tries: u32) -> Vec<RequestAction> {
        self.attempts += 1;
        self.state = State::Running {
            grant,
            target: target.clone(),
            attempt: self.attempts,
            tries: tries + 1,
            left: false,
        };
        vec![RequestAction::Dispatch {
            attempt: self.attempts,
            target,
            offset: self.delivered,
        }]
    }

    fn finish(&mut self, outcome: RequestOutcome, complete: bool) -> Vec<RequestAction> {
        let state = std::mem::replace(&mut self.state, State::Over);
        let mut actions = Vec::new();
        match state {
            State::Running {
                grant,
                target,
                attempt,
                ..
            } => {
                if !complete {
                    actions.push(RequestAction::Disconnect(attempt));
                }
                actions.push(RequestAction::Release {
                    grant,
                    target,
                    complete,
                });
            }
            State::Asking => actions.push(RequestAction::CancelSlotRequest),
            State::Over => {}
        }
        actions.push(RequestAction::Finish(outcome));
        actions
    }
}

impl RequestEvent {
    fn attempt(&self) -> Option<u32> {
        match self {
            RequestEvent::Sending(attempt)
            | RequestEvent::NotRun(attempt)
            | RequestEvent::Event { attempt, .. }
            | RequestEvent::Failed { attempt, .. }
            | RequestEvent::Incomplete(attempt)
            | RequestEvent::TimedOut(attempt) => Some(*attempt),
            _ => None,
        }
    }
}
