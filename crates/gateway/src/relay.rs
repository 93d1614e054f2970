//! Streams from targets to callers, event by event.

use crate::SharedGateway;
use crate::attempt::{AttemptError, LeaseGuard, OpenResponse};
use crate::forward::{ForwardedRequest, RequestCounter};
use crate::sse::{SseEvent, SseSplitter};
use decision::{AttemptOutcome, RetryPolicy};
use exchange::Reservation;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Frame, Incoming};
use hyper::{Response, header};
use platform::requests;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;

/// Events that wait for a slow caller; beyond them the target waits.
const EVENT_QUEUE: usize = 16;
/// Silence after which a stream that may go on elsewhere does: two and a half
/// times the longest pause of an answer that is on time, of 400 ms.
const SILENCE_FACTOR: f64 = 2.5;
/// Shortest such silence.
const MIN_SILENCE: Duration = Duration::from_millis(800);
/// Shortest time that is worth going on elsewhere.
const MIN_RESUME_TIME: Duration = Duration::from_millis(100);
/// Pause before another target is looked for where all are full.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// Body of an answer to a caller.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, Truncated>;

/// An answer that ends before it is whole; the caller's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Truncated;

impl std::fmt::Display for Truncated {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer is not whole")
    }
}

impl std::error::Error for Truncated {}

/// Body that is there as a whole.
pub(crate) fn full_body(body: Bytes) -> ResponseBody {
    Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync()
}

struct ChannelBody {
    frames: mpsc::Receiver<Result<Bytes, Truncated>>,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let frame = self.frames.poll_recv(context);
        frame.map(|f| f.map(|f| f.map(Frame::data)))
    }
}

/// One target's part of a stream.
struct TargetStream {
    body: Incoming,
    driver: Option<exchange::Driver>,
    lease: Option<LeaseGuard>,
    splitter: SseSplitter,
    memory: Reservation,
    events: VecDeque<SseEvent>,
    is_finished: bool,
}

impl TargetStream {
    fn new(
        gateway: &SharedGateway,
        opened: OpenResponse,
        lease: LeaseGuard,
    ) -> (hyper::http::response::Parts, TargetStream) {
        let OpenResponse {
            response, driver, ..
        } = opened;
        let (parts, body) = response.into_parts();
        let stream = TargetStream {
            body,
            driver: Some(driver),
            lease: Some(lease),
            splitter: SseSplitter::default(),
            memory: gateway.memory.reservation(),
            events: VecDeque::new(),
            is_finished: false,
        };
        (parts, stream)
    }

    /// Next event, or `None` where the stream has ended as its target meant.
    async fn next(&mut self) -> Result<Option<SseEvent>, AttemptError> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(Some(event));
            }
            if self.is_finished {
                return Ok(None);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    let events = self.splitter.push(&bytes);
                    let events = events.map_err(|e| AttemptError::Lost(e.to_owned()))?;
                    self.events.extend(events);
                    if !self.memory.try_resize(self.splitter.capacity()) {
                        return Err(exchange::Error::TooLarge.into());
                    }
                }
                Some(Err(e)) => return Err(AttemptError::Lost(e.to_string())),
                None => {
                    self.is_finished = true;
                    let rest = Bytes::copy_from_slice(self.splitter.remainder());
                    if !rest.is_empty() {
                        let event = SseEvent {
                            id: None,
                            bytes: rest,
                        };
                        return Ok(Some(event));
                    }
                }
            }
        }
    }

    /// Closes the connection, which cancels the request, and notes the end.
    fn end(&mut self, ending: AttemptOutcome) {
        self.driver = None;
        if let Some(lease) = self.lease.take() {
            lease.end(ending);
        }
    }
}

/// Waits for the first event and starts to relay. Where none comes, the
/// journey is handed back with what was missed.
pub(crate) async fn start(
    request: ForwardedRequest,
    opened: OpenResponse,
    lease: LeaseGuard,
) -> Result<Response<ResponseBody>, (Box<ForwardedRequest>, AttemptError)> {
    let (parts, mut stream) = TargetStream::new(&request.gateway, opened, lease);
    let first = tokio::time::timeout(request.first_byte_timeout(), stream.next()).await;
    let first = match first {
        Ok(Ok(first)) => first,
        Ok(Err(error)) => {
            stream.end(AttemptOutcome::Broken);
            return Err((Box::new(request), error));
        }
        Err(_) => {
            stream.end(AttemptOutcome::Broken);
            let error = AttemptError::Lost("no event in time".to_owned());
            return Err((Box::new(request), error));
        }
    };
    let gateway = request.gateway.clone();
    gateway
        .metrics
        .record_latency("first_event", gateway.now().saturating_sub(request.arrived));
    let (sender, frames) = mpsc::channel(EVENT_QUEUE);
    let counted = RequestCounter::new(&gateway);
    tokio::task::spawn_local(async move {
        let _counted = counted;
        Relay {
            request,
            sender,
            last_id: None,
            events: 0,
        }
        .run(stream, first)
        .await;
    });
    let mut response = Response::new(ChannelBody { frames }.boxed_unsync());
    *response.status_mut() = parts.status;
    *response.headers_mut() = requests::end_to_end_headers(&parts.headers);
    response.headers_mut().remove(header::CONTENT_LENGTH);
    Ok(response)
}

/// Relays one stream to one caller.
struct Relay {
    request: ForwardedRequest,
    sender: mpsc::Sender<Result<Bytes, Truncated>>,
    /// Id of the last event that was passed on.
    last_id: Option<u64>,
    events: u32,
}

/// How one target's part of a stream ended.
enum StreamEnd {
    /// The stream is whole.
    Complete,
    /// The caller has left.
    CallerLeft,
    /// Time is over.
    DeadlinePassed,
    /// The target broke off or fell silent.
    Failed(AttemptError),
}

impl Relay {
    async fn run(mut self, mut stream: TargetStream, first: Option<SseEvent>) {
        let mut next = Ok(first);
        loop {
            let end = self.forward_events(&mut stream, next).await;
            stream.end(match end {
                StreamEnd::Complete => AttemptOutcome::Completed,
                StreamEnd::Failed(_) => AttemptOutcome::Broken,
                StreamEnd::CallerLeft | StreamEnd::DeadlinePassed => AttemptOutcome::Abandoned,
            });
            let error = match end {
                StreamEnd::Complete => return self.request.log_end("whole", 200, &Value::Null),
                StreamEnd::CallerLeft => {
                    return self.request.log_end("caller_left", 200, &Value::Null);
                }
                StreamEnd::DeadlinePassed => return self.truncate("time is over").await,
                StreamEnd::Failed(error) => error,
            };
            self.request
                .gateway
                .metrics
                .count("streams_cut", error.label());
            match self.resume(&error).await {
                Some(resumed) => stream = resumed,
                None => return self.truncate(error.detail()).await,
            }
            next = stream.next().await;
        }
    }

    /// Passes events on until the part ends.
    async fn forward_events(
        &mut self,
        stream: &mut TargetStream,
        first: Result<Option<SseEvent>, AttemptError>,
    ) -> StreamEnd {
        let mut next = first;
        // Events that the caller has already don't end the silence.
        let mut last_progress = self.request.gateway.now();
        loop {
            let event = match next {
                Ok(Some(event)) => event,
                Ok(None) => return StreamEnd::Complete,
                Err(error) => return StreamEnd::Failed(error),
            };
            let is_new = event.id.is_none() || event.id > self.last_id;
            if is_new {
                self.last_id = event.id.or(self.last_id);
                self.events += 1;
                // A caller that has stopped to read holds its target no longer
                // than one that reads.
                let sent = self.sender.send(Ok(event.bytes));
                match tokio::time::timeout(self.request.time_left(), sent).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return StreamEnd::CallerLeft,
                    Err(_) => return StreamEnd::DeadlinePassed,
                }
                last_progress = self.request.gateway.now();
            }
            let left = self.request.time_left();
            if left.is_zero() {
                return StreamEnd::DeadlinePassed;
            }
            let quiet = self.request.gateway.now().saturating_sub(last_progress);
            let silence = self.max_silence();
            if !is_new && quiet >= silence {
                return StreamEnd::Failed(AttemptError::Lost(
                    "no new event for too long".to_owned(),
                ));
            }
            let silence = silence.saturating_sub(quiet).min(left);
            next = tokio::select! {
                biased;
                () = self.sender.closed() => return StreamEnd::CallerLeft,
                event = stream.next() => event,
                () = tokio::time::sleep(silence) => {
                    if silence == left {
                        return StreamEnd::DeadlinePassed;
                    }
                    Err(AttemptError::Lost("no event for too long".to_owned()))
                }
            };
        }
    }

    /// Longest silence between two events.
    fn max_silence(&self) -> Duration {
        let route = &self.request.admission.route;
        if route.retry_policy == RetryPolicy::Resumable
            && self.request.runs + 1 < route.max_attempts
        {
            return route.gap_goal.mul_f64(SILENCE_FACTOR).max(MIN_SILENCE);
        }
        Duration::MAX
    }

    /// Goes on at another target after the last event.
    async fn resume(&mut self, error: &AttemptError) -> Option<TargetStream> {
        self.request.record_error(error);
        self.request.runs += 1;
        let route = self.request.admission.route.clone();
        let may_resume = route.retry_policy == RetryPolicy::Resumable && self.last_id.is_some();
        if !may_resume || self.request.runs >= route.max_attempts {
            return None;
        }
        while self.request.time_left() > MIN_RESUME_TIME && !self.sender.is_closed() {
            if !self.request.take_retry() {
                return None;
            }
            let Ok((pick, lease)) = self.request.choose_target() else {
                return None;
            };
            let after = self.last_id;
            let limit = self.request.time_left();
            let opened = self.request.send_attempt(&pick, after, limit).await;
            self.request.record_load(&pick, &opened);
            match opened {
                Ok(opened) if opened.response.status().is_success() => {
                    self.request.gateway.metrics.count("resumes", error.label());
                    return Some(TargetStream::new(&self.request.gateway, opened, lease).1);
                }
                Ok(_) => {
                    lease.end(AttemptOutcome::Failed);
                    return None;
                }
                Err(retry_error) => {
                    self.request.record_error(&retry_error);
                    lease.end(retry_error.ending());
                    if !retry_error.has_not_run() {
                        return None;
                    }
                    tokio::time::sleep(RESUME_PAUSE).await;
                }
            }
        }
        None
    }

    /// Ends the answer so that the caller sees that it is not whole.
    async fn truncate(self, reason: &str) {
        let events = self.events;
        self.request
            .log_end("cut", 502, &json!({ "reason": reason, "events": events }));
        // A caller that has left needs no mark.
        let _ = self.sender.send(Err(Truncated)).await;
    }
}
