//! A caller's request from its head to the answer.

use crate::Shared;
use crate::attempt::{self, Call, Held, Miss, Opened};
use crate::relay::{self, Outlet};
use decision::{
    Admission, AttemptOutcome, Pick, PoolView, Refusal, RetryPolicy, TargetId, TargetQuery, Time,
    hash_parts,
};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode, header};
use platform::requests::{self, AddedHeaders, CallerHead};
use rand::Rng;
use serde::Serialize;
use serde_json::{Value, json};
use std::cell::Cell;
use std::time::Duration;

/// Most bytes of an answer that is not a stream.
const ANSWER_MAX: usize = 8 << 20;
/// Time for which an idempotent request waits for its first target, as a
/// multiple of the route's goal, while another target may yet answer in time.
const PATIENCE: f64 = 1.3;
/// Time for which a stream that may go on elsewhere waits for its first event,
/// as a multiple of the route's goal.
const STREAM_PATIENCE: f64 = 3.0;
/// Shortest time that is worth another attempt.
const ATTEMPT_MIN: Duration = Duration::from_millis(30);
/// Seconds after which a caller may come back: shortest and longest, spread so
/// that those refused together don't return together.
const RETRY_AFTER: std::ops::Range<f64> = 0.15..0.5;

/// A request on its way.
pub(crate) struct Journey {
    pub(crate) gateway: Shared,
    pub(crate) call: Call,
    pub(crate) head: CallerHead,
    pub(crate) admission: Admission,
    pub(crate) arrived: Time,
    /// Time at which the caller or the route gives up.
    pub(crate) deadline: Time,
    pub(crate) tried: Vec<TargetId>,
    /// Attempts that may have run.
    pub(crate) runs: u32,
    /// What decided each attempt, for the log.
    notes: Vec<Note>,
    is_finished: Cell<bool>,
    hash: u64,
    /// Last answer that says that the request failed at its target.
    failure: Option<Failure>,
}

/// What decided an attempt, and how it ended if it was missed.
#[derive(Clone, Debug, Serialize)]
struct Note {
    target: TargetId,
    load: u32,
    bound: u32,
    place: u32,
    fetch: bool,
    pool: PoolView,
    /// Other requests that the target held by its own count.
    held: Option<u32>,
    miss: Option<&'static str>,
}

/// A whole answer that says that the request failed.
struct Failure {
    parts: Parts,
    body: Bytes,
}

/// Serves one request of a caller.
pub(crate) async fn serve(gateway: &Shared, request: Request<Incoming>) -> Response<Outlet> {
    let arrived = gateway.now();
    let _counted = Counted::new(gateway);
    let (parts, body) = request.into_parts();
    let head = match requests::decode_caller_head(&parts) {
        Ok(head) => head,
        Err(message) => return plain(gateway, 400, message, None),
    };
    let body = match read_body(gateway, body).await {
        Ok(body) => body,
        Err((status, message)) => return plain(gateway, status, message, None),
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
        Err(refusal) => return refused(gateway, &head, refusal, None),
    };
    let timeout = admission.route.timeout;
    let wait = head.timeout.map_or(timeout, |w| w.min(timeout));
    let journey = Journey {
        gateway: gateway.clone(),
        call: Call {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            attempt: head.attempt.clone(),
        },
        head,
        admission,
        arrived,
        deadline: arrived + wait,
        tried: Vec::new(),
        runs: 0,
        notes: Vec::new(),
        is_finished: Cell::new(false),
        hash,
        failure: None,
    };
    journey.run().await
}

/// Counts a request for as long as it is served.
pub(crate) struct Counted(Shared);

impl Counted {
    pub(crate) fn new(gateway: &Shared) -> Self {
        gateway.requests.set(gateway.requests.get() + 1);
        Counted(gateway.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get().saturating_sub(1));
    }
}

async fn read_body(gateway: &Shared, body: Incoming) -> Result<Bytes, (u16, &'static str)> {
    use hyper::body::Body;
    let limits = gateway.router.borrow().catalog().map(|c| c.limits);
    let most = limits.unwrap_or_default().body_bytes;
    if body.size_hint().lower() > most as u64 {
        return Err((413, "the body is too large"));
    }
    match Limited::new(body, most).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err((413, "the body is too large")),
        Err(_) => Err((400, "the body ended early")),
    }
}

impl Journey {
    async fn run(mut self) -> Response<Outlet> {
        let service = self.admission.service.clone();
        self.gateway.router.borrow_mut().count(&service);
        loop {
            let (pick, held) = match self.choose() {
                Ok(chosen) => chosen,
                Err(refusal) => {
                    if let Some(Failure { parts, body }) = self.failure.take() {
                        return self.answer(&parts, body);
                    }
                    return self.give_up(refusal.word(), Some(refusal));
                }
            };
            let opened = self.open(&pick).await;
            self.note_held(&pick, &opened);
            let missed = match opened {
                Ok(opened) if self.is_stream(&opened) => {
                    match relay::begin(self, opened, held).await {
                        Ok(response) => return response,
                        Err((journey, miss)) => {
                            self = *journey;
                            miss
                        }
                    }
                }
                Ok(opened) => match self.whole(opened, held).await {
                    Ok(response) => return response,
                    Err(miss) => miss,
                },
                Err(miss) => {
                    held.end(miss.ending());
                    miss
                }
            };
            if let Some(response) = self.missed(&missed) {
                return response;
            }
        }
    }

    /// Chooses a target and counts the request there.
    pub(crate) fn choose(&mut self) -> Result<(Pick, Held), Refusal> {
        let need = TargetQuery {
            service: &self.admission.service,
            subject: self
                .head
                .prompt_prefix
                .filter(|_| self.admission.route.prompts),
            hash: self.hash,
            tried: &self.tried,
        };
        let now = self.gateway.now();
        self.readmit()?;
        let pick = self.gateway.router.borrow_mut().choose(now, &need)?;
        self.notes.push(Note {
            target: pick.lease.target.clone(),
            load: pick.load,
            bound: pick.bound,
            place: pick.place,
            fetch: pick.fetch.is_some(),
            pool: pick.pool,
            held: None,
            miss: None,
        });
        let metrics = &self.gateway.metrics;
        metrics.count("known_loads", against(pick.load, pick.limit));
        let held = Held::new(&self.gateway, pick.lease.clone());
        Ok((pick, held))
    }

    /// Whether the request may still be sent to a target.
    fn readmit(&self) -> Result<(), Refusal> {
        let now = self.gateway.now();
        let router = self.gateway.router.borrow();
        router.readmit(now, &self.admission, self.head.key.as_deref())
    }

    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_sub(self.gateway.now())
    }

    /// Sends the request to a target and waits for the answer's head.
    async fn open(&self, pick: &Pick) -> Result<Opened, Miss> {
        let limit = self.patience();
        self.open_after(pick, self.head.last_event, limit).await
    }

    pub(crate) async fn open_after(
        &self,
        pick: &Pick,
        after: Option<u64>,
        limit: Duration,
    ) -> Result<Opened, Miss> {
        let prompts = self.admission.route.prompts;
        let forward = AddedHeaders {
            target: &pick.lease.target,
            workspace: self.admission.workspace.as_deref(),
            time_left: Some(self.left()),
            priority: prompts.then_some(self.admission.rank),
            cache_source: pick.fetch,
            last_event: after,
        };
        let readmit = || self.readmit();
        attempt::open(&self.call, pick, &forward, limit, readmit).await
    }

    /// Whether another target may run the request after so many may have.
    fn may_run_again(&self, runs: u32) -> bool {
        let route = &self.admission.route;
        route.repeat.is_repeatable() && runs < route.attempts
    }

    /// Time for which this attempt may go without an answer.
    pub(crate) fn patience(&self) -> Duration {
        let route = &self.admission.route;
        let left = self.left();
        let may_repeat = self.may_run_again(self.runs + 1);
        let patience = match route.repeat {
            _ if !may_repeat => return left,
            RetryPolicy::Idempotent => route.goal.mul_f64(PATIENCE),
            _ => route.goal.mul_f64(STREAM_PATIENCE),
        };
        // The next attempt needs as long again.
        if patience * 2 > left { left } else { patience }
    }

    fn is_stream(&self, opened: &Opened) -> bool {
        self.admission.route.repeat.is_stream() && opened.answer.status().is_success()
    }

    /// Collects a whole answer. A failure that another target may not have is
    /// kept and counts as a miss.
    async fn whole(&mut self, opened: Opened, held: Held) -> Result<Response<Outlet>, Miss> {
        let Opened { answer, driver, .. } = opened;
        let (parts, body) = answer.into_parts();
        let memory = self.gateway.memory.reservation();
        let collected = exchange::collect_reserved(body, ANSWER_MAX, memory);
        let collected = tokio::time::timeout(self.left(), collected).await;
        drop(driver);
        let body = match collected {
            Ok(Ok(body)) => body,
            Ok(Err(e)) => {
                held.end(AttemptOutcome::Broken);
                return Err(e.into());
            }
            Err(_) => {
                held.end(AttemptOutcome::Broken);
                return Err(Miss::Lost("the answer was not whole in time".to_owned()));
            }
        };
        if !parts.status.is_server_error() {
            held.end(AttemptOutcome::Whole);
            return Ok(self.answer(&parts, body));
        }
        held.end(AttemptOutcome::Failed);
        self.failure = Some(Failure { parts, body });
        Err(Miss::Failed)
    }

    fn answer(&self, parts: &Parts, body: Bytes) -> Response<Outlet> {
        let is_failure = parts.status.is_server_error();
        let word = if is_failure { "failed" } else { "whole" };
        self.finished(word, parts.status.as_u16(), &Value::Null);
        let mut response = Response::new(relay::whole(body));
        *response.status_mut() = parts.status;
        *response.headers_mut() = requests::end_to_end_headers(&parts.headers);
        response.headers_mut().remove(header::CONTENT_LENGTH);
        response
    }

    /// Decides what follows a miss: `None` for another attempt.
    fn missed(&mut self, miss: &Miss) -> Option<Response<Outlet>> {
        self.note_miss(miss);
        if !miss.has_not_run() {
            self.runs += 1;
        }
        let may_repeat = self.runs == 0 || self.may_run_again(self.runs);
        let is_early = self.left() > ATTEMPT_MIN;
        if may_repeat && is_early && (!miss.has_arrived() || self.take_retry()) {
            self.gateway.metrics.count("retries", miss.word());
            return None;
        }
        if let Some(Failure { parts, body }) = self.failure.take() {
            return Some(self.answer(&parts, body));
        }
        let full = miss.has_not_run().then_some(Refusal::Full);
        let word = format!("{}: {}", miss.word(), miss.detail());
        Some(self.give_up(&word, full))
    }

    /// Notes what a target that answered held besides, by its own count.
    pub(crate) fn note_held(&mut self, pick: &Pick, opened: &Result<Opened, Miss>) {
        let held = opened.as_ref().ok().and_then(|opened| opened.held);
        let Some(others) = held.map(|held| held.saturating_sub(1)) else {
            return;
        };
        let metrics = &self.gateway.metrics;
        metrics.count("target_loads", against(others, pick.limit));
        if let Some(note) = self.notes.last_mut() {
            note.held = Some(others);
        }
    }

    /// Notes how the last attempt was missed; no other one goes to its target.
    pub(crate) fn note_miss(&mut self, miss: &Miss) {
        self.gateway.metrics.count("misses", miss.word());
        if let Some(note) = self.notes.last_mut() {
            note.miss = Some(miss.word());
            self.tried.push(note.target.clone());
        }
    }

    pub(crate) fn take_retry(&self) -> bool {
        let now = self.gateway.now();
        let mut router = self.gateway.router.borrow_mut();
        router.retry(now, &self.admission.service)
    }

    /// Final answer of this system's own: a promise that nothing ran only if
    /// nothing can have run.
    fn give_up(&self, reason: &str, refusal: Option<Refusal>) -> Response<Outlet> {
        let is_late = self.left() <= ATTEMPT_MIN;
        let status = match refusal {
            Some(_) if self.runs == 0 => 503,
            _ if is_late => 504,
            _ => 502,
        };
        let wait = (status == 503).then(retry_after);
        self.finished("refused", status, &json!(reason));
        plain(&self.gateway, status, reason, wait)
    }

    /// Logs and counts the end of the request.
    pub(crate) fn finished(&self, outcome: &'static str, status: u16, reason: &Value) {
        self.is_finished.set(true);
        let gateway = &self.gateway;
        let took = gateway.now().saturating_sub(self.arrived);
        gateway.metrics.count("requests", outcome);
        gateway.metrics.time("request", took);
        let failed = status >= 500;
        gateway.record.request(failed, || {
            let router = gateway.router.borrow();
            let age = router.freshness().age(gateway.now());
            json!({
                "event": "request", "id": self.head.attempt, "route": self.admission.route.name,
                "service": self.admission.service, "workspace": self.admission.workspace,
                "configuration": self.admission.version,
                "configuration_age_ms": age.map(|a| a.as_millis() as u64),
                "attempts": self.notes, "runs": self.runs,
                "outcome": outcome, "status": status, "reason": reason,
                "took_ms": took.as_millis() as u64,
            })
        });
    }
}

impl Drop for Journey {
    fn drop(&mut self) {
        // The caller's connection ended, and everything that waited with it.
        if !self.is_finished.get() {
            self.finished("caller_left", 0, &Value::Null);
        }
    }
}

/// Whether a load passes the limit by the pool's mean, as a word for metrics.
fn against(load: u32, limit: u32) -> &'static str {
    if load > limit { "over" } else { "within" }
}

fn retry_after() -> f64 {
    rand::rng().random_range(RETRY_AFTER)
}

fn refused(
    gateway: &Shared,
    head: &CallerHead,
    refusal: Refusal,
    reason: Option<&str>,
) -> Response<Outlet> {
    let status = requests::refusal_status(refusal);
    gateway.metrics.count("requests", refusal.word());
    gateway.record.request(true, || {
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
    plain(gateway, status, refusal.word(), wait)
}

/// An answer of this system's own.
pub(crate) fn plain(
    gateway: &Shared,
    status: u16,
    message: &str,
    retry_after: Option<f64>,
) -> Response<Outlet> {
    gateway.metrics.count("own_answers", status_word(status));
    let body = json!({ "error": message }).to_string();
    let mut response = Response::new(relay::whole(Bytes::from(body)));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    let json_type = header::HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json_type);
    if let Some(wait) = retry_after
        && let Ok(value) = header::HeaderValue::try_from(format!("{wait:.2}"))
    {
        headers.insert(header::RETRY_AFTER, value);
    }
    response
}

fn status_word(status: u16) -> &'static str {
    match status {
        400 => "400",
        401 => "401",
        404 => "404",
        413 => "413",
        502 => "502",
        503 => "503",
        504 => "504",
        _ => "other",
    }
}
