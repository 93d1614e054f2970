//! Heartbeats, and the spreading of documents, marks and suspects.

use super::{Command, Node};
use crate::drain::{DrainKey, DrainMark};
use crate::hash::hash_parts;
use crate::id::{Digest, Incarnation, InstanceId, ServiceId, Time, Version};
use crate::members::FANOUT;
use crate::message::{CrashSuspect, MemberUpdate, Message};
use std::time::Duration;

/// Shortest time between two whole indexes that one instance sends.
const INDEX_INTERVAL: Duration = Duration::from_secs(1);

/// When the periodic messages are due.
#[derive(Clone, Debug, Default)]
pub(super) struct Schedule {
    pub(super) renewed_at: Time,
    beat_at: Option<Time>,
    index_at: Time,
    news: bool,
}

/// What an index says.
#[derive(Clone, Debug, Default)]
pub(super) struct News {
    pub(super) documents: Vec<(ServiceId, Version)>,
    pub(super) marks: Vec<DrainMark>,
    pub(super) suspects: Vec<CrashSuspect>,
    pub(super) updates: Vec<MemberUpdate>,
}

impl News {
    fn is_empty(&self) -> bool {
        let News {
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
    /// Sends heartbeats when they are due, and fresh rumours at once.
    pub(super) fn beat(&mut self, now: Time, out: &mut Vec<Command>) {
        let is_due = self
            .spread
            .beat_at
            .is_none_or(|at| now.saturating_sub(at) >= self.members.interval());
        if !is_due && !self.spread.news {
            return;
        }
        let to = if is_due {
            self.members.beat_targets()
        } else {
            self.members.sample(FANOUT)
        };
        if is_due {
            self.spread.beat_at = Some(now);
        }
        self.spread.news = false;
        let updates = self.members.updates();
        for to in to {
            let message = self.beat_message(updates.clone());
            out.push(Command::Send { to, message });
        }
    }

    /// Sends rumours to a few instances at once.
    pub(super) fn tell_news(&mut self, now: Time, out: &mut Vec<Command>) {
        self.spread.news = true;
        self.beat(now, out);
    }

    fn beat_message(&self, updates: Vec<MemberUpdate>) -> Message {
        Message::Heartbeat {
            incarnation: self.members.me().incarnation,
            fingerprint: self.fingerprint(),
            updates,
        }
    }

    /// Hash that is equal where two instances know the same.
    fn fingerprint(&self) -> u64 {
        let documents = self.pools.iter().fold(0, |sum, (service, pool)| {
            let version = pool.versioned.version.to_le_bytes();
            sum ^ hash_parts(&[service.as_bytes(), &version])
        });
        documents ^ self.marks.fingerprint() ^ self.members.fingerprint()
    }

    pub(super) fn beat_came(
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
        if self.members.heard(now, from, incarnation) {
            let message = self.beat_message(self.members.tell(Some(from)));
            out.push(Command::Send {
                to: from.clone(),
                message,
            });
        }
        let differs = fingerprint != self.fingerprint();
        let is_due = now.saturating_sub(self.spread.index_at) >= INDEX_INTERVAL;
        if (differs && is_due) || !is_known {
            self.spread.index_at = now;
            let message = self.whole_index(now).into_message();
            out.push(Command::Send {
                to: from.clone(),
                message,
            });
        }
    }

    fn whole_index(&self, now: Time) -> News {
        let documents = self.pools.iter();
        News {
            documents: documents
                .map(|(service, pool)| (service.clone(), pool.versioned.version))
                .collect(),
            marks: self.marks.iter().collect(),
            suspects: self.quarantine.iter(now).collect(),
            updates: self.members.tell(None),
        }
    }

    fn merge_updates(&mut self, now: Time, updates: &[MemberUpdate]) {
        for update in updates {
            if self.members.merge(now, update) {
                self.spread.news = true;
            }
        }
    }

    pub(super) fn index_came(
        &mut self,
        now: Time,
        from: &InstanceId,
        news: News,
        out: &mut Vec<Command>,
    ) {
        let is_whole = !news.updates.is_empty();
        let missing = if is_whole {
            self.missing_from(&news)
        } else {
            News::default()
        };
        self.merge_updates(now, &news.updates);
        let fresh: Vec<DrainMark> = news
            .marks
            .into_iter()
            .filter(|m| self.marks.merge(m))
            .collect();
        let suspects: Vec<CrashSuspect> = news
            .suspects
            .into_iter()
            .filter(|s| self.quarantine.merge(now, s))
            .collect();
        let wanted: Vec<ServiceId> = news
            .documents
            .into_iter()
            .filter(|(service, version)| {
                let known = self.pools.get(service);
                known.is_none_or(|p| p.versioned.version < *version)
            })
            .map(|(service, _)| service)
            .collect();
        if !wanted.is_empty() {
            out.push(Command::Send {
                to: from.clone(),
                message: Message::FetchDocuments(wanted),
            });
        }
        if !missing.is_empty() {
            out.push(Command::Send {
                to: from.clone(),
                message: missing.into_message(),
            });
        }
        if !fresh.is_empty() {
            self.marks_changed(now);
        }
        if !fresh.is_empty() || !suspects.is_empty() {
            self.push_index(Vec::new(), fresh, suspects, out);
        }
    }

    /// What this instance knows that the sender of an index does not.
    fn missing_from(&self, theirs: &News) -> News {
        let version_of = |service: &ServiceId| {
            let row = theirs.documents.iter().find(|(s, _)| s == service);
            row.map_or(0, |(_, v)| *v)
        };
        let documents = self.pools.iter();
        News {
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

    /// Sends news to a few instances at once; each that finds it new passes it on.
    pub(super) fn push_index(
        &mut self,
        documents: Vec<(ServiceId, Version)>,
        marks: Vec<DrainMark>,
        suspects: Vec<CrashSuspect>,
        out: &mut Vec<Command>,
    ) {
        let news = News {
            documents,
            marks,
            suspects,
            updates: Vec::new(),
        };
        let message = news.into_message();
        for to in self.members.sample(FANOUT) {
            let message = message.clone();
            out.push(Command::Send { to, message });
        }
    }

    pub(super) fn fetch_came(
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

    /// Takes a mark that the platform's table holds.
    pub(super) fn mark(&mut self, now: Time, mark: &DrainMark, out: &mut Vec<Command>) {
        if self.marks.merge(mark) {
            self.marks_changed(now);
            self.push_index(Vec::new(), vec![mark.clone()], Vec::new(), out);
        }
    }

    /// Takes an operator's order, spreads it and has it recorded.
    pub(super) fn set_drained(
        &mut self,
        now: Time,
        key: DrainKey,
        drained: bool,
        out: &mut Vec<Command>,
    ) {
        let mark = self.marks.set(key, drained);
        self.counters.orders += 1;
        self.marks_changed(now);
        out.push(Command::StoreMark(mark.clone()));
        self.push_index(Vec::new(), vec![mark], Vec::new(), out);
    }

    fn marks_changed(&mut self, now: Time) {
        for pool in self.pools.values_mut() {
            pool.follow_marks(now, &self.marks);
        }
    }

    pub(super) fn pardon(&mut self, digest: Digest, out: &mut Vec<Command>) {
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
