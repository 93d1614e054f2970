//! State shared by the tasks of one instance.

use crate::SharedGateway;
use crate::clock::{Clock, since_boot};
use crate::connections::RestingConnections;
use crate::doors::Doors;
use crate::event_log::EventLog;
use crate::metrics::Metrics;
use crate::rollout;
use crate::room::{self, RoomState};
use crate::settings::Settings;
use crate::timeouts::ConnectionLimits;
use decision::{
    ApplyOutcome, CopyStatus, Era, Fleet, LINK_MBPS, Listing, MAX_TABLE_BYTES, PageSender,
    Position, Puller, Router, RouterBounds, TableCopy, TableRow, TableUpdate, TargetId, Time,
    TransferLimiter,
};
use exchange::MemoryBudget;
use platform::StoreClient;
use platform::documents::{self, DocumentError, OperatorRow};
use platform::rows::{self, Row};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Tables of the store of which every instance keeps a copy. Messages between
/// instances refer to a table by its index here.
pub(crate) const TABLES: [&str; 2] = [rows::OPERATORS_TABLE, rows::TARGETS_TABLE];
/// Index of the operators' table.
pub(crate) const OPERATORS: usize = 0;
/// Index of the targets' table.
pub(crate) const TARGETS: usize = 1;

/// Time for the head of a response of the store, which comes in 4 ms, or in 240 ms when
/// it is slow.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);

/// Part of [`Bounds::key_age`](crate::Bounds::key_age) up to which API keys are
/// accepted. The rest is a margin, because a read of the store may return rows
/// that are a second old.
const KEY_AGE_FACTOR: f64 = 0.78;

/// Phase of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// The instance serves and is listed in the directory.
    Serving,
    /// It has left the directory and still accepts connections from callers whose
    /// lookups name it.
    Leaving,
    /// It accepts no connections and closes those without a request.
    Closing,
    /// It is about to exit: requests without a response get an error.
    Ending,
}

/// State shared by the tasks of one instance, all of which run on one thread.
pub(crate) struct Gateway {
    pub(crate) settings: RefCell<Settings>,
    pub(crate) clock: Clock,
    pub(crate) router: RefCell<Router>,
    pub(crate) fleet: RefCell<Fleet>,
    /// Copies of [`TABLES`], in the same order.
    pub(crate) copies: RefCell<[TableCopy; 2]>,
    /// Limit on the table data that is sent to other instances.
    pub(crate) transfers: RefCell<TransferLimiter>,
    /// Pages of tables for other instances.
    pub(crate) pages: RefCell<PageSender>,
    /// Missing changes of [`TABLES`], in the same order.
    pub(crate) pullers: RefCell<[Puller; 2]>,
    pub(crate) store: StoreClient,
    pub(crate) metrics: Metrics,
    pub(crate) event_log: EventLog,
    pub(crate) phase: tokio::sync::watch::Sender<Phase>,
    /// Time at which a stopping instance exits, once it takes on no request that may
    /// last longer and can't be sent again.
    pub(crate) exit: Cell<Option<Time>>,
    /// Requests that are being served.
    pub(crate) requests: Cell<usize>,
    /// Open connections to the listening sockets, other than the mesh's.
    pub(crate) connections: Cell<usize>,
    /// Connections to targets that rest between requests.
    pub(crate) resting: RestingConnections,
    /// Limits of callers' connections.
    pub(crate) limits: Rc<ConnectionLimits>,
    /// Open connections to the listening sockets that may be closed for others.
    pub(crate) doors: Doors,
    /// Limit on the memory of bodies, answers and frames that are buffered.
    pub(crate) memory: MemoryBudget,
    /// This instance's part in the lines for slots of plain services.
    pub(crate) room: RoomState,
    /// Identifier of this process among those with the instance's name.
    pub(crate) incarnation: u64,
}

impl Gateway {
    pub(crate) fn new(settings: Settings, incarnation: u64, memory: MemoryBudget) -> SharedGateway {
        let bounds = RouterBounds {
            key_age: settings.bounds.key_age.mul_f64(KEY_AGE_FACTOR),
            retry_ratio: settings.bounds.retry_ratio,
            retry_slack: settings.bounds.retry_slack,
            cold_excess: settings.bounds.cold_excess,
            cold_slack: settings.bounds.cold_slack,
            load_multiple: settings.bounds.load_multiple,
        };
        let listing = Listing {
            id: settings.instance.clone(),
            domain: settings.domain.clone(),
            caller: settings.listen.callers,
            peer: settings.listen.peers,
            leaving: false,
            starting: true,
            power: (settings.machine.cores * 1_000.0) as u32,
        };
        let link_mbps = settings.machine.link_mbps.unwrap_or(LINK_MBPS);
        let transfers = TransferLimiter::new(link_mbps);
        let mut router = Router::new(bounds);
        let rollout_bounds = settings.bounds.rollout();
        let (instance, domain) = (settings.instance.clone(), settings.domain.clone());
        let rollouts = router.rollouts();
        rollouts.enable(rollout_bounds, instance, incarnation, domain);
        Rc::new(Gateway {
            clock: Clock::start(),
            router: RefCell::new(router),
            fleet: RefCell::new(
                Fleet::new(listing, incarnation)
                    .with_seeds(settings.joins_by_seeds())
                    .with_other_seeds(!settings.seed_addresses().is_empty()),
            ),
            copies: RefCell::default(),
            pages: RefCell::new(PageSender::new(transfers.clone())),
            transfers: RefCell::new(transfers),
            pullers: RefCell::new([0, 1].map(Puller::new)),
            store: StoreClient::new(settings.store.address, STORE_TIMEOUT).with_clock(since_boot),
            metrics: Metrics::default(),
            event_log: EventLog::new(),
            phase: tokio::sync::watch::Sender::new(Phase::Serving),
            exit: Cell::new(None),
            requests: Cell::new(0),
            connections: Cell::new(0),
            resting: RestingConnections::default(),
            limits: Rc::new(ConnectionLimits::new()),
            doors: Doors::default(),
            memory,
            room: RoomState::new(settings.instance.clone(), incarnation, settings.lines),
            incarnation,
            settings: RefCell::new(settings),
        })
    }

    /// Returns the time since the process started.
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits for [`Phase::Ending`].
    pub(crate) async fn ending(&self) {
        let mut phase = self.phase.subscribe();
        // Can't fail: the sender is a field of `self`.
        let _ = phase.wait_for(|p| *p == Phase::Ending).await;
    }

    /// Returns whether the instance knows a configuration and the targets.
    pub(crate) fn is_started(&self) -> bool {
        let has_targets = self.copies.borrow()[TARGETS].position().is_some();
        has_targets && self.router.borrow().version().is_some()
    }

    /// Returns whether the instance is ready for callers' requests.
    pub(crate) fn is_ready(&self) -> bool {
        let is_fresh = self.router.borrow().freshness().is_fresh(self.now());
        self.phase() == Phase::Serving && self.is_started() && is_fresh
    }

    /// Updates the router with the other instances' requests in flight at targets.
    pub(crate) fn update_remote_load(self: &Rc<Self>, now: Time) {
        let (at, load) = {
            let fleet = self.fleet.borrow();
            (fleet.remote_load_at(now), fleet.remote_load(now))
        };
        let contended = load.contended.clone();
        self.router.borrow_mut().set_remote_load(at, load);
        room::observe(self, &contended);
    }

    /// Returns how new this instance's copies of the tables are.
    pub(crate) fn copy_statuses(&self) -> Vec<Option<CopyStatus>> {
        let now = self.now();
        let copies = self.copies.borrow();
        copies.iter().map(|copy| copy.status(now)).collect()
    }

    /// Returns the latest era of the store that this instance has heard of.
    pub(crate) fn store_era(&self) -> Era {
        self.copies.borrow()[OPERATORS].latest_era()
    }

    /// Records that the store has been in an era, as `source` says.
    pub(crate) fn note_era(&self, era: Era, source: &str) {
        let before = self.store_era();
        if era <= before {
            return;
        }
        let mut copies = self.copies.borrow_mut();
        copies.iter_mut().for_each(|copy| copy.note_era(era));
        let positions: Vec<_> = copies.iter().map(TableCopy::position).collect();
        drop(copies);
        self.metrics.count("store_eras", "begun");
        self.event_log.state_change(&json!({
            "event": "store era", "era": era, "before": before, "source": source,
            "copies": positions,
        }));
    }

    /// Records that `position` of a table, whose rows last changed in version
    /// `changed`, was the newest at `at`. Returns whether this instance's copy
    /// contains all of its changes.
    pub(crate) fn verify_table(
        &self,
        table: usize,
        position: Position,
        changed: u64,
        at: Time,
    ) -> bool {
        let (before, is_current) = {
            let mut copies = self.copies.borrow_mut();
            let before = copies[table].verified_at();
            (before, copies[table].verify(position, changed, at))
        };
        if is_current {
            self.act_on_proof(table, before, at);
        }
        is_current
    }

    /// Tells the router that the copy of a table, which was proved at `before` last, was
    /// the newest version at `at`.
    fn act_on_proof(&self, table: usize, before: Option<Time>, at: Time) {
        let mut router = self.router.borrow_mut();
        match table {
            TARGETS => router.entries_verified(self.now(), before, at),
            OPERATORS => router.configuration_verified(at),
            _ => {}
        }
    }

    /// Applies an update to the copy of a table and acts on the rows that changed.
    ///
    /// # Errors
    ///
    /// Fails if changes between the copy and the update are missing.
    pub(crate) fn apply_update(&self, table: usize, update: TableUpdate) -> Result<Applied, Gap> {
        let (era, version) = (update.era, update.version);
        let is_hub = self.fleet.borrow().is_hub(self.now());
        let (before, former, proved, outcome) = {
            let mut copies = self.copies.borrow_mut();
            let copy = &mut copies[table];
            copy.make_steps(is_hub);
            let (before, former) = (copy.position(), copy.last_change());
            (before, former, copy.verified_at(), copy.apply(update))
        };
        let name = TABLES[table];
        let changed = match outcome {
            ApplyOutcome::Changed(changed) => changed,
            ApplyOutcome::Replaced(changed) => {
                self.metrics.count("copies_replaced", name);
                self.event_log.state_change(&json!({
                    "event": "copy replaced", "table": name, "before": before, "era": era,
                    "version": version, "changed": changed.len(),
                }));
                self.router.borrow_mut().store_restored(self.now());
                for row in &changed {
                    self.apply_row(table, row, RowSource::Replacement);
                }
                return Ok(Applied::Replaced);
            }
            ApplyOutcome::Stale => {
                self.metrics.count("updates_stale", name);
                return Ok(Applied::Stale);
            }
            ApplyOutcome::Gap => {
                self.metrics.count("updates_with_gap", name);
                return Err(Gap);
            }
        };
        if table == TARGETS && changed.iter().any(|row| row.value.is_none()) {
            // A copy that came from a seed counts as proved at the start of the process.
            let verified_at = self.copies.borrow()[table].verified_at();
            let (now, before) = (self.now(), verified_at.or(Some(Time::ZERO)));
            self.router.borrow_mut().keep_lapsed(now, before, now);
        }
        for row in &changed {
            self.apply_row(table, row, RowSource::Change);
        }
        let proof = self.copies.borrow()[table].verified_at();
        if let Some(at) = proof.filter(|_| proof > proved) {
            self.act_on_proof(table, proved, at);
        }
        // Without a previous version there is none from which others could apply
        // these changes; an instance that has no copy fetches all rows. The version of
        // the copy rises without changes too, at each instance by itself.
        let since = former.filter(|_| !changed.is_empty()).map(|p| p.version);
        Ok(since.map_or(Applied::Unchanged, |since| {
            Applied::Changed(TableUpdate {
                since: Some(since),
                era,
                version,
                rows: changed,
            })
        }))
    }

    /// Acts on a changed row: updates the configuration, the evacuated failure
    /// domains or a target in the router.
    fn apply_row(&self, table: usize, change: &TableRow, source: RowSource) {
        let row = Row {
            table: TABLES[table].into(),
            key: change.key.clone(),
            value: change.value.clone().unwrap_or_default(),
            version: change.version,
            removed: change.value.is_none(),
            ..Row::default()
        };
        if table == TARGETS {
            self.apply_target_row(&row, source);
        } else {
            self.apply_operator_row(&row, source);
        }
    }

    fn apply_operator_row(&self, row: &Row, source: RowSource) {
        match documents::decode_operator_row(row) {
            Ok(OperatorRow::Configuration(configuration)) => {
                let (version, count) = (configuration.version, configuration.route_count());
                let limits = configuration.limits;
                let is_new = {
                    let mut state = self.router.borrow_mut();
                    state.set_stored_configuration(Some(version));
                    state.configure(*configuration)
                };
                if is_new {
                    self.limits.update(limits);
                }
                self.metrics
                    .count("configurations", if is_new { "taken" } else { "old" });
                self.event_log.state_change(&json!({
                    "event": "configuration", "version": version, "routes": count,
                    "row": row.version, "taken": is_new,
                }));
            }
            Ok(OperatorRow::Evacuation { domain, evacuated }) => {
                let mut router = self.router.borrow_mut();
                match source {
                    RowSource::Change => {
                        router.set_evacuated(&domain, evacuated);
                    }
                    RowSource::Replacement => {
                        router.restore_evacuated(self.now(), &domain, evacuated);
                    }
                }
                drop(router);
                self.event_log.state_change(&json!({
                    "event": "failure domain", "domain": domain, "out": evacuated, "row": row.version,
                }));
            }
            Ok(OperatorRow::Rollout(order)) => rollout::apply_order(self, order),
            Ok(OperatorRow::NoRollout(service)) => rollout::withdraw_order(self, &service),
            Ok(OperatorRow::NoConfiguration) => {
                self.router.borrow_mut().set_stored_configuration(None);
                self.event_log.state_change(&json!({
                    "event": "no configuration in the store", "row": row.version,
                }));
            }
            Ok(OperatorRow::Unknown) => {}
            Err(e) => {
                self.metrics.count("unreadable_rows", "operators");
                self.event_log.state_change(&json!({
                    "event": "unreadable configuration", "row": row.version, "error": e.to_string(),
                }));
            }
        }
    }

    /// Counts and logs that a table is larger than it may be, so that the copy stays as
    /// it is.
    pub(crate) fn record_too_large(&self, table: usize, what: &str) {
        self.metrics.count("tables_too_large", TABLES[table]);
        self.event_log.state_change(&json!({
            "event": "table too large", "table": TABLES[table], "what": what,
            "limit": MAX_TABLE_BYTES, "copy": self.copies.borrow()[table].position(),
        }));
    }

    /// Counts and logs an entry that names no target or instance.
    pub(crate) fn record_unreadable(&self, kind: &'static str, row: &Row, error: &DocumentError) {
        self.metrics.count("unreadable_rows", kind);
        self.event_log.state_change(&json!({
            "event": "unreadable entry", "kind": kind, "key": row.key, "row": row.version,
            "error": error.to_string(),
        }));
    }

    fn apply_target_row(&self, row: &Row, source: RowSource) {
        let id: TargetId = row.key.clone();
        let entry = match documents::decode_target_row(row) {
            _ if row.removed => None,
            Ok(entry) => Some(entry),
            Err(e) => {
                self.record_unreadable("targets", row, &e);
                None
            }
        };
        self.event_log.state_change(&json!({
            "event": "target", "target": id, "row": row.version, "removed": row.removed,
            "state": entry.as_ref().map(|e| e.stage),
            "address": entry.as_ref().map(|e| e.address),
            "cold_ms": entry.as_ref().map(|e| e.cold_left.as_millis() as u64),
        }));
        let now = self.now();
        let mut router = self.router.borrow_mut();
        match source {
            RowSource::Change => router.update_target(now, &id, entry),
            RowSource::Replacement => router.restore_target(now, &id, entry),
        }
    }
}

/// Returns the incarnation of a process that starts now, which tells it from
/// earlier processes with its name: milliseconds since the Unix epoch.
pub(crate) fn new_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(1, |t| t.as_millis() as u64)
}

/// How a row of a copy came to differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RowSource {
    /// It was changed.
    Change,
    /// The copy was replaced by one of a later era.
    Replacement,
}

/// What an update of a table did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Applied {
    /// Nothing that others need: no row changed, or this was the first update, which
    /// they fetch as a whole.
    Unchanged,
    /// These rows changed, which are sent to other instances.
    Changed(TableUpdate),
    /// The copy was replaced by one of a later era, which others fetch as a whole.
    Replaced,
    /// The update was older than the copy and was ignored.
    Stale,
}

/// Error: changes between a copy of a table and an update are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Gap;
