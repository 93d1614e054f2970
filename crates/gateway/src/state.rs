//! What the tasks of one instance share.

use crate::SharedGateway;
use crate::clock::Clock;
use crate::event_log::EventLog;
use crate::metrics::Metrics;
use crate::settings::Settings;
use decision::{
    ApplyOutcome, CopyStatus, Fleet, Listing, Router, RouterBounds, TableCopy, TableRow,
    TableUpdate, TargetId, Time, TransferLimiter,
};
use exchange::MemoryBudget;
use platform::StoreClient;
use platform::documents::{self, OperatorRow};
use platform::rows::{self, Row};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Tables that all instances follow, in the order of news and pulses.
pub(crate) const TABLES: [&str; 2] = [rows::OPERATORS_TABLE, rows::TARGETS_TABLE];
/// Place of the operators' table.
pub(crate) const OPERATORS: usize = 0;
/// Place of the targets' table.
pub(crate) const TARGETS: usize = 1;

/// Time after which a call to the store counts as lost: the store answers in
/// 4 ms, and in 240 ms when it is slow.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);

/// Share of the operators' bound on the age of a configuration up to which
/// keys are honoured: the store may show its rows a second late.
const KEY_AGE_FACTOR: f64 = 0.78;

/// How far an instance is with stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// It serves.
    Serving,
    /// It is out of the directory and still serves whoever comes.
    Leaving,
    /// It closes connections that have no request.
    Closing,
}

/// What the tasks of one instance share.
pub(crate) struct Gateway {
    pub(crate) settings: RefCell<Settings>,
    pub(crate) clock: Clock,
    pub(crate) router: RefCell<Router>,
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) feeds: RefCell<[TableCopy; 2]>,
    pub(crate) supply: RefCell<TransferLimiter>,
    pub(crate) store: StoreClient,
    pub(crate) metrics: Metrics,
    pub(crate) event_log: EventLog,
    pub(crate) phase: tokio::sync::watch::Sender<Phase>,
    /// Requests that are being served.
    pub(crate) requests: Cell<usize>,
    /// Open connections of callers.
    pub(crate) connections: Cell<usize>,
    /// Memory for answers until they are passed on.
    pub(crate) memory: MemoryBudget,
    pub(crate) incarnation: u64,
}

impl Gateway {
    pub(crate) fn new(settings: Settings, incarnation: u64) -> SharedGateway {
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
        Rc::new(Gateway {
            clock: Clock::start(),
            router: RefCell::new(Router::new(bounds)),
            fleet: RefCell::new(
                Fleet::new(listing, incarnation).with_seeds(settings.joins_by_seeds()),
            ),
            feeds: RefCell::default(),
            supply: RefCell::default(),
            store: StoreClient::new(settings.store.address, STORE_TIMEOUT),
            metrics: Metrics::default(),
            event_log: EventLog::new(),
            phase: tokio::sync::watch::Sender::new(Phase::Serving),
            requests: Cell::new(0),
            connections: Cell::new(0),
            memory: MemoryBudget::default(),
            incarnation,
            settings: RefCell::new(settings),
        })
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Whether a configuration and the targets are known.
    pub(crate) fn is_started(&self) -> bool {
        let has_targets = self.feeds.borrow()[TARGETS].version().is_some();
        has_targets && self.router.borrow().version().is_some()
    }

    /// Whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        let is_fresh = self.router.borrow().freshness().is_fresh(self.now());
        self.phase() == Phase::Serving && self.is_started() && is_fresh
    }

    /// Counts the requests that the other instances have at targets.
    pub(crate) fn update_remote_load(&self, now: Time) {
        let fleet = self.fleet.borrow();
        let (at, work) = (fleet.remote_load_at(now), fleet.remote_load(now));
        self.router.borrow_mut().set_remote_load(at, work);
    }

    /// How new this instance's copies of the tables are.
    pub(crate) fn feed_ages(&self) -> Vec<Option<CopyStatus>> {
        let now = self.now();
        let age = |feed: &TableCopy| {
            let age = now.saturating_sub(feed.verified_at()?);
            Some(CopyStatus {
                version: feed.version()?,
                changed: feed.last_change(),
                age_ms: age.as_millis() as u32,
            })
        };
        self.feeds.borrow().iter().map(age).collect()
    }

    /// Notes that a version of a table, whose latest change is `changed`, was
    /// the newest at `at`; returns whether all of it is known here.
    pub(crate) fn verify_table(&self, table: usize, version: u64, changed: u64, at: Time) -> bool {
        let known = {
            let mut feeds = self.feeds.borrow_mut();
            let before = feeds[table].verified_at();
            if table == TARGETS {
                let mut router = self.router.borrow_mut();
                router.entries_verified(self.now(), before, at);
            }
            feeds[table].verify(version, changed, at)
        };
        if known && table == OPERATORS {
            self.router.borrow_mut().configuration_verified(at);
        }
        known
    }

    /// Takes news of a table; returns the news to pass on, or `None` where
    /// nothing changed. A gap is returned as an error.
    pub(crate) fn apply_update(
        &self,
        table: usize,
        news: TableUpdate,
    ) -> Result<Option<TableUpdate>, Gap> {
        let version = news.version;
        let (before, applied) = {
            let mut feeds = self.feeds.borrow_mut();
            (feeds[table].version(), feeds[table].apply(news))
        };
        let changed = match applied {
            ApplyOutcome::Changed(changed) => changed,
            ApplyOutcome::Stale => return Ok(None),
            ApplyOutcome::Gap => return Err(Gap),
        };
        for row in &changed {
            self.apply_row(table, row);
        }
        // Whoever knows nothing yet asks for all rows.
        let since = before.filter(|_| !changed.is_empty());
        Ok(since.map(|since| TableUpdate {
            since: Some(since),
            version,
            rows: changed,
        }))
    }

    fn apply_row(&self, table: usize, change: &TableRow) {
        let row = Row {
            table: TABLES[table].into(),
            key: change.key.clone(),
            value: change.value.clone().unwrap_or_default(),
            version: change.version,
            removed: change.value.is_none(),
            ..Row::default()
        };
        if table == TARGETS {
            self.apply_target_row(&row);
        } else {
            self.apply_operator_row(&row);
        }
    }

    fn apply_operator_row(&self, row: &Row) {
        match documents::decode_operator_row(row) {
            Ok(OperatorRow::Configuration(catalog)) => {
                let (version, routes) = (catalog.version, catalog.route_count());
                let is_new = self.router.borrow_mut().configure(*catalog);
                self.metrics
                    .count("configurations", if is_new { "taken" } else { "old" });
                self.event_log.state_change(&json!({
                    "event": "configuration", "version": version, "routes": routes,
                    "row": row.version, "taken": is_new,
                }));
            }
            Ok(OperatorRow::Evacuation { domain, evacuated }) => {
                self.router.borrow_mut().set_evacuated(&domain, evacuated);
                self.event_log.state_change(&json!({
                    "event": "failure domain", "domain": domain, "out": evacuated, "row": row.version,
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

    fn apply_target_row(&self, row: &Row) {
        let id: TargetId = row.key.clone();
        let entry = (!row.removed)
            .then(|| documents::decode_target_row(row))
            .flatten();
        if entry.is_none() && !row.removed {
            self.metrics.count("unreadable_rows", "targets");
        }
        self.event_log.state_change(&json!({
            "event": "target", "target": id, "row": row.version, "removed": row.removed,
            "state": entry.as_ref().map(|e| e.stage),
            "address": entry.as_ref().map(|e| e.address),
            "cold_ms": entry.as_ref().map(|e| e.cold_left.as_millis() as u64),
        }));
        let now = self.now();
        self.router.borrow_mut().update_target(now, &id, entry);
    }
}

/// Life of a process that starts now: milliseconds since the Unix epoch.
pub(crate) fn new_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(1, |t| t.as_millis() as u64)
}

/// Something between what is known and the news is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Gap;
