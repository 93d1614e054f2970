//! What instances tell each other a few times a second.

use super::tag_map::{Tag, TagMap, tag};
use crate::id::{Incarnation, InstanceId, PrefixHash, Time};
use crate::members::Listing;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a pulse's loads cover.
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

/// An instance and how long ago it was heard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Instance.
    #[serde(rename = "i")]
    pub listing: Listing,
    /// Its life.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// Milliseconds since it was heard.
    #[serde(rename = "a")]
    pub age_ms: u32,
}

/// How new a copy of one of the store's tables is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyStatus {
    /// Version.
    #[serde(rename = "v")]
    pub version: u64,
    /// Version of the table's latest change.
    #[serde(rename = "c")]
    pub changed: u64,
    /// Milliseconds since it was known to be the newest.
    #[serde(rename = "a")]
    pub age_ms: u32,
}

/// Short name of a target in pulses.
pub fn target_tag(id: &str) -> Tag {
    tag(&[id.as_bytes()])
}

/// Work that instances have at targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Requests at each target, by its [`target_tag`].
    #[serde(rename = "t", default)]
    pub targets: TagMap,
    /// Recent requests of the most frequent subjects, in hundredths.
    #[serde(rename = "s", default)]
    pub prefixes: BTreeMap<PrefixHash, u32>,
}

impl LoadSummary {
    /// Adds the work of others.
    pub fn add(&mut self, other: &LoadSummary) {
        for (target, load) in &other.targets.0 {
            *self.targets.0.entry(*target).or_insert(0) += load;
        }
        for (prefix, count) in &other.prefixes {
            *self.prefixes.entry(*prefix).or_insert(0) += count;
        }
    }

    /// Takes off work that was counted twice.
    pub(super) fn subtract(&mut self, other: &LoadSummary) {
        for (target, load) in &other.targets.0 {
            if let Some(sum) = self.targets.0.get_mut(target) {
                *sum = sum.saturating_sub(*load);
            }
        }
        for (prefix, count) in &other.prefixes {
            if let Some(sum) = self.prefixes.get_mut(prefix) {
                *sum = sum.saturating_sub(*count);
            }
        }
    }

    /// Keeps the most frequent subjects.
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

/// What one instance tells another a few times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulse {
    /// Milliseconds on the sender's clock.
    #[serde(rename = "t")]
    pub sent_ms: u64,
    /// Time of the receiver's last pulse on the receiver's clock, if one came.
    #[serde(rename = "e", default)]
    pub echo_ms: Option<u64>,
    /// What the loads cover.
    #[serde(rename = "s")]
    pub scope: PulseScope,
    /// Instances, the sender included: those that changed lately or are new to
    /// the receiver, and a few of the others in turn.
    #[serde(rename = "m")]
    pub instances: Vec<InstanceRecord>,
    /// Milliseconds since instances were heard, by the tags of their lives.
    #[serde(rename = "h", default)]
    pub heard_ages: TagMap,
    /// Work at targets; `None` where it is not told this time.
    #[serde(rename = "l", default)]
    pub load: Option<LoadSummary>,
    /// Copies of the store's tables, in a fixed order.
    #[serde(rename = "f", default)]
    pub copies: Vec<Option<CopyStatus>>,
}

/// A pulse to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingPulse {
    /// Receiver.
    pub to: InstanceId,
    /// Its address.
    pub address: SocketAddr,
    /// Pulse.
    pub pulse: Pulse,
}

/// What a pulse proves about the sender's copies of tables: each with the
/// moment on this instance's clock at which it was still the newest.
pub type FreshnessProofs = Vec<Option<(CopyStatus, Time)>>;
