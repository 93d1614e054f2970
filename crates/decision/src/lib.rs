//! The decisions of briargap, without input or output.
//!
//! Nothing in this package opens a socket, starts a thread, reads a clock or
//! draws a random number. A caller hands in an [`Event`] with the [`Time`] at
//! which it happened and carries out the [`Command`]s that come back. The
//! daemon, the benches and the property tests all drive this same code.
//!
//! - [`Node`] is one instance's share of the fleet: membership, service
//!   documents, drain marks, the slot ledgers of the targets it stewards, and
//!   the cache locations of the chats that it is home to.
//! - [`Request`] is the life of one request at the instance that received it.
//! - [`Claim`] makes a request run at most once through the platform's table.
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

mod budget;
mod catalog;
mod chats;
mod claim;
mod document;
mod error;
mod feed;
mod fleet;
mod hash;
mod id;
mod loads;
mod marks;
mod members;
mod message;
mod node;
mod quarantine;
mod queue;
mod ramp;
mod request;
mod router;
mod slots;

pub use budget::Budget;
pub use catalog::{
    CallerLimits, Catalog, KeyOwner, Repeat, Route, ServiceSpec, Stage, TargetEntry,
};
pub use chats::{CacheIndex, CacheLocation};
pub use claim::{Claim, ClaimAction, ClaimEvent, ClaimRow, ClaimState};
pub use document::{
    CallRule, Document, Limits, ServiceKind, TargetSpec, ValidationError, VersionedDocument,
    WorkspaceSpec,
};
pub use error::{Error, Execution, Result, Step};
pub use feed::{Applied, Feed, FeedNews, FeedRow};
pub use fleet::{
    Counts, FeedAge, Fleet, Heard, Outgoing, Pace, Proof, Pulse, Scope, Supply, Tag, Work,
    target_tag,
};
pub use hash::{chat_id, digest, hash_parts, rank};
pub use id::{
    AskId, AttemptId, ChatId, Digest, DomainId, GrantId, Incarnation, InstanceId, RequestId,
    ServiceId, Subject, TargetId, Time, Version, WorkspaceId,
};
pub use loads::Loads;
pub use marks::{DrainKey, DrainMark, DrainMarks};
pub use members::{Listing, Member, MemberStatus, Members};
pub use message::{
    CrashSuspect, DenyCode, Grant, HeldGrant, MemberUpdate, Message, Release, SlotRequest,
};
pub use node::{
    Command, Counters, Event, Node, NodeDump, NodeSettings, NodeSettingsBuilder, PollTarget,
};
pub use quarantine::Quarantine;
pub use queue::{Queue, QueuedRequest};
pub use ramp::Ramp;
pub use request::{AttemptPolicy, Request, RequestAction, RequestEvent, RequestOutcome};
pub use router::{
    Admission, Ending, Freshness, Lease, Need, Pick, PoolView, Refusal, RosterRow, Router,
    RouterBounds, RouterDump,
};
pub use slots::{Denial, LoadReport, SlotLedger};
