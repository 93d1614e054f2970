//! Admitted requests, as all attempts at them share them.

use crate::SharedGateway;
use crate::attempt::{Attempt, AttemptError, CallerRequest, LeaseGuard, OpenResponse};
use crate::state::Phase;
use decision::{
    Admission, Fingerprint, Lease, Pick, Refusal, RetryPolicy, Reuse, Route, TargetId,
    TargetNotice, TargetQuery, Time,
};
use exchange::{Holder, Reservation};
use platform::requests::{self, AddedHeaders, CallerHead};
use serde_json::json;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;

/// Time in which an idempotent request is usually answered, as a multiple of the
/// route's goal for the time to the first byte.
const IDEMPOTENT_FACTOR: f64 = 1.3;
/// Time to the response head of a resumable stream, and then to its first event, as a
/// multiple of the same goal.
const RESUMABLE_FACTOR: f64 = 3.0;
/// Time left before the deadline below which no further attempt is made.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);
/// Reason of an error response to a request that its instance can't complete.
pub(crate) const ENDING: &str = "the instance exits";

/// Target that was chosen for an attempt, and the guard that counts the request
/// there.
pub(crate) type Choice = (Pick, LeaseGuard);

/// Admitted request of a caller.
pub(crate) struct AdmittedRequest {
    pub(crate) gateway: SharedGateway,
    pub(crate) caller_request: CallerRequest,
    pub(crate) head: CallerHead,
    pub(crate) admission: Admission,
    pub(crate) arrived: Time,
    /// End of the shorter of the times that the caller and the route allow.
    pub(crate) deadline: Time,
    /// What the request may have in common with others that crash their targets.
    pub(crate) fingerprints: Vec<Fingerprint>,
    /// Hash of the attempt id, which spreads requests over services and targets.
    pub(crate) hash: u64,
    /// Whether a target has turned it away.
    pub(crate) was_refused: Cell<bool>,
    /// Bytes of answers that are held for the caller's connection.
    pub(crate) answers: Holder,
}

impl AdmittedRequest {
    /// Returns an empty reservation for an answer to the request.
    pub(crate) fn answer_memory(&self) -> Reservation {
        self.gateway.memory.reservation().held_for(&self.answers)
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.gateway.now())
    }

    /// Returns whether the deadline or the exit of the instance is too near for
    /// another attempt.
    pub(crate) fn is_out_of_time(&self) -> bool {
        self.time_left() <= MIN_ATTEMPT_TIME || self.gateway.phase() == Phase::Ending
    }

    /// Chooses a target other than those in `excluded`, and counts the request there
    /// until the returned guard is dropped.
    pub(crate) fn choose(&self, excluded: &[TargetId]) -> Result<Choice, Refusal> {
        let query = TargetQuery {
            service: &self.admission.service,
            prompt_prefix: self
                .head
                .prompt_prefix
                .filter(|_| self.admission.route.has_prompts),
            spread_hash: self.hash,
            tried: excluded,
            tokens: self.head.tokens,
        };
        let now = self.gateway.now();
        self.readmit()?;
        let mut router = self.gateway.router.borrow_mut();
        router.check_quarantine(now, &self.fingerprints)?;
        let pick = router.choose_on(now, &query, &self.admission.route.name)?;
        drop(router);
        let lease = LeaseGuard::new(&self.gateway, pick.lease.clone());
        Ok((pick, lease))
    }

    /// Checks whether the request may still be sent: its API key may have been
    /// revoked since it was admitted.
    fn readmit(&self) -> Result<(), Refusal> {
        let now = self.gateway.now();
        let router = self.gateway.router.borrow();
        router.readmit(now, &self.admission, self.head.key.as_deref())
    }

    /// Sends the request to a target and waits for the head of the response until the
    /// deadline; a stream continues after the event `after`. Notifies `sent` when the
    /// connection is open and sending begins.
    pub(crate) async fn send(
        &self,
        pick: &Pick,
        after: Option<u64>,
        sent: &Notify,
    ) -> Result<OpenResponse, AttemptError> {
        let prompts = self.admission.route.has_prompts;
        let added = AddedHeaders {
            target: &pick.lease.target,
            workspace: self.admission.workspace.as_deref(),
            time_left: Some(self.time_left()),
            priority_class: prompts.then_some(self.admission.priority_class),
            cache_source: pick.cache_source,
            last_event: after,
        };
        let is_sent = Cell::new(false);
        let recheck = || {
            self.readmit().map_err(AttemptError::Withheld)?;
            let (router, now) = (self.gateway.router.borrow(), self.gateway.now());
            let available = router.recheck_target(now, &pick.lease);
            let admitted = router.recheck_quarantine(now, &self.fingerprints);
            available.and(admitted).map_err(AttemptError::Withheld)?;
            sent.notify_one();
            is_sent.set(true);
            Ok(())
        };
        let notify = |notice| self.record_notice(&pick.lease, notice);
        let attempt = Attempt {
            gateway: &self.gateway,
            caller: &self.caller_request,
            pick,
            added,
            reuse: self.reuse(after),
            timeout: self.time_left(),
        };
        let opened = tokio::select! {
            biased;
            opened = attempt.send(recheck, notify) => opened,
            () = self.gateway.ending() => Err(if is_sent.get() {
                AttemptError::Lost(ENDING.to_owned())
            } else {
                AttemptError::NotSent(ENDING.to_owned())
            }),
        };
        if let Ok(OpenResponse {
            target_pace: Some(pace),
            ..
        }) = &opened
        {
            let mut router = self.gateway.router.borrow_mut();
            router.record_pace(self.gateway.now(), &pick.lease, *pace);
        }
        opened
    }

    /// Returns which kept connections the request may use. A stream that continues
    /// after an event is not sent again. A target may repeat its refusal late, and on the
    /// same connection that would look like the refusal of the next attempt.
    fn reuse(&self, after: Option<u64>) -> Reuse {
        let route = &self.admission.route;
        if self.was_refused.get() {
            Reuse::Never
        } else if route.retry_policy.is_repeatable() && route.max_attempts > 1 && after.is_none() {
            Reuse::Any
        } else {
            Reuse::Recent
        }
    }

    /// Records what a response says of its target, and logs what is new of it.
    fn record_notice(&self, lease: &Lease, notice: TargetNotice) {
        let gateway = &self.gateway;
        if notice.is_leaving {
            gateway.metrics.count("target_notices", "leaving");
        }
        if notice.retry_after.is_some() {
            gateway.metrics.count("target_notices", "pause");
        }
        let now = gateway.now();
        let change = gateway
            .router
            .borrow_mut()
            .record_notice(now, lease, notice);
        if change.leaves {
            gateway.event_log.state_change(&json!({
                "event": "target leaves", "target": lease.target,
            }));
        }
        if change.pauses {
            let pause = notice.retry_after.map(|after| after.as_millis() as u64);
            gateway.event_log.state_change(&json!({
                "event": "target pauses", "target": lease.target, "pause_ms": pause,
            }));
        }
    }

    /// Returns whether the request may run once more after `runs` attempts that may
    /// have run it.
    pub(crate) fn may_run_again(&self, runs: u32) -> bool {
        let route = &self.admission.route;
        route.retry_policy.is_repeatable() && runs < route.max_attempts
    }

    /// Returns whether two targets may hold the request for a short time only: a model
    /// engine works on it at the cost of others.
    pub(crate) fn limits_overlap(&self) -> bool {
        let route = &self.admission.route;
        route.retry_policy == RetryPolicy::Resumable || route.has_prompts
    }

    /// Returns [`usual_response_time`] for the request's route.
    pub(crate) fn first_byte_limit(&self) -> Duration {
        usual_response_time(&self.admission.route)
    }

    pub(crate) fn is_stream(&self, opened: &OpenResponse) -> bool {
        let response = &opened.response;
        self.admission.route.retry_policy.is_stream()
            && response.status().is_success()
            && requests::is_event_stream(response.headers())
    }

    /// Takes a token from the retry budget; returns whether there was one.
    pub(crate) fn take_retry(&self) -> bool {
        let now = self.gateway.now();
        let mut router = self.gateway.router.borrow_mut();
        router.take_retry_token(now, &self.admission.service)
    }

    /// Puts back the token of a retry that was not sent.
    pub(crate) fn return_retry(&self) {
        let mut router = self.gateway.router.borrow_mut();
        router.return_retry_token(&self.admission.service);
    }
}

/// Returns the time in which a target usually sends the head of a response, and
/// then the first event of a stream.
pub(crate) fn usual_response_time(route: &Route) -> Duration {
    let factor = match route.retry_policy {
        RetryPolicy::Idempotent => IDEMPOTENT_FACTOR,
        _ => RESUMABLE_FACTOR,
    };
    route.ttfb_goal.mul_f64(factor)
}
