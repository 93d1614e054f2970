//! Runs one request from its first slot request to its outcome.
//!
//! The state machine [`Request`] decides. This module feeds it what happens (results of
//! slot requests, events of attempts, timeouts, cancellation) and executes its actions.

use crate::answers::AnswerBuffer;
use crate::node_thread::{NodeHandle, SlotReply};
use caller::{Operation, ResponsePart, Submission};
use decision::{
    AttemptPolicy, CacheLocation, Document, Error, Event, Execution, GrantId, Release, Request,
    RequestAction, RequestEvent, RequestOutcome, ServiceKind, SlotRequestId, Step, TargetId,
};
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use target::{Attempt, AttemptEvent, TargetClient, TargetRequest};
use tokio::time::Instant;

/// Age beyond which a grant is returned unused, since the process may have been paused.
const MAX_GRANT_AGE: Duration = Duration::from_secs(2);
/// Lowest HTTP status by which a target reports a failure of its own.
const FIRST_SERVER_ERROR: u16 = 500;
/// Delay before a caller learns of a failure that crashed a target.
///
/// The report of the crash must reach the other instances before the caller sends the
/// same request again, so that they can quarantine it.
const CRASH_REPORT_DELAY: Duration = Duration::from_millis(300);
/// Approximate number of characters per token of a prompt.
const CHARS_PER_TOKEN: usize = 4;

/// Clients for the two kinds of targets.
#[derive(Clone)]
pub(crate) struct TargetClients {
    pub(crate) engine: Arc<dyn TargetClient>,
    pub(crate) plain: Arc<dyn TargetClient>,
}

/// Result of a request, by which its claim or its issued id is concluded.
pub(crate) struct RequestResult {
    pub(crate) outcome: RequestOutcome,
    /// Status and body of the response, unless it was streamed.
    pub(crate) complete_response: Option<(u16, Arc<[u8]>)>,
}

/// A running request.
pub(crate) struct RequestRunner {
    node: NodeHandle,
    targets: TargetClients,
    submission: Submission,
    answer: Arc<AnswerBuffer>,
    request: Request,
    /// Pending slot request.
    slot_request: Option<(SlotRequestId, flume::Receiver<SlotReply>)>,
    /// Target of the grant in use.
    target: Option<(TargetId, SocketAddr)>,
    /// Number and connection of the current attempt.
    attempt: Option<(u32, Attempt)>,
    /// Events that the current attempt has produced.
    events_received: u64,
    /// Position in the answer at which the current attempt started.
    resume_offset: u64,
    /// Time at which the attempt times out unless something arrives.
    idle_deadline: Instant,
    started_at: Instant,
    /// Milliseconds from the start to the first delivered part.
    first_ms: Option<u32>,
    /// Broken connections and server errors under the current grant.
    target_failures: u32,
    /// Whether the target refused a connection under the current grant.
    connect_failed: bool,
    /// Whether any target appears to have crashed while it ran the request.
    target_crashed: bool,
    /// Error that the caller gets.
    final_error: Option<Error>,
    /// Reason for which the last attempt failed.
    last_error: Error,
    /// Received part that the state machine has not accepted yet.
    staged_part: Option<ResponsePart>,
    complete_response: Option<(u16, Arc<[u8]>)>,
    /// Estimated size of the prompt.
    prompt_tokens: u32,
}

/// Reason for which a waiting request continues.
enum Wakeup {
    Slot(Result<SlotReply, flume::RecvError>),
    Attempt(Result<AttemptEvent, flume::RecvError>),
    IdleTimeout,
    Cancelled,
    DeadlineExceeded,
}

impl RequestRunner {
    /// Creates the request; returns it with the actions to pass to [`Self::run`].
    pub(crate) fn new(
        node: NodeHandle,
        targets: TargetClients,
        submission: Submission,
        answer: Arc<AnswerBuffer>,
    ) -> (RequestRunner, Vec<RequestAction>) {
        let limits = &submission.service.document.limits;
        let repeatable = match &submission.operation {
            Operation::Chat { .. } => true,
            Operation::Call { repeatable, .. } => *repeatable,
        };
        let (request, actions) = Request::new(AttemptPolicy {
            repeatable,
            max_attempts: limits.attempts,
        });
        let prompt_tokens = prompt_tokens(&submission.operation);
        let runner = RequestRunner {
            node,
            targets,
            submission,
            answer,
            request,
            slot_request: None,
            target: None,
            attempt: None,
            events_received: 0,
            resume_offset: 0,
            idle_deadline: Instant::now(),
            started_at: Instant::now(),
            first_ms: None,
            target_failures: 0,
            connect_failed: false,
            target_crashed: false,
            final_error: None,
            last_error: Error::new("failed", Step::Answer, "target", "no attempt succeeded"),
            staged_part: None,
            complete_response: None,
            prompt_tokens,
        };
        (runner, actions)
    }

    fn document(&self) -> &Document {
        &self.submission.service.document
    }

    /// Runs the request until it has an outcome.
    pub(crate) async fn run(mut self, actions: Vec<RequestAction>) -> RequestResult {
        let deadline = Instant::now() + self.document().limits.total_time;
        let mut ended = self.execute(actions);
        loop {
            if let Some(outcome) = ended {
                if let Some(error) = self.final_error.take() {
                    if self.target_crashed {
                        tokio::time::sleep(CRASH_REPORT_DELAY).await;
                    }
                    self.answer.push(ResponsePart::Failed(error));
                }
                return RequestResult {
                    outcome,
                    complete_response: self.complete_response.take(),
                };
            }
            let wakeup = self.wait(deadline).await;
            let event = self.request_event(wakeup);
            ended = event.and_then(|event| {
                let actions = self.request.handle(event);
                self.execute(actions)
            });
        }
    }

    /// Waits for whatever comes first; events of the attempt take precedence over timeouts.
    async fn wait(&self, deadline: Instant) -> Wakeup {
        let slot_reply = async {
            match &self.slot_request {
                Some((_, reply)) => reply.recv_async().await,
                None => std::future::pending().await,
            }
        };
        let attempt_event = async {
            match &self.attempt {
                Some((_, attempt)) => attempt.events.recv_async().await,
                None => std::future::pending().await,
            }
        };
        let idle_timeout = async {
            match &self.attempt {
                Some(_) => tokio::time::sleep_until(self.idle_deadline).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            event = attempt_event => Wakeup::Attempt(event),
            reply = slot_reply => Wakeup::Slot(reply),
            () = self.answer.cancelled.notified() => Wakeup::Cancelled,
            () = idle_timeout => Wakeup::IdleTimeout,
            () = tokio::time::sleep_until(deadline) => Wakeup::DeadlineExceeded,
        }
    }

    /// Translates a wakeup for the state machine; `None` if it needs no reaction.
    fn request_event(&mut self, wakeup: Wakeup) -> Option<RequestEvent> {
        match wakeup {
            Wakeup::Slot(Ok(SlotReply::Granted {
                grant,
                target,
                address,
                granted_at,
            })) => {
                self.slot_request = None;
                if granted_at.elapsed() > MAX_GRANT_AGE {
                    self.release_unused(grant, &target);
                    let slot_request = self.request_slot(Vec::new(), false);
                    self.slot_request = Some(slot_request);
                    return None;
                }
                self.target = Some((target.clone(), address));
                Some(RequestEvent::Granted { grant, target })
            }
            Wakeup::Slot(Ok(SlotReply::Denied(code))) => {
                self.slot_request = None;
                Some(RequestEvent::Denied(code))
            }
            Wakeup::Slot(Err(_)) => {
                self.slot_request = None;
                Some(RequestEvent::Denied(decision::DenyCode::Stopping))
            }
            Wakeup::Attempt(event) => self.handle_attempt_event(event),
            Wakeup::IdleTimeout => {
                let attempt = self.attempt.as_ref()?.0;
                let message = "the target has been silent for too long";
                self.set_last_error("silent", Step::Answer, message);
                Some(RequestEvent::TimedOut(attempt))
            }
            Wakeup::Cancelled if self.is_cancellable() => Some(RequestEvent::Cancelled),
            Wakeup::Cancelled => None,
            Wakeup::DeadlineExceeded => Some(RequestEvent::DeadlineExceeded),
        }
    }

    /// Returns whether the caller may cancel the request now.
    ///
    /// A call that must not be repeated runs on once it is dispatched, since closing the
    /// connection would not undo what the target has done so far.
    fn is_cancellable(&self) -> bool {
        matches!(self.submission.operation, Operation::Chat { .. }) || self.attempt.is_none()
    }

    /// Handles an event of the current attempt and translates it for the state machine.
    fn handle_attempt_event(
        &mut self,
        event: Result<AttemptEvent, flume::RecvError>,
    ) -> Option<RequestEvent> {
        let attempt = self.attempt.as_ref()?.0;
        let limits = &self.submission.service.document.limits;
        match event {
            Ok(AttemptEvent::Sent) => {
                self.idle_deadline = Instant::now() + limits.first_time;
                Some(RequestEvent::Sending(attempt))
            }
            Ok(AttemptEvent::NotRun {
                connect_failed,
                message,
            }) => {
                self.connect_failed |= connect_failed;
                self.set_last_error("unreachable", Step::Connect, &message);
                Some(RequestEvent::NotRun(attempt))
            }
            Ok(AttemptEvent::Event { echoed_id, data }) => {
                self.idle_deadline = Instant::now() + limits.idle_time;
                if echoed_id != self.attempt_id(attempt) {
                    // The stream belongs to another request, so nothing in it can be used.
                    self.set_last_error(
                        "crossed",
                        Step::Answer,
                        "the answer is for another request",
                    );
                    return Some(RequestEvent::Incomplete(attempt));
                }
                let index = self.resume_offset + self.events_received;
                self.events_received += 1;
                self.stage(ResponsePart::Event {
                    index,
                    data: self.with_request_id(&data).into(),
                });
                Some(RequestEvent::Event {
                    attempt,
                    index,
                    last: false,
                })
            }
            Ok(AttemptEvent::End) => {
                self.stage(ResponsePart::End);
                Some(RequestEvent::Event {
                    attempt,
                    index: self.resume_offset + self.events_received,
                    last: true,
                })
            }
            Ok(AttemptEvent::CompleteResponse {
                status,
                content_type,
                body,
            }) => {
                let body: Arc<[u8]> = Arc::from(&body[..]);
                self.complete_response = Some((status, body.clone()));
                self.stage(ResponsePart::CompleteResponse {
                    status,
                    content_type,
                    body,
                });
                Some(RequestEvent::Event {
                    attempt,
                    index: self.resume_offset + self.events_received,
                    last: true,
                })
            }
            Ok(AttemptEvent::Failed { status, message }) => {
                self.target_failures += u32::from(status >= FIRST_SERVER_ERROR);
                self.set_last_error(
                    "failed",
                    Step::Answer,
                    &format!("status {status}: {message}"),
                );
                Some(RequestEvent::Failed {
                    attempt,
                    transient: status >= FIRST_SERVER_ERROR,
                })
            }
            Ok(AttemptEvent::Disconnected(message)) => {
                self.target_failures += 1;
                self.set_last_error("broken", Step::Answer, &message);
                Some(RequestEvent::Incomplete(attempt))
            }
            Err(_) => {
                self.target_failures += 1;
                Some(RequestEvent::Incomplete(attempt))
            }
        }
    }

    /// Keeps a part until the state machine decides whether it is delivered.
    fn stage(&mut self, part: ResponsePart) {
        self.staged_part = Some(part);
    }

    /// Records why the current attempt failed.
    fn set_last_error(&mut self, code: &'static str, step: Step, message: &str) {
        let peer = self.target.as_ref().map_or("target", |g| g.0.as_str());
        self.last_error = Error::new(code, step, peer, message);
    }

    /// Returns the id that the target must echo for this attempt.
    fn attempt_id(&self, attempt: u32) -> SmolStr {
        format_smolstr!("{}.{attempt}", self.answer.id)
    }

    /// Replaces the attempt's id in an event with the request's, which the caller knows.
    fn with_request_id(&self, data: &str) -> String {
        let Ok(Value::Object(mut event)) = serde_json::from_str(data) else {
            return data.to_owned();
        };
        event.insert("id".to_owned(), json!(self.answer.id));
        Value::Object(event).to_string()
    }

    /// Executes actions; returns the outcome if one of them ends the request.
    fn execute(&mut self, actions: Vec<RequestAction>) -> Option<RequestOutcome> {
        let mut ended = None;
        for action in actions {
            match action {
                RequestAction::RequestSlot { avoid, retry } => {
                    self.slot_request = Some(self.request_slot(avoid, retry));
                }
                RequestAction::CancelSlotRequest => {
                    if let Some((id, _)) = self.slot_request.take() {
                        self.node.send_event(Event::CancelSlotRequest(id));
                    }
                }
                RequestAction::Dispatch {
                    attempt, offset, ..
                } => self.dispatch(attempt, offset),
                RequestAction::Deliver => self.deliver_staged(),
                RequestAction::Disconnect(_) => self.attempt = None,
                RequestAction::Release {
                    grant,
                    target,
                    complete,
                } => self.release_slot(grant, target, complete),
                RequestAction::Finish(outcome) => {
                    self.set_final_error(outcome);
                    ended = Some(outcome);
                }
            }
        }
        ended
    }

    /// Requests a slot on any target but those to `avoid`.
    fn request_slot(
        &self,
        avoid: Vec<TargetId>,
        retry: bool,
    ) -> (SlotRequestId, flume::Receiver<SlotReply>) {
        let id = self.node.next_request_id();
        let limits = &self.document().limits;
        let wait = self.submission.max_wait.unwrap_or(limits.queue_time);
        let event = Event::RequestSlot {
            id,
            service: self.document().service.clone(),
            workspace: self.submission.workspace.clone(),
            chat: self.submission.chat,
            digest: self.submission.digest,
            priority: self.submission.priority,
            wait: wait.min(limits.queue_time),
            avoid,
            retry,
        };
        (id, self.node.request_slot(id, event))
    }

    /// Sends the request to the granted target.
    fn dispatch(&mut self, attempt: u32, offset: u64) {
        let Some((_, address)) = self.target else {
            return;
        };
        let limits = &self.document().limits;
        self.idle_deadline = Instant::now() + limits.first_time;
        self.events_received = 0;
        self.resume_offset = offset;
        let request = self.target_request(attempt, address, offset);
        let client = match self.document().kind {
            ServiceKind::Engine => &self.targets.engine,
            ServiceKind::Plain => &self.targets.plain,
        };
        self.attempt = Some((attempt, client.dispatch(request)));
    }

    /// Builds what is sent to the target.
    fn target_request(&self, attempt: u32, address: SocketAddr, offset: u64) -> TargetRequest {
        let attempt = self.attempt_id(attempt);
        let priority = self.submission.priority;
        match &self.submission.operation {
            Operation::Chat { body } => {
                let mut body = body.clone();
                body.insert("stream".to_owned(), json!(true));
                // A hash that includes the workspace, since two workspaces may use the
                // same name for a chat.
                let key = format!("{:016x}", self.submission.chat);
                body.insert("prompt_cache_key".to_owned(), json!(key));
                TargetRequest {
                    attempt,
                    address,
                    method: SmolStr::new_static("POST"),
                    path: "/v1/chat/completions".to_owned(),
                    content_type: SmolStr::new_static("application/json"),
                    body: Value::Object(body).to_string().into_bytes(),
                    priority,
                    resume_from: offset,
                }
            }
            Operation::Call {
                method,
                path,
                content_type,
                body,
                ..
            } => TargetRequest {
                attempt,
                address,
                method: method.clone(),
                path: path.clone(),
                content_type: content_type.clone(),
                body: body.clone(),
                priority,
                resume_from: offset,
            },
        }
    }

    /// Appends the staged part to the answer.
    fn deliver_staged(&mut self) {
        if self.first_ms.is_none() {
            let elapsed = self.started_at.elapsed().as_millis();
            self.first_ms = Some(u32::try_from(elapsed).unwrap_or(u32::MAX));
        }
        if let Some(part) = self.staged_part.take() {
            self.answer.push(part);
        }
    }

    /// Returns a grant that was not used.
    fn release_unused(&self, grant: GrantId, target: &TargetId) {
        let service = self.document().service.clone();
        self.node.send_event(Event::AttemptEnded {
            release: Release::unused(grant, service, target.clone()),
            digest: self.submission.digest,
            crashed: false,
        });
    }

    /// Ends the use of a grant and reports how the target behaved under it.
    fn release_slot(&mut self, grant: GrantId, target: TargetId, complete: bool) {
        self.attempt = None;
        self.target = None;
        let answer_tokens = u32::try_from(self.request.delivered()).unwrap_or(u32::MAX);
        let tokens = if complete {
            self.prompt_tokens.saturating_add(answer_tokens)
        } else {
            0
        };
        let release = Release {
            grant,
            service: self.document().service.clone(),
            chat: self.submission.chat,
            location: CacheLocation { target, tokens },
            complete,
            refused: self.connect_failed,
            first_ms: self.first_ms.filter(|_| complete),
        };
        // Two failures under one grant, or a failure and a refused connection, count as
        // a crash of the target.
        let crashed =
            self.target_failures >= 2 || (self.target_failures == 1 && self.connect_failed);
        self.target_crashed |= crashed;
        self.target_failures = 0;
        self.connect_failed = false;
        self.node.send_event(Event::AttemptEnded {
            release,
            digest: self.submission.digest,
            crashed,
        });
    }

    /// Sets the error that the caller gets for an outcome other than success.
    fn set_final_error(&mut self, outcome: RequestOutcome) {
        let error = match outcome {
            RequestOutcome::Done => return,
            RequestOutcome::Denied(code, execution) => {
                let message = format!("no slot: {}", code.word().replace('_', " "));
                Error::new(code.word(), Step::Place, "fleet", message).with_execution(execution)
            }
            RequestOutcome::Failed(execution) => self.last_error.clone().with_execution(execution),
            RequestOutcome::Cancelled => {
                let message = "the request was withdrawn";
                Error::new("withdrawn", Step::Answer, "caller", message)
                    .with_execution(Execution::Unknown)
            }
            RequestOutcome::DeadlineExceeded(execution) => {
                let message = "the request's time is over";
                Error::new("timeout", Step::Answer, "target", message).with_execution(execution)
            }
        };
        self.final_error = Some(error);
    }
}

/// Estimates the number of tokens of a chat's prompt; 0 for a call.
fn prompt_tokens(operation: &Operation) -> u32 {
    let chars = match operation {
        Operation::Chat { body } => body.get("messages").map_or(0, |m| m.to_string().len()),
        Operation::Call { .. } => 0,
    };
    u32::try_from(chars / CHARS_PER_TOKEN).unwrap_or(u32::MAX)
}
