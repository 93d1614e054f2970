//! Handling of a caller's request, from its head to the final response.

use crate::SharedGateway;
use crate::attempt::{self, AttemptError, CallerRequest, LeaseGuard, OpenResponse};
use crate::crashes;
use crate::relay;
use crate::responses::{ResponseBody, full_body, own_response};
use decision::{
    Admission, AttemptOutcome, Fingerprint, Lease, Pick, PoolView, Refusal, RetryPolicy, TargetId,
    TargetNotice, TargetQuery, Time, hash_parts,
};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::http::response::Parts;
use hyper::{Request, Response, header};
use platform::requests::{self, AddedHeaders, CallerHead};
use rand::Rng;
use serde::Serialize;
use serde_json::{Value, json};
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Notify;

/// Limit on the bytes of a response that is not a stream.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Timeout of one attempt of an idempotent request, as a multiple of the route's
/// goal for the time to the first byte, while another attempt may still respond
/// in time.
const IDEMPOTENT_FACTOR: f64 = 1.3;
/// Timeout of the response head of a resumable stream, and then of its first event,
/// as a multiple of the same goal.
const RESUMABLE_FACTOR: f64 = 3.0;
/// Time left before the deadline below which no further attempt is made.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);
/// Delay of a timer from which on this instance was not running.
const OWN_DELAY: Duration = Duration::from_millis(50);
/// Interval at which another target is looked for while one is silent.
const SUCCESSOR_PAUSE: Duration = Duration::from_millis(250);
/// Range of the `Retry-After` header in seconds. The value is random, so that
/// callers that are refused together don't return together.
const RETRY_AFTER_S: std::ops::Range<f64> = 0.15..0.5;

/// Target that was chosen for an attempt, and the guard that counts the request
/// there.
pub(crate) type Choice = (Pick, LeaseGuard);

/// Admitted request of a caller and the state of its attempts.
pub(crate) struct ForwardedRequest {
    pub(crate) gateway: SharedGateway,
    pub(crate) caller_request: CallerRequest,
    pub(crate) head: CallerHead,
    pub(crate) admission: Admission,
    pub(crate) arrived: Time,
    /// End of the shorter of the times that the caller and the route allow.
    pub(crate) deadline: Time,
    /// Targets at which an attempt failed; they are not chosen again.
    pub(crate) tried: Vec<TargetId>,
    /// Attempts that may have run the request.
    pub(crate) runs: u32,
    /// What the request may have in common with others that crash their targets.
    pub(crate) fingerprints: Vec<Fingerprint>,
    /// Target that handles the request or handled it last, and its address.
    pub(crate) last_target: Option<(Lease, SocketAddr)>,
    /// Choice of the target and error of each attempt, for the log.
    attempts: Vec<AttemptRecord>,
    /// Whether the end of the request has been logged.
    is_finished: Cell<bool>,
    /// Hash of the attempt id, which spreads requests over services and targets.
    hash: u64,
    /// Latest response with a 5xx status, returned if no other attempt succeeds.
    failed_response: Option<FailedResponse>,
    /// Target of the next attempt, if it has been chosen already and a retry has been
    /// taken for it.
    pub(crate) successor: Option<Choice>,
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

/// Complete response with a 5xx status.
struct FailedResponse {
    parts: Parts,
    body: Bytes,
}

/// Serves a caller's request and returns the response to it.
pub(crate) async fn serve(
    gateway: &SharedGateway,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived = gateway.now();
    let _counted = RequestCounter::new(gateway);
    let (parts, body) = request.into_parts();
    let head = match requests::decode_caller_head(&parts) {
        Ok(head) => head,
        Err(message) => return own_response(gateway, 400, message, None),
    };
    let body = match read_body(gateway, body).await {
        Ok(body) => body,
        Err((status, message)) => return own_response(gateway, status, message, None),
    };
    let hash = hash_parts(&[head.attempt.as_bytes()]);
    let now = gateway.now();
    let admitted = {
        let router = gateway.router.borrow();
        let key = head.key.as_deref();
        router.admit(now, &head.host, parts.uri.path(), key, hash)
    };
    let admission = match admitted {
        Ok(admission) => admission,
        Err(refusal) => return reject(gateway, &head, refusal, None),
    };
    let timeout = admission.route.timeout;
    let allowed = head.timeout.map_or(timeout, |w| w.min(timeout));
    let deadline = arrived + allowed;
    let outlasts = gateway.exit.get().is_some_and(|exit| deadline > exit);
    if outlasts && admission.route.retry_policy.is_stream() {
        return reject(gateway, &head, Refusal::Full, Some("the instance stops"));
    }
    let caller_request = CallerRequest {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        attempt: head.attempt.clone(),
    };
    let request = ForwardedRequest {
        gateway: gateway.clone(),
        fingerprints: crashes::fingerprints(&caller_request, &head, &admission),
        last_target: None,
        caller_request,
        head,
        admission,
        arrived,
        deadline,
        tried: Vec::new(),
        runs: 0,
        attempts: Vec::new(),
        is_finished: Cell::new(false),
        hash,
        failed_response: None,
        successor: None,
    };
    request.run().await
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

async fn read_body(gateway: &SharedGateway, body: Incoming) -> Result<Bytes, (u16, &'static str)> {
    use hyper::body::Body;
    let limits = gateway.router.borrow().configuration().map(|c| c.limits);
    let max_bytes = limits.unwrap_or_default().body_bytes;
    if body.size_hint().lower() > max_bytes as u64 {
        return Err((413, "the body is too large"));
    }
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err((413, "the body is too large")),
        Err(_) => Err((400, "the body ended early")),
    }
}

impl ForwardedRequest {
    async fn run(mut self) -> Response<ResponseBody> {
        let service = self.admission.service.clone();
        self.gateway.router.borrow_mut().count_request(&service);
        loop {
            let (pick, lease) = match self.choose_target() {
                Ok(chosen) => chosen,
                Err(refusal) => {
                    if let Some(FailedResponse { parts, body }) = self.failed_response.take() {
                        return self.respond(&parts, body);
                    }
                    return self.give_up(refusal.word(), Some(refusal));
                }
            };
            let opened = self.send(&pick).await;
            self.record_load(&pick, &opened);
            let error = match opened {
                Ok(opened) if self.is_stream(&opened) => {
                    match relay::start(self, opened, lease).await {
                        Ok(response) => return response,
                        Err((request, error)) => {
                            self = *request;
                            error
                        }
                    }
                }
                Ok(opened) => match self.collect(opened, lease).await {
                    Ok(response) => return response,
                    Err(error) => error,
                },
                Err(error) => {
                    lease.end(error.outcome());
                    error
                }
            };
            if matches!(error, AttemptError::Disconnected(_)) {
                crashes::check_target(&self);
            }
            if let Some(response) = self.after_error(&error) {
                return response;
            }
        }
    }

    /// Chooses a target for the next attempt and counts the request there until the
    /// returned guard is dropped.
    pub(crate) fn choose_target(&mut self) -> Result<Choice, Refusal> {
        let choice = match self.successor.take() {
            Some(choice) => choice,
            None => self.choose(None)?,
        };
        self.record_attempt(&choice.0);
        self.last_target = Some((choice.0.lease.clone(), choice.0.address));
        Ok(choice)
    }

    /// Chooses a target at which no attempt has failed, other than `silent`.
    fn choose(&self, silent: Option<&TargetId>) -> Result<Choice, Refusal> {
        let tried: Vec<TargetId> = self.tried.iter().chain(silent).cloned().collect();
        let query = TargetQuery {
            service: &self.admission.service,
            prompt_prefix: self
                .head
                .prompt_prefix
                .filter(|_| self.admission.route.has_prompts),
            spread_hash: self.hash,
            tried: &tried,
        };
        let now = self.gateway.now();
        self.readmit()?;
        let mut router = self.gateway.router.borrow_mut();
        router.check_quarantine(now, &self.fingerprints)?;
        drop(router);
        let pick = self.gateway.router.borrow_mut().choose(now, &query)?;
        let lease = LeaseGuard::new(&self.gateway, pick.lease.clone());
        Ok((pick, lease))
    }

    /// Adds the choice of a target to the log of this request's attempts.
    pub(crate) fn record_attempt(&mut self, pick: &Pick) {
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
        let metrics = &self.gateway.metrics;
        metrics.count("known_loads", load_label(pick.load, pick.load_limit));
    }

    /// Waits until the target `silent` has sent nothing for `wait` and another one
    /// can take over: it can be chosen, and the budget gives a retry.
    ///
    /// Never returns if the request may not be repeated, or once less than `needed`
    /// is left before the deadline. A silent target may be sound, so it is not left
    /// as long as no other can take over.
    pub(crate) async fn wait_for_successor(
        &self,
        silent: &TargetId,
        wait: Duration,
        needed: Duration,
    ) -> Choice {
        let mut pause = wait;
        loop {
            let due = self.gateway.now().saturating_add(pause);
            tokio::time::sleep(pause).await;
            if self.time_left() < needed {
                std::future::pending::<()>().await;
            }
            // What arrived while this instance was not running has not been read yet.
            pause = match self.gateway.now().saturating_sub(due) {
                delay if delay >= OWN_DELAY => wait,
                _ => match self.choose_successor(silent) {
                    Some(choice) => return choice,
                    None => SUCCESSOR_PAUSE,
                },
            };
        }
    }

    /// Takes a token from the retry budget and chooses another target than `silent`;
    /// `None` if either is impossible.
    fn choose_successor(&self, silent: &TargetId) -> Option<Choice> {
        if !self.take_retry() {
            return None;
        }
        let choice = self.choose(Some(silent));
        if choice.is_err() {
            let mut router = self.gateway.router.borrow_mut();
            router.return_retry_token(&self.admission.service);
        }
        choice.ok()
    }

    /// Checks whether the request may still be sent: its API key may have been
    /// revoked since it was admitted.
    fn readmit(&self) -> Result<(), Refusal> {
        let now = self.gateway.now();
        let router = self.gateway.router.borrow();
        router.readmit(now, &self.admission, self.head.key.as_deref())
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.gateway.now())
    }

    /// Sends the request to a target and waits for the head of the response, or until
    /// the target has been silent for too long and another one is to take over.
    async fn send(&mut self, pick: &Pick) -> Result<OpenResponse, AttemptError> {
        let sending = self.send_attempt(pick, self.head.last_event, self.time_left());
        let successor = tokio::select! {
            biased;
            opened = sending => return opened,
            successor = self.wait_for_first_byte(&pick.lease.target) => successor,
        };
        self.successor = Some(successor);
        Err(AttemptError::Lost("no answer in time".to_owned()))
    }

    /// Sends the request to a target as [`ForwardedRequest::send`] does; a stream
    /// continues after the event `after`.
    pub(crate) async fn send_attempt(
        &self,
        pick: &Pick,
        after: Option<u64>,
        timeout: Duration,
    ) -> Result<OpenResponse, AttemptError> {
        self.send_with(pick, after, timeout, &Notify::new()).await
    }

    /// Sends the request as [`ForwardedRequest::send_attempt`] does and notifies
    /// `sent` when the connection is open and sending begins.
    pub(crate) async fn send_with(
        &self,
        pick: &Pick,
        after: Option<u64>,
        timeout: Duration,
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
        let recheck = || {
            self.readmit().map_err(AttemptError::Withheld)?;
            let (router, now) = (self.gateway.router.borrow(), self.gateway.now());
            let available = router.recheck_target(now, &pick.lease);
            let admitted = router.recheck_quarantine(now, &self.fingerprints);
            available.and(admitted).map_err(AttemptError::Withheld)?;
            sent.notify_one();
            Ok(())
        };
        let notify = |notice| self.record_notice(&pick.lease, notice);
        let caller = &self.caller_request;
        attempt::send(caller, pick, &added, timeout, recheck, notify).await
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
    fn may_run_again(&self, runs: u32) -> bool {
        let route = &self.admission.route;
        route.retry_policy.is_repeatable() && runs < route.max_attempts
    }

    /// Waits until the target `silent` has taken too long to the head of its response
    /// or, for a stream, from there to the first event, and another one can take over.
    ///
    /// Never returns if no other attempt of this length fits.
    pub(crate) async fn wait_for_first_byte(&self, silent: &TargetId) -> Choice {
        if !self.may_run_again(self.runs + 1) {
            return std::future::pending().await;
        }
        let limit = self.first_byte_limit();
        self.wait_for_successor(silent, limit, limit).await
    }

    /// Returns the time in which a target usually sends the head of a response, and
    /// then the first event of a stream.
    pub(crate) fn first_byte_limit(&self) -> Duration {
        let route = &self.admission.route;
        let factor = match route.retry_policy {
            RetryPolicy::Idempotent => IDEMPOTENT_FACTOR,
            _ => RESUMABLE_FACTOR,
        };
        route.ttfb_goal.mul_f64(factor)
    }

    fn is_stream(&self, opened: &OpenResponse) -> bool {
        let response = &opened.response;
        self.admission.route.retry_policy.is_stream()
            && response.status().is_success()
            && requests::is_event_stream(response.headers())
    }

    /// Collects the body of a response that is not a stream.
    ///
    /// A complete response with a 5xx status is kept and reported as
    /// [`AttemptError::Failed`], because another target may succeed.
    async fn collect(
        &mut self,
        opened: OpenResponse,
        lease: LeaseGuard,
    ) -> Result<Response<ResponseBody>, AttemptError> {
        let OpenResponse {
            response, driver, ..
        } = opened;
        let (parts, body) = response.into_parts();
        let memory = self.gateway.memory.reservation();
        let collected = exchange::collect_reserved(body, MAX_RESPONSE_BYTES, memory);
        let collected = tokio::time::timeout(self.time_left(), collected).await;
        drop(driver);
        let body = match collected {
            Ok(Ok(body)) => body,
            Ok(Err(e)) => {
                lease.end(AttemptOutcome::Broken);
                return Err(e.into());
            }
            Err(_) => {
                lease.end(AttemptOutcome::Broken);
                return Err(AttemptError::Lost(
                    "the answer was not whole in time".to_owned(),
                ));
            }
        };
        if parts.status.is_success() {
            crashes::record_response(self, crashes::ends_with_connection(&parts.headers));
        }
        if !parts.status.is_server_error() {
            lease.end(AttemptOutcome::Completed);
            return Ok(self.respond(&parts, body));
        }
        lease.end(AttemptOutcome::Failed);
        self.failed_response = Some(FailedResponse { parts, body });
        Err(AttemptError::Failed)
    }

    /// Builds the final response from a target's and logs the end of the request.
    fn respond(&self, parts: &Parts, body: Bytes) -> Response<ResponseBody> {
        let is_failure = parts.status.is_server_error();
        let outcome = if is_failure { "failed" } else { "whole" };
        self.log_end(outcome, parts.status.as_u16(), &Value::Null);
        let mut response = Response::new(full_body(body));
        *response.status_mut() = parts.status;
        *response.headers_mut() = requests::end_to_end_headers(&parts.headers);
        response.headers_mut().remove(header::CONTENT_LENGTH);
        response
    }

    /// Decides what follows a failed attempt: the final response, or `None` for
    /// another attempt.
    fn after_error(&mut self, error: &AttemptError) -> Option<Response<ResponseBody>> {
        self.record_error(error);
        if !error.has_not_run() {
            self.runs += 1;
        }
        let may_retry = self.runs == 0 || self.may_run_again(self.runs);
        let has_time = self.time_left() > MIN_ATTEMPT_TIME;
        let has_token = || self.successor.is_some() || self.take_retry();
        if may_retry && has_time && (!error.may_have_arrived() || has_token()) {
            self.gateway.metrics.count("retries", error.label());
            return None;
        }
        if let Some(FailedResponse { parts, body }) = self.failed_response.take() {
            return Some(self.respond(&parts, body));
        }
        let refusal = error.has_not_run().then_some(Refusal::Full);
        let reason = format!("{}: {}", error.label(), error.detail());
        Some(self.give_up(&reason, refusal))
    }

    /// Records how many other requests the target has in flight, if its response
    /// reports that.
    pub(crate) fn record_load(&mut self, pick: &Pick, opened: &Result<OpenResponse, AttemptError>) {
        let load = opened.as_ref().ok().and_then(|opened| opened.target_load);
        let Some(others) = load.map(|load| load.saturating_sub(1)) else {
            return;
        };
        let metrics = &self.gateway.metrics;
        metrics.count("target_loads", load_label(others, pick.load_limit));
        if let Some(record) = self.attempts.last_mut() {
            record.reported_load = Some(others);
        }
    }

    /// Records why the last attempt failed and excludes its target from the next
    /// ones.
    pub(crate) fn record_error(&mut self, error: &AttemptError) {
        self.gateway.metrics.count("misses", error.label());
        if let Some(record) = self.attempts.last_mut() {
            record.error = Some(error.label());
            self.tried.push(record.target.clone());
        }
    }

    /// Takes a token from the retry budget; returns whether there was one.
    pub(crate) fn take_retry(&self) -> bool {
        let now = self.gateway.now();
        let mut router = self.gateway.router.borrow_mut();
        router.take_retry_token(now, &self.admission.service)
    }

    /// Builds a final error response and logs the end of the request.
    ///
    /// Status 503 promises that the request did not run, so it is sent only if no
    /// attempt can have run it; otherwise 504 if time is up, else 502.
    fn give_up(&self, reason: &str, refusal: Option<Refusal>) -> Response<ResponseBody> {
        let is_late = self.time_left() <= MIN_ATTEMPT_TIME;
        let status = match refusal {
            Some(_) if self.runs == 0 => 503,
            _ if is_late => 504,
            _ => 502,
        };
        let (outcome, detail, wait) = match refusal {
            Some(Refusal::Quarantined {
                fingerprint,
                time_left,
            }) => {
                let detail = json!({ "fingerprint": crashes::hex(fingerprint) });
                ("quarantined", detail, time_left)
            }
            _ => ("refused", json!(reason), self.pause_left()),
        };
        self.log_end(outcome, status, &detail);
        let wait = (status == 503).then(|| wait.as_secs_f64() + retry_after());
        own_response(&self.gateway, status, reason, wait)
    }

    /// Returns the time for which all targets of the service want no request. Nothing
    /// is sent to them before, however often the caller returns.
    fn pause_left(&self) -> Duration {
        let router = self.gateway.router.borrow();
        let pause = router.pause_left(self.gateway.now(), &self.admission.service);
        pause.unwrap_or_default()
    }

    /// Logs the end of the request and counts it in the metrics.
    pub(crate) fn log_end(&self, outcome: &'static str, status: u16, reason: &Value) {
        self.is_finished.set(true);
        let gateway = &self.gateway;
        let took = gateway.now().saturating_sub(self.arrived);
        gateway.metrics.count("requests", outcome);
        gateway.metrics.record_latency("request", took);
        let failed = status >= 500;
        gateway.event_log.request(failed, || {
            let router = gateway.router.borrow();
            let age = router.freshness().age(gateway.now());
            json!({
                "event": "request", "id": self.head.attempt, "route": self.admission.route.name,
                "service": self.admission.service, "workspace": self.admission.workspace,
                "configuration": self.admission.version,
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
