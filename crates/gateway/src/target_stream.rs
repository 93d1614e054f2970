//! Stream of events from one target.

use crate::SharedGateway;
use crate::admitted::AdmittedRequest;
use crate::attempt::{AttemptError, LeaseGuard, OpenResponse};
use crate::connections::TargetConnection;
use crate::sse::{SseEvent, SseSplitter};
use decision::{AttemptOutcome, Pick, TargetId, Time};
use exchange::Reservation;
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use platform::requests;
use std::collections::VecDeque;

/// Start of the first line of a response.
const STATUS_LINE: &[u8] = b"HTTP/1.";

pub(crate) fn lost(message: &str) -> AttemptError {
    AttemptError::Lost(message.to_owned())
}

/// Error of a stream whose end may be that of its target.
pub(crate) fn cut(message: &str) -> AttemptError {
    AttemptError::Disconnected(message.to_owned())
}

/// Returns whether a line of an event is the first line of a response.
fn has_response_head(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.any(|line| line.starts_with(STATUS_LINE))
}

/// Stream of events from one target.
pub(crate) struct TargetStream {
    gateway: SharedGateway,
    body: Incoming,
    /// Connection; `None` once the stream is closed.
    connection: Option<TargetConnection>,
    /// Index in the log of the request's attempts.
    pub(crate) index: usize,
    pub(crate) pick: Pick,
    lease: Option<LeaseGuard>,
    splitter: SseSplitter,
    memory: Reservation,
    /// Events that have been read and not yet returned.
    events: VecDeque<SseEvent>,
    /// Whether the body has ended.
    is_finished: bool,
    /// Whether no event has arrived.
    is_empty: bool,
    /// Whether the stream may end without a new event: it continues another one, and
    /// its end is marked.
    pub(crate) may_be_empty: bool,
}

impl TargetStream {
    pub(crate) fn new(
        request: &AdmittedRequest,
        opened: OpenResponse,
        index: usize,
        pick: Pick,
        is_resumed: bool,
    ) -> (hyper::http::response::Parts, TargetStream) {
        let OpenResponse {
            response,
            connection,
            ..
        } = opened;
        let (parts, body) = response.into_parts();
        let stream = TargetStream {
            gateway: request.gateway.clone(),
            body,
            connection: Some(connection),
            index,
            pick,
            lease: None,
            splitter: SseSplitter::default(),
            memory: request.answer_memory(),
            events: VecDeque::new(),
            is_finished: false,
            is_empty: true,
            may_be_empty: is_resumed && requests::has_marked_end(&parts.headers),
        };
        (parts, stream)
    }

    /// Counts the stream in the load of its target until it ends.
    pub(crate) fn hold(&mut self, lease: LeaseGuard) {
        self.lease = Some(lease);
    }

    pub(crate) fn target(&self) -> &TargetId {
        &self.pick.lease.target
    }

    /// Returns the next event, or `None` if the target has ended the stream
    /// properly.
    pub(crate) async fn next(&mut self) -> Result<Option<SseEvent>, AttemptError> {
        loop {
            match self.events.pop_front() {
                Some(event) if has_response_head(&event.bytes) => {
                    return Err(lost("another answer follows in the stream"));
                }
                Some(event) => return Ok(Some(event)),
                None => {}
            }
            if self.is_finished {
                return Ok(None);
            }
            let waiting_since = self.gateway.now();
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    self.record_wait(waiting_since);
                    let events = self.splitter.push(&bytes);
                    let events = events.map_err(|e| AttemptError::Lost(e.to_owned()))?;
                    self.is_empty &= events.is_empty();
                    self.events.extend(events);
                    if !self.memory.try_resize(self.splitter.capacity()) {
                        return Err(exchange::Error::TooLarge.into());
                    }
                }
                Some(Err(e)) => return Err(AttemptError::Disconnected(e.to_string())),
                None => {
                    self.is_finished = true;
                    return self.finish();
                }
            }
        }
    }

    /// Records how long the target took for what has arrived, except for the first
    /// event, which the prompt delays.
    fn record_wait(&self, since: Time) {
        if !self.is_empty {
            let now = self.gateway.now();
            let took = now.saturating_sub(since);
            let mut router = self.gateway.router.borrow_mut();
            router.record_work(now, &self.pick.lease, took);
        }
    }

    /// Returns the line ends that follow the last event, if there are any.
    fn finish(&self) -> Result<Option<SseEvent>, AttemptError> {
        let remainder = self.splitter.remainder();
        if remainder.iter().any(|byte| !b"\r\n".contains(byte)) {
            return Err(cut("the stream ended inside an event"));
        }
        if remainder.is_empty() || self.is_empty {
            return Ok(None);
        }
        Ok(Some(SseEvent {
            id: None,
            bytes: Bytes::copy_from_slice(remainder),
        }))
    }

    pub(crate) fn is_open(&self) -> bool {
        self.connection.is_some()
    }

    /// Ends the attempt. Unless the stream is complete, the connection is closed, which
    /// cancels the request at the target.
    pub(crate) fn end(&mut self, outcome: AttemptOutcome) {
        let is_complete = self.is_finished && outcome == AttemptOutcome::Completed;
        if let Some(connection) = self.connection.take().filter(|_| is_complete) {
            connection.finish();
        }
        if let Some(lease) = self.lease.take() {
            lease.end(outcome);
        }
    }
}
