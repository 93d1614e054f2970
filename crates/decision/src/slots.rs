//! The slot ledger of one target, kept by its steward.

use crate::document::{Limits, ServiceKind};
use crate::id::{GrantId, InstanceId, Time, WorkspaceId};
use crate::ramp::Ramp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without a renewal after which a grant lapses.
pub(crate) const GRANT_LEASE: Duration = Duration::from_secs(10);
/// Time for which a new steward grants only half of the headroom.
pub(crate) const CAUTION: Duration = Duration::from_secs(3);
/// Longest lag of a load report behind the target's true load.
const REPORT_LAG: Duration = Duration::from_secs(2);
/// Age past which a load report is ignored.
const REPORT_LIFE: Duration = Duration::from_secs(10);
/// Time for which a target that refused connections gets no grant.
const REST: Duration = Duration::from_secs(1);

/// A target's own report of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Report")]
pub struct LoadReport {
    /// Number that changes with each start of the target.
    pub boot: u64,
    /// Requests that run or wait there.
    pub running: u32,
    /// Requests completed since the boot.
    pub completed: u64,
    /// Tokens in the prefix cache.
    #[serde(default)]
    pub cached: u64,
}

/// Why a target was not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// The target bears no more.
    Full,
    /// The load would pass the multiple of the pool's mean.
    Bound,
    /// The target does not answer.
    Down,
    /// A request under suspicion runs there already.
    Suspect,
}

#[derive(Clone, Debug)]
struct Open {
    entry: InstanceId,
    workspace: WorkspaceId,
    renewed: Time,
    suspect: bool,
    since: Time,
    lapsed: bool,
}

/// Open grants, reports and cold-start state of one target.
#[derive(Clone, Debug)]
pub struct SlotLedger {
    open: BTreeMap<GrantId, Open>,
    ramp: Ramp,
    report: Option<(Time, LoadReport)>,
    peaks: [u32; 2],
    peak_at: Time,
    foreign: u32,
    cautious_until: Time,
    rests_until: Time,
    service_time: f64,
    sight: (usize, usize),
    reports: bool,
}

impl SlotLedger {
    /// Makes the ledger of a steward that starts now.
    ///
    /// `known_cap` is the cap that the former steward last told, if any. A
    /// plain service, which reports no load, starts warm.
    pub fn new(now: Time, kind: ServiceKind, known_cap: Option<u32>, limits: &Limits) -> Self {
        let mut ramp = match kind {
            ServiceKind::Engine => Ramp::default(),
            ServiceKind::Plain => Ramp::warm(limits),
        };
        if let Some(cap) = known_cap {
            ramp.lower_cap(cap, limits);
        }
        SlotLedger {
            open: BTreeMap::new(),
            ramp,
            report: None,
            peaks: [0; 2],
            peak_at: now,
            foreign: 0,
            cautious_until: now + CAUTION,
            rests_until: Time::ZERO,
            service_time: 0.0,
            sight: (1, 1),
            reports: kind == ServiceKind::Engine,
        }
    }

    /// Sets how many instances this one sees alive, of how many it knows.
    ///
    /// Those that it does not see may be on the other side of a partition and
    /// grant slots there, so a cold target is shared in proportion.
    pub(crate) fn set_sight(&mut self, alive: usize, known: usize) {
        self.sight = (alive, known.max(1));
    }

    /// This side's share of a cold target's slots; the shares of all sides of
    /// a partition never add up to more than the cap.
    fn cold_share(&self, cap: u32) -> u32 {
        let (alive, known) = self.sight;
        let share = (cap as usize * alive / known) as u32;
        if 2 * alive > known {
            share.max(1)
        } else {
            share
        }
    }

    /// Load as known: open grants and what others have granted.
    pub fn load(&self) -> u32 {
        self.open.len() as u32 + self.foreign
    }

    /// Slots that the target bears now.
    pub fn cap(&self, limits: &Limits) -> u32 {
        self.ramp.cap(limits)
    }

    /// Whether the target bears its full load.
    pub fn is_warm(&self, limits: &Limits) -> bool {
        self.ramp.is_warm(limits)
    }

    /// Whether the target is left alone because it does not answer.
    pub fn is_resting(&self, now: Time) -> bool {
        now < self.rests_until
    }

    /// Last report.
    pub fn report(&self) -> Option<LoadReport> {
        self.report.map(|r| r.1)
    }

    /// Estimated time until slots are free for so many that wait.
    pub fn wait_estimate(&self, waiting: usize, limits: &Limits) -> Duration {
        let cap = f64::from(self.cap(limits).max(1));
        Duration::from_secs_f64(self.service_time * waiting as f64 / cap)
    }

    /// Grants a slot below `bound`, the highest load by the pool's mean.
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

    /// Says whether a slot would be granted.
    pub fn check(
        &self,
        now: Time,
        bound: u32,
        suspect: bool,
        limits: &Limits,
    ) -> Result<(), Denial> {
        let load = self.load();
        let cap = self.cap(limits);
        let is_cautious = now < self.cautious_until;
        let room = match () {
            // A former steward may still be granting: a cold target bears no error.
            () if is_cautious && !self.is_warm(limits) => 0,
            () if is_cautious => self.cautious_room(now, cap, load),
            () if self.is_warm(limits) => cap.saturating_sub(load),
            () => self.cold_share(cap).saturating_sub(load),
        };
        match () {
            () if self.is_resting(now) => Err(Denial::Down),
            () if room == 0 => Err(Denial::Full),
            () if load >= bound => Err(Denial::Bound),
            () if suspect && self.open.values().any(|o| o.suspect) => Err(Denial::Suspect),
            () => Ok(()),
        }
    }

    /// Half of the headroom, and no more than half of the cap in new grants.
    fn cautious_room(&self, now: Time, cap: u32, load: u32) -> u32 {
        let half = cap.saturating_sub(load).div_ceil(2);
        half.min(cap.div_ceil(2).saturating_sub(self.recent(now)))
    }

    fn recent(&self, now: Time) -> u32 {
        let from = now.saturating_sub(CAUTION);
        self.open.values().filter(|o| o.since >= from).count() as u32
    }

    fn insert(
        &mut self,
        now: Time,
        grant: GrantId,
        holder: (InstanceId, WorkspaceId),
        suspect: bool,
    ) {
        let (entry, workspace) = holder;
        let open = Open {
            entry,
            workspace,
            renewed: now,
            suspect,
            since: now,
            lapsed: false,
        };
        self.open.insert(grant, open);
        self.peaks[0] = self.peaks[0].max(self.open.len() as u32);
    }

    /// Renews a grant, or learns one that a former steward gave.
    pub fn hold(&mut self, now: Time, grant: GrantId, holder: (InstanceId, WorkspaceId)) {
        if let Some(open) = self.open.get_mut(&grant) {
            open.renewed = now;
            open.lapsed = false;
            return;
        }
        self.insert(now, grant, holder, false);
        // The report of a former steward's work counted it as foreign.
        self.foreign = self.foreign.saturating_sub(1);
    }

    /// Frees a slot; returns whether it was open.
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
            let took = now.saturating_sub(open.since).as_secs_f64();
            self.service_time += 0.1 * (took - self.service_time);
            self.ramp.record_completed(first_token);
        }
        true
    }

    /// Lets the grants of an instance that seems gone lapse.
    ///
    /// It may only be cut off, and its requests may run on.
    pub fn drop_entry(&mut self, entry: &str) {
        for open in self.open.values_mut().filter(|o| o.entry == entry) {
            open.lapsed = true;
        }
    }

    /// Lets grants lapse whose lease is over; returns how many slots are freed.
    ///
    /// The slot of a target that reports its load is freed only when a report
    /// shows that the request no longer runs there.
    pub fn expire(&mut self, now: Time) -> usize {
        if now.saturating_sub(self.peak_at) >= REPORT_LAG {
            self.peaks = [self.open.len() as u32, self.peaks[0]];
            self.peak_at = now;
        }
        if self
            .report
            .is_some_and(|(at, _)| now.saturating_sub(at) > REPORT_LIFE)
        {
            self.report = None;
            self.foreign = 0;
        }
        for open in self.open.values_mut() {
            open.lapsed |= now.saturating_sub(open.renewed) >= GRANT_LEASE;
        }
        if self.reports {
            return 0;
        }
        let before = self.open.len();
        self.open.retain(|_, open| !open.lapsed);
        before - self.open.len()
    }

    /// Frees lapsed grants that a report shows to be over.
    fn free_lapsed(&mut self, now: Time, running: u32) {
        let is_seen = |o: &Open| now.saturating_sub(o.since) >= REPORT_LAG;
        let seen = self.open.values().filter(|o| is_seen(o)).count();
        let over = seen.saturating_sub(running as usize);
        let lapsed = self.open.iter().filter(|(_, o)| o.lapsed && is_seen(o));
        let freed: Vec<GrantId> = lapsed.map(|(grant, _)| *grant).take(over).collect();
        for grant in freed {
            self.open.remove(&grant);
        }
    }

    /// Takes a load report; returns whether the target turned cold again.
    ///
    /// Load beyond the highest count of open grants within the report's lag is
    /// not ours: a former steward, or one on the other side of a partition,
    /// granted it.
    pub fn reported(&mut self, now: Time, report: LoadReport) -> bool {
        self.free_lapsed(now, report.running);
        let peak = self.peaks[0].max(self.peaks[1]);
        self.foreign = report.running.saturating_sub(peak);
        self.report = Some((now, report));
        self.rests_until = Time::ZERO;
        self.ramp
            .record_report(report.boot, report.completed, report.cached)
    }

    /// Takes a failure to connect: the target rests for a short time.
    pub fn unreachable(&mut self, now: Time) {
        self.rests_until = now + REST;
        self.report = None;
        self.foreign = 0;
    }

    /// Starts the caution of a new steward again, as after a pause.
    pub fn caution(&mut self, now: Time) {
        self.cautious_until = now + CAUTION;
    }

    /// Open grants of each workspace.
    pub fn by_workspace(&self) -> BTreeMap<WorkspaceId, u32> {
        let mut counts = BTreeMap::new();
        for open in self.open.values() {
            *counts.entry(open.workspace.clone()).or_insert(0) += 1;
        }
        counts
    }
}
