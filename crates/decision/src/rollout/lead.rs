//! Leading a roll-out: claims, steps and the decision, each by a conditional write.

use super::{RolloutBounds, RolloutCommand, RolloutOrder, RolloutPhase, RolloutRecord};
use crate::id::{InstanceId, Time};
use smol_str::SmolStr;
use std::collections::BTreeSet;
use std::time::Duration;

/// Silence of a leader after which another instance takes the lead.
const LEADER_SILENCE: Duration = Duration::from_millis(1_200);
/// Time that each candidate leaves to those before it.
const CLAIM_TURN: Duration = Duration::from_millis(700);
/// Pause after a call to the store that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Calls in a row that fail before the leader is silent, so that another one leads.
const MAX_FAILURES: u32 = 2;
/// Part of the time limit from which on little evidence is enough.
const DECIDE_BY: f64 = 0.75;
/// Time that the decision leaves before the time limit, for its write and its way to
/// all instances.
const DECISION_MARGIN: Duration = Duration::from_millis(1_500);
/// Part of a short time limit that passes before a decision without enough evidence.
const LEAST_WAIT: f64 = 0.5;
/// Responses of a new version, of those whose speed counts, that are enough to complete a roll-out.
const ENOUGH_RESPONSES: u32 = 60;
/// Responses since the last step began, which loads the targets, that are enough.
const STEP_RESPONSES: u32 = 40;
/// Responses that are enough when the decision is due.
const FEW_RESPONSES: u32 = 40;
/// Responses on each frequent route that are enough to complete a roll-out.
const ENOUGH_ON_ROUTE: u32 = 12;
/// Responses of the old version from which on a route is a frequent one.
pub(super) const FREQUENT_ROUTE: u32 = 200;
/// Part of the slack that requests within [`UNPROVED_TIME`] may take where there is too
/// little evidence for a decision.
const UNPROVED_PART: f64 = 0.5;
/// Time in which operators notice that a version is bad that hardly gets requests.
const UNPROVED_TIME: Duration = Duration::from_secs(30);
/// Shortest time of counting that shows how rare a service's requests are: at the rate
/// that the usual slack bears, some three of them.
const LEAST_OBSERVED: Duration = Duration::from_secs(4);
/// Least slots of the ready targets of the new version, as a part of those of all
/// others, to complete a roll-out: these stop at once.
const LEAST_CAPACITY: f64 = 0.5;

/// Bad responses beyond the expected ones that put a version in doubt.
const DOUBT: f64 = 1.5;

/// A step of a roll-out before its decision.
struct Stage {
    /// Part of the time limit from which on it may begin.
    from: f64,
    /// Share of the requests that go to the new version, as a multiple of the
    /// exposure. The budget of each instance is a limit besides.
    share: f64,
    /// Responses of the new version that it requires.
    responses: u32,
}

/// The first step shows a version that is bad at once. The last one spends what is
/// left of the budget, which shows one that is bad under load.
const STAGES: [Stage; 3] = [
    Stage {
        from: 0.0,
        share: 0.3,
        responses: 0,
    },
    Stage {
        from: 0.15,
        share: 0.8,
        responses: 10,
    },
    Stage {
        from: 0.5,
        share: 5.0,
        responses: 40,
    },
];
/// Part of the time limit before which no roll-out completes.
const DECIDE_FROM: f64 = 0.6;

/// Returns the share of the requests that a step sends to the new version.
pub(super) fn stage_share(stage: u8, bounds: &RolloutBounds) -> f64 {
    let stage = &STAGES[usize::from(stage).min(STAGES.len() - 1)];
    (stage.share * bounds.exposure_share).min(1.0)
}

/// What the decision on a roll-out is made by.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Evidence {
    /// Time since the order.
    pub(super) elapsed: Duration,
    /// Time for which this instance has counted requests.
    pub(super) observed: Duration,
    /// Whether the new version is bad, or the order was withdrawn.
    pub(super) is_stopped: bool,
    /// Whether all targets are of the new version.
    pub(super) is_alone: bool,
    /// Bad responses of the new version beyond the expected ones.
    pub(super) excess: f64,
    /// Whether recent counts of all instances are known.
    pub(super) is_known: bool,
    /// Responses of the new version, and the bad ones of them.
    pub(super) responses: (u32, u32),
    /// Responses of the new version whose speed counts.
    pub(super) timed: u32,
    pub(super) least_on_route: Option<u32>,
    /// Requests of the service that were counted.
    pub(super) requests: u32,
    /// Slots of the ready targets of the old version and of the new one.
    pub(super) slots: (u32, u32),
}

impl Evidence {
    /// Returns whether the targets of the new version can do without the others.
    fn has_capacity(&self) -> bool {
        let (old, new) = self.slots;
        new > 0 && f64::from(new) >= f64::from(old) * LEAST_CAPACITY
    }

    /// Returns whether a roll-out completes before its decision is due.
    fn is_enough(&self) -> bool {
        self.timed >= ENOUGH_RESPONSES && self.has_routes()
    }

    fn has_routes(&self) -> bool {
        self.least_on_route.is_none_or(|n| n >= ENOUGH_ON_ROUTE)
    }

    /// Returns whether a roll-out completes when its decision is due.
    fn is_sufficient(&self, slack: f64) -> bool {
        let rate = f64::from(self.requests) / self.observed.as_secs_f64();
        let is_proved = self.timed >= FEW_RESPONSES && self.has_routes();
        let is_observed = self.observed >= LEAST_OBSERVED;
        let is_rare = is_observed && rate * UNPROVED_TIME.as_secs_f64() <= slack * UNPROVED_PART;
        self.excess < DOUBT && (is_proved || is_rare)
    }
}

/// Returns the step or the decision that is due; `None` where none is.
fn decide(
    order: &RolloutOrder,
    bounds: &RolloutBounds,
    record: &RolloutRecord,
    evidence: &Evidence,
) -> Option<(RolloutPhase, u8)> {
    let stage = record.stage;
    if evidence.is_stopped {
        return Some((RolloutPhase::RolledBack, stage));
    }
    if evidence.is_alone && evidence.has_capacity() {
        return Some((RolloutPhase::Complete, stage));
    }
    let part = |part: f64| evidence.elapsed >= order.duration.mul_f64(part);
    let last_moment = order.duration.saturating_sub(DECISION_MARGIN);
    let is_last_moment = evidence.elapsed >= last_moment && part(LEAST_WAIT);
    let is_good = evidence.is_known && evidence.excess < DOUBT && evidence.has_capacity();
    if part(DECIDE_BY) || is_last_moment {
        if is_good && evidence.is_sufficient(bounds.exposure_slack) {
            return Some((RolloutPhase::Complete, stage));
        }
        return is_last_moment.then_some((RolloutPhase::RolledBack, stage));
    }
    let is_last = usize::from(stage) + 1 >= STAGES.len();
    let (responses, _) = evidence.responses;
    let is_loaded = responses >= record.responses + STEP_RESPONSES;
    if is_good && is_last && is_loaded && part(DECIDE_FROM) && evidence.is_enough() {
        return Some((RolloutPhase::Complete, stage));
    }
    let next = STAGES.get(usize::from(stage) + 1)?;
    let is_next = part(next.from) && responses >= next.responses;
    (is_good && is_next).then_some((RolloutPhase::Running, stage + 1))
}

/// Call to the store that is under way.
#[derive(Clone, Debug, Default, PartialEq)]
enum Call {
    #[default]
    None,
    Read,
    Write(RolloutRecord),
}

/// One instance's part in leading a roll-out.
///
/// Every write requires the version of the row that this instance read or wrote last.
/// An instance that lost the lead, or slept, fails to write and reads again.
#[derive(Clone, Debug, Default)]
pub(super) struct Lead {
    call: Call,
    /// Version of the row as read or written last; `None` where it has to be read.
    row: Option<u64>,
    /// Term in which this instance leads.
    term: Option<u64>,
    retry_at: Time,
    failures: u32,
    /// Whether the store may have lost a decision that is known here.
    recheck: bool,
    /// Highest beat of the leader, and when it changed.
    beat: u64,
    beat_at: Time,
}

/// What an instance knows of a roll-out when it may lead.
pub(super) struct View<'a> {
    pub(super) me: &'a InstanceId,
    pub(super) order: &'a RolloutOrder,
    pub(super) bounds: &'a RolloutBounds,
    pub(super) record: Option<&'a RolloutRecord>,
    pub(super) barred: &'a BTreeSet<SmolStr>,
    pub(super) evidence: Evidence,
    /// Position of this instance among those that may lead.
    pub(super) position: Option<usize>,
}

impl Lead {
    pub(super) fn new(now: Time) -> Lead {
        Lead {
            beat_at: now,
            ..Lead::default()
        }
    }

    /// Returns the beat that this instance tells the others.
    pub(super) fn beat(&self) -> u64 {
        self.beat
    }

    /// Records a beat of the leader.
    pub(super) fn note_beat(&mut self, now: Time, beat: u64) {
        if beat > self.beat {
            self.beat = beat;
            self.beat_at = now;
        }
    }

    /// Has the row read before the next write, as the store has another history.
    pub(super) fn forget_row(&mut self) {
        self.row = None;
        self.recheck = true;
    }

    pub(super) fn leads(&self, me: &InstanceId, record: Option<&RolloutRecord>) -> bool {
        record.is_some_and(|r| r.leader == *me && Some(r.term) == self.term)
    }

    /// Returns the call to the store that is due.
    pub(super) fn poll(&mut self, now: Time, view: &View<'_>) -> Option<RolloutCommand> {
        if self.call != Call::None || now < self.retry_at {
            return None;
        }
        let record = self.next_record(now, view)?;
        let service = view.order.service.clone();
        let Some(version) = self.row else {
            self.call = Call::Read;
            return Some(RolloutCommand::Read { service });
        };
        self.call = Call::Write(record.clone());
        Some(RolloutCommand::Write {
            service,
            version,
            record,
        })
    }

    /// Returns the record that this instance has to write.
    fn next_record(&mut self, now: Time, view: &View<'_>) -> Option<RolloutRecord> {
        let leads = self.leads(view.me, view.record);
        let (order, evidence) = (view.order, &view.evidence);
        if let Some(record) = view.record.filter(|r| r.phase != RolloutPhase::Running) {
            let is_due = self.recheck && view.position == Some(0);
            return is_due.then(|| RolloutRecord {
                term: record.term + 1,
                leader: view.me.clone(),
                ..record.clone()
            });
        }
        let barred = view.barred.iter().cloned().collect();
        let (responses, bad) = evidence.responses;
        if let Some(record) = view.record.filter(|_| leads) {
            if self.failures < MAX_FAILURES {
                self.note_beat(now, self.beat + 1);
            }
            let (phase, stage) = decide(order, view.bounds, record, evidence)?;
            return Some(RolloutRecord {
                phase,
                stage,
                step: record.step + 1,
                elapsed: evidence.elapsed,
                responses,
                bad,
                barred,
                ..record.clone()
            });
        }
        let turn = CLAIM_TURN * view.position? as u32;
        let silence = match view.record {
            Some(_) => LEADER_SILENCE,
            None => Duration::ZERO,
        };
        if now.saturating_sub(self.beat_at) < silence + turn {
            return None;
        }
        Some(RolloutRecord {
            order: order.version,
            to: order.to.clone(),
            phase: RolloutPhase::Running,
            stage: view.record.map_or(0, |r| r.stage),
            term: view.record.map_or(0, |r| r.term) + 1,
            step: 0,
            leader: view.me.clone(),
            elapsed: evidence.elapsed,
            // Without other versions nothing was compared.
            responses: if evidence.is_alone { 0 } else { responses },
            bad,
            barred,
        })
    }

    /// Ends a call that wrote its record, and returns the record.
    pub(super) fn written(&mut self, now: Time, version: u64) -> Option<RolloutRecord> {
        let Call::Write(record) = std::mem::take(&mut self.call) else {
            return None;
        };
        self.row = Some(version);
        self.failures = 0;
        self.recheck = false;
        self.term = Some(record.term);
        // A new leader's beats are above those of the one before.
        self.note_beat(now, (record.term << 32).max(self.beat + 1));
        Some(record)
    }

    /// Ends a call that returned the row; `known` is the record that was known before.
    pub(super) fn read(
        &mut self,
        now: Time,
        version: u64,
        stored: Option<&RolloutRecord>,
        known: Option<&RolloutRecord>,
    ) {
        self.call = Call::None;
        self.failures = 0;
        self.row = Some(version);
        let rank = stored.map(RolloutRecord::rank);
        let known = known.map(RolloutRecord::rank);
        self.recheck &= rank < known;
        if rank > known {
            // Its leader has the time of a leader that was heard just now.
            self.beat_at = now;
        }
    }

    /// Ends a call that failed. A write may have taken effect, or may yet do so, so
    /// that the row is read before the next one.
    pub(super) fn failed(&mut self, now: Time) {
        // The term of a write that did take effect is this instance's all the same.
        if let Call::Write(record) = std::mem::take(&mut self.call) {
            self.term = Some(record.term);
        }
        self.row = None;
        self.failures += 1;
        self.retry_at = now + RETRY_PAUSE;
    }
}
