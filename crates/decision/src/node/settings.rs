//! Settings of a node.

use crate::id::Incarnation;
use crate::members::{Listing, Timing};
use std::time::Duration;

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    pub(super) me: Listing,
    pub(super) incarnation: Incarnation,
    pub(super) max_chats: usize,
    pub(super) timing: Timing,
}

impl NodeSettings {
    /// Creates a builder with default values.
    ///
    /// `me` describes this instance; `incarnation` must be higher than at its
    /// previous start.
    pub fn builder(me: Listing, incarnation: Incarnation) -> NodeSettingsBuilder {
        NodeSettingsBuilder(NodeSettings {
            me,
            incarnation,
            max_chats: 20_000,
            timing: Timing {
                heartbeat: Duration::from_secs(1),
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
    /// Sets the number of chats whose cache locations are recorded; 20,000 by
    /// default.
    #[must_use]
    pub fn max_chats(mut self, most: usize) -> Self {
        self.0.max_chats = most;
        self
    }

    /// Sets the interval between heartbeats; 1 s by default.
    #[must_use]
    pub fn heartbeat_interval(mut self, interval: Duration) -> Self {
        self.0.timing.heartbeat = interval;
        self
    }

    /// Sets the time without a heartbeat after which a member is suspected; 3 s
    /// by default.
    #[must_use]
    pub fn suspect_after(mut self, silence: Duration) -> Self {
        self.0.timing.suspect = silence;
        self
    }

    /// Sets the time after which a suspect that has not refuted the suspicion is
    /// declared dead; 2 s by default.
    #[must_use]
    pub fn dead_after(mut self, time: Duration) -> Self {
        self.0.timing.dead = time;
        self
    }

    /// Returns the settings.
    #[must_use]
    pub fn build(self) -> NodeSettings {
        self.0
    }
}
