//! The decision logic of briargap, without I/O.
//!
//! Nothing in this package opens a socket, starts a thread, reads a clock or draws
//! a random number: what depends on the time takes it as a [`Time`]. The daemon, the
//! benchmarks and the property tests all run this same code.
//!
//! Routing by a configuration from the store:
//!
//! - [`Router`] admits requests, chooses a target for each attempt and limits
//!   retries.
//! - [`Fleet`] is an instance's view of the other instances and of their load, by
//!   the pulses that they exchange.
//! - [`Rollouts`] moves a service's requests to targets of another version.
//! - [`TableCopy`] is an instance's copy of a table of the store.
//!
//! - [`Room`] shares the slots of small services while they are contended.
//!
//! Granting slots at targets by service documents:
//!
//! - [`Node`] is one instance's part of that: membership, service documents, drain
//!   marks, the slot ledgers of the targets of which it is the steward, and the
//!   cache locations of the chats of which it is the home. It takes an [`Event`] and
//!   returns the [`Command`]s to carry out.
//! - [`Request`] is the state of one request at the instance that received it.
//! - [`Claim`] makes a request with an idempotency key run at most once, by a row in
//!   the platform's table.
//!
//! # Examples
//!
//! ```
//! use decision::{rank, Time};
//!
//! let targets = ["e1", "e2", "e3"];
//! let first = rank(7, targets.iter().map(|t| (*t, 1)));
//! assert_eq!(first.len(), 3);
//! assert_eq!(first, rank(7, targets.iter().rev().map(|t| (*t, 1))));
//! # let _ = Time::ZERO;
//! ```

mod cache_index;
mod capacity;
mod claim;
mod configuration;
mod connections;
mod document;
mod doors;
mod drain;
mod error;
mod fleet;
mod hash;
mod id;
mod loads;
mod members;
mod message;
mod node;
mod pace;
mod quarantine;
mod ramp;
mod request;
mod retry_budget;
mod rollout;
mod room;
mod router;
mod slots;
mod table_copy;
mod transfer;

pub use cache_index::{CacheIndex, CacheLocation};
pub use capacity::{Capacity, Held, RequestTokens, USUAL_PACE};
pub use claim::{Claim, ClaimAction, ClaimEvent, ClaimRow, ClaimState};
pub use configuration::{
    CallerLimits, Configuration, EngineSpec, KeyOwner, RetryPolicy, Route, ServiceSpec,
    TargetEntry, TargetStage,
};
pub use connections::{ConnectionId, ConnectionPlan, Reuse};
pub use document::{
    CallRule, Document, Limits, ServiceKind, TargetSpec, ValidationError, VersionedDocument,
    WorkspaceSpec,
};
pub use doors::{DoorLimits, WaitKind, Waiting, slowest};
pub use drain::{DrainKey, DrainMark, DrainMarks};
pub use error::{Error, Execution, Result, Step};
pub use fleet::{
    CopyStatus, Fleet, FreshnessProofs, InstanceRecord, LINK_MBPS, LoadSummary, OutgoingPulse,
    Pulse, PulseScope, ReadPolicy, TOKEN_UNIT, Tag, TagMap, TransferLimiter, service_tag,
    target_tag,
};
pub use hash::{chat_id, digest, hash_parts, rank};
pub use id::{
    AttemptId, ChatId, Digest, DomainId, Era, Fingerprint, GrantId, Incarnation, InstanceId,
    PrefixHash, RequestId, ServiceId, SlotRequestId, TargetId, TicketId, Time, Version,
    WorkspaceId,
};
pub use loads::Loads;
pub use members::{Listing, Member, MemberStatus, Members};
pub use message::{
    CrashSuspect, DenyCode, Grant, HeldGrant, MemberUpdate, Message, Release, SlotRequest,
};
pub use node::{
    Command, Counters, Event, Node, NodeDump, NodeSettings, NodeSettingsBuilder, PollTarget,
};
pub use pace::{PaceMeter, Warmup, Work, usual_time};
pub use quarantine::Quarantine;
pub use ramp::Ramp;
pub use request::{AttemptPolicy, Request, RequestAction, RequestEvent, RequestOutcome};
pub use retry_budget::RetryBudget;
pub use rollout::{
    Counts, RolloutBounds, RolloutCommand, RolloutEvent, RolloutNews, RolloutOrder, RolloutPhase,
    RolloutRecord, RolloutStatus, Rollouts, Side, SideCounts,
};
pub use room::{
    Line, LineDump, Queued, ROOM_STEWARDS, Room, RoomAsk, RoomCommand, RoomDump, RoomMessage,
    RoomNeed, RoomTarget, SlotEnd, Verdict, Waiter,
};
pub use router::{
    Admission, AttemptOutcome, ConnectionClaim, CrashReport, Exclusion, Freshness, Lease,
    NoticeChange, Pick, PoolView, QuarantineChange, Refusal, Router, RouterBounds, RouterDump,
    RouterTargetDump, TargetNotice, TargetQuery, WarmupChange,
};
pub use slots::{Denial, LoadReport, SlotLedger};
pub use table_copy::{ApplyOutcome, Position, RowStep, TableCopy, TableRow, TableUpdate};
pub use transfer::{
    Ask, Contents, MAX_MESSAGE_BYTES, MAX_TABLE_BYTES, PageRequest, PageSender, Parcel, Puller,
    Received, TablePage, Unusable,
};
