//! State machine of one request at its entry, the instance that received it.

use crate::error::Execution;
use crate::id::{GrantId, TargetId};
use crate::message::DenyCode;
use std::collections::BTreeSet;

/// Attempts at one target before the request moves to another one.
const MAX_TARGET_TRIES: u32 = 2;

/// Rules for the attempts at a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptPolicy {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Maximum number of attempts.
    pub max_attempts: u32,
}

/// An input of [`Request::handle`].
///
/// Attempts are identified by their number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// A slot was granted.
    Granted {
        /// Grant.
        grant: GrantId,
        /// Target.
        target: TargetId,
    },
    /// The slot request was denied.
    Denied(DenyCode),
    /// The attempt has begun to send, so the target may have received a byte.
    Sending(u32),
    /// The attempt did not run: the connection failed, or the target said so.
    NotRun(u32),
    /// An event of the response arrived.
    Event {
        /// Attempt that the response belongs to.
        attempt: u32,
        /// Position of the event in the response.
        index: u64,
        /// Whether it is the end of the response.
        last: bool,
    },
    /// The target responded with an error.
    Failed {
        /// Attempt.
        attempt: u32,
        /// Whether an attempt at another target may succeed.
        transient: bool,
    },
    /// The connection ended before the end of the response.
    Incomplete(u32),
    /// The target has sent nothing for too long.
    TimedOut(u32),
    /// The caller has cancelled the request or disconnected.
    Cancelled,
    /// The total time of the request is over.
    DeadlineExceeded,
}

/// An output of [`Request::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestAction {
    /// Request a slot.
    RequestSlot {
        /// Targets to avoid.
        avoid: Vec<TargetId>,
        /// Whether this is a retry, which draws on the retry budget.
        retry: bool,
    },
    /// Cancel the pending slot request.
    CancelSlotRequest,
    /// Send the request to a target over a new connection.
    Dispatch {
        /// Number of the attempt.
        attempt: u32,
        /// Target.
        target: TargetId,
        /// Events of the response that were delivered already.
        offset: u64,
    },
    /// Deliver the event that was the last input to the caller.
    Deliver,
    /// Close the connection of an attempt, which cancels it at the target.
    Disconnect(u32),
    /// Free the slot.
    Release {
        /// Grant.
        grant: GrantId,
        /// Target.
        target: TargetId,
        /// Whether the complete response was received.
        complete: bool,
    },
    /// End the request.
    Finish(RequestOutcome),
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The complete response was delivered.
    Done,
    /// Its slot request was denied.
    Denied(DenyCode, Execution),
    /// Its attempts failed.
    Failed(Execution),
    /// The caller cancelled it or disconnected.
    Cancelled,
    /// Its total time was over.
    DeadlineExceeded(Execution),
}

impl RequestOutcome {
    /// Whether it is certain that the request did not run.
    pub fn has_not_run(self) -> bool {
        matches!(
            self,
            RequestOutcome::Denied(_, Execution::NotRun)
                | RequestOutcome::Failed(Execution::NotRun)
                | RequestOutcome::DeadlineExceeded(Execution::NotRun)
        )
    }
}

/// State of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Waiting for a slot.
    Waiting,
    /// Holding a slot, with an attempt under way.
    Running {
        grant: GrantId,
        target: TargetId,
        attempt: u32,
        /// Attempts at this target, including the current one.
        tries: u32,
        /// Whether the current attempt has begun to send.
        maybe_sent: bool,
    },
    /// Ended.
    Over,
}

/// State machine of one request.
///
/// An event is delivered only if it belongs to the current attempt and follows
/// the last delivered event, so that late, repeated, truncated and foreign
/// responses never reach the caller.
#[derive(Clone, Debug)]
pub struct Request {
    policy: AttemptPolicy,
    state: State,
    attempts: u32,
    delivered: u64,
    /// Whether an earlier attempt may have run.
    may_have_run: bool,
    /// Targets of earlier attempts.
    avoid: BTreeSet<TargetId>,
    stale_inputs: u64,
}

impl Request {
    /// Creates a request and its first actions.
    pub fn new(policy: AttemptPolicy) -> (Self, Vec<RequestAction>) {
        let request = Request {
            policy,
            state: State::Waiting,
            attempts: 0,
            delivered: 0,
            may_have_run: false,
            avoid: BTreeSet::new(),
            stale_inputs: 0,
        };
        let slot_request = RequestAction::RequestSlot {
            avoid: Vec::new(),
            retry: false,
        };
        (request, vec![slot_request])
    }

    /// Returns the number of events delivered to the caller.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Returns the number of attempts made.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the number of inputs dropped because they belong to another
    /// attempt, repeat an event or arrived after the end.
    pub fn stale_inputs(&self) -> u64 {
        self.stale_inputs
    }

    /// Returns whether the request has ended.
    pub fn is_over(&self) -> bool {
        self.state == State::Over
    }

    /// Returns whether the request ran.
    ///
    /// No other code may report that a request did not run.
    fn execution(&self) -> Execution {
        let maybe_sent = matches!(
            self.state,
            State::Running {
                maybe_sent: true,
                ..
            }
        );
        match () {
            () if self.delivered > 0 => Execution::Ran,
            () if self.may_have_run || maybe_sent => Execution::Unknown,
            () => Execution::NotRun,
        }
    }

    /// Processes an input and returns the actions to carry out, in order.
    pub fn handle(&mut self, event: RequestEvent) -> Vec<RequestAction> {
        match (&self.state, event) {
            // A grant that came too late or twice.
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
                let outcome = RequestOutcome::DeadlineExceeded(self.execution());
                self.finish(outcome, false)
            }
            (State::Waiting, RequestEvent::Granted { grant, target }) => {
                self.dispatch(grant, target, 0)
            }
            (State::Waiting, RequestEvent::Denied(code)) => {
                let outcome = RequestOutcome::Denied(code, self.execution());
                self.finish(outcome, false)
            }
            (State::Running { attempt, .. }, event) if event.attempt() == Some(*attempt) => {
                self.handle_attempt(&event)
            }
            _ => self.drop_stale(),
        }
    }

    /// Counts an input that is ignored.
    fn drop_stale(&mut self) -> Vec<RequestAction> {
        self.stale_inputs += 1;
        Vec::new()
    }

    /// Processes an input of the current attempt.
    fn handle_attempt(&mut self, event: &RequestEvent) -> Vec<RequestAction> {
        match event {
            RequestEvent::Sending(_) => {
                if let State::Running { maybe_sent, .. } = &mut self.state {
                    *maybe_sent = true;
                }
                Vec::new()
            }
            RequestEvent::NotRun(_) => {
                if let State::Running { maybe_sent, .. } = &mut self.state {
                    *maybe_sent = false;
                }
                self.leave_target()
            }
            RequestEvent::Event { index, last, .. } => self.handle_response_event(*index, *last),
            RequestEvent::Failed { transient, .. } => {
                self.may_have_run = true;
                let has_attempts = self.attempts < self.policy.max_attempts;
                if *transient && self.policy.repeatable && has_attempts {
                    return self.leave_target();
                }
                self.finish(RequestOutcome::Failed(Execution::Ran), false)
            }
            RequestEvent::Incomplete(_) | RequestEvent::TimedOut(_) => self.resume_or_leave(),
            _ => self.drop_stale(),
        }
    }

    /// Delivers an event of the response if it is the next one.
    fn handle_response_event(&mut self, index: u64, last: bool) -> Vec<RequestAction> {
        match () {
            () if index < self.delivered => self.drop_stale(),
            // An earlier event was lost.
            () if index > self.delivered => self.resume_or_leave(),
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

    /// Resumes over a new connection to the same target, or leaves the target.
    fn resume_or_leave(&mut self) -> Vec<RequestAction> {
        let State::Running {
            grant,
            target,
            attempt,
            tries,
            maybe_sent,
        } = self.state.clone()
        else {
            return Vec::new();
        };
        self.may_have_run |= maybe_sent;
        if !maybe_sent || (self.policy.repeatable && tries >= MAX_TARGET_TRIES) {
            return self.leave_target();
        }
        if !self.policy.repeatable || self.attempts >= self.policy.max_attempts {
            let outcome = RequestOutcome::Failed(self.execution());
            return self.finish(outcome, false);
        }
        let mut actions = vec![RequestAction::Disconnect(attempt)];
        actions.extend(self.dispatch(grant, target, tries));
        actions
    }

    /// Frees the slot and requests another target if the policy allows another
    /// attempt; otherwise fails the request.
    fn leave_target(&mut self) -> Vec<RequestAction> {
        let State::Running {
            grant,
            target,
            attempt,
            maybe_sent,
            ..
        } = self.state.clone()
        else {
            return Vec::new();
        };
        self.may_have_run |= maybe_sent;
        let may_repeat = self.policy.repeatable || !self.may_have_run;
        if !may_repeat || self.attempts >= self.policy.max_attempts {
            let outcome = RequestOutcome::Failed(self.execution());
            return self.finish(outcome, false);
        }
        self.avoid.insert(target.clone());
        self.state = State::Waiting;
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

    /// Starts the next attempt at a target with a granted slot.
    fn dispatch(&mut self, grant: GrantId, target: TargetId, tries: u32) -> Vec<RequestAction> {
        self.attempts += 1;
        self.state = State::Running {
            grant,
            target: target.clone(),
            attempt: self.attempts,
            tries: tries + 1,
            maybe_sent: false,
        };
        vec![RequestAction::Dispatch {
            attempt: self.attempts,
            target,
            offset: self.delivered,
        }]
    }

    /// Ends the request and releases what it holds.
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
            State::Waiting => actions.push(RequestAction::CancelSlotRequest),
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
