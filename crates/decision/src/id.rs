//! Types of identifiers and of times.

use smol_str::SmolStr;
use std::time::Duration;

/// Time since the start of the process, on a clock that never goes back.
pub type Time = Duration;

/// Name of an instance of briargap, from its settings.
pub type InstanceId = SmolStr;
/// Number of an instance's run, which is higher with each start: seconds since the
/// Unix epoch at its start, or more.
pub type Incarnation = u64;
/// Name of a target: a model engine or the server of a plain service.
pub type TargetId = SmolStr;
/// Name of a failure domain.
pub type DomainId = SmolStr;
/// Name of a service, which is a pool of targets with common rules.
pub type ServiceId = SmolStr;
/// Name of a workspace.
pub type WorkspaceId = SmolStr;
/// Version of a service document or of the configuration, which only rises. That
/// of a document starts at 1.
pub type Version = u64;
/// Number of times that the store has come back from a backup, counted by the store.
/// Versions of its rows compare only within one era, because a store that comes back
/// gives out versions again. 0 where the store doesn't say it.
pub type Era = u64;
/// Hash of the service, the workspace and the caller's name for a chat.
pub type ChatId = u64;
/// Hash of what a request asks for, the same for all callers.
pub type Digest = u64;
/// Hash of the parts of a prompt that other requests may share.
pub type PrefixHash = u64;
/// Hash of what requests that crash targets may have in common, such as a part of
/// the prompt or all of the request.
pub type Fingerprint = u64;
/// Number of a request for a slot, unique at the instance that made it.
pub type SlotRequestId = u64;
/// Number of a request that needs a slot of a contended service, unique at the instance
/// that asks for it.
pub type TicketId = u64;
/// Number of a granted slot, unique in the fleet.
pub type GrantId = u64;
/// Name of a request: instance, incarnation and sequence number.
pub type RequestId = SmolStr;
/// Name of an attempt at a request: request and number of the attempt.
pub type AttemptId = SmolStr;
