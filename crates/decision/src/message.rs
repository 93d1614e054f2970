//! Messages between instances.
//!
//! Encoded field names are short because the messages of each slot count towards
//! the control traffic of a node. A field added by a newer version must have a
//! default, so that instances of both versions understand each other.

use crate::cache_index::CacheLocation;
use crate::document::VersionedDocument;
use crate::drain::DrainMark;
use crate::fleet::Pulse;
use crate::id::{
    ChatId, Digest, DomainId, GrantId, Incarnation, InstanceId, ServiceId, SlotRequestId, TargetId,
    Version, WorkspaceId,
};
use crate::members::MemberStatus;
use crate::room::RoomMessage;
use crate::table_copy::TableUpdate;
use crate::transfer::{PageRequest, TablePage};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A request for a slot on a target, forwarded between stewards until one grants
/// it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Number, unique at the entry.
    #[serde(rename = "i")]
    pub id: SlotRequestId,
    /// Entry, the instance that the caller is connected to; empty on the first
    /// hop, where it is the sender.
    #[serde(rename = "n", default, skip_serializing_if = "InstanceId::is_empty")]
    pub entry: InstanceId,
    /// Service.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Workspace.
    #[serde(rename = "w")]
    pub workspace: WorkspaceId,
    /// Chat.
    #[serde(rename = "c")]
    pub chat: ChatId,
    /// Priority; higher goes first.
    #[serde(rename = "p", default, skip_serializing_if = "is_zero_u8")]
    pub priority: u8,
    /// Milliseconds for which the request may wait in a queue.
    #[serde(rename = "d")]
    pub wait_ms: u32,
    /// Requested target; empty if the chat's home is to choose.
    #[serde(rename = "t", default, skip_serializing_if = "TargetId::is_empty")]
    pub target: TargetId,
    /// Targets that have denied the request or must be avoided.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub tried: Vec<TargetId>,
    /// Milliseconds for which it may wait for the target that caches the chat.
    #[serde(rename = "k", default, skip_serializing_if = "is_zero_u16")]
    pub hold_ms: u16,
    /// Times that it was forwarded.
    #[serde(rename = "h", default, skip_serializing_if = "is_zero_u8")]
    pub hops: u8,
    /// Whether every target has denied it, so that the chat's home queues it.
    #[serde(rename = "q", default, skip_serializing_if = "is_false")]
    pub all_denied: bool,
    /// Whether the caller's request is suspected of crashing targets.
    #[serde(rename = "u", default, skip_serializing_if = "is_false")]
    pub suspect: bool,
}

/// A granted slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the slot request.
    #[serde(rename = "i")]
    pub request: SlotRequestId,
    /// Number of the grant.
    #[serde(rename = "g")]
    pub grant: GrantId,
    /// Target.
    #[serde(rename = "t")]
    pub target: TargetId,
}

/// An open grant, as renewed by the entry that holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldGrant {
    /// Number of the grant.
    #[serde(rename = "g")]
    pub grant: GrantId,
    /// Service.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Target.
    #[serde(rename = "t")]
    pub target: TargetId,
    /// Workspace.
    #[serde(rename = "w")]
    pub workspace: WorkspaceId,
}

/// The end of an attempt, sent to the steward and to the chat's home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// Number of the grant.
    #[serde(rename = "g")]
    pub grant: GrantId,
    /// Service.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Chat.
    #[serde(rename = "c")]
    pub chat: ChatId,
    /// Target whose slot is freed, and the tokens of the chat that it caches now.
    #[serde(rename = "p")]
    pub location: CacheLocation,
    /// Whether the complete response was received.
    #[serde(rename = "k")]
    pub complete: bool,
    /// Whether the target refused a connection.
    #[serde(rename = "r", default, skip_serializing_if = "is_false")]
    pub refused: bool,
    /// Milliseconds until the first token.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub first_ms: Option<u32>,
}

impl Release {
    /// Creates the release of an unused slot.
    pub fn unused(grant: GrantId, service: ServiceId, target: TargetId) -> Self {
        Release {
            grant,
            service,
            chat: 0,
            location: CacheLocation { target, tokens: 0 },
            complete: false,
            refused: false,
            first_ms: None,
        }
    }
}

/// State of a member, spread by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Instance.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Incarnation.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// Status.
    #[serde(rename = "s")]
    pub status: MemberStatus,
    /// Failure domain.
    #[serde(rename = "d")]
    pub domain: DomainId,
    /// Address for callers.
    #[serde(rename = "c")]
    pub caller: SocketAddr,
    /// Address for other instances.
    #[serde(rename = "p")]
    pub peer: SocketAddr,
}

/// A request that is suspected of crashing targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSuspect {
    /// Digest of the request.
    #[serde(rename = "d")]
    pub digest: Digest,
    /// Crashes during which it ran.
    #[serde(rename = "n")]
    pub crashes: u8,
    /// Seconds until the suspicion expires.
    #[serde(rename = "l")]
    pub ttl_s: u64,
}

/// A message from one instance to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a slot.
    #[serde(rename = "a")]
    SlotRequest(SlotRequest),
    /// Grants a slot.
    #[serde(rename = "g")]
    Grant(Grant),
    /// Denies a slot request.
    #[serde(rename = "n")]
    Deny {
        /// Number of the slot request.
        #[serde(rename = "i")]
        request: SlotRequestId,
        /// Reason.
        #[serde(rename = "r")]
        code: DenyCode,
    },
    /// Reports that a slot request waits in the sender's queue.
    #[serde(rename = "q")]
    Queued(SlotRequestId),
    /// Cancels a slot request that may wait in a queue.
    #[serde(rename = "w")]
    Cancel {
        /// Service.
        #[serde(rename = "s")]
        service: ServiceId,
        /// Number of the slot request.
        #[serde(rename = "i")]
        request: SlotRequestId,
    },
    /// Releases the slots of attempts that ended.
    #[serde(rename = "r")]
    Release(Vec<Release>),
    /// Renews grants.
    #[serde(rename = "h")]
    RenewGrants(Vec<HeldGrant>),
    /// Sends the loads of the sender's targets to the aggregator.
    #[serde(rename = "l")]
    TargetLoads {
        /// Service.
        #[serde(rename = "s")]
        service: ServiceId,
        /// Target, load and cap.
        #[serde(rename = "l")]
        loads: Vec<(TargetId, u32, u32)>,
    },
    /// Sends the loads of a whole pool from the aggregator to the stewards.
    #[serde(rename = "m")]
    PoolLoads {
        /// Service.
        #[serde(rename = "s")]
        service: ServiceId,
        /// Version of the document that defines the order of the targets.
        #[serde(rename = "v")]
        version: Version,
        /// Load and cap of each target, one byte each.
        #[serde(rename = "l", with = "serde_bytes_vec")]
        loads: Vec<u8>,
    },
    /// Heartbeat with recent member updates.
    #[serde(rename = "b")]
    Heartbeat {
        /// Incarnation of the sender.
        #[serde(rename = "n")]
        incarnation: Incarnation,
        /// Hash of the sender's documents, drain marks and live members.
        #[serde(rename = "f")]
        fingerprint: u64,
        /// Member updates.
        #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
        updates: Vec<MemberUpdate>,
    },
    /// Summary of the sender's state, or only of its recent changes.
    #[serde(rename = "x")]
    StateSummary {
        /// Services with the versions of their documents.
        #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
        documents: Vec<(ServiceId, Version)>,
        /// Drain marks.
        #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
        marks: Vec<DrainMark>,
        /// Crash suspects.
        #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
        suspects: Vec<CrashSuspect>,
        /// All members; empty if the summary holds only recent changes.
        #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
        updates: Vec<MemberUpdate>,
    },
    /// Requests the documents of services.
    #[serde(rename = "f")]
    FetchDocuments(Vec<ServiceId>),
    /// Sends a document.
    #[serde(rename = "d")]
    Document(Box<VersionedDocument>),
    /// Hands over the cache locations of chats to their new home.
    #[serde(rename = "c")]
    ChatLocations {
        /// Service.
        #[serde(rename = "s")]
        service: ServiceId,
        /// Chats with the target that caches most of each.
        #[serde(rename = "c")]
        chats: Vec<(ChatId, CacheLocation)>,
    },
    /// Reports the tokens that targets cache of chats whose home is the receiver.
    #[serde(rename = "e")]
    CachedTokens(Vec<(ChatId, CacheLocation)>),
    /// Releases a digest from quarantine.
    #[serde(rename = "z")]
    Unquarantine(Digest),
    /// Requests a part of an answer, a response that the receiver keeps so that its
    /// caller can resume it.
    #[serde(rename = "p")]
    FetchAnswer {
        /// Number of the query, unique at the instance that sent it.
        #[serde(rename = "i")]
        query: SlotRequestId,
        /// Request that was answered.
        #[serde(rename = "q")]
        request: crate::id::RequestId,
        /// Workspace of the caller.
        #[serde(rename = "w")]
        workspace: WorkspaceId,
        /// Events that the caller has already received.
        #[serde(rename = "o")]
        offset: u64,
    },
    /// Sends a part of an answer.
    #[serde(rename = "o")]
    AnswerPart {
        /// Number of the query, unique at the instance that sent it.
        #[serde(rename = "i")]
        query: SlotRequestId,
        /// Events from the requested offset on.
        #[serde(rename = "e")]
        events: Vec<String>,
        /// Whether the sender keeps the answer.
        #[serde(rename = "k")]
        known: bool,
        /// Whether these are the last events.
        #[serde(rename = "l")]
        last: bool,
    },
    /// Sends what a gateway instance knows: reachable instances, loads of targets
    /// and the age of table copies.
    #[serde(rename = "P")]
    Pulse(Box<Pulse>),
    /// Sends changes of a table of the store, given by its index in the fixed
    /// order of tables.
    #[serde(rename = "N")]
    TableUpdate(u8, Box<TableUpdate>),
    /// Requests the changes of a table of the store since a version, or all rows.
    #[serde(rename = "S")]
    FetchTable(u8, Option<u64>),
    /// Sends a page of changes of a table of the store.
    #[serde(rename = "T")]
    TablePage(Box<TablePage>),
    /// Requests pages of what the sender lacks of a table of the store.
    #[serde(rename = "G")]
    FetchPages(PageRequest),
    /// Asks for, grants or gives back a slot of a contended service.
    #[serde(rename = "R")]
    Room(RoomMessage),
}

impl Message {
    /// Returns the kind of message, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Message::SlotRequest(_) => "ask",
            Message::Grant(_) => "grant",
            Message::Deny { .. } => "deny",
            Message::Queued(_) => "queued",
            Message::Cancel { .. } => "cancel",
            Message::Release(_) => "release",
            Message::RenewGrants(_) => "held",
            Message::TargetLoads { .. } => "loads",
            Message::PoolLoads { .. } => "pool",
            Message::Heartbeat { .. } => "beat",
            Message::StateSummary { .. } => "index",
            Message::FetchDocuments(_) => "fetch",
            Message::Document(_) => "document",
            Message::ChatLocations { .. } => "chats",
            Message::CachedTokens(_) => "cached",
            Message::Unquarantine(_) => "pardon",
            Message::FetchAnswer { .. } => "answer_ask",
            Message::AnswerPart { .. } => "answer_part",
            Message::Pulse(_) => "pulse",
            Message::TableUpdate(..) => "news",
            Message::FetchTable(..) => "news_ask",
            Message::TablePage(_) => "page",
            Message::FetchPages(_) => "page_ask",
            Message::Room(_) => "room",
        }
    }
}

/// Reason why a slot request was denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DenyCode {
    /// The pool and its queues are full.
    #[serde(rename = "o")]
    Overloaded,
    /// Its longest wait is over.
    #[serde(rename = "e")]
    Expired,
    /// No target of the service accepts new work.
    #[serde(rename = "t")]
    NoTarget,
    /// The service is unknown.
    #[serde(rename = "s")]
    NoService,
    /// The retry budget is exhausted.
    #[serde(rename = "b")]
    RetryBudget,
    /// The caller's request is quarantined.
    #[serde(rename = "q")]
    Quarantined,
    /// The instance is shutting down.
    #[serde(rename = "l")]
    Stopping,
    /// The instances do not agree yet on the targets' stewards.
    #[serde(rename = "u")]
    Unsettled,
}

impl DenyCode {
    /// Returns the stable code that callers match on.
    pub fn word(self) -> &'static str {
        match self {
            DenyCode::Overloaded => "overloaded",
            DenyCode::Expired => "queue_timeout",
            DenyCode::NoTarget => "no_target",
            DenyCode::NoService => "unknown_service",
            DenyCode::RetryBudget => "retry_budget",
            DenyCode::Quarantined => "quarantined",
            DenyCode::Stopping => "stopping",
            DenyCode::Unsettled => "unsettled",
        }
    }
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde gives a reference")]
fn is_zero_u16(n: &u16) -> bool {
    *n == 0
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde gives a reference")]
fn is_zero_u8(n: &u8) -> bool {
    *n == 0
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde gives a reference")]
fn is_false(b: &bool) -> bool {
    !b
}

/// Encodes `Vec<u8>` as a byte string instead of an array of numbers.
mod serde_bytes_vec {
    use serde::de::{Error, SeqAccess, Visitor};
    use serde::{Deserializer, Serializer};
    use std::fmt;

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        from.deserialize_byte_buf(Bytes)
    }

    struct Bytes;

    impl<'de> Visitor<'de> for Bytes {
        type Value = Vec<u8>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("bytes")
        }

        fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
            Ok(bytes.to_vec())
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<u8>, A::Error> {
            let mut bytes = Vec::new();
            while let Some(byte) = seq.next_element()? {
                bytes.push(byte);
            }
            Ok(bytes)
        }
    }
}
