//! The fleet as the caller interface uses it.

use crate::answers::{AnswerBuffer, Answers};
use crate::node_thread::NodeHandle;
use crate::orders::{self, Claimed, Held, MintUse, MintedIds};
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

/// Addresses in one lookup.
const ADDRESSES: usize = 4;
/// Pause between two questions for an answer that another instance keeps.
const PART_PAUSE: Duration = Duration::from_millis(100);
/// Time for one such question.
const PART_TIMEOUT: Duration = Duration::from_secs(2);
/// Parts that wait for a caller that reads another instance's answer.
const PARTS_WAITING: usize = 16;

/// The fleet as the caller interface of one instance uses it.
#[derive(Clone)]
pub(crate) struct LocalFleet {
    pub(crate) instance: InstanceId,
    pub(crate) incarnation: u64,
    pub(crate) node: NodeHandle,
    pub(crate) store: Store,
    pub(crate) answers: Arc<Answers>,
    pub(crate) minted: Arc<MintedIds>,
    pub(crate) targets: TargetClients,
    pub(crate) lookup_ttl: Duration,
    pub(crate) seq: Arc<AtomicU64>,
    pub(crate) leaving: Arc<AtomicBool>,
}

/// What lets a request run.
enum Permit {
    /// It may run as often as it takes.
    Repeatable,
    /// A claim in the table.
    Claim(Held),
    /// A minted id.
    Minted(RequestId),
}

impl CallerApi for LocalFleet {
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
            .inspect(move |node, _| node.locate(&service, chat, ADDRESSES));
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
        self.minted.mint(workspace)
    }

    fn submit(&self, submission: Submission) -> ResultFuture<ResponseStream> {
        let fleet = self.clone();
        Box::pin(async move { fleet.take(submission).await })
    }

    fn resume(
        &self,
        id: &str,
        workspaces: Vec<WorkspaceId>,
        offset: u64,
    ) -> ResultFuture<ResponseStream> {
        let fleet = self.clone();
        let id = RequestId::from(id);
        Box::pin(async move { fleet.read_again(&id, &workspaces, offset).await })
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

impl LocalFleet {
    async fn take(&self, submission: Submission) -> Result<ResponseStream> {
        let permit = match self.permit(&submission).await? {
            Ok(permit) => permit,
            Err(answer) => return Ok(answer),
        };
        let id = match &permit {
            Permit::Minted(id) => id.clone(),
            Permit::Repeatable | Permit::Claim(_) => self.next_id(),
        };
        let buffer = self.answers.create(&id, &submission.workspace);
        let parts = buffer.spawn_reader(0);
        self.start(submission, permit, buffer);
        Ok(ResponseStream { id, parts })
    }

    fn next_id(&self) -> RequestId {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed);
        format_smolstr!("{}.{}.{seq}", self.instance, self.incarnation)
    }

    fn start(&self, submission: Submission, permit: Permit, buffer: Arc<AnswerBuffer>) {
        let fleet = self.clone();
        tokio::spawn(async move {
            let (runner, actions) = RequestRunner::new(
                fleet.node.clone(),
                fleet.targets.clone(),
                submission,
                buffer.clone(),
            );
            let result = runner.run(actions).await;
            match permit {
                Permit::Claim(held) => {
                    orders::conclude(&fleet.store, held, result.outcome, result.complete_response);
                }
                Permit::Minted(id) if result.outcome.has_not_run() => fleet.minted.give_back(&id),
                Permit::Repeatable | Permit::Minted(_) => {}
            }
        });
    }

    /// Finds out whether a request may run, or has run before.
    async fn permit(
        &self,
        submission: &Submission,
    ) -> Result<std::result::Result<Permit, ResponseStream>> {
        let is_once = matches!(
            submission.operation,
            Operation::Call {
                repeatable: false,
                ..
            }
        );
        match &submission.idempotency_key {
            _ if !is_once => Ok(Ok(Permit::Repeatable)),
            None => {
                let message = "a request that may not be repeated needs a key of the caller's \
                               own, or an id from POST /v1/requests";
                Err(Error::new("key_needed", Step::Claim, "caller", message))
            }
            Some(key) if orders::is_minted(key) => self.permit_minted(key, submission).await,
            Some(key) => {
                let service = &submission.service.document.service;
                let scope = (&submission.workspace, service);
                let digest = submission.digest;
                let claimed = orders::claim(&self.store, &self.instance, scope, key, digest);
                match claimed.await? {
                    Claimed::Held(held) => Ok(Ok(Permit::Claim(held))),
                    Claimed::Ran(status, body) => Ok(Err(self.repeat(status, body))),
                }
            }
        }
    }

    async fn permit_minted(
        &self,
        id: &SmolStr,
        submission: &Submission,
    ) -> Result<std::result::Result<Permit, ResponseStream>> {
        match self.minted.take(id, &submission.workspace) {
            MintUse::First => Ok(Ok(Permit::Minted(id.clone()))),
            MintUse::Again => {
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
            MintUse::Unknown => Err(self.not_minted_here(id).await),
        }
    }

    /// Refuses an id that another instance minted, or that is not known.
    ///
    /// An earlier send under the id may have run there, so this never says
    /// that it did not.
    async fn not_minted_here(&self, id: &str) -> Error {
        let minter = orders::minter(id).map(|(instance, _)| InstanceId::from(instance));
        let address = match minter.filter(|i| *i != self.instance) {
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

    /// Gives the answer of a claimed request that ran before.
    fn repeat(&self, status: u16, body: Option<String>) -> ResponseStream {
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
            id: self.next_id(),
            parts,
        }
    }

    async fn read_again(
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
        let home = holder(id).filter(|i| *i != self.instance);
        let Some(home) = home else {
            return Err(unknown_request());
        };
        let known = home.clone();
        let reply = self
            .node
            .inspect(move |node, _| node.members().get(&known).is_some());
        if reply.recv_async().await != Ok(true) {
            return Err(unknown_request());
        }
        for workspace in workspaces {
            let asked = self.ask_part(&home, id, workspace, offset).await;
            if let Some(Message::AnswerPart { known: true, .. }) = &asked {
                let parts = self.relay(home, id.clone(), workspace.clone(), offset);
                return Ok(ResponseStream {
                    id: id.clone(),
                    parts,
                });
            }
        }
        Err(unknown_request())
    }

    async fn ask_part(
        &self,
        home: &InstanceId,
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
        let reply = self.node.fetch_answer(home.clone(), query, message);
        let part = tokio::time::timeout(PART_TIMEOUT, reply.recv_async()).await;
        part.ok()?.ok()
    }

    /// Reads an answer that another instance keeps, part by part.
    fn relay(
        &self,
        home: InstanceId,
        id: RequestId,
        workspace: WorkspaceId,
        offset: u64,
    ) -> flume::Receiver<ResponsePart> {
        let (sender, parts) = flume::bounded(PARTS_WAITING);
        let fleet = self.clone();
        tokio::spawn(async move {
            let mut next = offset;
            loop {
                let part = fleet.ask_part(&home, &id, &workspace, next).await;
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
                    tokio::time::sleep(PART_PAUSE).await;
                }
            }
        });
        parts
    }
}

/// Instance that keeps a request's answer, by the request's id.
fn holder(id: &str) -> Option<InstanceId> {
    if let Some((instance, _)) = orders::minter(id) {
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
