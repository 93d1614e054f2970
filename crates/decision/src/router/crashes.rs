//! Evidence of what crashes targets, and the quarantine of requests that have it.
//!
//! A request has several fingerprints, such as one of each shared part of its
//! prompt. A crash is evidence against all fingerprints of the requests that the
//! target had not begun to respond to. A request that gets a response clears its
//! fingerprints of all crashes before.
//!
//! The evidence is a grow-only set of crashes for each fingerprint, with a flag
//! that is set when the crash is cleared. Instances merge each other's sets in any
//! order and any number of times.
//!
//! A quarantined fingerprint is refused for a while, and then admitted by ever more
//! instances, one request at a time, until one of these crashes its target or gets
//! a response.

use crate::fleet::Tag;
use crate::id::{Fingerprint, Time};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Weight of the separate crashes at which a fingerprint is quarantined.
const WEIGHT_LIMIT: u32 = 6;
/// Weight of a crash.
const WEIGHT: u32 = 2;
/// Weight of a crash under a fingerprint that had got responses before.
const KNOWN_WEIGHT: u32 = 1;
/// Crashes within this time of each other may have a common cause other than a
/// request, such as the loss of a failure domain.
const COMMON_CAUSE_TIME: Duration = Duration::from_millis(250);
/// Duration of the first quarantine, from the last crash.
const QUARANTINE_TIME: Duration = Duration::from_secs(20);
/// Factor by which a quarantine is longer than the one before.
const QUARANTINE_FACTOR: u32 = 4;
/// Longest duration of a quarantine.
const MAX_QUARANTINE_TIME: Duration = Duration::from_secs(1_800);
/// Interval at which the number of instances that may try a suspect doubles, up to a
/// limit, and others have their turn. In this time a trial has usually ended and the
/// others know how.
const TRIAL_INTERVAL: Duration = Duration::from_secs(2);
/// Part of the instances, as its reciprocal, that may try a suspect at once at most.
const TRIAL_SHARE: u64 = 8;
/// Time from one trial of a suspect at an instance to the next.
const TRIAL_TIME: Duration = Duration::from_secs(5);
/// Time after which evidence expires that is too little for a quarantine.
const EVIDENCE_TTL: Duration = Duration::from_secs(600);
/// Time after the end of a quarantine at which its evidence expires.
const SUSPECT_TTL: Duration = Duration::from_secs(3_600);
/// Time for which a cleared crash is kept, so that the others clear it too.
const CLEARED_TTL: Duration = Duration::from_secs(30);
/// Maximum number of fingerprints on record.
const MAX_RECORDS: usize = 1_000;
/// Maximum number of crashes on record for a fingerprint.
const MAX_CRASHES: usize = 24;
/// Maximum number of crashes in a pulse.
const MAX_REPORTS: usize = 64;
/// Maximum number of those in a pulse that are of fingerprints with several crashes,
/// which go first.
const MAX_SERIOUS: usize = 48;
/// Age up to which a crash is reported that is too little for a quarantine.
const REPORT_AGE: Duration = Duration::from_secs(15);
/// Time for which a record that has changed is in every pulse.
const CHANGE_TIME: Duration = Duration::from_secs(2);
/// Interval of the pulses of an instance.
const PULSE_INTERVAL: Duration = Duration::from_millis(200);
/// Number of pulses of which one has a quarantine that has not changed.
const REPEAT_PULSES: u64 = 5;
/// Maximum number of crashes of a quarantine that has not changed in a pulse, the
/// latest ones.
const MAX_REPEATED: usize = 8;
/// Origin of the times on record before the start of this process, so that crashes
/// before that have a time too.
const ORIGIN: Duration = Duration::from_secs(24 * 3_600);
/// Maximum number of fingerprints of which the last begin is remembered, in each of
/// two generations.
const MAX_BEGINS: usize = 4_000;

/// Crash of a target before it began to respond to a request with a fingerprint,
/// as pulses report it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// Tag of the target and its start.
    #[serde(rename = "t")]
    pub target: Tag,
    /// Milliseconds since the crash.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// Milliseconds for which the request had been at the target.
    #[serde(rename = "w")]
    pub wait_ms: u32,
    /// Whether a request with the fingerprint has got a response since.
    #[serde(rename = "c", default)]
    pub cleared: bool,
    /// Whether requests with the fingerprint had got responses before, which makes it
    /// less likely that it is the cause.
    #[serde(rename = "k", default)]
    pub known: bool,
}

/// Begin or end of a quarantine at this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineChange {
    /// Fingerprint.
    pub fingerprint: Fingerprint,
    /// Time left of the quarantine; `None` if it has ended.
    pub time_left: Option<Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Crash {
    at: Time,
    /// Time for which the request had been at the target. The least of several is
    /// kept, which no number of merges changes further.
    wait: Duration,
    cleared: bool,
    known: bool,
}

#[derive(Clone, Debug, Default)]
struct Record {
    crashes: BTreeMap<Tag, Crash>,
    changed_at: Time,
    /// End of the quarantine; `None` if there has been none.
    until: Option<Time>,
}

impl Record {
    /// Returns the crashes that are not cleared.
    fn open(&self) -> impl Iterator<Item = (&Tag, &Crash)> {
        self.crashes.iter().filter(|(_, c)| !c.cleared)
    }

    /// Returns the latest crashes.
    fn latest(&self, count: usize) -> impl Iterator<Item = (&Tag, &Crash)> {
        let mut crashes: Vec<(&Tag, &Crash)> = self.crashes.iter().collect();
        crashes.sort_unstable_by_key(|(target, crash)| (Reverse(crash.at), **target));
        crashes.into_iter().take(count)
    }

    /// Adds a crash or merges it with what is known of it; returns whether anything
    /// changed.
    fn merge(&mut self, target: Tag, crash: Crash) -> bool {
        let Some(known) = self.crashes.get_mut(&target) else {
            let is_newest = self.crashes.values().all(|c| c.at < crash.at);
            self.crashes.insert(target, crash);
            if self.crashes.len() <= MAX_CRASHES {
                return true;
            }
            self.thin_out();
            // Others may have kept other crashes, which they need not exchange.
            return is_newest;
        };
        let merged = Crash {
            at: known.at.min(crash.at),
            wait: known.wait.min(crash.wait),
            cleared: known.cleared || crash.cleared,
            known: known.known || crash.known,
        };
        // The times differ by the delays of pulses, which is no change to report.
        let is_changed = merged.cleared != known.cleared || merged.known != known.known;
        *known = merged;
        is_changed
    }

    /// Removes a cleared crash or, if there is none, the one that came soonest after
    /// another, which the end of the quarantine depends on least.
    fn thin_out(&mut self) {
        let mut crashes: Vec<(Time, Tag)> = self.open().map(|(t, c)| (c.at, *t)).collect();
        crashes.sort_unstable();
        let cleared = self.crashes.iter().find(|(_, c)| c.cleared);
        // The last one is what the quarantine counts from.
        let pairs = crashes
            .windows(3)
            .map(|w| (w[1].0.saturating_sub(w[0].0), w[1].1));
        let dropped = cleared.map(|(target, _)| *target);
        let dropped = dropped.or_else(|| pairs.min().map(|(_, target)| target));
        dropped.and_then(|target| self.crashes.remove(&target));
    }

    /// Determines the end of the quarantine from the crashes.
    ///
    /// A crash is separate from the one before if its request was sent after that,
    /// or if it came later than crashes with a common cause would.
    fn refresh(&mut self) {
        let mut crashes: Vec<&Crash> = self.open().map(|(_, c)| c).collect();
        crashes.sort_by_key(|c| c.at);
        let (mut weight, mut last) = (0, None::<Time>);
        let (mut duration, mut until) = (QUARANTINE_TIME, None);
        for crash in crashes {
            let sent = crash.at.saturating_sub(crash.wait);
            let is_separate = last.is_none_or(|l| sent >= l || crash.at >= l + COMMON_CAUSE_TIME);
            match until {
                Some(end) if crash.at < end => until = Some(end.max(crash.at + duration)),
                Some(_) => {
                    duration = (duration * QUARANTINE_FACTOR).min(MAX_QUARANTINE_TIME);
                    until = Some(crash.at + duration);
                }
                None if is_separate => {
                    weight += if crash.known { KNOWN_WEIGHT } else { WEIGHT };
                    last = Some(crash.at);
                    until = (weight >= WEIGHT_LIMIT).then_some(crash.at + duration);
                }
                None => {}
            }
        }
        self.until = until;
    }

    /// Removes what has expired; returns whether anything is left.
    fn expire(&mut self, now: Time) -> bool {
        let until = self.until;
        let changed_at = self.changed_at;
        let count = self.crashes.len();
        self.crashes.retain(|_, c| match until {
            _ if c.cleared => now < changed_at + CLEARED_TTL,
            Some(until) => now < until + SUSPECT_TTL,
            None => now < c.at + EVIDENCE_TTL,
        });
        if self.crashes.len() < count {
            self.refresh();
        }
        !self.crashes.is_empty()
    }
}

/// Evidence that one instance has, its own and that of the others.
#[derive(Clone, Debug, Default)]
pub(super) struct Crashes {
    records: BTreeMap<Fingerprint, Record>,
    /// Fingerprints that have been quarantined.
    suspects: BTreeSet<Fingerprint>,
    /// Quarantines whose begin was returned by [`Crashes::changes`].
    announced: BTreeSet<Fingerprint>,
    /// Time at which a request with each fingerprint last began here.
    begins: BTreeMap<Fingerprint, Time>,
    /// The same of the generation before.
    old_begins: BTreeMap<Fingerprint, Time>,
    /// Time at which this instance last tried each suspect.
    trials: BTreeMap<Fingerprint, Time>,
}

/// What a suspect is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// Refused for this time.
    Refused(Duration),
    /// Tried by some instances, of which there are more the longer ago this was.
    Tried(Time),
}

/// Position of an instance among those of the fleet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    pub(super) instances: usize,
    pub(super) position: usize,
}

impl Share {
    /// Returns whether the instance may try a suspect that is tried since a time.
    fn may_try(self, now: Time, since: Time, fingerprint: Fingerprint) -> bool {
        let instances = self.instances.max(1) as u64;
        let intervals = now.saturating_sub(since).as_millis() / TRIAL_INTERVAL.as_millis();
        let intervals = intervals as u64;
        let limit = instances.div_ceil(TRIAL_SHARE);
        let count = limit.min(1 << intervals.min(32));
        // Others have their turn in the next interval.
        let first = fingerprint.wrapping_add(intervals.wrapping_mul(limit)) % instances;
        (self.position as u64 + first) % instances < count
    }
}

impl Crashes {
    /// Records that a target crashed `wait` after it got a request, and before it
    /// began to respond.
    pub(super) fn record_crash(
        &mut self,
        now: Time,
        at: Time,
        wait: Duration,
        target: Tag,
        fingerprints: &[Fingerprint],
    ) {
        let now = now + ORIGIN;
        let crash = Crash {
            at: at + ORIGIN,
            wait,
            cleared: false,
            known: false,
        };
        for fingerprint in fingerprints {
            self.add(now, *fingerprint, target, crash);
        }
    }

    /// Records that a target responded to a request.
    pub(super) fn record_begin(&mut self, now: Time, fingerprints: &[Fingerprint]) {
        let now = now + ORIGIN;
        if self.begins.len() >= MAX_BEGINS {
            self.old_begins = std::mem::take(&mut self.begins);
        }
        for fingerprint in fingerprints {
            self.begins.insert(*fingerprint, now);
            let Some(record) = self.records.get_mut(fingerprint) else {
                continue;
            };
            if record.open().next().is_some() {
                record.crashes.values_mut().for_each(|c| c.cleared = true);
                record.changed_at = now;
                record.refresh();
                self.suspects.remove(fingerprint);
            }
        }
    }

    /// Merges the evidence of another instance.
    pub(super) fn merge(&mut self, now: Time, reports: &[CrashReport]) {
        let now = now + ORIGIN;
        for report in reports {
            let age = Duration::from_millis(report.age_ms.into());
            let crash = Crash {
                at: now.saturating_sub(age),
                wait: Duration::from_millis(report.wait_ms.into()),
                cleared: report.cleared,
                known: report.known,
            };
            self.add(now, report.fingerprint, report.target, crash);
        }
        // Expired evidence would go out again with the next pulse, and come back.
        for report in reports {
            let fingerprint = report.fingerprint;
            let record = self.records.get_mut(&fingerprint);
            if record.is_some_and(|r| !r.expire(now)) {
                self.records.remove(&fingerprint);
                self.suspects.remove(&fingerprint);
            }
        }
    }

    fn add(&mut self, now: Time, fingerprint: Fingerprint, target: Tag, crash: Crash) {
        let begins = [&self.begins, &self.old_begins];
        let begun = begins.iter().filter_map(|b| b.get(&fingerprint)).max();
        let crash = Crash {
            cleared: crash.cleared || begun.is_some_and(|begun| *begun >= crash.at),
            known: crash.known || begun.is_some(),
            ..crash
        };
        if !self.records.contains_key(&fingerprint) && self.records.len() >= MAX_RECORDS {
            self.evict();
        }
        let record = self.records.entry(fingerprint).or_default();
        if record.merge(target, crash) {
            record.changed_at = now;
        }
        record.refresh();
        if record.until.is_some() {
            self.suspects.insert(fingerprint);
        } else {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Removes the record with the least evidence, the oldest of several.
    fn evict(&mut self) {
        let records = self.records.iter();
        let least = records.min_by_key(|(_, r)| (r.open().count(), r.changed_at));
        if let Some(fingerprint) = least.map(|(f, _)| *f) {
            self.records.remove(&fingerprint);
            self.suspects.remove(&fingerprint);
        }
    }

    /// Admits a request, or returns the fingerprint for which it is refused and for
    /// how long. An admitted request that has a suspect is the trial of it.
    pub(super) fn admit(
        &mut self,
        now: Time,
        share: Share,
        fingerprints: &[Fingerprint],
    ) -> Result<(), (Fingerprint, Duration)> {
        if self.suspects.is_empty() {
            return Ok(());
        }
        let now = now + ORIGIN;
        let verdicts = self.verdicts(now, fingerprints);
        for (fingerprint, verdict) in &verdicts {
            let is_pending = self.is_tried(now, *fingerprint);
            match *verdict {
                Verdict::Refused(time_left) => return Err((*fingerprint, time_left)),
                Verdict::Tried(since) if is_pending || !share.may_try(now, since, *fingerprint) => {
                    return Err((*fingerprint, TRIAL_INTERVAL));
                }
                Verdict::Tried(_) => {}
            }
        }
        let trials = verdicts
            .into_iter()
            .map(|(fingerprint, _)| (fingerprint, now));
        self.trials.extend(trials);
        Ok(())
    }

    /// Decides whether a request that was admitted shortly before may be sent still.
    pub(super) fn readmit(
        &self,
        now: Time,
        fingerprints: &[Fingerprint],
    ) -> Result<(), (Fingerprint, Duration)> {
        if self.suspects.is_empty() {
            return Ok(());
        }
        let now = now + ORIGIN;
        let verdicts = self.verdicts(now, fingerprints);
        let refused = verdicts.into_iter().find_map(|(fingerprint, verdict)| {
            match verdict {
                Verdict::Refused(time_left) => Some((fingerprint, time_left)),
                Verdict::Tried(_) if self.is_tried(now, fingerprint) => None,
                // It became a suspect since.
                Verdict::Tried(_) => Some((fingerprint, TRIAL_INTERVAL)),
            }
        });
        refused.map_or(Ok(()), Err)
    }

    fn is_tried(&self, now: Time, fingerprint: Fingerprint) -> bool {
        let tried_at = self.trials.get(&fingerprint);
        tried_at.is_some_and(|at| now.saturating_sub(*at) < TRIAL_TIME)
    }

    /// Returns the suspects among a request's fingerprints and what they are given.
    ///
    /// A fingerprint that only occurs together with another one has no other evidence
    /// than that. A request that has it alone tells them apart: the other one may
    /// explain all its crashes, so that it is tried before its quarantine ends.
    /// Several others together explain nothing: a part that crashes targets has the
    /// crashes of all parts that occur with it.
    fn verdicts(&self, now: Time, fingerprints: &[Fingerprint]) -> Vec<(Fingerprint, Verdict)> {
        let others = self.suspects.iter().filter(|f| !fingerprints.contains(f));
        let others = others.filter_map(|f| self.records.get(f));
        let others: Vec<&Record> = others.collect();
        let is_open_at = |record: &Record, target: &Tag| {
            let crash = record.crashes.get(target);
            crash.is_some_and(|c| !c.cleared)
        };
        let is_explained = |record: &Record| {
            let covers = |other: &&Record| record.open().all(|(t, _)| is_open_at(other, t));
            others.iter().any(covers)
        };
        let suspects = fingerprints.iter().filter(|f| self.suspects.contains(f));
        let verdict = |fingerprint: &Fingerprint| {
            let record = self.records.get(fingerprint)?;
            let until = record.until?;
            let last = record.open().map(|(_, c)| c.at).max()?;
            let verdict = match until.checked_sub(now) {
                None | Some(Duration::ZERO) => Verdict::Tried(until),
                Some(_) if is_explained(record) => Verdict::Tried(last),
                Some(time_left) => Verdict::Refused(time_left),
            };
            Some((*fingerprint, verdict))
        };
        suspects.filter_map(verdict).collect()
    }

    /// Returns the evidence for a pulse: what has changed lately, and from time to
    /// time that of each quarantine. Where there is more than a pulse has room for,
    /// the next one continues.
    pub(super) fn reports(&self, now: Time) -> Vec<CrashReport> {
        if self.records.is_empty() {
            return Vec::new();
        }
        let now = now + ORIGIN;
        let round = (now.as_millis() / PULSE_INTERVAL.as_millis()) as u64;
        let (mut serious, mut single) = (Vec::new(), Vec::new());
        for (fingerprint, record) in &self.records {
            let is_changed = now.saturating_sub(record.changed_at) < CHANGE_TIME;
            // Instances that start need all quarantines soon, so that their repetitions
            // are spread over the pulses.
            let is_repeated = record.until.is_some()
                && fingerprint
                    .wrapping_add(round)
                    .is_multiple_of(REPEAT_PULSES);
            let count = match () {
                () if is_changed => MAX_CRASHES,
                () if is_repeated => MAX_REPEATED,
                () => continue,
            };
            let is_serious = record.open().nth(1).is_some();
            for (target, crash) in record.latest(count) {
                let age = now.saturating_sub(crash.at);
                let report = CrashReport {
                    fingerprint: *fingerprint,
                    target: *target,
                    age_ms: age.as_millis() as u32,
                    wait_ms: crash.wait.as_millis() as u32,
                    cleared: crash.cleared,
                    known: crash.known,
                };
                if is_serious {
                    serious.push(report);
                } else if crash.cleared || age < REPORT_AGE {
                    single.push(report);
                }
            }
        }
        let round = round as usize;
        let mut reports = take_round(&serious, round, MAX_SERIOUS);
        let room = MAX_REPORTS - reports.len();
        reports.extend(take_round(&single, round, room));
        reports
    }

    /// Removes what has expired, and returns the quarantines that have begun or
    /// ended since the last call.
    pub(super) fn changes(&mut self, now: Time) -> Vec<QuarantineChange> {
        let now = now + ORIGIN;
        self.records.retain(|_, record| record.expire(now));
        let records = &self.records;
        self.trials
            .retain(|_, at| now.saturating_sub(*at) < TRIAL_TIME);
        self.suspects
            .retain(|f| records.get(f).is_some_and(|r| r.until.is_some()));
        let time_left = |f: &Fingerprint| {
            let until = records.get(f).and_then(|r| r.until);
            until
                .and_then(|until| until.checked_sub(now))
                .filter(|t| !t.is_zero())
        };
        let known: BTreeSet<Fingerprint> = self.announced.union(&self.suspects).copied().collect();
        let mut changes = Vec::new();
        for fingerprint in known {
            let time_left = time_left(&fingerprint);
            let is_new = match time_left {
                Some(_) => self.announced.insert(fingerprint),
                None => self.announced.remove(&fingerprint),
            };
            if is_new {
                changes.push(QuarantineChange {
                    fingerprint,
                    time_left,
                });
            }
        }
        changes
    }

    /// Returns the number of fingerprints on record.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }
}

/// Returns up to `count` reports, the next ones in each round.
fn take_round(reports: &[CrashReport], round: usize, count: usize) -> Vec<CrashReport> {
    if reports.len() <= count {
        return reports.to_vec();
    }
    let first = (round % reports.len()) * count % reports.len();
    let all = reports.iter().cycle().skip(first);
    all.take(count).copied().collect()
}
