//! Following the store's tables.

use crate::Shared;
use crate::fleet::Mesh;
use crate::state::{Gap, Phase, TABLES};
use decision::{ReadPolicy, TableRow, TableUpdate, Time};
use platform::rows::{self, INSTANCES_TABLE, Row, RowKey, RowsResponse, Transaction};
use platform::{StoreError, unpartitioned_put};
use rand::Rng;
use serde_json::json;
use std::time::Duration;

/// Paces of the tables. Keys are honoured by the age of the operators' table,
/// whose tightest bound is 2 s: every hub proves it anew each second. Entries
/// of targets are bound by the time of a drain, 2.3 s at the least, and their
/// changes end a wait at once.
const PACES: [ReadPolicy; 2] = [
    ReadPolicy {
        table: rows::OPERATORS_TABLE,
        readers: usize::MAX,
        wait: Duration::from_secs(1),
        old: Duration::from_millis(1_500),
        at_start: true,
    },
    ReadPolicy {
        table: rows::TARGETS_TABLE,
        readers: LIST_READERS,
        wait: Duration::from_millis(1_400),
        old: Duration::from_millis(1_850),
        at_start: false,
    },
];
/// Hubs that follow the entries of targets and read the list of instances: a
/// second one, so that nobody waits where one is lost.
const LIST_READERS: usize = 2;
/// Interval at which an instance that doesn't read looks whether it must.
const LOOK: Duration = Duration::from_millis(100);
/// Pause after a read of an instance that is no hub; the spread of it keeps the
/// calls of many instances apart.
const READ_PAUSE: Duration = Duration::from_millis(600);
/// Shortest and longest pause after a call that failed.
const PAUSE: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(1_200));
/// Interval at which hubs read the list of instances.
const LIST_INTERVAL: Duration = Duration::from_secs(12);
/// Error of the store's clock as it is known here: the least time that an
/// answer took on its way.
const CLOCK_SLACK: Duration = Duration::from_millis(20);
/// Difference after which the store's clock counts as set anew.
const CLOCK_RESET: Duration = Duration::from_secs(60);

/// Starts the tasks that follow the tables.
pub(crate) fn start(gateway: &Shared, mesh: &Mesh) {
    for table in 0..TABLES.len() {
        let (gateway, mesh) = (gateway.clone(), mesh.clone());
        tokio::task::spawn_local(async move { Follower::new(gateway, mesh, table).run().await });
    }
    let gateway = gateway.clone();
    tokio::task::spawn_local(async move { keep_listed(&gateway).await });
}

struct Follower {
    gateway: Shared,
    mesh: Mesh,
    table: usize,
    pause: Duration,
    is_lost: bool,
    reason: Option<&'static str>,
    /// Lower bound of the store's clock ahead of this instance's.
    ahead: Option<f64>,
}

impl Follower {
    fn new(gateway: Shared, mesh: Mesh, table: usize) -> Self {
        Follower {
            gateway,
            mesh,
            table,
            pause: PAUSE.0,
            is_lost: false,
            reason: None,
            ahead: None,
        }
    }

    async fn run(&mut self) {
        loop {
            let reason = self.reason();
            self.note(reason);
            if reason.is_none() {
                tokio::time::sleep(LOOK).await;
                continue;
            }
            match self.read().await {
                Ok(()) => self.answered().await,
                Err(e) => self.failed(&e).await,
            }
        }
    }

    fn reason(&self) -> Option<&'static str> {
        let now = self.gateway.now();
        let copy = {
            let feed = &self.gateway.feeds.borrow()[self.table];
            // A copy that was told by a seed is proved with the first pulse.
            feed.verified().or(feed.version().map(|_| Time::ZERO))
        };
        let fleet = self.gateway.fleet.borrow();
        fleet.reason_to_read(now, self.table, &PACES[self.table], copy)
    }

    fn note(&mut self, reason: Option<&'static str>) {
        if std::mem::replace(&mut self.reason, reason) != reason {
            self.gateway.record.belief(&json!({
                "event": "reads the store", "table": TABLES[self.table], "reason": reason,
            }));
        }
    }

    async fn read(&mut self) -> platform::Result<()> {
        let version = self.gateway.feeds.borrow()[self.table].version();
        let table = TABLES[self.table];
        let start = self.gateway.now();
        let read = match version {
            Some(after) => {
                self.gateway
                    .store
                    .poll_feed(table, after, self.wait())
                    .await
            }
            None => self.gateway.store.read_range(table, "", "").await,
        };
        self.gateway.metrics.count("store_calls", table);
        let (since, rows) = match read {
            Ok(rows) => (version, rows),
            Err(StoreError::HistoryGone { .. }) => {
                self.gateway.record.belief(&json!({
                    "event": "history of the store is gone", "table": table, "after": version,
                }));
                let rows = self.gateway.store.read_range(table, "", "").await?;
                self.gateway.metrics.count("store_calls", table);
                (None, rows)
            }
            Err(e) => return Err(e),
        };
        self.take(start, since, rows);
        Ok(())
    }

    /// An instance that reads for want of a hub's news asks for what is there.
    fn wait(&self) -> Duration {
        let now = self.gateway.now();
        if self.gateway.fleet.borrow().is_hub(now) {
            PACES[self.table].wait
        } else {
            Duration::ZERO
        }
    }

    fn take(&mut self, start: Time, since: Option<u64>, rows: RowsResponse) {
        let shown_at = self.shown_at(start, rows.now_ms);
        let version = rows.version;
        let news = TableUpdate {
            since,
            version,
            rows: rows.rows.into_iter().map(feed_row).collect(),
        };
        match self.gateway.apply(self.table, news) {
            Ok(Some(news)) => self.mesh.tell_news(&self.gateway, self.table, &news),
            Ok(None) => {}
            // The feed was asked from what is known, so that nothing is missing.
            Err(Gap) => log::error!("a feed of the store begins after what was asked for"),
        }
        let changed = self.gateway.feeds.borrow()[self.table].changed();
        self.gateway
            .verify(self.table, version, changed.min(version), shown_at);
    }

    /// Moment that an answer shows: by the store's clock in it, as far as that
    /// is known here, because an answer may wait long for changes, or come from
    /// a replica that is behind; else the start of its call.
    fn shown_at(&mut self, start: Time, store_ms: f64) -> Time {
        if store_ms <= 0.0 {
            return start;
        }
        let ms = |time: Time| time.as_secs_f64() * 1_000.0;
        let now = self.gateway.now();
        let bound = store_ms - ms(now);
        let ahead = match self.ahead {
            Some(ahead) if (ahead - bound).abs() < ms(CLOCK_RESET) => ahead.max(bound),
            _ => bound,
        };
        self.ahead = Some(ahead);
        let shown = Duration::try_from_secs_f64((store_ms - ahead) / 1_000.0);
        shown.map_or(start, |shown| shown.min(now).saturating_sub(CLOCK_SLACK))
    }

    async fn answered(&mut self) {
        self.pause = PAUSE.0;
        if std::mem::take(&mut self.is_lost) {
            self.gateway.record.belief(&json!({
                "event": "store regained", "table": TABLES[self.table],
            }));
        }
        if !self.gateway.fleet.borrow().is_hub(self.gateway.now()) {
            tokio::time::sleep(READ_PAUSE.mul_f64(jitter())).await;
        }
    }

    async fn failed(&mut self, error: &StoreError) {
        self.gateway
            .metrics
            .count("store_failures", TABLES[self.table]);
        if !std::mem::replace(&mut self.is_lost, true) {
            self.gateway.record.belief(&json!({
                "event": "store lost", "table": TABLES[self.table], "error": error.to_string(),
            }));
        }
        tokio::time::sleep(self.pause.mul_f64(jitter())).await;
        self.pause = (self.pause * 2).min(PAUSE.1);
    }
}

/// Factor that spreads the calls of many instances.
fn jitter() -> f64 {
    rand::rng().random_range(0.5..1.5)
}

fn feed_row(row: Row) -> TableRow {
    TableRow {
        key: row.key,
        version: row.version,
        value: (!row.removed).then_some(row.value),
    }
}

/// Enters this instance in the list, then reads it now and then as a hub.
async fn keep_listed(gateway: &Shared) {
    let listing = gateway.fleet.borrow().me().clone();
    let value = serde_json::to_vec(&listing).unwrap_or_default();
    let entry = Transaction {
        puts: vec![unpartitioned_put(INSTANCES_TABLE, &listing.id, value)],
        ..Transaction::default()
    };
    let mut pause = PAUSE.0;
    while let Err(e) = gateway.store.transact(&entry).await {
        log::debug!("instance not listed yet: {e}");
        tokio::time::sleep(pause.mul_f64(jitter())).await;
        pause = (pause * 2).min(PAUSE.1);
    }
    while gateway.fleet.borrow().is_settling(gateway.now()) {
        tokio::time::sleep(LOOK).await;
    }
    loop {
        if reads_list(gateway) {
            read_list(gateway).await;
        }
        tokio::time::sleep(LIST_INTERVAL.mul_f64(jitter())).await;
        if gateway.phase() != Phase::Serving {
            return;
        }
    }
}

fn reads_list(gateway: &Shared) -> bool {
    let now = gateway.now();
    let fleet = gateway.fleet.borrow();
    fleet.live(now).len() < 2 || fleet.is_first_hub(now, INSTANCES_TABLE, LIST_READERS)
}

async fn read_list(gateway: &Shared) {
    match gateway.store.read_range(INSTANCES_TABLE, "", "").await {
        Ok(rows) => {
            let listed = rows.rows.iter();
            let listed = listed.filter_map(|row| serde_json::from_slice(&row.value).ok());
            let now = gateway.now();
            gateway.fleet.borrow_mut().listed(now, listed.collect());
        }
        Err(e) => log::debug!("list of instances not read: {e}"),
    }
}

/// Takes this instance off the list.
pub(crate) async fn unlist(gateway: &Shared) {
    let id = gateway.fleet.borrow().me().id.clone();
    let removal = Transaction {
        removals: vec![RowKey {
            table: INSTANCES_TABLE.into(),
            partition: smol_str::SmolStr::default(),
            key: id,
        }],
        ..Transaction::default()
    };
    if let Err(e) = gateway.store.transact(&removal).await {
        log::debug!("instance not taken off the list: {e}");
    }
}
