//! Messages between instances.
//!
//! Field names are short because a slot's messages count against the control
//! traffic of a node. A field that a newer version adds must have a default.

use crate::cache_index::CacheLocation;
use crate::document::VersionedDocument;
use crate::drain::DrainMark;
use crate::fleet::Pulse;
use crate::id::{
    ChatId, Digest, DomainId, GrantId, Incarnation, InstanceId, ServiceId, SlotRequestId, TargetId,
    Version, WorkspaceId,
};
use crate::members::MemberStatus;
use crate::table_copy::TableUpdate;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A question for a slot, which stewards pass on until one grants it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Number at the entry instance.
    #[serde(rename = "i")]
    pub id: SlotRequestId,
    /// Instance that the caller is connected to; empty on the first hop.
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
    #[serde(rename = "p", default, skip_serializing_if = "is_zero")]
    pub priority: u8,
    /// Milliseconds for which the ask may wait in a queue.
    #[serde(rename = "d")]
    pub wait_ms: u32,
    /// Target whose steward is asked; empty where the home is to choose.
    #[serde(rename = "t", default, skip_serializing_if = "TargetId::is_empty")]
    pub target: TargetId,
    /// Targets that have denied it or must not be used.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub tried: Vec<TargetId>,
    /// Milliseconds for which it may wait for the target that caches the chat.
    #[serde(rename = "k", default, skip_serializing_if = "is_none")]
    pub hold_ms: u16,
    /// Hops so far.
    #[serde(rename = "h", default, skip_serializing_if = "is_zero")]
    pub hops: u8,
    /// Whether every target has denied it, so that the home queues it.
    #[serde(rename = "q", default, skip_serializing_if = "is_false")]
    pub full: bool,
    /// Whether the request is under suspicion of crashing targets.
    #[serde(rename = "u", default, skip_serializing_if = "is_false")]
    pub suspect: bool,
}

/// A granted slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The ask it answers.
    #[serde(rename = "i")]
    pub request: SlotRequestId,
    /// Number of the grant.
    #[serde(rename = "g")]
    pub grant: GrantId,
    /// Target.
    #[serde(rename = "t")]
    pub target: TargetId,
}

/// An open grant, as its holder renews it.
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

/// The end of an attempt, told to the steward and to the chat's home.
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
    /// Where the chat's cache lies now, and the target that is freed.
    #[serde(rename = "p")]
    pub location: CacheLocation,
    /// Whether the answer was whole.
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
    /// Release of a slot that nothing has used.
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

/// A change of a member, spread by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Instance.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Its life.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// What is said of it.
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

/// A request under suspicion of crashing targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSuspect {
    /// Digest of the request.
    #[serde(rename = "d")]
    pub digest: Digest,
    /// Crashes that it was part of.
    #[serde(rename = "n")]
    pub crashes: u8,
    /// Seconds for which the suspicion lasts.
    #[serde(rename = "l")]
    pub ttl_s: u64,
}

/// What one instance tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a slot.
    #[serde(rename = "a")]
    SlotRequest(SlotRequest),
    /// Grants a slot.
    #[serde(rename = "g")]
    Grant(Grant),
    /// Refuses an ask.
    #[serde(rename = "n")]
    Deny {
        /// The ask.
        #[serde(rename = "i")]
        request: SlotRequestId,
        /// Stable word for the reason.
        #[serde(rename = "r")]
        code: DenyCode,
    },
    /// Says that an ask waits in the sender's queue.
    #[serde(rename = "q")]
    Queued(SlotRequestId),
    /// Withdraws an ask that may wait in a queue.
    #[serde(rename = "w")]
    Cancel {
        /// Service.
        #[serde(rename = "s")]
        service: ServiceId,
        /// The ask.
        #[serde(rename = "i")]
        request: SlotRequestId,
    },
    /// Ends attempts.
    #[serde(rename = "r")]
    Release(Vec<Release>),
    /// Renews grants.
    #[serde(rename = "h")]
    RenewGrants(Vec<HeldGrant>),
    /// Tells an aggregator the loads of the sender's targets.
    #[serde(rename = "l")]
    TargetLoads {
        /// Service.
        #[serde(rename = "s")]
        service: ServiceId,
        /// Target, load and cap.
        #[serde(rename = "l")]
        loads: Vec<(TargetId, u32, u32)>,
    },
    /// Tells the stewards of a pool all its loads, in the document's order.
    #[serde(rename = "m")]
    PoolLoads {
        /// Service.
        #[serde(rename = "s")]
        service: ServiceId,
        /// Version of the document whose order is used.
        #[serde(rename = "v")]
        version: Version,
        /// Load and cap of each target, one byte each.
        #[serde(rename = "l", with = "serde_bytes_vec")]
        loads: Vec<u8>,
    },
    /// Heartbeat, with what is new.
    #[serde(rename = "b")]
    Heartbeat {
        /// Sender's life.
        #[serde(rename = "n")]
        incarnation: Incarnation,
        /// Hash of the sender's documents, marks and suspects.
        #[serde(rename = "f")]
        fingerprint: u64,
        /// Changes of members.
        #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
        updates: Vec<MemberUpdate>,
    },
    /// What the sender knows of documents, marks and suspects.
    #[serde(rename = "x")]
    StateSummary {
        /// Versions of documents.
        #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
        documents: Vec<(ServiceId, Version)>,
        /// Drain marks.
        #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
        marks: Vec<DrainMark>,
        /// Suspects.
        #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
        suspects: Vec<CrashSuspect>,
        /// Every member, for an instance that has just started.
        #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
        updates: Vec<MemberUpdate>,
    },
    /// Asks for documents.
    #[serde(rename = "f")]
    FetchDocuments(Vec<ServiceId>),
    /// Gives a document.
    #[serde(rename = "d")]
    Document(Box<VersionedDocument>),
    /// Hands over chat records to their new home.
    #[serde(rename = "c")]
    ChatLocations {
        /// Service.
        #[serde(rename = "s")]
        service: ServiceId,
        /// Records.
        #[serde(rename = "c")]
        chats: Vec<(ChatId, CacheLocation)>,
    },
    /// Corrects the tokens that targets cache of the receiver's chats.
    #[serde(rename = "e")]
    CachedTokens(Vec<(ChatId, CacheLocation)>),
    /// Releases a digest from quarantine.
    #[serde(rename = "z")]
    Unquarantine(Digest),
    /// Asks for a part of an answer that the receiver keeps.
    #[serde(rename = "p")]
    FetchAnswer {
        /// Number at the asking instance.
        #[serde(rename = "i")]
        query: SlotRequestId,
        /// Request.
        #[serde(rename = "q")]
        request: crate::id::RequestId,
        /// Workspace that asks.
        #[serde(rename = "w")]
        workspace: WorkspaceId,
        /// Events that the caller has.
        #[serde(rename = "o")]
        offset: u64,
    },
    /// Gives a part of an answer.
    #[serde(rename = "o")]
    AnswerPart {
        /// Number at the asking instance.
        #[serde(rename = "i")]
        query: SlotRequestId,
        /// Events from the offset that was asked for.
        #[serde(rename = "e")]
        events: Vec<String>,
        /// Whether the answer is known here.
        #[serde(rename = "k")]
        known: bool,
        /// Whether these are the last events.
        #[serde(rename = "l")]
        last: bool,
    },
    /// Tells who was heard, the loads of targets and the age of tables.
    #[serde(rename = "P")]
    Pulse(Box<Pulse>),
    /// News of a table of the store, by its place in the fixed order.
    #[serde(rename = "N")]
    TableUpdate(u8, Box<TableUpdate>),
    /// Asks for what has changed in a table of the store since a version, or for
    /// all rows.
    #[serde(rename = "S")]
    FetchTable(u8, Option<u64>),
}

impl Message {
    /// Name of the kind of message, for counters.
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
        }
    }
}

/// Why an ask was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DenyCode {
    /// The pool and its queues are full.
    #[serde(rename = "o")]
    Overloaded,
    /// It waited in a queue for as long as it may.
    #[serde(rename = "e")]
    Expired,
    /// No target of the service takes new work.
    #[serde(rename = "t")]
    NoTarget,
    /// The service is not known here.
    #[serde(rename = "s")]
    NoService,
    /// The budget of retries is used up.
    #[serde(rename = "b")]
    RetryBudget,
    /// The request is in quarantine.
    #[serde(rename = "q")]
    Quarantined,
    /// The instance is stopping.
    #[serde(rename = "l")]
    Stopping,
    /// The instances do not agree yet on who grants the targets' slots.
    #[serde(rename = "u")]
    Unsettled,
}

impl DenyCode {
    /// Stable word that callers match on.
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
fn is_none(n: &u16) -> bool {
    *n == 0
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde gives a reference")]
fn is_zero(n: &u8) -> bool {
    *n == 0
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde gives a reference")]
fn is_false(b: &bool) -> bool {
    !b
}

/// Byte strings in place of arrays of numbers.
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
