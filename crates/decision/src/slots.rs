//! Slot ledger of one target, kept by the target's steward.

use crate::document::{Limits, ServiceKind};
use crate::id::{GrantId, InstanceId, Time, WorkspaceId};
use crate::ramp::Ramp;
use crate::room::{Grants, OpenGrant};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without a renewal after which a grant lapses.
pub(crate) const GRANT_LEASE: Duration = Duration::from_secs(10);
/// Time after a takeover in which a steward grants at most half of the free
/// slots of a warm target, and none of a cold one.
pub(crate) const TAKEOVER_PERIOD: Duration = Duration::from_secs(3);
/// Maximum lag of a load report behind the target's true load.
const MAX_REPORT_LAG: Duration = Duration::from_secs(2);
/// Age beyond which a load report is discarded.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);
/// Weight of the latest duration in the moving average of durations.
const SMOOTHING: f64 = 0.1;
/// Time without grants after a target refused a connection.
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(1);

/// Load report polled from a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Report")]
pub struct LoadReport {
    /// Boot number, which changes at each start of the target.
    pub boot: u64,
    /// Requests that run or wait at the target.
    pub running: u32,
    /// Requests completed since its start.
    pub completed: u64,
    /// Tokens in the prefix cache.
    #[serde(default)]
    pub cached: u64,
}

/// Reason why a slot of a target was not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// All slots of the target's current cap are taken.
    Full,
    /// The load would exceed the bound on the pool's mean.
    Bound,
    /// The target is unreachable.
    Down,
    /// Another crash suspect already runs on the target.
    Suspect,
}

/// Holder of a grant.
#[derive(Clone, Debug)]
struct Holder {
    entry: InstanceId,
    workspace: WorkspaceId,
    suspect: bool,
}

/// Open grants, load reports and cold-start state of one target.
#[derive(Clone, Debug)]
pub struct SlotLedger {
    open: Grants<GrantId, Holder>,
    ramp: Ramp,
    report: Option<(Time, LoadReport)>,
    /// Requests on the target that others granted, by the last report.
    foreign: u32,
    backoff_until: Time,
    /// Moving average of the duration of completed requests, in seconds.
    service_time: f64,
    /// Number of live instances, and of live and dead ones together.
    visibility: (usize, usize),
    reports_load: bool,
}

impl SlotLedger {
    /// Creates the ledger of a new steward.
    ///
    /// `known_cap` is the last known cap of the previous steward, if any. A
    /// target of a plain service, which reports no load, starts warm.
    pub fn new(now: Time, kind: ServiceKind, known_cap: Option<u32>, limits: &Limits) -> Self {
        let mut ramp = match kind {
            ServiceKind::Engine => Ramp::default(),
            ServiceKind::Plain => Ramp::warm(limits),
        };
        if let Some(cap) = known_cap {
            ramp.lower_cap(cap, limits);
        }
        let mut open = Grants::new(now, MAX_REPORT_LAG, TAKEOVER_PERIOD);
        open.start_takeover(now);
        SlotLedger {
            open,
            ramp,
            report: None,
            foreign: 0,
            backoff_until: Time::ZERO,
            service_time: 0.0,
            visibility: (1, 1),
            reports_load: kind == ServiceKind::Engine,
        }
    }

    /// Sets the number of instances that are alive, and of those that are alive
    /// or dead, as this instance sees them.
    ///
    /// The dead ones may be on the other side of a network partition and grant
    /// slots there, so this side grants only its proportion of a cold target's
    /// slots.
    pub(crate) fn set_visibility(&mut self, alive: usize, known: usize) {
        self.visibility = (alive, known.max(1));
    }

    /// Returns this side's share of a cold target's slots during a partition.
    ///
    /// The shares of all sides never add up to more than the cap: only a side
    /// with a majority of the instances rounds its share up to one.
    fn cold_share(&self, cap: u32) -> u32 {
        let (alive, known) = self.visibility;
        let share = (cap as usize * alive / known) as u32;
        if 2 * alive > known {
            share.max(1)
        } else {
            share
        }
    }

    /// Returns the known load: open grants and requests granted by others.
    pub fn load(&self) -> u32 {
        self.open.len() + self.foreign
    }

    /// Returns the cap, the number of slots that the target can serve now.
    pub fn cap(&self, limits: &Limits) -> u32 {
        self.ramp.cap(limits)
    }

    /// Returns whether the target's cold start is over.
    pub fn is_warm(&self, limits: &Limits) -> bool {
        self.ramp.is_warm(limits)
    }

    /// Returns whether the target gets no grants because it refused a connection.
    pub fn is_backing_off(&self, now: Time) -> bool {
        now < self.backoff_until
    }

    /// Returns the last load report, unless it is too old.
    pub fn report(&self) -> Option<LoadReport> {
        self.report.map(|r| r.1)
    }

    /// Estimates the time until slots are free for `waiting` queued requests.
    pub fn wait_estimate(&self, waiting: usize, limits: &Limits) -> Duration {
        let cap = f64::from(self.cap(limits).max(1));
        Duration::from_secs_f64(self.service_time * waiting as f64 / cap)
    }

    /// Grants a slot if the load is below `bound`, the maximum derived from the
    /// pool's mean load.
    ///
    /// # Errors
    ///
    /// Returns the reason if no slot is granted.
    pub fn grant(
        &mut self,
        now: Time,
        grant: GrantId,
        holder: (InstanceId, WorkspaceId),
        bound: u32,
        suspect: bool,
        limits: &Limits,
    ) -> Result<(), Denial> {
        self.check(now, bound, suspect, limits)?;
        self.insert(now, grant, holder, suspect);
        Ok(())
    }

    /// Checks whether [`SlotLedger::grant`] would grant a slot.
    ///
    /// # Errors
    ///
    /// Returns the reason if it would not.
    pub fn check(
        &self,
        now: Time,
        bound: u32,
        suspect: bool,
        limits: &Limits,
    ) -> Result<(), Denial> {
        let load = self.load();
        let cap = self.cap(limits);
        let is_takeover = self.open.is_takeover(now);
        let room = match () {
            // The previous steward may still be granting, and a cold target must
            // not exceed its cap.
            () if is_takeover && !self.is_warm(limits) => 0,
            () if is_takeover => self.open.takeover_room(now, cap, load),
            () if self.is_warm(limits) => cap.saturating_sub(load),
            () => self.cold_share(cap).saturating_sub(load),
        };
        match () {
            () if self.is_backing_off(now) => Err(Denial::Down),
            () if room == 0 => Err(Denial::Full),
            () if load >= bound => Err(Denial::Bound),
            () if suspect && self.open.iter().any(|o| o.holder.suspect) => Err(Denial::Suspect),
            () => Ok(()),
        }
    }

    fn insert(
        &mut self,
        now: Time,
        grant: GrantId,
        holder: (InstanceId, WorkspaceId),
        suspect: bool,
    ) {
        let (entry, workspace) = holder;
        let holder = Holder {
            entry,
            workspace,
            suspect,
        };
        self.open.insert(now, grant, holder);
    }

    /// Renews a grant, or registers one of a previous steward.
    pub fn renew(&mut self, now: Time, grant: GrantId, holder: (InstanceId, WorkspaceId)) {
        if self.open.renew(now, &grant) {
            return;
        }
        self.insert(now, grant, holder, false);
        // Load reports have counted this grant as foreign until now.
        self.foreign = self.foreign.saturating_sub(1);
    }

    /// Frees a slot; returns whether the grant was open.
    ///
    /// `first_token` is the time to the first token in seconds, if one came.
    pub fn release(
        &mut self,
        now: Time,
        grant: GrantId,
        complete: bool,
        first_token: Option<f64>,
    ) -> bool {
        let Some(open) = self.open.remove(&grant) else {
            return false;
        };
        if complete {
            let duration = now.saturating_sub(open.granted_at).as_secs_f64();
            self.service_time += SMOOTHING * (duration - self.service_time);
            self.ramp.record_completed(first_token);
        }
        true
    }

    /// Marks the grants of an entry that seems dead as lapsed.
    ///
    /// Their slots are not freed at once: the entry may only be partitioned off
    /// while its requests still run.
    pub fn lapse_entry(&mut self, entry: &str) {
        self.open.lapse(|holder| holder.entry == entry);
    }

    /// Marks grants with an expired lease as lapsed; returns the number of slots
    /// freed.
    ///
    /// A lapsed slot of a target that reports its load is not freed here but in
    /// [`SlotLedger::apply_report`], when a report shows that the request no
    /// longer runs.
    pub fn expire(&mut self, now: Time) -> usize {
        if self
            .report
            .is_some_and(|(at, _)| now.saturating_sub(at) > MAX_REPORT_AGE)
        {
            self.report = None;
            self.foreign = 0;
        }
        self.open.expire(now, GRANT_LEASE);
        if self.reports_load {
            return 0;
        }
        self.open.free_lapsed(usize::MAX, |_| true)
    }

    /// Frees lapsed grants whose requests have ended according to a report.
    ///
    /// Grants that are younger than the report's lag are left out, because the
    /// report may not include them.
    fn free_lapsed(&mut self, now: Time, running: u32) {
        let is_reported =
            |o: &OpenGrant<Holder>| now.saturating_sub(o.granted_at) >= MAX_REPORT_LAG;
        let reported = self.open.iter().filter(|o| is_reported(o)).count();
        let ended = reported.saturating_sub(running as usize);
        self.open.free_lapsed(ended, is_reported);
    }

    /// Applies a load report; returns whether the target became cold again.
    ///
    /// Load beyond the highest number of open grants within the report's lag is
    /// foreign: a previous steward, or one on the other side of a partition,
    /// granted it.
    pub fn apply_report(&mut self, now: Time, report: LoadReport) -> bool {
        self.free_lapsed(now, report.running);
        self.foreign = self.open.foreign(report.running);
        self.report = Some((now, report));
        self.backoff_until = Time::ZERO;
        self.ramp
            .record_report(report.boot, report.completed, report.cached)
    }

    /// Records a refused connection: the target gets no grants for a short time.
    pub fn mark_unreachable(&mut self, now: Time) {
        self.backoff_until = now + UNREACHABLE_BACKOFF;
        self.report = None;
        self.foreign = 0;
    }

    /// Starts the takeover period again, for instance after a pause.
    pub fn start_takeover(&mut self, now: Time) {
        self.open.start_takeover(now);
    }

    /// Counts the open grants per workspace.
    pub fn by_workspace(&self) -> BTreeMap<WorkspaceId, u32> {
        let mut counts = BTreeMap::new();
        for open in self.open.iter() {
            *counts.entry(open.holder.workspace.clone()).or_insert(0) += 1;
        }
        counts
    }
}
