//! The messages by which gateway instances gossip.

use super::tag_map::{Tag, TagMap, tag};
use crate::capacity::Held;
use crate::id::{Era, Incarnation, InstanceId, PrefixHash, Time, Version};
use crate::members::Listing;
use crate::pace::Work;
use crate::rollout::RolloutNews;
use crate::router::CrashReport;
use crate::table_copy::Position;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Instances whose load a pulse reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PulseScope {
    /// The sender alone.
    #[serde(rename = "o")]
    Own,
    /// The sender's failure domain.
    #[serde(rename = "d")]
    Domain,
    /// The whole fleet.
    #[serde(rename = "a")]
    All,
}

/// Listing of an instance, and how long ago it was heard from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Listing.
    #[serde(rename = "i")]
    pub listing: Listing,
    /// Incarnation.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// Milliseconds since it was heard from.
    #[serde(rename = "a")]
    pub age_ms: u32,
}

/// State of a copy of one of the store's tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyStatus {
    /// Version of the copy.
    #[serde(rename = "v")]
    pub version: u64,
    /// Version of the latest change of the table in the copy.
    #[serde(rename = "c")]
    pub changed: u64,
    /// Milliseconds since the copy was proved to be the newest version.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// Era of the store that the versions are of.
    #[serde(rename = "e", default)]
    pub era: Era,
}

impl CopyStatus {
    /// Returns the position of the copy.
    pub fn position(&self) -> Position {
        Position {
            era: self.era,
            version: self.version,
        }
    }

    /// Returns the position of the latest change of the table in the copy.
    pub fn last_change(&self) -> Position {
        Position {
            era: self.era,
            version: self.changed,
        }
    }
}

/// Returns the tag that stands for a target in pulses.
pub fn target_tag(id: &str) -> Tag {
    tag(&[id.as_bytes()])
}

/// Returns the tag that stands for a service in pulses.
pub fn service_tag(id: &str) -> Tag {
    tag(&[b"service", id.as_bytes()])
}

/// Tokens that [`LoadSummary::tokens`] counts as one, so that an engine's fit into the
/// 16 bits of a packed number.
pub const TOKEN_UNIT: u64 = 256;

/// Parts of one unit of work that [`LoadSummary::work`] counts.
const COUNT_UNITS: f64 = 4.0;
/// Parts of a second that [`LoadSummary::work_time`] counts.
const TIME_UNITS: f64 = 250.0;

/// Load of one or more instances at the targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Requests in flight at each target, by its [`target_tag`].
    #[serde(rename = "t", default)]
    pub targets: TagMap,
    /// Connections to each target beyond the instances' shares of its limit, with those
    /// that were closed lately. Left out where there are none.
    #[serde(rename = "c", default, skip_serializing_if = "TagMap::is_empty")]
    pub connections: TagMap,
    /// Tokens that requests hold at each engine, in units of [`TOKEN_UNIT`]. Left out
    /// where no service needs them.
    #[serde(rename = "k", default, skip_serializing_if = "TagMap::is_empty")]
    pub tokens: TagMap,
    /// Recent units of work of each target, in quarters. Left out where no target tells
    /// its pace.
    #[serde(rename = "n", default, skip_serializing_if = "TagMap::is_empty")]
    pub work: TagMap,
    /// Time that they took, in units of 4 ms.
    #[serde(rename = "d", default, skip_serializing_if = "TagMap::is_empty")]
    pub work_time: TagMap,
    /// Instances at which targets of a service have turned requests away lately, by
    /// the [`service_tag`]. Left out where none has.
    #[serde(rename = "f", default, skip_serializing_if = "TagMap::is_empty")]
    pub contended: TagMap,
    /// Recent requests with the most frequent prompt prefixes, in hundredths.
    #[serde(rename = "s", default)]
    pub prefixes: BTreeMap<PrefixHash, u32>,
}

impl LoadSummary {
    /// Returns what is held at a target.
    pub(crate) fn held(&self, target: Tag) -> Held {
        let number = |map: &TagMap| map.0.get(&target).copied().unwrap_or(0);
        Held {
            requests: number(&self.targets),
            connections: number(&self.connections),
            tokens: u64::from(number(&self.tokens)) * TOKEN_UNIT,
        }
    }

    /// Sets what is held at a target; zeros are left out.
    pub(crate) fn set_held(&mut self, target: Tag, held: Held) {
        let set = |map: &mut TagMap, number: u32| {
            if number > 0 {
                map.0.insert(target, number);
            }
        };
        set(&mut self.targets, held.requests);
        set(&mut self.connections, held.connections);
        set(&mut self.tokens, held.tokens.div_ceil(TOKEN_UNIT) as u32);
    }

    /// Returns the recent work of a target.
    pub(crate) fn work(&self, target: Tag) -> Work {
        let number = |map: &TagMap| f64::from(map.0.get(&target).copied().unwrap_or(0));
        Work {
            count: number(&self.work) / COUNT_UNITS,
            seconds: number(&self.work_time) / TIME_UNITS,
        }
    }

    /// Sets the recent work of a target; less than half a unit is left out.
    pub(crate) fn set_work(&mut self, target: Tag, work: Work) {
        let count = (work.count * COUNT_UNITS).round() as u32;
        if count > 0 {
            let time = (work.seconds * TIME_UNITS).round() as u32;
            self.work.0.insert(target, count);
            self.work_time.0.insert(target, time);
        }
    }

    /// Adds the load of other instances.
    pub fn add(&mut self, other: &LoadSummary) {
        self.targets.add(&other.targets);
        self.connections.add(&other.connections);
        self.tokens.add(&other.tokens);
        self.work.add(&other.work);
        self.work_time.add(&other.work_time);
        self.contended.add(&other.contended);
        for (prefix, count) in &other.prefixes {
            *self.prefixes.entry(*prefix).or_insert(0) += count;
        }
    }

    /// Subtracts the load of one instance from a sum that includes it.
    pub(super) fn subtract(&mut self, other: &LoadSummary) {
        self.targets.subtract(&other.targets);
        self.connections.subtract(&other.connections);
        self.tokens.subtract(&other.tokens);
        self.work.subtract(&other.work);
        self.work_time.subtract(&other.work_time);
        self.contended.subtract(&other.contended);
        for (prefix, count) in &other.prefixes {
            if let Some(sum) = self.prefixes.get_mut(prefix) {
                *sum = sum.saturating_sub(*count);
            }
        }
    }

    /// Keeps at most `max` prefixes, the most frequent ones. Prefixes with the same
    /// count as the first that is dropped are dropped too.
    pub fn keep_top_prefixes(&mut self, max: usize) {
        if self.prefixes.len() <= max {
            return;
        }
        let mut counts: Vec<u32> = self.prefixes.values().copied().collect();
        counts.sort_unstable_by(|a, b| b.cmp(a));
        let dropped = counts[max];
        self.prefixes.retain(|_, count| *count > dropped);
    }
}

/// Periodic gossip message between gateway instances, sent a few times a second.
///
/// It is not the heartbeat of [`crate::Members`], by which instances that grant
/// slots watch each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulse {
    /// Sending time in milliseconds on the sender's clock.
    #[serde(rename = "t")]
    pub sent_ms: u64,
    /// [`Pulse::sent_ms`] of the receiver's last pulse to the sender, if one came.
    #[serde(rename = "e", default)]
    pub echo_ms: Option<u64>,
    /// Instances whose load is reported.
    #[serde(rename = "s")]
    pub scope: PulseScope,
    /// Records of the sender, of instances that changed lately or are new to the
    /// receiver, and of a few others in turn.
    #[serde(rename = "m")]
    pub instances: Vec<InstanceRecord>,
    /// Milliseconds since each instance was heard from, by the tag of the instance
    /// and its incarnation.
    #[serde(rename = "h", default)]
    pub heard_ages: TagMap,
    /// Load of the instances in scope; `None` where this pulse reports none.
    #[serde(rename = "l", default)]
    pub load: Option<LoadSummary>,
    /// State of the sender's copies of the store's tables, in a fixed order; `None`
    /// for a table of which it has no proved copy.
    #[serde(rename = "f", default)]
    pub copies: Vec<Option<CopyStatus>>,
    /// Whether the sender sends and takes tables in pages.
    #[serde(rename = "p", default)]
    pub pages: bool,
    /// Version of the configuration that the sender has in force.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub configuration: Option<Version>,
    /// Evidence of what crashes targets, which [`crate::Router`] exchanges.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashReport>,
    /// News of roll-outs. Left out where there are none.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<RolloutNews>,
}

/// A pulse to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingPulse {
    /// Receiver.
    pub to: InstanceId,
    /// Address of the receiver.
    pub address: SocketAddr,
    /// Pulse.
    pub pulse: Pulse,
}

/// What a pulse proves about the sender's copies of the store's tables: for each,
/// its state and a time on the receiver's clock at which it was the newest
/// version.
pub type FreshnessProofs = Vec<Option<(CopyStatus, Time)>>;
