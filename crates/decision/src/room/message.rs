//! The messages by which instances agree on who gets a slot.

use crate::id::{ServiceId, TargetId, TicketId, WorkspaceId};
use serde::{Deserialize, Serialize};

/// A request for a slot at any target of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomAsk {
    /// Number, unique at the instance that asks.
    #[serde(rename = "i")]
    pub ticket: TicketId,
    /// Service.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Workspace whose share it takes.
    #[serde(rename = "w", default)]
    pub workspace: WorkspaceId,
    /// Priority class; 0 is the most urgent.
    #[serde(rename = "p", default)]
    pub class: u8,
    /// Milliseconds for which it may wait.
    #[serde(rename = "d")]
    pub wait_ms: u32,
    /// Targets that don't come into question.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub excluded: Vec<TargetId>,
    /// Whether the first steward was silent, so that it may still be granting.
    #[serde(rename = "f", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_fallback: bool,
}

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotEnd {
    /// The target sent a complete response.
    #[serde(rename = "c")]
    Completed,
    /// The target was full.
    #[serde(rename = "f")]
    Full,
    /// The target could not be reached, or its connection broke.
    #[serde(rename = "b")]
    Broken,
    /// Any other end, which says nothing of the target.
    #[serde(rename = "o")]
    Other,
}

/// A message between an instance that needs a slot and the steward of the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RoomMessage {
    /// Asks for a slot.
    #[serde(rename = "a")]
    Ask(RoomAsk),
    /// Grants a slot.
    #[serde(rename = "g")]
    Grant(TicketId, TargetId),
    /// Reports that requests still wait in the line.
    #[serde(rename = "q")]
    Waiting(Vec<TicketId>),
    /// Refuses a slot, with the wait in milliseconds that would have been expected.
    #[serde(rename = "n")]
    Refuse(TicketId, u32),
    /// Reports that the sender knows no target for the request.
    #[serde(rename = "u")]
    Unknown(TicketId),
    /// Gives a slot back, or leaves the line.
    #[serde(rename = "r")]
    Release(ServiceId, TicketId, SlotEnd),
    /// Renews the leases of slots.
    #[serde(rename = "h")]
    Renew(ServiceId, Vec<TicketId>),
}
