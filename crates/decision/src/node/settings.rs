//! What a node is told at its start.

use crate::id::Incarnation;
use crate::members::{Listing, Timing};
use std::time::Duration;

/// What a node is told at its start.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    pub(super) me: Listing,
    pub(super) incarnation: Incarnation,
    pub(super) chats: usize,
    pub(super) timing: Timing,
}

impl NodeSettings {
    /// Starts the settings of an instance.
    pub fn builder(me: Listing, incarnation: Incarnation) -> NodeSettingsBuilder {
        NodeSettingsBuilder(NodeSettings {
            me,
            incarnation,
            chats: 20_000,
            timing: Timing {
                beat: Duration::from_secs(1),
                suspect: Duration::from_secs(3),
                dead: Duration::from_secs(2),
            },
        })
    }
}

/// Builder of [`NodeSettings`].
#[derive(Clone, Debug)]
pub struct NodeSettingsBuilder(NodeSettings);

impl NodeSettingsBuilder {
    /// Most chats on record.
    #[must_use]
    pub fn max_chats(mut self, most: usize) -> Self {
        self.0.chats = most;
        self
    }

    /// Interval of heartbeats.
    #[must_use]
    pub fn heartbeat_interval(mut self, interval: Duration) -> Self {
        self.0.timing.beat = interval;
        self
    }

    /// Silence after which a member is suspected.
    #[must_use]
    pub fn suspect_after(mut self, silence: Duration) -> Self {
        self.0.timing.suspect = silence;
        self
    }

    /// Time after which a suspect that has not refuted counts as dead.
    #[must_use]
    pub fn dead_after(mut self, time: Duration) -> Self {
        self.0.timing.dead = time;
        self
    }

    /// Finishes the settings.
    #[must_use]
    pub fn build(self) -> NodeSettings {
        self.0
    }
}
