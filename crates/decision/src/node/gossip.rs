//! Heartbeats, and gossip of documents, drain marks, crash suspects and members.
//!
//! New state is sent to a few instances at once, and each receiver for which it
//! is new forwards it. Losses are repaired by comparing fingerprints in
//! heartbeats and exchanging full state summaries where they differ.

use super::{Command, Node};
use crate::drain::{DrainKey, DrainMark};
use crate::hash::hash_parts;
use crate::id::{Digest, Incarnation, InstanceId, ServiceId, Time, Version};
use crate::members::FANOUT;
use crate::message::{CrashSuspect, MemberUpdate, Message};
use std::time::Duration;

/// Minimum interval between two full summaries that one instance sends.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// Times of the last periodic messages.
#[derive(Clone, Debug, Default)]
pub(super) struct Schedule {
    pub(super) renewed_at: Time,
    heartbeat_at: Option<Time>,
    summary_at: Time,
    has_updates: bool,
}

/// Content of a [`Message::StateSummary`].
#[derive(Clone, Debug, Default)]
pub(super) struct Summary {
    pub(super) documents: Vec<(ServiceId, Version)>,
    pub(super) marks: Vec<DrainMark>,
    pub(super) suspects: Vec<CrashSuspect>,
    pub(super) updates: Vec<MemberUpdate>,
}

impl Summary {
    fn is_empty(&self) -> bool {
        let Summary {
            documents,
            marks,
            suspects,
            updates,
        } = self;
        documents.is_empty() && marks.is_empty() && suspects.is_empty() && updates.is_empty()
    }

    fn into_message(self) -> Message {
        Message::StateSummary {
            documents: self.documents,
            marks: self.marks,
            suspects: self.suspects,
            updates: self.updates,
        }
    }
}

impl Node {
    /// Sends heartbeats if they are due, or at once if there are new member
    /// updates to spread.
    pub(super) fn send_heartbeats(&mut self, now: Time, out: &mut Vec<Command>) {
        let is_due = self
            .gossip
            .heartbeat_at
            .is_none_or(|at| now.saturating_sub(at) >= self.members.heartbeat_interval());
        if !is_due && !self.gossip.has_updates {
            return;
        }
        let to = if is_due {
            self.members.heartbeat_targets()
        } else {
            self.members.sample(FANOUT)
        };
        if is_due {
            self.gossip.heartbeat_at = Some(now);
        }
        self.gossip.has_updates = false;
        let updates = self.members.take_updates();
        for to in to {
            let message = self.heartbeat_message(updates.clone());
            out.push(Command::Send { to, message });
        }
    }

    /// Sends new member updates to a few instances without waiting for the next
    /// heartbeat.
    pub(super) fn flush_updates(&mut self, now: Time, out: &mut Vec<Command>) {
        self.gossip.has_updates = true;
        self.send_heartbeats(now, out);
    }

    fn heartbeat_message(&self, updates: Vec<MemberUpdate>) -> Message {
        Message::Heartbeat {
            incarnation: self.members.me().incarnation,
            fingerprint: self.fingerprint(),
            updates,
        }
    }

    /// Returns a hash that is equal on instances with the same documents, drain
    /// marks and live members.
    fn fingerprint(&self) -> u64 {
        let documents = self.pools.iter().fold(0, |sum, (service, pool)| {
            let version = pool.versioned.version.to_le_bytes();
            sum ^ hash_parts(&[service.as_bytes(), &version])
        });
        documents ^ self.marks.fingerprint() ^ self.members.fingerprint()
    }

    /// Merges the updates of a heartbeat, and replies with a full summary if the
    /// sender's state differs or the sender is unknown.
    pub(super) fn on_heartbeat(
        &mut self,
        now: Time,
        from: &InstanceId,
        incarnation: Incarnation,
        fingerprint: u64,
        updates: &[MemberUpdate],
        out: &mut Vec<Command>,
    ) {
        self.merge_updates(now, updates);
        let is_known = self.members.get(from).is_some();
        if self.members.record_heartbeat(now, from, incarnation) {
            let message = self.heartbeat_message(self.members.updates_of(Some(from)));
            out.push(Command::Send {
                to: from.clone(),
                message,
            });
        }
        let differs = fingerprint != self.fingerprint();
        let is_due = now.saturating_sub(self.gossip.summary_at) >= SUMMARY_INTERVAL;
        if (differs && is_due) || !is_known {
            self.gossip.summary_at = now;
            let message = self.full_summary(now).into_message();
            out.push(Command::Send {
                to: from.clone(),
                message,
            });
        }
    }

    /// Returns a summary of the whole state.
    fn full_summary(&self, now: Time) -> Summary {
        let documents = self.pools.iter();
        Summary {
            documents: documents
                .map(|(service, pool)| (service.clone(), pool.versioned.version))
                .collect(),
            marks: self.marks.iter().collect(),
            suspects: self.quarantine.iter(now).collect(),
            updates: self.members.updates_of(None),
        }
    }

    fn merge_updates(&mut self, now: Time, updates: &[MemberUpdate]) {
        for update in updates {
            if self.members.merge(now, update) {
                self.gossip.has_updates = true;
            }
        }
    }

    /// Merges a summary, fetches newer documents, and sends back what the sender of
    /// a full summary lacks.
    pub(super) fn on_summary(
        &mut self,
        now: Time,
        from: &InstanceId,
        summary: Summary,
        out: &mut Vec<Command>,
    ) {
        let is_full = !summary.updates.is_empty();
        let missing = if is_full {
            self.missing_from(&summary)
        } else {
            Summary::default()
        };
        self.merge_updates(now, &summary.updates);
        let new_marks: Vec<DrainMark> = summary
            .marks
            .into_iter()
            .filter(|m| self.marks.merge(m))
            .collect();
        let new_suspects: Vec<CrashSuspect> = summary
            .suspects
            .into_iter()
            .filter(|s| self.quarantine.merge(now, s))
            .collect();
        let outdated: Vec<ServiceId> = summary
            .documents
            .into_iter()
            .filter(|(service, version)| {
                let known = self.pools.get(service);
                known.is_none_or(|p| p.versioned.version < *version)
            })
            .map(|(service, _)| service)
            .collect();
        if !outdated.is_empty() {
            out.push(Command::Send {
                to: from.clone(),
                message: Message::FetchDocuments(outdated),
            });
        }
        if !missing.is_empty() {
            out.push(Command::Send {
                to: from.clone(),
                message: missing.into_message(),
            });
        }
        if !new_marks.is_empty() {
            self.apply_marks_to_pools(now);
        }
        if !new_marks.is_empty() || !new_suspects.is_empty() {
            self.broadcast_summary(Vec::new(), new_marks, new_suspects, out);
        }
    }

    /// Returns the documents and drain marks that the sender of a full summary
    /// lacks.
    fn missing_from(&self, theirs: &Summary) -> Summary {
        let version_of = |service: &ServiceId| {
            let row = theirs.documents.iter().find(|(s, _)| s == service);
            row.map_or(0, |(_, v)| *v)
        };
        let documents = self.pools.iter();
        Summary {
            documents: documents
                .map(|(service, pool)| (service.clone(), pool.versioned.version))
                .filter(|(service, version)| *version > version_of(service))
                .collect(),
            marks: self
                .marks
                .iter()
                .filter(|m| !theirs.marks.contains(m))
                .collect(),
            suspects: Vec::new(),
            updates: Vec::new(),
        }
    }

    /// Sends new state to a few instances; those to which it is new forward it.
    pub(super) fn broadcast_summary(
        &mut self,
        documents: Vec<(ServiceId, Version)>,
        marks: Vec<DrainMark>,
        suspects: Vec<CrashSuspect>,
        out: &mut Vec<Command>,
    ) {
        let summary = Summary {
            documents,
            marks,
            suspects,
            updates: Vec::new(),
        };
        let message = summary.into_message();
        for to in self.members.sample(FANOUT) {
            let message = message.clone();
            out.push(Command::Send { to, message });
        }
    }

    pub(super) fn on_fetch_documents(
        &mut self,
        from: &InstanceId,
        services: &[ServiceId],
        out: &mut Vec<Command>,
    ) {
        for service in services {
            if let Some(pool) = self.pools.get(service) {
                out.push(Command::Send {
                    to: from.clone(),
                    message: Message::Document(Box::new(pool.versioned.clone())),
                });
            }
        }
    }

    /// Merges a drain mark that was read from the platform's table.
    pub(super) fn apply_mark(&mut self, now: Time, mark: &DrainMark, out: &mut Vec<Command>) {
        if self.marks.merge(mark) {
            self.apply_marks_to_pools(now);
            self.broadcast_summary(Vec::new(), vec![mark.clone()], Vec::new(), out);
        }
    }

    /// Applies an operator's drain order, spreads it and stores it in the
    /// platform's table.
    pub(super) fn set_drained(
        &mut self,
        now: Time,
        key: DrainKey,
        drained: bool,
        out: &mut Vec<Command>,
    ) {
        let mark = self.marks.set(key, drained);
        self.counters.orders += 1;
        self.apply_marks_to_pools(now);
        out.push(Command::StoreMark(mark.clone()));
        self.broadcast_summary(Vec::new(), vec![mark], Vec::new(), out);
    }

    fn apply_marks_to_pools(&mut self, now: Time) {
        for pool in self.pools.values_mut() {
            pool.apply_marks(now, &self.marks);
        }
    }

    /// Releases a digest from quarantine here and on all live instances.
    pub(super) fn unquarantine(&mut self, digest: Digest, out: &mut Vec<Command>) {
        self.quarantine.release(digest);
        let to: Vec<InstanceId> = self
            .members
            .live()
            .filter(|id| **id != self.me)
            .cloned()
            .collect();
        for to in to {
            let message = Message::Unquarantine(digest);
            out.push(Command::Send { to, message });
        }
    }
}
