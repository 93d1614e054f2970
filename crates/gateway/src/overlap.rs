//! Attempts at one request that are under way at the same time.
//!
//! A target that is silent may be sound. Its attempt goes on until another target has
//! responded or, where two may not work on a request for long, has held it for
//! [`MAX_OVERLAP`].

use crate::admitted::{AdmittedRequest, ENDING};
use crate::attempt::{AttemptError, LeaseGuard, OpenResponse};
use crate::forward::OWN_DELAY;
use crate::room::RoomSlot;
use crate::sse::SseEvent;
use crate::target_stream::{TargetStream, cut, lost};
use decision::{Pick, TargetId};
use hyper::body::Bytes;
use hyper::http::response::Parts;
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Limit on the bytes of a response that is not a stream.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Time for which a silent target and the one that takes over may both hold a request
/// whose runs are not independent; the operators allow 400 ms.
const MAX_OVERLAP: Duration = Duration::from_millis(250);
/// Time in which this instance reads what arrived while it was not running.
const READ_TIME: Duration = Duration::from_millis(50);

/// Waits until a target has held a request for [`MAX_OVERLAP`] since `sent` was
/// notified. It has not refused the request by then, so the silent one is left.
pub(crate) async fn wait_until_held(sent: &Notify) {
    sent.notified().await;
    let due = Instant::now() + MAX_OVERLAP;
    tokio::time::sleep_until(due).await;
    // What arrived while this instance was not running has not been read yet.
    if due.elapsed() >= OWN_DELAY {
        tokio::time::sleep(READ_TIME).await;
    }
}

/// Complete response with any status.
pub(crate) struct CompleteResponse {
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
}

/// Response that ends the attempts at a request.
pub(crate) enum UsableResponse {
    /// Complete response that is not a stream, with a status other than 5xx.
    Complete(CompleteResponse),
    /// Stream of which the first event has arrived, or `None` if it ended properly
    /// without one.
    Stream(Parts, Box<TargetStream>, Option<SseEvent>),
}

/// How far an attempt has got.
#[derive(Default)]
pub(crate) struct Progress {
    /// Notified when the connection is open and sending begins.
    pub(crate) sent: Notify,
    /// Notified when the head of the response has arrived.
    pub(crate) head: Notify,
    /// Whether the response is not a stream and its body is being read.
    has_body: Cell<bool>,
    /// Whether the head of the response has arrived since the newest attempt began.
    has_begun: Cell<bool>,
    /// Requests in flight at the target by its own count, if it reports them.
    pub(crate) target_load: Cell<Option<u32>>,
    /// Response with a 5xx status.
    pub(crate) failed_response: RefCell<Option<CompleteResponse>>,
}

type ResponseFuture = Pin<Box<dyn Future<Output = Result<UsableResponse, AttemptError>>>>;

/// Attempt that waits for a usable response.
pub(crate) struct RunningAttempt {
    /// Index in the log of the request's attempts.
    pub(crate) index: usize,
    pub(crate) pick: Pick,
    pub(crate) lease: LeaseGuard,
    /// Slot of a contended service that it uses.
    pub(crate) slot: Option<RoomSlot>,
    pub(crate) progress: Rc<Progress>,
    response: ResponseFuture,
}

impl RunningAttempt {
    /// Creates an attempt, which is sent once it is polled.
    pub(crate) fn new(
        request: &Rc<AdmittedRequest>,
        index: usize,
        pick: Pick,
        lease: LeaseGuard,
    ) -> Self {
        let progress = Rc::new(Progress::default());
        let response = respond(request.clone(), index, pick.clone(), progress.clone());
        RunningAttempt {
            index,
            pick,
            lease,
            slot: None,
            progress,
            response: Box::pin(response),
        }
    }
}

/// Attempts under way at one request, in the order in which they began.
pub(crate) struct RunningAttempts(Vec<RunningAttempt>);

impl From<RunningAttempt> for RunningAttempts {
    fn from(attempt: RunningAttempt) -> Self {
        RunningAttempts(vec![attempt])
    }
}

impl IntoIterator for RunningAttempts {
    type Item = RunningAttempt;
    type IntoIter = std::vec::IntoIter<RunningAttempt>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

impl RunningAttempts {
    /// Adds an attempt that is to take over from the others, which are silent.
    pub(crate) fn push(&mut self, attempt: RunningAttempt) {
        for silent in &self.0 {
            silent.progress.has_begun.set(false);
        }
        self.0.push(attempt);
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn newest(&self) -> Option<&RunningAttempt> {
        self.0.last()
    }

    /// Returns the targets of the attempts.
    pub(crate) fn targets(&self) -> Vec<TargetId> {
        let targets = self.0.iter().map(|a| a.pick.lease.target.clone());
        targets.collect()
    }

    /// Returns whether the body of a response that is not a stream is being read.
    pub(crate) fn has_body(&self) -> bool {
        self.0.iter().any(|a| a.progress.has_body.get())
    }

    /// Removes the attempt that is to go on where only one may: one whose response has
    /// begun, or else the newest.
    pub(crate) fn take_best(&mut self) -> Option<RunningAttempt> {
        let begun = self.0.iter().position(|a| a.progress.has_begun.get());
        match begun {
            Some(position) => Some(self.0.remove(position)),
            None => self.0.pop(),
        }
    }

    /// Waits until one of the attempts ends and removes it. Never returns if there is
    /// none.
    pub(crate) async fn next(&mut self) -> (RunningAttempt, Result<UsableResponse, AttemptError>) {
        std::future::poll_fn(|context| {
            for position in 0..self.0.len() {
                let response = self.0[position].response.as_mut();
                if let Poll::Ready(ended) = response.poll(context) {
                    return Poll::Ready((self.0.remove(position), ended));
                }
            }
            Poll::Pending
        })
        .await
    }
}

/// Sends the request to a target and waits for a usable response until the deadline.
async fn respond(
    request: Rc<AdmittedRequest>,
    index: usize,
    pick: Pick,
    progress: Rc<Progress>,
) -> Result<UsableResponse, AttemptError> {
    let after = request.head.last_event;
    let opened = request.send(&pick, after, &progress.sent).await?;
    progress.target_load.set(opened.target_load);
    let is_stream = request.is_stream(&opened);
    progress.has_body.set(!is_stream);
    progress.has_begun.set(true);
    progress.head.notify_one();
    if is_stream {
        return begin_stream(&request, index, pick, opened).await;
    }
    let response = collect(&request, opened).await?;
    if response.parts.status.is_server_error() {
        *progress.failed_response.borrow_mut() = Some(response);
        return Err(AttemptError::Failed);
    }
    Ok(UsableResponse::Complete(response))
}

/// Waits for the first event of a stream.
async fn begin_stream(
    request: &AdmittedRequest,
    index: usize,
    pick: Pick,
    opened: OpenResponse,
) -> Result<UsableResponse, AttemptError> {
    let is_resumed = request.head.last_event.is_some();
    let (parts, mut stream) = TargetStream::new(request, opened, index, pick, is_resumed);
    let first = tokio::select! {
        biased;
        first = stream.next() => first?,
        () = tokio::time::sleep(request.time_left()) => return Err(lost("no event in time")),
        () = request.gateway.ending() => return Err(lost(ENDING)),
    };
    if first.is_none() && !stream.may_be_empty {
        return Err(cut("the stream has no event"));
    }
    Ok(UsableResponse::Stream(parts, Box::new(stream), first))
}

/// Collects the body of a response that is not a stream.
async fn collect(
    request: &AdmittedRequest,
    opened: OpenResponse,
) -> Result<CompleteResponse, AttemptError> {
    let OpenResponse {
        response,
        connection,
        ..
    } = opened;
    let (parts, body) = response.into_parts();
    let memory = request.answer_memory();
    let collected = exchange::collect_reserved(body, MAX_RESPONSE_BYTES, memory);
    let body = tokio::select! {
        biased;
        body = collected => body?,
        () = tokio::time::sleep(request.time_left()) => {
            return Err(lost("the answer was not whole in time"));
        }
        () = request.gateway.ending() => return Err(lost(ENDING)),
    };
    connection.finish();
    Ok(CompleteResponse { parts, body })
}
