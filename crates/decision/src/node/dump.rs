//! What a node tells operators of itself.

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

/// Counts since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Requests that asked for a slot here.
    pub asks: u64,
    /// Asks that were sent again because a steward did not answer.
    pub asked_again: u64,
    /// Asks passed on to another steward.
    pub passed_on: u64,
    /// Slots granted by this instance as a steward.
    pub grants: u64,
    /// Denials because the target bears no more.
    pub denied_full: u64,
    /// Denials because of the multiple of the pool's mean.
    pub denied_bound: u64,
    /// Denials because the target did not answer.
    pub denied_down: u64,
    /// Denials because a suspect ran there already.
    pub denied_suspect: u64,
    /// Asks that waited for the target that caches their chat.
    pub held_back: u64,
    /// Asks that waited in a queue here.
    pub queued: u64,
    /// Queued asks that were placed on another target.
    pub moved: u64,
    /// Asks pushed out of a full queue.
    pub shed: u64,
    /// Requests from here that got no slot.
    pub refused: u64,
    /// Grants returned unused.
    pub given_back: u64,
    /// Grants that lapsed without a renewal.
    pub lapsed: u64,
    /// Targets that turned cold again.
    pub cold_again: u64,
    /// Polls that missed cache events.
    pub cache_gaps: u64,
    /// Requests under which a target crashed.
    pub crashes: u64,
    /// Documents that came into force.
    pub documents: u64,
    /// Operators' orders taken here.
    pub orders: u64,
    /// Pauses of the process that it noticed.
    pub pauses: u64,
}

impl Counters {
    pub(super) fn denied(&mut self, denial: Denial) {
        match denial {
            Denial::Full => self.denied_full += 1,
            Denial::Bound => self.denied_bound += 1,
            Denial::Down => self.denied_down += 1,
            Denial::Suspect => self.denied_suspect += 1,
        }
    }
}

/// State of one target as one instance sees it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TargetDump {
    /// Target.
    pub target: TargetId,
    /// Failure domain.
    pub domain: DomainId,
    /// Instance that grants its slots.
    pub steward: Option<InstanceId>,
    /// Whether an order has it out.
    pub out: bool,
    /// Load as last told.
    pub load: u32,
    /// Slots that it bears, as last told.
    pub cap: u32,
    /// Requests that wait for it here.
    pub waiting: usize,
    /// Open grants of each workspace, where this instance is the steward.
    pub workspaces: BTreeMap<WorkspaceId, u32>,
}

/// State of one service as one instance sees it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServiceDump {
    /// Version of the document in force.
    pub version: Version,
    /// What the targets speak.
    pub kind: ServiceKind,
    /// Targets.
    pub targets: Vec<TargetDump>,
}

/// State of a node.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct NodeDump {
    /// Instance.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Instances known.
    pub members: BTreeMap<InstanceId, Member>,
    /// Services.
    pub services: BTreeMap<ServiceId, ServiceDump>,
    /// Drain marks.
    pub marks: Vec<DrainMark>,
    /// Digests under suspicion, with the crashes they were part of.
    pub suspects: BTreeMap<Digest, u8>,
    /// Chats on record.
    pub chats: usize,
    /// Grants held.
    pub held: usize,
    /// Asks that wait for an answer.
    pub pending: usize,
    /// Counts.
    pub counters: Counters,
}

impl Node {
    /// Counts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Tells the whole state.
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
            chats: self.chats.len(),
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
                waiting: pool.queues.get(&spec.id).map_or(0, crate::Queue::len),
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
