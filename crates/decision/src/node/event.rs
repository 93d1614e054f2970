//! Inputs and outputs of the node's state machine.

use crate::document::VersionedDocument;
use crate::drain::{DrainKey, DrainMark};
use crate::id::{
    ChatId, Digest, GrantId, InstanceId, ServiceId, SlotRequestId, TargetId, WorkspaceId,
};
use crate::members::Listing;
use crate::message::{DenyCode, Message, Release};
use crate::slots::LoadReport;
use std::net::SocketAddr;
use std::time::Duration;

/// An input of [`Node::handle`](super::Node::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// Periodic timer; due every 100 ms.
    Tick,
    /// A message from another instance.
    PeerMessage {
        /// Sender.
        from: InstanceId,
        /// Message.
        message: Message,
    },
    /// The connection to another instance was refused or lost.
    PeerLost(InstanceId),
    /// The platform's current list of instances.
    InstanceList(Vec<Listing>),
    /// A service document that was read from or written to the platform's table.
    Document(VersionedDocument),
    /// A drain mark that was read from the platform's table.
    DrainMark(DrainMark),
    /// An operator's order to this instance to drain a target or a failure
    /// domain, or to use it again.
    SetDrained {
        /// Target or failure domain.
        key: DrainKey,
        /// Whether to drain it.
        drained: bool,
    },
    /// A request that arrived at this instance needs a slot.
    RequestSlot {
        /// Identifier, unique within this instance.
        id: SlotRequestId,
        /// Service.
        service: ServiceId,
        /// Workspace.
        workspace: WorkspaceId,
        /// Chat.
        chat: ChatId,
        /// Digest of the request.
        digest: Digest,
        /// Priority; higher goes first.
        priority: u8,
        /// Longest wait for a slot.
        wait: Duration,
        /// Targets to avoid.
        avoid: Vec<TargetId>,
        /// Whether this is a retry, which draws on the retry budgets.
        retry: bool,
    },
    /// A request no longer needs the slot it asked for.
    CancelSlotRequest(SlotRequestId),
    /// An attempt has ended and its slot can be freed.
    AttemptEnded {
        /// Grant to release and outcome of the attempt.
        release: Release,
        /// Digest of the request.
        digest: Digest,
        /// Whether the target crashed during the attempt.
        crashed: bool,
    },
    /// A load report that was polled from a target.
    LoadReport {
        /// Service.
        service: ServiceId,
        /// Target.
        target: TargetId,
        /// Report.
        report: LoadReport,
    },
    /// Changes in the number of tokens that a target caches of chats.
    CachedTokens {
        /// Service.
        service: ServiceId,
        /// Target.
        target: TargetId,
        /// Cached tokens per chat.
        chats: Vec<(ChatId, u32)>,
        /// Whether earlier cache events were lost.
        gap: bool,
    },
    /// A target refused a connection.
    TargetUnreachable {
        /// Service.
        service: ServiceId,
        /// Target.
        target: TargetId,
    },
    /// An operator's order to this instance to release a request digest from
    /// quarantine.
    Unquarantine(Digest),
    /// This instance begins its graceful shutdown.
    Shutdown,
}

/// An output of [`Node::handle`](super::Node::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a message to another instance.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Message.
        message: Message,
    },
    /// A slot request was granted.
    Granted {
        /// Slot request.
        request: SlotRequestId,
        /// Grant.
        grant: GrantId,
        /// Target.
        target: TargetId,
        /// Address of the target.
        address: SocketAddr,
    },
    /// A slot request was denied; the request has not run.
    Denied {
        /// Slot request.
        request: SlotRequestId,
        /// Reason.
        code: DenyCode,
    },
    /// Write a drain mark to the platform's table.
    StoreMark(DrainMark),
    /// Send a part of an answer that this instance keeps to another instance.
    SendAnswerPart {
        /// Receiver, which sent the query.
        to: InstanceId,
        /// Query; always a [`Message::FetchAnswer`].
        message: Message,
    },
    /// A part of an answer that another instance keeps has arrived; always a
    /// [`Message::AnswerPart`].
    AnswerPart(Message),
    /// A service document became active, with its version.
    DocumentApplied(ServiceId, u64),
    /// The process was paused for this long, for the log.
    PauseDetected(Duration),
    /// The status of an instance changed, for the log.
    MemberChanged(InstanceId),
    /// A target became cold or unreachable, for the log.
    TargetChanged(TargetId, &'static str),
}

/// A target whose load reports this instance must poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollTarget {
    /// Service.
    pub service: ServiceId,
    /// Target.
    pub target: TargetId,
    /// Address.
    pub address: SocketAddr,
}
