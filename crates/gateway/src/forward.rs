//! Handling of a caller's request, from its head to the final response.

use crate::SharedGateway;
use crate::admitted::{AdmittedRequest, Choice, ENDING, usual_response_time};
use crate::attempt::{AttemptError, CallerRequest};
use crate::bodies::{self, BodyError};
use crate::crashes;
use crate::overlap::{self, CompleteResponse, RunningAttempt, RunningAttempts, UsableResponse};
use crate::relay;
use crate::responses::{ResponseBody, full_body, own_response};
use crate::room::{self, RoomSlot};
use crate::timeouts::ConnectionState;
use decision::{
    Admission, AttemptOutcome, Pick, PoolView, Refusal, RetryPolicy, Route, TargetId, Time,
    hash_parts,
};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, header};
use platform::requests::{self, CallerHead};
use rand::Rng;
use serde::Serialize;
use serde_json::{Value, json};
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// Delay of a timer from which on this instance was not running.
pub(crate) const OWN_DELAY: Duration = Duration::from_millis(50);
/// Interval at which another target is looked for while one is silent.
const SUCCESSOR_PAUSE: Duration = Duration::from_millis(250);
/// Range of the `Retry-After` header in seconds. The value is random, so that
/// callers that are refused together don't return together.
const RETRY_AFTER_S: std::ops::Range<f64> = 0.15..0.5;

/// Admitted request of a caller and the state of its attempts.
pub(crate) struct ForwardedRequest {
    pub(crate) admitted: Rc<AdmittedRequest>,
    /// Targets at which an attempt failed; they are not chosen again.
    tried: Vec<TargetId>,
    /// Those of them that were full, which are tried again by way of the line.
    full: Vec<TargetId>,
    /// Slot of a contended service for the next attempt.
    slot: Option<RoomSlot>,
    /// Target that was left for its silence, once another one held the request.
    pub(crate) left: Option<TargetId>,
    /// Attempts that may have run the request.
    pub(crate) runs: u32,
    /// Choice of the target and error of each attempt, for the log.
    attempts: Vec<AttemptRecord>,
    /// Whether the end of the request has been logged.
    is_finished: Cell<bool>,
    /// Latest response with a 5xx status, returned if no other attempt succeeds.
    failed_response: Option<CompleteResponse>,
}

/// What happened next while attempts were under way.
enum Step {
    /// An attempt ended.
    Ended(Box<RunningAttempt>, Result<UsableResponse, AttemptError>),
    /// The head of the response to the newest attempt arrived.
    HeadArrived,
    /// The newest attempt's target has held the request for as long as two may.
    Held,
    /// The newest attempt's target is silent, and another one can take over.
    Silent(Choice),
}

/// Log entry of one attempt: what the instance knew when it chose the target, and
/// why the attempt failed if it did.
#[derive(Clone, Debug, Serialize)]
struct AttemptRecord {
    target: TargetId,
    /// Other requests in flight at the target as the instance knew, fleet-wide.
    load: u32,
    /// Limit on the load of a target by which this one was chosen.
    bound: u32,
    /// Rank of the target for the prompt; 0 is the one most likely to cache it.
    place: u32,
    /// Whether another target was named from which to fetch cached parts.
    fetch: bool,
    pool: PoolView,
    /// Other requests in flight at the target, by its own count.
    #[serde(rename = "held")]
    reported_load: Option<u32>,
    /// Label of the [`AttemptError`], if the attempt failed.
    #[serde(rename = "miss")]
    error: Option<&'static str>,
}

/// Serves a caller's request and returns the response to it.
pub(crate) async fn serve(
    gateway: &SharedGateway,
    request: Request<Incoming>,
    connection: &ConnectionState,
) -> Response<ResponseBody> {
    let arrived = gateway.now();
    let _counted = RequestCounter::new(gateway);
    let (parts, mut body) = request.into_parts();
    let head = match requests::decode_caller_head(&parts) {
        Ok(head) => head,
        Err(message) => {
            let refusal = own_response(gateway, 400, message, None);
            return refuse_unread(gateway, &parts.headers, body, refusal).await;
        }
    };
    let hash = hash_parts(&[head.attempt.as_bytes()]);
    let admit = || {
        let key = head.key.as_deref();
        let router = gateway.router.borrow();
        router.admit(gateway.now(), &head.host, parts.uri.path(), key, hash)
    };
    let admission = match admit() {
        Ok(admission) => admission,
        Err(refusal) => {
            let refusal = reject(gateway, &head, refusal, None);
            return refuse_unread(gateway, &parts.headers, body, refusal).await;
        }
    };
    let time_left = (arrived + allowed_time(&head, &admission)).saturating_sub(gateway.now());
    let read = tokio::select! {
        biased;
        read = bodies::read(gateway, connection, &mut body, time_left) => read,
        () = gateway.ending() => return reject(gateway, &head, Refusal::Full, Some(ENDING)),
    };
    let content = match read {
        Ok(content) => content,
        Err(error) => {
            let refusal = refuse_body(gateway, &head, error);
            return refuse_unread(gateway, &parts.headers, body, refusal).await;
        }
    };
    // The configuration may have changed while the body was received.
    let version = gateway.router.borrow().version();
    let admission = match admission {
        current if version == Some(current.version) => current,
        _ => match admit() {
            Ok(admission) => admission,
            Err(refusal) => return reject(gateway, &head, refusal, None),
        },
    };
    let deadline = arrived + allowed_time(&head, &admission);
    if comes_too_late(gateway, &admission.route, deadline) {
        return reject(gateway, &head, Refusal::Full, Some("the instance stops"));
    }
    let caller_request = CallerRequest {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body: content,
        attempt: head.attempt.clone(),
    };
    let admitted = AdmittedRequest {
        gateway: gateway.clone(),
        fingerprints: crashes::fingerprints(&caller_request, &head, &admission),
        caller_request,
        head,
        admission,
        arrived,
        deadline,
        hash,
        was_refused: Cell::new(false),
        answers: connection.answers().clone(),
    };
    let request = ForwardedRequest {
        admitted: Rc::new(admitted),
        tried: Vec::new(),
        full: Vec::new(),
        slot: None,
        left: None,
        runs: 0,
        attempts: Vec::new(),
        is_finished: Cell::new(false),
        failed_response: None,
    };
    request.run().await
}

/// Returns whether the instance stops and may exit before a request has its response.
fn comes_too_late(gateway: &SharedGateway, route: &Route, deadline: Time) -> bool {
    match gateway.exit.get() {
        Some(exit) if deadline > exit => match route.retry_policy {
            // Its caller can send it again if it gets no response after all.
            RetryPolicy::Idempotent => {
                exit.saturating_sub(gateway.now()) < usual_response_time(route)
            }
            RetryPolicy::Once | RetryPolicy::Stream | RetryPolicy::Resumable => true,
        },
        _ => false,
    }
}

/// Guard that counts a request as being served until it is dropped.
pub(crate) struct RequestCounter(SharedGateway);

impl RequestCounter {
    pub(crate) fn new(gateway: &SharedGateway) -> Self {
        gateway.requests.set(gateway.requests.get() + 1);
        RequestCounter(gateway.clone())
    }
}

impl Drop for RequestCounter {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get().saturating_sub(1));
    }
}

/// Returns the shorter of the times that the caller and the route allow.
fn allowed_time(head: &CallerHead, admission: &Admission) -> Duration {
    let timeout = admission.route.timeout;
    head.timeout.map_or(timeout, |wanted| wanted.min(timeout))
}

/// Builds the response to a request whose body was not read.
fn refuse_body(
    gateway: &SharedGateway,
    head: &CallerHead,
    error: BodyError,
) -> Response<ResponseBody> {
    let (status, message) = match error {
        BodyError::TooLarge => (413, "the body is too large"),
        BodyError::Broken => (400, "the body ended early"),
        BodyError::Late => (408, "the body was not complete in time"),
        BodyError::NoMemory => return reject(gateway, head, Refusal::Full, Some("no memory")),
    };
    own_response(gateway, status, message, None)
}

/// Reads away what is left of the body of a request that is refused, and lets the
/// connection end with the refusal if that is much.
async fn refuse_unread(
    gateway: &SharedGateway,
    headers: &HeaderMap,
    body: Incoming,
    mut refusal: Response<ResponseBody>,
) -> Response<ResponseBody> {
    if !bodies::discard(gateway, headers, body).await {
        let close = header::HeaderValue::from_static("close");
        refusal.headers_mut().insert(header::CONNECTION, close);
    }
    refusal
}

impl ForwardedRequest {
    async fn run(mut self) -> Response<ResponseBody> {
        let admitted = self.admitted.clone();
        let service = &admitted.admission.service;
        admitted.gateway.router.borrow_mut().count_request(service);
        let mut has_token = false;
        loop {
            let choice = match self.choose_target_in_line().await {
                Ok(choice) => choice,
                Err(refusal) => {
                    if has_token {
                        admitted.return_retry();
                    }
                    if let Some(response) = self.failed_response.take() {
                        return self.respond(response);
                    }
                    return self.give_up(refusal.word(), Some(refusal));
                }
            };
            match self.wait_for_response(choice).await {
                Ok((attempt, UsableResponse::Complete(response))) => {
                    return self.finish(attempt, response);
                }
                Ok((mut attempt, UsableResponse::Stream(parts, mut stream, first))) => {
                    attempt.lease.record_first_byte();
                    let load = attempt.progress.target_load.get();
                    self.record_load(attempt.index, &attempt.pick, load);
                    stream.hold(attempt.lease);
                    return relay::start(self, parts, *stream, first);
                }
                Err(error) => {
                    if let Some(response) = self.after_error(&error) {
                        return response;
                    }
                    has_token = error.may_have_arrived();
                }
            }
        }
    }

    /// Chooses a target for the next attempt as [`Self::choose_target`] does, after a
    /// wait for a slot where the service is contended.
    async fn choose_target_in_line(&mut self) -> Result<Choice, Refusal> {
        let admitted = self.admitted.clone();
        if admitted.needs_slot() {
            let full = std::mem::take(&mut self.full);
            self.tried.retain(|tried| !full.contains(tried));
        }
        match admitted.choose_in_line(&self.tried).await {
            Ok((choice, slot)) => {
                self.slot = slot;
                Ok(choice)
            }
            Err(refusal) => match self.left {
                Some(_) if !matches!(refusal, Refusal::NoRoom { .. }) => self.choose_target(),
                _ => Err(refusal),
            },
        }
    }

    /// Chooses a target for the next attempt; the one that was left for its silence
    /// only if there is no other.
    pub(crate) fn choose_target(&mut self) -> Result<Choice, Refusal> {
        let refusal = match self.admitted.choose(&self.tried) {
            Err(refusal) => refusal,
            chosen => return chosen,
        };
        let left = self.left.take().ok_or(refusal)?;
        self.tried.retain(|tried| *tried != left);
        self.admitted.choose(&self.tried)
    }

    /// Sends the request to a target and waits for a usable response. If the target is
    /// silent, another one is asked while the first attempt goes on.
    ///
    /// # Errors
    ///
    /// Returns the error of the attempt that failed last, once all have failed.
    async fn wait_for_response(
        &mut self,
        choice: Choice,
    ) -> Result<(RunningAttempt, UsableResponse), AttemptError> {
        let admitted = self.admitted.clone();
        let limit = admitted.first_byte_limit();
        let first = self.begin(choice);
        let first_index = first.index;
        let mut running = RunningAttempts::from(first);
        let mut wait = limit;
        let mut has_arrived = false;
        let mut held: Pin<Box<dyn Future<Output = ()>>> = Box::pin(std::future::pending());
        while let Some(newest) = running.newest() {
            let (newest_index, progress) = (newest.index, newest.progress.clone());
            let (targets, may_ask) = (running.targets(), self.may_ask_another(&running));
            let step = tokio::select! {
                biased;
                (attempt, response) = running.next() => Step::Ended(Box::new(attempt), response),
                () = held.as_mut() => Step::Held,
                () = progress.head.notified() => Step::HeadArrived,
                choice = self.wait_for_successor(&targets, wait, limit), if may_ask => {
                    Step::Silent(choice)
                }
            };
            match step {
                Step::Ended(attempt, Ok(response)) => {
                    self.end_others(attempt.index, running);
                    return Ok((*attempt, response));
                }
                Step::Ended(attempt, Err(error)) => {
                    let is_newest = attempt.index == newest_index;
                    wait = if is_newest { SUCCESSOR_PAUSE } else { limit };
                    held = Box::pin(std::future::pending());
                    has_arrived |= error.may_have_arrived();
                    // The next attempt needs the token if it is not the first to arrive.
                    let is_needed = has_arrived && running.is_empty();
                    if attempt.index > first_index && !error.may_have_arrived() && !is_needed {
                        admitted.return_retry();
                    }
                    self.end_failed(*attempt, &error);
                    if running.is_empty() {
                        return Err(error);
                    }
                }
                Step::HeadArrived => wait = limit,
                Step::Held => {
                    held = Box::pin(std::future::pending());
                    if let Some(best) = running.take_best() {
                        let index = best.index;
                        let others = std::mem::replace(&mut running, best.into());
                        self.end_others(index, others);
                    }
                }
                Step::Silent(choice) => {
                    admitted.gateway.metrics.count("retries", "silent");
                    let successor = self.begin(choice);
                    if admitted.limits_overlap() {
                        let progress = successor.progress.clone();
                        held = Box::pin(async move {
                            overlap::wait_until_held(&progress.sent).await;
                        });
                    }
                    running.push(successor);
                    wait = limit;
                }
            }
        }
        unreachable!("returns with the last attempt")
    }

    /// Returns whether another target may be asked if those of the attempts under way
    /// are silent.
    fn may_ask_another(&self, running: &RunningAttempts) -> bool {
        let is_alone = running.len() == 1;
        (is_alone || !self.admitted.limits_overlap())
            && !running.has_body()
            && self
                .admitted
                .may_run_again(self.runs + running.len() as u32)
    }

    fn begin(&mut self, (pick, lease): Choice) -> RunningAttempt {
        let index = self.record_attempt(&pick);
        let mut attempt = RunningAttempt::new(&self.admitted, index, pick, lease);
        attempt.slot = self.slot.take();
        attempt
    }

    /// Ends an attempt that failed.
    fn end_failed(&mut self, attempt: RunningAttempt, error: &AttemptError) {
        let RunningAttempt {
            index,
            pick,
            lease,
            slot,
            progress,
            ..
        } = attempt;
        lease.end(error.outcome());
        if let Some(slot) = slot {
            slot.set_outcome(error.outcome());
        }
        self.record_load(index, &pick, progress.target_load.get());
        self.record_error(index, error);
        if let Some(response) = progress.failed_response.take() {
            self.failed_response = Some(response);
        }
        if error.is_disconnection() {
            crashes::check_target(&self.admitted, &pick);
        }
        if !error.has_not_run() {
            self.runs += 1;
        }
    }

    /// Ends the attempt of a silent target, which frees the target.
    fn leave(&mut self, attempt: RunningAttempt) {
        self.left = Some(attempt.pick.lease.target.clone());
        self.end_failed(attempt, &AttemptError::Silent);
    }

    /// Ends the attempts beside the one that goes on: those before it for their
    /// silence, those after it because they are not needed.
    fn end_others(&mut self, index: usize, others: RunningAttempts) {
        for other in others {
            if other.index < index {
                self.leave(other);
            } else {
                self.end_failed(other, &AttemptError::Surplus);
            }
        }
    }

    /// Adds the choice of a target to the log of this request's attempts and returns
    /// the index of the entry.
    pub(crate) fn record_attempt(&mut self, pick: &Pick) -> usize {
        self.attempts.push(AttemptRecord {
            target: pick.lease.target.clone(),
            load: pick.load,
            bound: pick.load_bound,
            place: pick.rank,
            fetch: pick.cache_source.is_some(),
            pool: pick.pool,
            reported_load: None,
            error: None,
        });
        let metrics = &self.admitted.gateway.metrics;
        metrics.count("known_loads", load_label(pick.load, pick.load_limit));
        self.attempts.len() - 1
    }

    /// Waits until the targets `silent` have sent nothing for `wait` and another one
    /// can take over: it can be chosen, and the budget gives a retry.
    ///
    /// Never returns once less than `needed` is left before the deadline. A silent
    /// target may be sound, so it is not left as long as no other can take over.
    pub(crate) async fn wait_for_successor(
        &self,
        silent: &[TargetId],
        wait: Duration,
        needed: Duration,
    ) -> Choice {
        let gateway = &self.admitted.gateway;
        let mut pause = wait;
        loop {
            let due = gateway.now().saturating_add(pause);
            tokio::time::sleep(pause).await;
            if self.admitted.time_left() < needed {
                std::future::pending::<()>().await;
            }
            // What arrived while this instance was not running has not been read yet.
            pause = match gateway.now().saturating_sub(due) {
                delay if delay >= OWN_DELAY => wait,
                _ => match self.choose_successor(silent) {
                    Some(choice) => return choice,
                    None => SUCCESSOR_PAUSE,
                },
            };
        }
    }

    /// Takes a token from the retry budget and chooses another target than those in
    /// `silent`; `None` if either is impossible.
    fn choose_successor(&self, silent: &[TargetId]) -> Option<Choice> {
        if !self.admitted.take_retry() {
            return None;
        }
        let choice = self.admitted.choose(&[&self.tried, silent].concat());
        if choice.is_err() {
            self.admitted.return_retry();
        }
        choice.ok()
    }

    /// Responds with the complete response to an attempt.
    fn finish(
        &mut self,
        mut attempt: RunningAttempt,
        response: CompleteResponse,
    ) -> Response<ResponseBody> {
        attempt.lease.record_first_byte();
        let load = attempt.progress.target_load.get();
        self.record_load(attempt.index, &attempt.pick, load);
        let parts = &response.parts;
        if parts.status.is_success() {
            let ends_with_connection = crashes::ends_with_connection(&parts.headers);
            crashes::record_response(&self.admitted, &attempt.pick, ends_with_connection);
        }
        attempt.lease.end(AttemptOutcome::Completed);
        if let Some(slot) = attempt.slot {
            slot.set_outcome(AttemptOutcome::Completed);
        }
        self.respond(response)
    }

    /// Builds the final response from a target's and logs the end of the request.
    fn respond(&self, response: CompleteResponse) -> Response<ResponseBody> {
        let CompleteResponse { parts, body } = response;
        let is_failure = parts.status.is_server_error();
        let outcome = if is_failure { "failed" } else { "whole" };
        self.log_end(outcome, parts.status.as_u16(), &Value::Null);
        let mut response = Response::new(full_body(body));
        *response.status_mut() = parts.status;
        *response.headers_mut() = requests::end_to_end_headers(&parts.headers);
        response.headers_mut().remove(header::CONTENT_LENGTH);
        response
    }

    /// Decides what follows once no attempt is under way: the final response, or
    /// `None` for another attempt.
    fn after_error(&mut self, error: &AttemptError) -> Option<Response<ResponseBody>> {
        let admitted = &self.admitted;
        let may_retry = self.runs == 0 || admitted.may_run_again(self.runs);
        let has_time = !admitted.is_out_of_time();
        if may_retry && has_time && (!error.may_have_arrived() || admitted.take_retry()) {
            admitted.gateway.metrics.count("retries", error.label());
            return None;
        }
        if let Some(response) = self.failed_response.take() {
            return Some(self.respond(response));
        }
        let refusal = error.has_not_run().then_some(Refusal::Full);
        let reason = format!("{}: {}", error.label(), error.detail());
        Some(self.give_up(&reason, refusal))
    }

    /// Records the requests in flight at a target by its own count, the attempt
    /// included, if its response reports them.
    pub(crate) fn record_load(&mut self, index: usize, pick: &Pick, load: Option<u32>) {
        let Some(others) = load.map(|load| load.saturating_sub(1)) else {
            return;
        };
        let metrics = &self.admitted.gateway.metrics;
        metrics.count("target_loads", load_label(others, pick.load_limit));
        self.attempts[index].reported_load = Some(others);
    }

    /// Records why an attempt failed, unless that has been recorded, and excludes its
    /// target from the next ones.
    pub(crate) fn record_error(&mut self, index: usize, error: &AttemptError) {
        let record = &mut self.attempts[index];
        if record.error.is_some() {
            return;
        }
        record.error = Some(error.label());
        // A target that had forgotten a connection may be sound.
        if !matches!(error, AttemptError::Forgotten(_)) {
            self.tried.push(record.target.clone());
        }
        if *error == AttemptError::Full {
            self.full.push(record.target.clone());
            let admitted = &self.admitted;
            admitted.was_refused.set(true);
            room::record_refusal(&admitted.gateway, &admitted.admission.service);
        }
        self.admitted.gateway.metrics.count("misses", error.label());
    }

    /// Builds a final error response and logs the end of the request.
    ///
    /// Status 503 promises that the request did not run, so it is sent only if no
    /// attempt can have run it; otherwise 504 if time is up, else 502.
    fn give_up(&self, reason: &str, refusal: Option<Refusal>) -> Response<ResponseBody> {
        let status = match refusal {
            Some(_) if self.runs == 0 => 503,
            _ if self.admitted.is_out_of_time() => 504,
            _ => 502,
        };
        let (outcome, detail, wait) = match refusal {
            Some(Refusal::Quarantined {
                fingerprint,
                time_left,
            }) => {
                let detail = json!({ "fingerprint": crashes::hex(fingerprint) });
                let spread = Duration::from_secs_f64(retry_after());
                ("quarantined", detail, time_left + spread)
            }
            // It is spread already.
            Some(Refusal::NoRoom { retry_after }) => ("refused", json!(reason), retry_after),
            _ => {
                let spread = Duration::from_secs_f64(retry_after());
                ("refused", json!(reason), self.pause_left() + spread)
            }
        };
        self.log_end(outcome, status, &detail);
        let wait = (status == 503).then_some(wait.as_secs_f64());
        own_response(&self.admitted.gateway, status, reason, wait)
    }

    /// Returns the time for which all targets of the service want no request. Nothing
    /// is sent to them before, however often the caller returns.
    fn pause_left(&self) -> Duration {
        let router = self.admitted.gateway.router.borrow();
        let pause = router.pause_left(
            self.admitted.gateway.now(),
            &self.admitted.admission.service,
        );
        pause.unwrap_or_default()
    }

    /// Logs the end of the request and counts it in the metrics.
    pub(crate) fn log_end(&self, outcome: &'static str, status: u16, reason: &Value) {
        self.is_finished.set(true);
        let gateway = &self.admitted.gateway;
        let took = gateway.now().saturating_sub(self.admitted.arrived);
        gateway.metrics.count("requests", outcome);
        gateway.metrics.record_latency("request", took);
        let failed = status >= 500;
        gateway.event_log.request(failed, || {
            let router = gateway.router.borrow();
            let age = router.freshness().age(gateway.now());
            json!({
                "event": "request", "id": self.admitted.head.attempt, "route": self.admitted.admission.route.name,
                "service": self.admitted.admission.service, "workspace": self.admitted.admission.workspace,
                "configuration": self.admitted.admission.version,
                "configuration_age_ms": age.map(|a| a.as_millis() as u64),
                "attempts": self.attempts, "runs": self.runs,
                "outcome": outcome, "status": status, "reason": reason,
                "took_ms": took.as_millis() as u64,
            })
        });
    }
}

impl Drop for ForwardedRequest {
    fn drop(&mut self) {
        // The caller closed its connection before the response was finished.
        if !self.is_finished.get() {
            self.log_end("caller_left", 0, &Value::Null);
        }
    }
}

/// Returns the metrics label that tells whether a target's load exceeds the limit
/// derived from its pool's mean load.
fn load_label(load: u32, limit: u32) -> &'static str {
    if load > limit { "over" } else { "within" }
}

fn retry_after() -> f64 {
    rand::rng().random_range(RETRY_AFTER_S)
}

/// Builds the response to a request that is not admitted and logs it.
fn reject(
    gateway: &SharedGateway,
    head: &CallerHead,
    refusal: Refusal,
    reason: Option<&str>,
) -> Response<ResponseBody> {
    let status = requests::refusal_status(refusal);
    gateway.metrics.count("requests", refusal.word());
    gateway.event_log.request(true, || {
        let router = gateway.router.borrow();
        let age = router.freshness().age(gateway.now());
        json!({
            "event": "request", "id": head.attempt, "host": head.host,
            "configuration": router.version(),
            "configuration_age_ms": age.map(|a| a.as_millis() as u64),
            "outcome": refusal.word(), "status": status, "reason": reason,
        })
    });
    let wait = (status == 503).then(retry_after);
    own_response(gateway, status, refusal.word(), wait)
}
