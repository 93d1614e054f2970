//! Runs one request: drives its state machine over asks, attempts and time.

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

/// Age of a grant past which it is not used: the process may have paused.
const GRANT_AGE: Duration = Duration::from_secs(2);
/// Least status with which a target says that the fault is its own.
const SERVER_ERRORS: u16 = 500;
/// Pause before a caller is told of a failure under which a target crashed.
const CRASH_PAUSE: Duration = Duration::from_millis(300);
/// Characters of a prompt that make about one token.
const CHARS_A_TOKEN: usize = 4;

/// The two kinds of targets.
#[derive(Clone)]
pub(crate) struct Targets {
    pub(crate) engine: Arc<dyn TargetClient>,
    pub(crate) plain: Arc<dyn TargetClient>,
}

/// How a request ended, for whoever keeps its claim.
pub(crate) struct Ended {
    pub(crate) outcome: RequestOutcome,
    pub(crate) whole: Option<(u16, Arc<[u8]>)>,
}

/// One request under way.
pub(crate) struct Runner {
    node: NodeHandle,
    targets: Targets,
    submission: Submission,
    answer: Arc<AnswerBuffer>,
    request: Request,
    asking: Option<(SlotRequestId, flume::Receiver<SlotReply>)>,
    granted: Option<(TargetId, SocketAddr)>,
    attempt: Option<(u32, Attempt)>,
    heard: u64,
    offset: u64,
    idle: Instant,
    started: Instant,
    first_ms: Option<u32>,
    breaks: u32,
    refused: bool,
    crashed: bool,
    refusal: Option<Error>,
    reason: Error,
    staged: Option<ResponsePart>,
    whole: Option<(u16, Arc<[u8]>)>,
    prompt_tokens: u32,
}

enum Woken {
    Asked(Result<SlotReply, flume::RecvError>),
    Heard(Result<AttemptEvent, flume::RecvError>),
    Idle,
    Withdrawn,
    Expired,
}

impl Runner {
    pub(crate) fn new(
        node: NodeHandle,
        targets: Targets,
        submission: Submission,
        answer: Arc<AnswerBuffer>,
    ) -> (Runner, Vec<RequestAction>) {
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
        let runner = Runner {
            node,
            targets,
            submission,
            answer,
            request,
            asking: None,
            granted: None,
            attempt: None,
            heard: 0,
            offset: 0,
            idle: Instant::now(),
            started: Instant::now(),
            first_ms: None,
            breaks: 0,
            refused: false,
            crashed: false,
            refusal: None,
            reason: Error::new("failed", Step::Answer, "target", "no attempt succeeded"),
            staged: None,
            whole: None,
            prompt_tokens,
        };
        (runner, actions)
    }

    fn document(&self) -> &Document {
        &self.submission.service.document
    }

    /// Runs the request to its end.
    pub(crate) async fn run(mut self, first: Vec<RequestAction>) -> Ended {
        let expires = Instant::now() + self.document().limits.total_time;
        let mut ended = self.carry_out(first);
        loop {
            if let Some(outcome) = ended {
                if let Some(error) = self.refusal.take() {
                    if self.crashed {
                        // The news of the crash goes ahead of the caller's next send.
                        tokio::time::sleep(CRASH_PAUSE).await;
                    }
                    self.answer.push(ResponsePart::Failed(error));
                }
                return Ended {
                    outcome,
                    whole: self.whole.take(),
                };
            }
            let woken = self.next(expires).await;
            let input = self.input_of(woken);
            ended = input.and_then(|input| {
                let actions = self.request.handle(input);
                self.carry_out(actions)
            });
        }
    }

    async fn next(&self, expires: Instant) -> Woken {
        let asked = async {
            match &self.asking {
                Some((_, reply)) => reply.recv_async().await,
                None => std::future::pending().await,
            }
        };
        let heard = async {
            match &self.attempt {
                Some((_, attempt)) => attempt.events.recv_async().await,
                None => std::future::pending().await,
            }
        };
        let idle = async {
            match &self.attempt {
                Some(_) => tokio::time::sleep_until(self.idle).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            heard = heard => Woken::Heard(heard),
            asked = asked => Woken::Asked(asked),
            () = self.answer.cancelled.notified() => Woken::Withdrawn,
            () = idle => Woken::Idle,
            () = tokio::time::sleep_until(expires) => Woken::Expired,
        }
    }

    fn input_of(&mut self, woken: Woken) -> Option<RequestEvent> {
        match woken {
            Woken::Asked(Ok(SlotReply::Granted {
                grant,
                target,
                address,
                granted_at,
            })) => {
                self.asking = None;
                if granted_at.elapsed() > GRANT_AGE {
                    self.give_back(grant, &target);
                    let ask = self.ask(Vec::new(), false);
                    self.asking = Some(ask);
                    return None;
                }
                self.granted = Some((target.clone(), address));
                Some(RequestEvent::Granted { grant, target })
            }
            Woken::Asked(Ok(SlotReply::Denied(code))) => {
                self.asking = None;
                Some(RequestEvent::Denied(code))
            }
            Woken::Asked(Err(_)) => {
                self.asking = None;
                Some(RequestEvent::Denied(decision::DenyCode::Stopping))
            }
            Woken::Heard(heard) => self.heard(heard),
            Woken::Idle => {
                let attempt = self.attempt.as_ref()?.0;
                let message = "the target has been silent for too long";
                self.note("silent", Step::Answer, message);
                Some(RequestEvent::TimedOut(attempt))
            }
            Woken::Withdrawn if self.may_withdraw() => Some(RequestEvent::Cancelled),
            Woken::Withdrawn => None,
            Woken::Expired => Some(RequestEvent::DeadlineExceeded),
        }
    }

    /// A request that may not be repeated goes on without its caller once it
    /// has been sent: stopping half-way would help nobody.
    fn may_withdraw(&self) -> bool {
        matches!(self.submission.operation, Operation::Chat { .. }) || self.attempt.is_none()
    }

    fn heard(&mut self, heard: Result<AttemptEvent, flume::RecvError>) -> Option<RequestEvent> {
        let attempt = self.attempt.as_ref()?.0;
        let limits = &self.submission.service.document.limits;
        match heard {
            Ok(AttemptEvent::Sent) => {
                self.idle = Instant::now() + limits.first_time;
                Some(RequestEvent::Sending(attempt))
            }
            Ok(AttemptEvent::NotRun {
                connect_failed,
                message,
            }) => {
                self.refused |= connect_failed;
                self.note("unreachable", Step::Connect, &message);
                Some(RequestEvent::NotRun(attempt))
            }
            Ok(AttemptEvent::Event { echoed_id, data }) => {
                self.idle = Instant::now() + limits.idle_time;
                if echoed_id != self.attempt_name(attempt) {
                    // Events of another request: nothing of this stream can be trusted.
                    self.note("crossed", Step::Answer, "the answer is for another request");
                    return Some(RequestEvent::Incomplete(attempt));
                }
                let index = self.offset + self.heard;
                self.heard += 1;
                self.stage(ResponsePart::Event {
                    index,
                    data: self.renamed(&data).into(),
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
                    index: self.offset + self.heard,
                    last: true,
                })
            }
            Ok(AttemptEvent::CompleteResponse {
                status,
                content_type,
                body,
            }) => {
                let body: Arc<[u8]> = Arc::from(&body[..]);
                self.whole = Some((status, body.clone()));
                self.stage(ResponsePart::CompleteResponse {
                    status,
                    content_type,
                    body,
                });
                Some(RequestEvent::Event {
                    attempt,
                    index: self.offset + self.heard,
                    last: true,
                })
            }
            Ok(AttemptEvent::Failed { status, message }) => {
                self.breaks += u32::from(status >= SERVER_ERRORS);
                self.note(
                    "failed",
                    Step::Answer,
                    &format!("status {status}: {message}"),
                );
                Some(RequestEvent::Failed {
                    attempt,
                    transient: status >= SERVER_ERRORS,
                })
            }
            Ok(AttemptEvent::Disconnected(message)) => {
                self.breaks += 1;
                self.note("broken", Step::Answer, &message);
                Some(RequestEvent::Incomplete(attempt))
            }
            Err(_) => {
                self.breaks += 1;
                Some(RequestEvent::Incomplete(attempt))
            }
        }
    }

    fn stage(&mut self, part: ResponsePart) {
        self.staged = Some(part);
    }

    fn note(&mut self, code: &'static str, step: Step, message: &str) {
        let peer = self.granted.as_ref().map_or("target", |g| g.0.as_str());
        self.reason = Error::new(code, step, peer, message);
    }

    fn attempt_name(&self, attempt: u32) -> SmolStr {
        format_smolstr!("{}.{attempt}", self.answer.id)
    }

    /// Puts the request's id where the engine put the attempt's.
    fn renamed(&self, data: &str) -> String {
        let Ok(Value::Object(mut event)) = serde_json::from_str(data) else {
            return data.to_owned();
        };
        event.insert("id".to_owned(), json!(self.answer.id));
        Value::Object(event).to_string()
    }

    fn carry_out(&mut self, actions: Vec<RequestAction>) -> Option<RequestOutcome> {
        let mut ended = None;
        for action in actions {
            match action {
                RequestAction::RequestSlot { avoid, retry } => {
                    self.asking = Some(self.ask(avoid, retry));
                }
                RequestAction::CancelSlotRequest => {
                    if let Some((id, _)) = self.asking.take() {
                        self.node.send_event(Event::CancelSlotRequest(id));
                    }
                }
                RequestAction::Dispatch {
                    attempt, offset, ..
                } => self.dispatch(attempt, offset),
                RequestAction::Deliver => self.deliver(),
                RequestAction::Disconnect(_) => self.attempt = None,
                RequestAction::Release {
                    grant,
                    target,
                    complete,
                } => self.release(grant, target, complete),
                RequestAction::Finish(outcome) => {
                    self.finish(outcome);
                    ended = Some(outcome);
                }
            }
        }
        ended
    }

    fn ask(
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

    fn dispatch(&mut self, attempt: u32, offset: u64) {
        let Some((_, address)) = self.granted else {
            return;
        };
        let limits = &self.document().limits;
        self.idle = Instant::now() + limits.first_time;
        self.heard = 0;
        self.offset = offset;
        let call = self.call(attempt, address, offset);
        let target = match self.document().kind {
            ServiceKind::Engine => &self.targets.engine,
            ServiceKind::Plain => &self.targets.plain,
        };
        self.attempt = Some((attempt, target.dispatch(call)));
    }

    fn call(&self, attempt: u32, address: SocketAddr, offset: u64) -> TargetRequest {
        let attempt = self.attempt_name(attempt);
        let priority = self.submission.priority;
        match &self.submission.operation {
            Operation::Chat { body } => {
                let mut body = body.clone();
                body.insert("stream".to_owned(), json!(true));
                // The hash keeps apart chats that two workspaces name alike.
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

    fn deliver(&mut self) {
        if self.first_ms.is_none() {
            let took = self.started.elapsed().as_millis();
            self.first_ms = Some(u32::try_from(took).unwrap_or(u32::MAX));
        }
        if let Some(part) = self.staged.take() {
            self.answer.push(part);
        }
    }

    fn give_back(&self, grant: GrantId, target: &TargetId) {
        let service = self.document().service.clone();
        self.node.send_event(Event::AttemptEnded {
            release: Release::unused(grant, service, target.clone()),
            digest: self.submission.digest,
            crashed: false,
        });
    }

    fn release(&mut self, grant: GrantId, target: TargetId, complete: bool) {
        self.attempt = None;
        self.granted = None;
        let answered = u32::try_from(self.request.delivered()).unwrap_or(u32::MAX);
        let tokens = if complete {
            self.prompt_tokens.saturating_add(answered)
        } else {
            0
        };
        let release = Release {
            grant,
            service: self.document().service.clone(),
            chat: self.submission.chat,
            location: CacheLocation { target, tokens },
            complete,
            refused: self.refused,
            first_ms: self.first_ms.filter(|_| complete),
        };
        // An attempt that broke, and the next one failed too or was refused:
        // the target has crashed.
        let crashed = self.breaks >= 2 || (self.breaks == 1 && self.refused);
        self.crashed |= crashed;
        self.breaks = 0;
        self.refused = false;
        self.node.send_event(Event::AttemptEnded {
            release,
            digest: self.submission.digest,
            crashed,
        });
    }

    fn finish(&mut self, outcome: RequestOutcome) {
        let error = match outcome {
            RequestOutcome::Done => return,
            RequestOutcome::Refused(code, ran) => {
                let message = format!("no slot: {}", code.word().replace('_', " "));
                Error::new(code.word(), Step::Place, "fleet", message).with_execution(ran)
            }
            RequestOutcome::Failed(ran) => self.reason.clone().with_execution(ran),
            RequestOutcome::Cancelled => {
                let message = "the request was withdrawn";
                Error::new("withdrawn", Step::Answer, "caller", message)
                    .with_execution(Execution::Unknown)
            }
            RequestOutcome::DeadlineExceeded(ran) => {
                let message = "the request's time is over";
                Error::new("timeout", Step::Answer, "target", message).with_execution(ran)
            }
        };
        self.refusal = Some(error);
    }
}

fn prompt_tokens(work: &Operation) -> u32 {
    let chars = match work {
        Operation::Chat { body } => body.get("messages").map_or(0, |m| m.to_string().len()),
        Operation::Call { .. } => 0,
    };
    u32::try_from(chars / CHARS_A_TOKEN).unwrap_or(u32::MAX)
}
