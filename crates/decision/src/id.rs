//! Names of the things that decisions are about.

use smol_str::SmolStr;
use std::time::Duration;

/// Time since the process's own start, on a clock that never goes back.
pub type Time = Duration;

/// Name of an instance of briargap, from its settings.
pub type InstanceId = SmolStr;
/// Life of an instance: seconds since the Unix epoch at its start, or higher.
pub type Incarnation = u64;
/// Name of a target: a model engine or a plain service's server.
pub type TargetId = SmolStr;
/// Name of a failure domain.
pub type DomainId = SmolStr;
/// Name of a service: one pool of targets and the document that rules it.
pub type ServiceId = SmolStr;
/// Name of a workspace.
pub type WorkspaceId = SmolStr;
/// Version of a service document; starts at 1 and only rises.
pub type Version = u64;
/// Hash of service, workspace and the caller's name for a chat.
pub type ChatId = u64;
/// Hash of what a request asks for, whoever sends it.
pub type Digest = u64;
/// Hash of the parts of a prompt that other requests share.
pub type PrefixHash = u64;
/// One question for a slot, unique at the instance that asked.
pub type SlotRequestId = u64;
/// One granted slot, unique over the fleet.
pub type GrantId = u64;
/// Name of a request: instance, incarnation and sequence.
pub type RequestId = SmolStr;
/// Name of one attempt at a request: request and attempt number.
pub type AttemptId = SmolStr;
