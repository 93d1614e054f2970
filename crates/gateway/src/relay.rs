//! Relays event streams from targets to callers.
//!
//! If a target fails in the middle of a resumable stream, the stream continues at
//! another target after the last event that the caller got.

use crate::admitted::Choice;
use crate::attempt::{AttemptError, LeaseGuard, OpenResponse};
use crate::crashes::{self, StreamProgress};
use crate::forward::{ForwardedRequest, RequestCounter};
use crate::overlap;
use crate::responses::{ChannelBody, ResponseBody, Truncated};
use crate::sse::SseEvent;
use crate::target_stream::{TargetStream, lost};
use decision::{AttemptOutcome, Pick, RetryPolicy, Time};
use http_body_util::BodyExt;
use hyper::body::Bytes;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Response, StatusCode, header};
use platform::requests;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::sync::{Notify, mpsc};

/// Events buffered for a slow caller; when the buffer is full, nothing is read
/// from the target.
const EVENT_QUEUE: usize = 16;
/// Time without a new event after which another target is asked to continue a
/// resumable stream, as a multiple of the route's goal for the gap between events,
/// which the operators set to 400 ms.
const GAP_FACTOR: f64 = 2.5;
/// Lower limit of that time. Sound targets are silent for about a second at times.
const MIN_GAP: Duration = Duration::from_millis(1_500);
/// Time left before the deadline below which a stream is not resumed.
const MIN_RESUME_TIME: Duration = Duration::from_millis(100);
/// Pause before a stream is resumed at yet another target, after one that was full
/// or could not be reached.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// Starts the task that relays a stream whose first event is `first`, and returns the
/// response to the caller.
pub(crate) fn start(
    request: ForwardedRequest,
    parts: Parts,
    stream: TargetStream,
    first: Option<SseEvent>,
) -> Response<ResponseBody> {
    let progress = StreamProgress::new(&parts.headers, stream.pick.clone());
    let gateway = &request.admitted.gateway;
    let took = gateway.now().saturating_sub(request.admitted.arrived);
    gateway.metrics.record_latency("first_event", took);
    let (sender, frames) = mpsc::channel(EVENT_QUEUE);
    let counted = RequestCounter::new(gateway);
    let body = ChannelBody::new(frames);
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = parts.status;
    *response.headers_mut() = requests::end_to_end_headers(&parts.headers);
    response.headers_mut().remove(header::CONTENT_LENGTH);
    tokio::task::spawn_local(async move {
        let _counted = counted;
        Relay {
            request,
            sender,
            headers: parts.headers,
            last_id: None,
            events: 0,
            progress,
        }
        .run(stream, first)
        .await;
    });
    response
}

/// Task that relays one stream to one caller.
struct Relay {
    request: ForwardedRequest,
    sender: mpsc::Sender<Result<Bytes, Truncated>>,
    /// Headers of the first target's response.
    headers: HeaderMap,
    /// Id of the last event that was sent to the caller.
    last_id: Option<u64>,
    /// Events sent to the caller.
    events: u32,
    progress: StreamProgress,
}

/// Why the stream from one target ended.
enum StreamEnd {
    /// The target sent the complete stream.
    Complete,
    /// The caller closed its connection.
    CallerLeft,
    /// The request's deadline passed.
    DeadlinePassed,
    /// The connection to the target failed.
    Failed(AttemptError),
    /// The target was silent, and another one continues the stream.
    Replaced(Box<TargetStream>),
}

/// What ended the time in which two targets held the request.
enum Overlap {
    /// The silent target sent an event or the end of the stream.
    Continued(Option<SseEvent>),
    /// The other target responded or failed.
    Responded(Box<Result<OpenResponse, AttemptError>>),
    /// The caller closed its connection.
    CallerLeft,
}

impl Relay {
    async fn run(mut self, mut stream: TargetStream, first: Option<SseEvent>) {
        let mut first = Some(first.ok_or(StreamEnd::Complete));
        loop {
            let end = self.forward_events(&mut stream, first.take()).await;
            stream.end(match end {
                StreamEnd::Complete => AttemptOutcome::Completed,
                StreamEnd::Failed(_) | StreamEnd::Replaced(_) => AttemptOutcome::Broken,
                StreamEnd::CallerLeft | StreamEnd::DeadlinePassed => AttemptOutcome::Abandoned,
            });
            self.record_progress(&end);
            let error = match end {
                StreamEnd::Complete => return self.request.log_end("whole", 200, &Value::Null),
                StreamEnd::CallerLeft => {
                    return self.request.log_end("caller_left", 200, &Value::Null);
                }
                StreamEnd::DeadlinePassed => return self.truncate("time is over").await,
                StreamEnd::Replaced(successor) => {
                    stream = *successor;
                    continue;
                }
                StreamEnd::Failed(error) => error,
            };
            self.request
                .admitted
                .gateway
                .metrics
                .count("streams_cut", error.label());
            match self.resume(stream.index, &error).await {
                Ok(resumed) => stream = resumed,
                Err(_) if self.sender.is_closed() => {
                    return self.request.log_end("caller_left", 200, &Value::Null);
                }
                Err(obstacle) => {
                    self.request
                        .admitted
                        .gateway
                        .metrics
                        .count("resume_failures", obstacle);
                    let reason = format!("{}; not resumed: {obstacle}", error.detail());
                    return self.truncate(&reason).await;
                }
            }
        }
    }

    /// Sends events to the caller until the stream from one target ends. `first` is
    /// the first event, if it has been read already.
    async fn forward_events(
        &mut self,
        stream: &mut TargetStream,
        mut first: Option<Result<SseEvent, StreamEnd>>,
    ) -> StreamEnd {
        // Events that the caller has already got are no progress: a target that
        // repeats them forever must not hold the stream.
        let mut last_progress = self.request.admitted.gateway.now();
        let mut max_gap = match first {
            Some(_) => self.max_gap(),
            None => self.max_gap().max(self.request.admitted.first_byte_limit()),
        };
        // An event without an id is as new as the one before it.
        let mut is_new = self.last_id.is_none();
        let mut has_new = false;
        loop {
            let next = match first.take() {
                Some(next) => next,
                None => self.next_event(stream, last_progress, max_gap).await,
            };
            let event = match next {
                Ok(event) => event,
                Err(StreamEnd::Complete) if !has_new && !stream.may_be_empty => {
                    return StreamEnd::Failed(lost("the resumed stream has no new event"));
                }
                Err(end) => return end,
            };
            is_new = event.id.map_or(is_new, |id| Some(id) > self.last_id);
            has_new |= is_new;
            self.progress.record_event(&self.request.admitted);
            if is_new {
                self.last_id = event.id.or(self.last_id);
                self.events += 1;
                // A caller that stops reading must not occupy its target beyond
                // the deadline.
                let sent = self.sender.send(Ok(event.bytes));
                match tokio::time::timeout(self.request.admitted.time_left(), sent).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return StreamEnd::CallerLeft,
                    Err(_) => return StreamEnd::DeadlinePassed,
                }
                last_progress = self.request.admitted.gateway.now();
                max_gap = self.max_gap();
            }
            if !is_new && self.idle(last_progress) >= max_gap {
                return StreamEnd::Failed(AttemptError::Lost(
                    "no new event for too long".to_owned(),
                ));
            }
        }
    }

    /// Waits for the next event or the end of the stream. After `max_gap` since
    /// `last_progress` another target is asked to continue the stream.
    ///
    /// A silent target is left only for another one, because it may still continue.
    async fn next_event(
        &mut self,
        stream: &mut TargetStream,
        last_progress: Time,
        max_gap: Duration,
    ) -> Result<SseEvent, StreamEnd> {
        let mut pause = Duration::ZERO;
        loop {
            let left = self.request.admitted.time_left();
            if left.is_zero() {
                return Err(StreamEnd::DeadlinePassed);
            }
            let idle = self.idle(last_progress);
            // Unlimited once a failed successor was the last attempt.
            let max_gap = max_gap.max(self.max_gap());
            let wait = max_gap.saturating_sub(idle).max(pause);
            let silent = [stream.target().clone()];
            let successor = tokio::select! {
                biased;
                () = self.sender.closed() => return Err(StreamEnd::CallerLeft),
                event = stream.next() => {
                    return event.map_err(StreamEnd::Failed)?.ok_or(StreamEnd::Complete);
                }
                () = tokio::time::sleep(left) => return Err(StreamEnd::DeadlinePassed),
                successor = self.request.wait_for_successor(&silent, wait, MIN_RESUME_TIME) => {
                    successor
                }
            };
            if let Some(next) = self.try_successor(stream, successor).await {
                return next;
            }
            pause = RESUME_PAUSE;
        }
    }

    /// Records what the end of the stream from one target tells of crashes.
    fn record_progress(&mut self, end: &StreamEnd) {
        match end {
            StreamEnd::Complete => self.progress.record_complete(&self.request.admitted),
            StreamEnd::Failed(AttemptError::Disconnected(_)) => {
                self.progress.record_loss(&self.request.admitted);
            }
            StreamEnd::CallerLeft
            | StreamEnd::DeadlinePassed
            | StreamEnd::Failed(_)
            | StreamEnd::Replaced(_) => {}
        }
    }

    /// Asks another target to continue the stream of a silent one, which is left
    /// once the other one has accepted the request. Returns `None` if it doesn't.
    ///
    /// A target that has held the request for a while has not refused it either, and
    /// the silent one is left.
    async fn try_successor(
        &mut self,
        stream: &mut TargetStream,
        (pick, lease): Choice,
    ) -> Option<Result<SseEvent, StreamEnd>> {
        let index = self.request.record_attempt(&pick);
        let opened = match self.overlap(stream, &pick).await {
            Overlap::Responded(opened) => *opened,
            Overlap::Continued(event) => {
                self.request.record_error(index, &AttemptError::Surplus);
                self.request.runs += 1;
                return Some(event.ok_or(StreamEnd::Complete));
            }
            Overlap::CallerLeft => return Some(Err(StreamEnd::CallerLeft)),
        };
        self.record_load(index, &pick, &opened);
        let error = match opened {
            Ok(opened) if self.can_continue(&opened) => {
                self.request
                    .record_error(stream.index, &AttemptError::Silent);
                self.request.runs += 1;
                let gateway = &self.request.admitted.gateway;
                gateway.metrics.count("resumes", "silent");
                let successor = self.continue_at(opened, index, pick, lease);
                return Some(Err(StreamEnd::Replaced(Box::new(successor))));
            }
            Ok(_) => AttemptError::Failed,
            Err(error) => error,
        };
        lease.end(error.outcome());
        self.request.record_error(index, &error);
        if error.is_disconnection() {
            crashes::check_target(&self.request.admitted, &pick);
        }
        if !error.may_have_arrived() {
            self.request.admitted.return_retry();
        }
        if !error.has_not_run() {
            self.request.runs += 1;
        }
        if !stream.is_open() {
            return Some(Err(StreamEnd::Failed(error)));
        }
        None
    }

    /// Sends the request to another target while a silent one may still continue its
    /// stream, for as long as two targets may hold the request.
    async fn overlap(&mut self, stream: &mut TargetStream, pick: &Pick) -> Overlap {
        let sent = Notify::new();
        let admitted = self.request.admitted.clone();
        let sending = admitted.send(pick, self.last_id, &sent);
        let held = overlap::wait_until_held(&sent);
        let (mut sending, mut held) = (std::pin::pin!(sending), std::pin::pin!(held));
        loop {
            tokio::select! {
                biased;
                () = self.sender.closed() => return Overlap::CallerLeft,
                event = stream.next(), if stream.is_open() => match event {
                    // An event that the caller has already got is no progress.
                    Ok(Some(event)) if event.id.is_some_and(|id| Some(id) <= self.last_id) => {}
                    Ok(event) => return Overlap::Continued(event),
                    Err(error) => {
                        stream.end(AttemptOutcome::Broken);
                        self.request.record_error(stream.index, &error);
                        if matches!(error, AttemptError::Disconnected(_)) {
                            self.progress.record_loss(&admitted);
                        }
                    }
                },
                opened = sending.as_mut() => return Overlap::Responded(Box::new(opened)),
                () = held.as_mut(), if stream.is_open() => {
                    stream.end(AttemptOutcome::Broken);
                    self.request.record_error(stream.index, &AttemptError::Silent);
                    self.request.left = Some(stream.target().clone());
                }
            }
        }
    }

    /// Records the load that a response reports of its target.
    fn record_load(
        &mut self,
        index: usize,
        pick: &Pick,
        opened: &Result<OpenResponse, AttemptError>,
    ) {
        let load = opened.as_ref().ok().and_then(|opened| opened.target_load);
        self.request.record_load(index, pick, load);
    }

    /// Continues the stream with the response of another target.
    fn continue_at(
        &mut self,
        opened: OpenResponse,
        index: usize,
        pick: Pick,
        lease: LeaseGuard,
    ) -> TargetStream {
        let admitted = &self.request.admitted;
        let (parts, mut stream) = TargetStream::new(admitted, opened, index, pick, true);
        stream.hold(lease);
        self.progress = StreamProgress::new(&parts.headers, stream.pick.clone());
        stream
    }

    /// Returns the time since `last_progress`.
    fn idle(&self, last_progress: Time) -> Duration {
        self.request
            .admitted
            .gateway
            .now()
            .saturating_sub(last_progress)
    }

    /// Returns the longest time without a new event before another target is asked
    /// to continue the stream; unlimited if it can't be resumed.
    fn max_gap(&self) -> Duration {
        let route = &self.request.admitted.admission.route;
        if route.retry_policy == RetryPolicy::Resumable
            && self.last_id.is_some()
            && self.request.runs + 1 < route.max_attempts
        {
            return route.gap_goal.mul_f64(GAP_FACTOR).max(MIN_GAP);
        }
        Duration::MAX
    }

    /// Continues the stream of attempt `index`, which ended with `error`, after its last
    /// event at another target.
    ///
    /// # Errors
    ///
    /// Returns why it can't be resumed, as a label of the metrics.
    async fn resume(
        &mut self,
        index: usize,
        error: &AttemptError,
    ) -> Result<TargetStream, &'static str> {
        self.request.record_error(index, error);
        self.request.runs += 1;
        let route = self.request.admitted.admission.route.clone();
        if route.retry_policy != RetryPolicy::Resumable || self.last_id.is_none() {
            return Err("not_resumable");
        }
        if self.request.runs >= route.max_attempts {
            return Err("no_attempt_left");
        }
        while self.request.admitted.time_left() > MIN_RESUME_TIME && !self.sender.is_closed() {
            if !self.request.admitted.take_retry() {
                return Err("no_retry");
            }
            let choice = self.request.choose_target();
            let (pick, lease) = choice.map_err(|refusal| {
                self.request.admitted.return_retry();
                refusal.word()
            })?;
            let index = self.request.record_attempt(&pick);
            let (admitted, sent) = (self.request.admitted.clone(), Notify::new());
            let opened = tokio::select! {
                biased;
                () = self.sender.closed() => break,
                opened = admitted.send(&pick, self.last_id, &sent) => opened,
            };
            self.record_load(index, &pick, &opened);
            match opened {
                Ok(opened) if self.can_continue(&opened) => {
                    admitted.gateway.metrics.count("resumes", error.label());
                    return Ok(self.continue_at(opened, index, pick, lease));
                }
                Ok(_) => {
                    lease.end(AttemptOutcome::Failed);
                    self.request.record_error(index, &AttemptError::Failed);
                    return Err("failed");
                }
                Err(retry_error) => {
                    self.request.record_error(index, &retry_error);
                    lease.end(retry_error.outcome());
                    if retry_error.is_disconnection() {
                        crashes::check_target(&admitted, &pick);
                    }
                    if !retry_error.has_not_run() {
                        return Err(retry_error.label());
                    }
                    if !retry_error.may_have_arrived() {
                        admitted.return_retry();
                    }
                    tokio::time::sleep(RESUME_PAUSE).await;
                }
            }
        }
        Err("no_time")
    }

    /// Returns whether a response can continue the stream that the caller gets.
    fn can_continue(&self, opened: &OpenResponse) -> bool {
        let response = &opened.response;
        response.status() == StatusCode::OK
            && requests::is_same_format(&self.headers, response.headers())
    }

    /// Ends the body with an error, so that the caller notices that the stream is
    /// incomplete.
    async fn truncate(self, reason: &str) {
        let events = self.events;
        self.request
            .log_end("cut", 502, &json!({ "reason": reason, "events": events }));
        // Fails only if the caller has closed its connection.
        let _ = self.sender.send(Err(Truncated)).await;
    }
}
