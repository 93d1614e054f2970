//! Counters and state dumps of a node, for operators.

use super::Node;
use crate::document::ServiceKind;
use crate::drain::DrainMark;
use crate::id::{
    Digest, DomainId, Incarnation, InstanceId, ServiceId, TargetId, Time, Version, WorkspaceId,
};
use crate::members::Member;
use crate::slots::Denial;
use serde::Serialize;
use std::collections::BTreeMap;

/// Counters since the start of the process.
///
/// Field names are metric names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Slot requests that arrived at this instance as their entry.
    pub asks: u64,
    /// Slot requests sent again because the steward did not reply or was lost.
    pub asked_again: u64,
    /// Slot requests forwarded to another steward.
    pub passed_on: u64,
    /// Slots granted as a steward.
    pub grants: u64,
    /// Denials because the target was full.
    pub denied_full: u64,
    /// Denials because the load would exceed the bound on the pool's mean.
    pub denied_bound: u64,
    /// Denials because the target was unreachable.
    pub denied_down: u64,
    /// Denials because another crash suspect already ran on the target.
    pub denied_suspect: u64,
    /// Slot requests that waited for the target that caches their chat.
    pub held_back: u64,
    /// Slot requests that entered a queue here.
    pub queued: u64,
    /// Queued slot requests that moved to another target.
    pub moved: u64,
    /// Slot requests dropped from a full queue.
    pub shed: u64,
    /// Slot requests of this entry that were denied by a steward.
    pub refused: u64,
    /// Grants returned unused.
    pub given_back: u64,
    /// Slots freed because their grant was not renewed.
    pub lapsed: u64,
    /// Times that a target became cold again.
    pub cold_again: u64,
    /// Polls of targets that missed cache events.
    pub cache_gaps: u64,
    /// Attempts during which the target crashed.
    pub crashes: u64,
    /// Service documents applied.
    pub documents: u64,
    /// Drain orders of operators that this instance received.
    pub orders: u64,
    /// Detected pauses of the process.
    pub pauses: u64,
}

impl Counters {
    /// Counts a denial by its reason.
    pub(super) fn count_denial(&mut self, denial: Denial) {
        match denial {
            Denial::Full => self.denied_full += 1,
            Denial::Bound => self.denied_bound += 1,
            Denial::Down => self.denied_down += 1,
            Denial::Suspect => self.denied_suspect += 1,
        }
    }
}

/// State of one target as seen by one instance.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TargetDump {
    /// Target.
    pub target: TargetId,
    /// Failure domain.
    pub domain: DomainId,
    /// Steward, the instance that grants its slots.
    pub steward: Option<InstanceId>,
    /// Whether the target or its failure domain is drained.
    pub out: bool,
    /// Last known load, in requests.
    pub load: u32,
    /// Last known cap, the number of slots that the target can serve.
    pub cap: u32,
    /// Slot requests queued for it at this instance.
    pub waiting: usize,
    /// Open grants per workspace; empty if this instance is not the steward.
    pub workspaces: BTreeMap<WorkspaceId, u32>,
}

/// State of one service as seen by one instance.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServiceDump {
    /// Version of the active document.
    pub version: Version,
    /// Protocol of the targets.
    pub kind: ServiceKind,
    /// Targets, in the document's order.
    pub targets: Vec<TargetDump>,
}

/// State of a node as reported to operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct NodeDump {
    /// Instance.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Known instances, including this one.
    pub members: BTreeMap<InstanceId, Member>,
    /// Services with an active document.
    pub services: BTreeMap<ServiceId, ServiceDump>,
    /// Known drain marks.
    pub marks: Vec<DrainMark>,
    /// Request digests that ran during crashes, with the number of crashes.
    pub suspects: BTreeMap<Digest, u8>,
    /// Chats whose cache locations are recorded.
    pub chats: usize,
    /// Grants that this instance holds.
    pub held: usize,
    /// Slot requests that wait for a grant or a denial.
    pub pending: usize,
    /// Counters since the start.
    pub counters: Counters,
}

impl Node {
    /// Returns the counters since the start of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns a snapshot of the state.
    pub fn dump(&self, now: Time) -> NodeDump {
        let services = self.pools.keys();
        NodeDump {
            instance: self.me.clone(),
            incarnation: self.members.me().incarnation,
            leaving: self.leaving,
            members: self
                .members
                .iter()
                .map(|(id, m)| (id.clone(), m.clone()))
                .collect(),
            services: services
                .map(|s| (s.clone(), self.dump_service(s)))
                .collect(),
            marks: self.marks.iter().collect(),
            suspects: self
                .quarantine
                .iter(now)
                .map(|s| (s.digest, s.crashes))
                .collect(),
            chats: self.cache_index.len(),
            held: self.held.len(),
            pending: self.pending.len(),
            counters: self.counters.clone(),
        }
    }

    fn dump_service(&self, service: &ServiceId) -> ServiceDump {
        let pool = &self.pools[service];
        let document = &pool.versioned.document;
        let targets = document.targets.iter().map(|spec| {
            let (load, cap) = pool.loads.get(&spec.id).unwrap_or_default();
            let slots = pool.slots.get(&spec.id);
            TargetDump {
                target: spec.id.clone(),
                domain: spec.domain.clone(),
                steward: pool.steward(&spec.id).cloned(),
                out: self.is_drained(&spec.id, &spec.domain),
                load,
                cap,
                waiting: pool
                    .queues
                    .get(&spec.id)
                    .map_or(0, super::queueing::Queue::len),
                workspaces: slots
                    .map(crate::SlotLedger::by_workspace)
                    .unwrap_or_default(),
            }
        });
        ServiceDump {
            version: pool.versioned.version,
            kind: document.kind,
            targets: targets.collect(),
        }
    }
}
