//! Implementation of the calls that callers make to an instance.

use crate::answers::{AnswerBuffer, Answers};
use crate::idempotency::{self, ClaimResult, HeldClaim, IdUse, IssuedIds};
use crate::node_thread::NodeHandle;
use crate::runner::{RequestRunner, TargetClients};
use crate::store::Store;
use caller::{
    CallerApi, InstanceAddress, Locations, Operation, ResponsePart, ResponseStream, ResultFuture,
    Submission,
};
use decision::{
    ChatId, Error, Execution, InstanceId, Message, RequestId, Result, ServiceId, Step,
    VersionedDocument, WorkspaceId,
};
use smol_str::{SmolStr, format_smolstr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// Largest number of addresses that a lookup returns.
const LOOKUP_ADDRESSES: usize = 4;
/// Pause before another instance is queried again, after it had no new events.
const POLL_PAUSE: Duration = Duration::from_millis(100);
/// Timeout of a query to another instance.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Parts that are queued for a caller who reads an answer kept by another instance.
const RELAY_QUEUE: usize = 16;

/// Calls that callers make to this instance.
#[derive(Clone)]
pub(crate) struct LocalCallerApi {
    pub(crate) instance: InstanceId,
    pub(crate) incarnation: u64,
    pub(crate) node: NodeHandle,
    pub(crate) store: Store,
    pub(crate) answers: Arc<Answers>,
    pub(crate) issued_ids: Arc<IssuedIds>,
    pub(crate) targets: TargetClients,
    pub(crate) lookup_ttl: Duration,
    /// Sequence number of the next request id.
    pub(crate) seq: Arc<AtomicU64>,
    /// Whether the instance is shutting down.
    pub(crate) leaving: Arc<AtomicBool>,
}

/// Reason for which a request may run.
enum Permit {
    /// The request may run any number of times.
    Repeatable,
    /// This instance holds the claim for the request.
    Claim(HeldClaim),
    /// The request has an issued id that was unused.
    IssuedId(RequestId),
}

impl CallerApi for LocalCallerApi {
    fn document(&self, service: &str) -> Option<Arc<VersionedDocument>> {
        let documents = self.node.documents.read().expect("documents");
        documents.get(service).cloned()
    }

    fn services(&self) -> Vec<ServiceId> {
        let documents = self.node.documents.read().expect("documents");
        documents.keys().cloned().collect()
    }

    fn locate(&self, service: &str, chat: ChatId) -> ResultFuture<Locations> {
        let service = service.to_owned();
        let reply = self
            .node
            .inspect(move |node, _| node.locate(&service, chat, LOOKUP_ADDRESSES));
        let lifetime_ms = self.lookup_ttl.as_millis() as u64;
        Box::pin(async move {
            let found = reply.recv_async().await.map_err(|_| stopping())?;
            let addresses = found.into_iter();
            Ok(Locations {
                addresses: addresses
                    .map(|(instance, address)| InstanceAddress { instance, address })
                    .collect(),
                lifetime_ms,
            })
        })
    }

    fn issue_id(&self, workspace: &WorkspaceId) -> Result<RequestId> {
        self.issued_ids.issue(workspace)
    }

    fn submit(&self, submission: Submission) -> ResultFuture<ResponseStream> {
        let api = self.clone();
        Box::pin(async move { api.accept(submission).await })
    }

    fn resume(
        &self,
        id: &str,
        workspaces: Vec<WorkspaceId>,
        offset: u64,
    ) -> ResultFuture<ResponseStream> {
        let api = self.clone();
        let id = RequestId::from(id);
        Box::pin(async move { api.resume_answer(&id, &workspaces, offset).await })
    }

    fn cancel(&self, id: &str, workspaces: &[WorkspaceId]) -> Result<()> {
        let Some(buffer) = self.answers.find(id, workspaces) else {
            return Err(unknown_request());
        };
        buffer.cancelled.notify_one();
        Ok(())
    }

    fn is_ready(&self) -> bool {
        !self.leaving.load(Ordering::Relaxed) && !self.services().is_empty()
    }
}

impl LocalCallerApi {
    /// Starts a request, or repeats the response if the request ran before.
    async fn accept(&self, submission: Submission) -> Result<ResponseStream> {
        let permit = match self.check_permit(&submission).await? {
            Ok(permit) => permit,
            Err(response) => return Ok(response),
        };
        let id = match &permit {
            Permit::IssuedId(id) => id.clone(),
            Permit::Repeatable | Permit::Claim(_) => self.next_request_id(),
        };
        let buffer = self.answers.create(&id, &submission.workspace);
        let parts = buffer.spawn_reader(0);
        self.spawn_request(submission, permit, buffer);
        Ok(ResponseStream { id, parts })
    }

    /// Returns a new request id, which names this instance as holder of the answer.
    fn next_request_id(&self) -> RequestId {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed);
        format_smolstr!("{}.{}.{seq}", self.instance, self.incarnation)
    }

    /// Runs a request in the background and concludes its claim or issued id.
    fn spawn_request(&self, submission: Submission, permit: Permit, buffer: Arc<AnswerBuffer>) {
        let api = self.clone();
        tokio::spawn(async move {
            let (runner, actions) = RequestRunner::new(
                api.node.clone(),
                api.targets.clone(),
                submission,
                buffer.clone(),
            );
            let result = runner.run(actions).await;
            match permit {
                Permit::Claim(held) => {
                    idempotency::conclude(
                        &api.store,
                        held,
                        result.outcome,
                        result.complete_response,
                    );
                }
                Permit::IssuedId(id) if result.outcome.has_not_run() => {
                    api.issued_ids.restore_use(&id);
                }
                Permit::Repeatable | Permit::IssuedId(_) => {}
            }
        });
    }

    /// Checks whether a request may run.
    ///
    /// The inner `Err` is the response to a request that ran before.
    ///
    /// # Errors
    ///
    /// Fails if the request may not run, or if that cannot be found out.
    async fn check_permit(
        &self,
        submission: &Submission,
    ) -> Result<std::result::Result<Permit, ResponseStream>> {
        let runs_once = matches!(
            submission.operation,
            Operation::Call {
                repeatable: false,
                ..
            }
        );
        match &submission.idempotency_key {
            _ if !runs_once => Ok(Ok(Permit::Repeatable)),
            None => {
                let message = "a request that may not be repeated needs a key of the caller's \
                               own, or an id from POST /v1/requests";
                Err(Error::new("key_needed", Step::Claim, "caller", message))
            }
            Some(key) if idempotency::is_issued_id(key) => {
                self.check_issued_id(key, submission).await
            }
            Some(key) => {
                let service = &submission.service.document.service;
                let scope = (&submission.workspace, service);
                let digest = submission.digest;
                let claimed = idempotency::claim(&self.store, &self.instance, scope, key, digest);
                match claimed.await? {
                    ClaimResult::Held(held) => Ok(Ok(Permit::Claim(held))),
                    ClaimResult::AlreadyRan(status, body) => {
                        Ok(Err(self.repeat_response(status, body)))
                    }
                }
            }
        }
    }

    /// Checks whether a request with an issued id may run, like [`Self::check_permit`].
    async fn check_issued_id(
        &self,
        id: &SmolStr,
        submission: &Submission,
    ) -> Result<std::result::Result<Permit, ResponseStream>> {
        match self.issued_ids.try_use(id, &submission.workspace) {
            IdUse::FirstUse => Ok(Ok(Permit::IssuedId(id.clone()))),
            IdUse::AlreadyUsed => {
                let workspaces = std::slice::from_ref(&submission.workspace);
                let Some(buffer) = self.answers.find(id, workspaces) else {
                    let message = "this id was used, and its answer is no longer kept";
                    return Err(Error::new("claimed", Step::Claim, "instance", message)
                        .with_execution(Execution::Unknown));
                };
                Ok(Err(ResponseStream {
                    id: id.clone(),
                    parts: buffer.spawn_reader(0),
                }))
            }
            IdUse::Unknown => Err(self.not_issued_here(id).await),
        }
    }

    /// Returns the error for an id that this instance did not issue.
    ///
    /// The issuer, if it is live, is named by its address. An earlier request under the id
    /// may have run there, so the error leaves open whether it ran.
    async fn not_issued_here(&self, id: &str) -> Error {
        let issuer = idempotency::issuer(id).map(|(instance, _)| InstanceId::from(instance));
        let address = match issuer.filter(|i| *i != self.instance) {
            Some(instance) => {
                let reply = self.node.inspect(move |node, _| {
                    let member = node.members().get(&instance)?;
                    member.is_live().then_some(member.caller)
                });
                reply.recv_async().await.ok().flatten()
            }
            None => None,
        };
        match address {
            Some(address) => {
                let message = format!("this id is good only at the instance at {address}");
                Error::new("wrong_instance", Step::Claim, "instance", message)
            }
            None => Error::new(
                "unknown_request",
                Step::Claim,
                "instance",
                "the instance that minted this id is gone; whether the id was used is not known",
            ),
        }
        .with_execution(Execution::Unknown)
    }

    /// Returns the response to a claimed request that ran before.
    fn repeat_response(&self, status: u16, body: Option<String>) -> ResponseStream {
        let (sender, parts) = flume::bounded(1);
        let part = match body {
            Some(body) => ResponsePart::CompleteResponse {
                status,
                content_type: SmolStr::new_static("application/json"),
                body: body.into_bytes().into(),
            },
            None => ResponsePart::Failed(
                Error::new(
                    "in_progress",
                    Step::Claim,
                    "platform",
                    format!("it ran with status {status}; its answer was too long to keep"),
                )
                .with_execution(Execution::Ran),
            ),
        };
        let _ = sender.send(part);
        ResponseStream {
            id: self.next_request_id(),
            parts,
        }
    }

    /// Reads an answer from an offset, at this instance or at the one that keeps it.
    async fn resume_answer(
        &self,
        id: &RequestId,
        workspaces: &[WorkspaceId],
        offset: u64,
    ) -> Result<ResponseStream> {
        if let Some(buffer) = self.answers.find(id, workspaces) {
            return Ok(ResponseStream {
                id: id.clone(),
                parts: buffer.spawn_reader(offset),
            });
        }
        let holder = answer_holder(id).filter(|i| *i != self.instance);
        let Some(holder) = holder else {
            return Err(unknown_request());
        };
        let known = holder.clone();
        let reply = self
            .node
            .inspect(move |node, _| node.members().get(&known).is_some());
        if reply.recv_async().await != Ok(true) {
            return Err(unknown_request());
        }
        for workspace in workspaces {
            let part = self.query_answer_part(&holder, id, workspace, offset).await;
            if let Some(Message::AnswerPart { known: true, .. }) = &part {
                let parts = self.relay_answer(holder, id.clone(), workspace.clone(), offset);
                return Ok(ResponseStream {
                    id: id.clone(),
                    parts,
                });
            }
        }
        Err(unknown_request())
    }

    /// Queries another instance for the events from an offset on; `None` if it does not reply.
    async fn query_answer_part(
        &self,
        holder: &InstanceId,
        id: &RequestId,
        workspace: &WorkspaceId,
        offset: u64,
    ) -> Option<Message> {
        let query = self.node.next_request_id();
        let message = Message::FetchAnswer {
            query,
            request: id.clone(),
            workspace: workspace.clone(),
            offset,
        };
        let reply = self.node.fetch_answer(holder.clone(), query, message);
        let part = tokio::time::timeout(QUERY_TIMEOUT, reply.recv_async()).await;
        part.ok()?.ok()
    }

    /// Copies an answer that another instance keeps, by repeated queries.
    fn relay_answer(
        &self,
        holder: InstanceId,
        id: RequestId,
        workspace: WorkspaceId,
        offset: u64,
    ) -> flume::Receiver<ResponsePart> {
        let (sender, parts) = flume::bounded(RELAY_QUEUE);
        let api = self.clone();
        tokio::spawn(async move {
            let mut next = offset;
            loop {
                let part = api.query_answer_part(&holder, &id, &workspace, next).await;
                let Some(Message::AnswerPart {
                    events,
                    known: true,
                    last,
                    ..
                }) = part
                else {
                    let error = unknown_request().with_execution(Execution::Ran);
                    let _ = sender.send_async(ResponsePart::Failed(error)).await;
                    return;
                };
                let is_idle = events.is_empty();
                for data in events {
                    let event = ResponsePart::Event {
                        index: next,
                        data: data.into(),
                    };
                    next += 1;
                    if sender.send_async(event).await.is_err() {
                        return;
                    }
                }
                if last {
                    let _ = sender.send_async(ResponsePart::End).await;
                    return;
                }
                if is_idle {
                    tokio::time::sleep(POLL_PAUSE).await;
                }
            }
        });
        parts
    }
}

/// Returns the instance that keeps the answer of a request, which the request's id names.
fn answer_holder(id: &str) -> Option<InstanceId> {
    if let Some((instance, _)) = idempotency::issuer(id) {
        return Some(instance.into());
    }
    let (rest, _) = id.rsplit_once('.')?;
    let (instance, _) = rest.rsplit_once('.')?;
    Some(instance.into())
}

fn unknown_request() -> Error {
    let message = "no answer is kept under this id for this key";
    Error::new("unknown_request", Step::Read, "instance", message)
        .with_execution(Execution::Unknown)
}

fn stopping() -> Error {
    Error::new(
        "stopping",
        Step::Place,
        "instance",
        "the instance has stopped",
    )
}
