//! What a node is told and what it tells its daemon to do.

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

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time went on; due every tenth of a second.
    Tick,
    /// Another instance sent a message.
    PeerMessage {
        /// Sender.
        from: InstanceId,
        /// What it sent.
        message: Message,
    },
    /// The connection to another instance was refused or broke.
    PeerLost(InstanceId),
    /// The platform gave its list of instances.
    InstanceList(Vec<Listing>),
    /// A document was read from the platform's table, or written there.
    Document(VersionedDocument),
    /// A drain mark was read from the platform's table.
    DrainMark(DrainMark),
    /// An operator takes something out or back in, here.
    SetDrained {
        /// What.
        key: DrainKey,
        /// Whether it goes out.
        drained: bool,
    },
    /// A request needs a slot.
    RequestSlot {
        /// Number, unique at this instance.
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
        /// Longest wait.
        wait: Duration,
        /// Targets that must not be used.
        avoid: Vec<TargetId>,
        /// Whether this is not the request's first attempt.
        retry: bool,
    },
    /// A request no longer wants the slot it asked for.
    CancelSlotRequest(SlotRequestId),
    /// An attempt has ended.
    AttemptEnded {
        /// What ended.
        release: Release,
        /// Digest of the request.
        digest: Digest,
        /// Whether the target crashed under it.
        crashed: bool,
    },
    /// A target reported its load.
    LoadReport {
        /// Service.
        service: ServiceId,
        /// Target.
        target: TargetId,
        /// What it said.
        report: LoadReport,
    },
    /// A target told how many tokens of chats it caches.
    CachedTokens {
        /// Service.
        service: ServiceId,
        /// Target.
        target: TargetId,
        /// Tokens of each chat.
        chats: Vec<(ChatId, u32)>,
        /// Whether events before these were lost.
        gap: bool,
    },
    /// A target refused a connection.
    TargetUnreachable {
        /// Service.
        service: ServiceId,
        /// Target.
        target: TargetId,
    },
    /// An operator releases a digest from quarantine, here.
    Unquarantine(Digest),
    /// This instance begins to stop.
    Shutdown,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a message to another instance.
    Send {
        /// Receiver.
        to: InstanceId,
        /// What to send.
        message: Message,
    },
    /// A request has its slot.
    Granted {
        /// The ask.
        request: SlotRequestId,
        /// The grant.
        grant: GrantId,
        /// Target.
        target: TargetId,
        /// Address of the target.
        address: SocketAddr,
    },
    /// A request gets no slot; it has not run.
    Denied {
        /// The ask.
        request: SlotRequestId,
        /// Why.
        code: DenyCode,
    },
    /// Write a drain mark to the platform's table.
    StoreMark(DrainMark),
    /// Give a part of a kept answer to another instance.
    SendAnswerPart {
        /// Who asked.
        to: InstanceId,
        /// What was asked; an [`Message::FetchAnswer`].
        message: Message,
    },
    /// A part of an answer that another instance keeps has come.
    AnswerPart(Message),
    /// A document came into force.
    DocumentApplied(ServiceId, u64),
    /// The process has noticed that it was paused.
    PauseDetected(Duration),
    /// An instance's status changed, for the log.
    MemberChanged(InstanceId),
    /// A target turned cold or stopped answering, for the log.
    TargetChanged(TargetId, &'static str),
}

/// A target whose load report this instance reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollTarget {
    /// Service.
    pub service: ServiceId,
    /// Target.
    pub target: TargetId,
    /// Address.
    pub address: SocketAddr,
}
