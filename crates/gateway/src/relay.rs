//! Streams from targets to callers, event by event.

use crate::Shared;
use crate::attempt::{Held, Miss, Opened};
use crate::forward::{Counted, Journey};
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
const EVENTS_WAITING: usize = 16;
/// Silence after which a stream that may go on elsewhere does: two and a half
/// times the longest pause of an answer that is on time, of 400 ms.
const SILENCE: f64 = 2.5;
/// Shortest such silence.
const SILENCE_MIN: Duration = Duration::from_millis(800);
/// Shortest time that is worth going on elsewhere.
const RESUME_MIN: Duration = Duration::from_millis(100);
/// Pause before another target is looked for where all are full.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// Body of an answer to a caller.
pub(crate) type Outlet = UnsyncBoxBody<Bytes, Cut>;

/// An answer that ends before it is whole; the caller's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer is not whole")
    }
}

impl std::error::Error for Cut {}

/// Body that is there as a whole.
pub(crate) fn whole(body: Bytes) -> Outlet {
    Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync()
}

struct Stream {
    frames: mpsc::Receiver<Result<Bytes, Cut>>,
}

impl Body for Stream {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let frame = self.frames.poll_recv(context);
        frame.map(|f| f.map(|f| f.map(Frame::data)))
    }
}

/// One target's part of a stream.
struct Source {
    body: Incoming,
    opened: Option<exchange::Driver>,
    held: Option<Held>,
    reader: SseSplitter,
    memory: Reservation,
    events: VecDeque<SseEvent>,
    is_over: bool,
}

impl Source {
    fn new(gateway: &Shared, opened: Opened, held: Held) -> (hyper::http::response::Parts, Source) {
        let Opened { answer, driver, .. } = opened;
        let (parts, body) = answer.into_parts();
        let source = Source {
            body,
            opened: Some(driver),
            held: Some(held),
            reader: SseSplitter::default(),
            memory: gateway.memory.reservation(),
            events: VecDeque::new(),
            is_over: false,
        };
        (parts, source)
    }

    /// Next event, or `None` where the stream has ended as its target meant.
    async fn next(&mut self) -> Result<Option<SseEvent>, Miss> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(Some(event));
            }
            if self.is_over {
                return Ok(None);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    let events = self.reader.push(&bytes);
                    let events = events.map_err(|e| Miss::Lost(e.to_owned()))?;
                    self.events.extend(events);
                    if !self.memory.try_resize(self.reader.capacity()) {
                        return Err(exchange::Error::TooLarge.into());
                    }
                }
                Some(Err(e)) => return Err(Miss::Lost(e.to_string())),
                None => {
                    self.is_over = true;
                    let rest = Bytes::copy_from_slice(self.reader.remainder());
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
        self.opened = None;
        if let Some(held) = self.held.take() {
            held.end(ending);
        }
    }
}

/// Waits for the first event and starts to relay. Where none comes, the
/// journey is handed back with what was missed.
pub(crate) async fn begin(
    journey: Journey,
    opened: Opened,
    held: Held,
) -> Result<Response<Outlet>, (Box<Journey>, Miss)> {
    let (parts, mut source) = Source::new(&journey.gateway, opened, held);
    let first = tokio::time::timeout(journey.patience(), source.next()).await;
    let first = match first {
        Ok(Ok(first)) => first,
        Ok(Err(miss)) => {
            source.end(AttemptOutcome::Broken);
            return Err((Box::new(journey), miss));
        }
        Err(_) => {
            source.end(AttemptOutcome::Broken);
            let miss = Miss::Lost("no event in time".to_owned());
            return Err((Box::new(journey), miss));
        }
    };
    let gateway = journey.gateway.clone();
    gateway
        .metrics
        .time("first_event", gateway.now().saturating_sub(journey.arrived));
    let (sender, frames) = mpsc::channel(EVENTS_WAITING);
    let counted = Counted::new(&gateway);
    tokio::task::spawn_local(async move {
        let _counted = counted;
        Relay {
            journey,
            sender,
            last: None,
            events: 0,
        }
        .run(source, first)
        .await;
    });
    let mut response = Response::new(Stream { frames }.boxed_unsync());
    *response.status_mut() = parts.status;
    *response.headers_mut() = requests::end_to_end_headers(&parts.headers);
    response.headers_mut().remove(header::CONTENT_LENGTH);
    Ok(response)
}

/// Relays one stream to one caller.
struct Relay {
    journey: Journey,
    sender: mpsc::Sender<Result<Bytes, Cut>>,
    /// Id of the last event that was passed on.
    last: Option<u64>,
    events: u32,
}

/// How one target's part of a stream ended.
enum Part {
    /// The stream is whole.
    Whole,
    /// The caller has left.
    Left,
    /// Time is over.
    Late,
    /// The target broke off or fell silent.
    Missed(Miss),
}

impl Relay {
    async fn run(mut self, mut source: Source, first: Option<SseEvent>) {
        let mut next = Ok(first);
        loop {
            let part = self.relay(&mut source, next).await;
            source.end(match part {
                Part::Whole => AttemptOutcome::Whole,
                Part::Missed(_) => AttemptOutcome::Broken,
                Part::Left | Part::Late => AttemptOutcome::Dropped,
            });
            let miss = match part {
                Part::Whole => return self.journey.finished("whole", 200, &Value::Null),
                Part::Left => return self.journey.finished("caller_left", 200, &Value::Null),
                Part::Late => return self.cut("time is over").await,
                Part::Missed(miss) => miss,
            };
            self.journey
                .gateway
                .metrics
                .count("streams_cut", miss.word());
            match self.resume(&miss).await {
                Some(resumed) => source = resumed,
                None => return self.cut(miss.detail()).await,
            }
            next = source.next().await;
        }
    }

    /// Passes events on until the part ends.
    async fn relay(&mut self, source: &mut Source, first: Result<Option<SseEvent>, Miss>) -> Part {
        let mut next = first;
        // Events that the caller has already don't end the silence.
        let mut heard = self.journey.gateway.now();
        loop {
            let event = match next {
                Ok(Some(event)) => event,
                Ok(None) => return Part::Whole,
                Err(miss) => return Part::Missed(miss),
            };
            let is_new = event.id.is_none() || event.id > self.last;
            if is_new {
                self.last = event.id.or(self.last);
                self.events += 1;
                // A caller that has stopped to read holds its target no longer
                // than one that reads.
                let sent = self.sender.send(Ok(event.bytes));
                match tokio::time::timeout(self.journey.left(), sent).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return Part::Left,
                    Err(_) => return Part::Late,
                }
                heard = self.journey.gateway.now();
            }
            let left = self.journey.left();
            if left.is_zero() {
                return Part::Late;
            }
            let quiet = self.journey.gateway.now().saturating_sub(heard);
            let silence = self.silence();
            if !is_new && quiet >= silence {
                return Part::Missed(Miss::Lost("no new event for too long".to_owned()));
            }
            let silence = silence.saturating_sub(quiet).min(left);
            next = tokio::select! {
                biased;
                () = self.sender.closed() => return Part::Left,
                event = source.next() => event,
                () = tokio::time::sleep(silence) => {
                    if silence == left {
                        return Part::Late;
                    }
                    Err(Miss::Lost("no event for too long".to_owned()))
                }
            };
        }
    }

    /// Longest silence between two events.
    fn silence(&self) -> Duration {
        let route = &self.journey.admission.route;
        if route.repeat == RetryPolicy::Resumable && self.journey.runs + 1 < route.attempts {
            return route.gap.mul_f64(SILENCE).max(SILENCE_MIN);
        }
        Duration::MAX
    }

    /// Goes on at another target after the last event.
    async fn resume(&mut self, miss: &Miss) -> Option<Source> {
        self.journey.note_miss(miss);
        self.journey.runs += 1;
        let route = self.journey.admission.route.clone();
        let may_resume = route.repeat == RetryPolicy::Resumable && self.last.is_some();
        if !may_resume || self.journey.runs >= route.attempts {
            return None;
        }
        while self.journey.left() > RESUME_MIN && !self.sender.is_closed() {
            if !self.journey.take_retry() {
                return None;
            }
            let Ok((pick, held)) = self.journey.choose() else {
                return None;
            };
            let after = self.last;
            let limit = self.journey.left();
            let opened = self.journey.open_after(&pick, after, limit).await;
            self.journey.note_held(&pick, &opened);
            match opened {
                Ok(opened) if opened.answer.status().is_success() => {
                    self.journey.gateway.metrics.count("resumes", miss.word());
                    return Some(Source::new(&self.journey.gateway, opened, held).1);
                }
                Ok(_) => {
                    held.end(AttemptOutcome::Failed);
                    return None;
                }
                Err(again) => {
                    self.journey.note_miss(&again);
                    held.end(again.ending());
                    if !again.has_not_run() {
                        return None;
                    }
                    tokio::time::sleep(RESUME_PAUSE).await;
                }
            }
        }
        None
    }

    /// Ends the answer so that the caller sees that it is not whole.
    async fn cut(self, reason: &str) {
        let events = self.events;
        self.journey
            .finished("cut", 502, &json!({ "reason": reason, "events": events }));
        // A caller that has left needs no mark.
        let _ = self.sender.send(Err(Cut)).await;
    }
}
