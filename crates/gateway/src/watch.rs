//! Tasks that read the store's tables and register this instance there.

use crate::SharedGateway;
use crate::fleet::Mesh;
use crate::state::{Applied, Gap, Phase, TABLES};
use decision::{Era, Listing, Position, ReadPolicy, TableRow, TableUpdate, Time};
use platform::documents;
use platform::rows::{self, INSTANCES_TABLE, Row, RowKey, RowsResponse, Transaction};
use platform::{StoreError, unpartitioned_put};
use rand::Rng;
use serde_json::json;
use std::time::Duration;

/// How each of [`TABLES`] is read.
///
/// API keys are accepted only while the copy of the operators' table is recent,
/// within 2 s under the tightest limit, so every hub reads it each second. Changes
/// of targets must arrive within the time that a target drains, at least 2.3 s. A
/// change ends a poll at once; a release changes many targets one after the other,
/// and each change would cost every reader a call.
const READ_POLICIES: [ReadPolicy; 2] = [
    ReadPolicy {
        table: rows::OPERATORS_TABLE,
        readers: usize::MAX,
        poll_wait: Duration::from_secs(1),
        batch_time: Duration::ZERO,
        max_age: Duration::from_millis(1_500),
        read_at_start: true,
    },
    ReadPolicy {
        table: rows::TARGETS_TABLE,
        readers: LIST_READERS,
        poll_wait: Duration::from_millis(1_400),
        batch_time: Duration::from_millis(200),
        max_age: Duration::from_millis(1_850),
        read_at_start: false,
    },
];
/// Hubs that read the targets' table and the list of instances; a second one, so
/// that no instance waits if one fails.
const LIST_READERS: usize = 2;
/// Interval at which an instance that doesn't read a table checks whether it must.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a starting instance checks whether it has heard from others.
const NEWS_INTERVAL: Duration = Duration::from_millis(20);
/// Mean pause after a read by an instance that is not a hub; jitter spreads the
/// calls of many instances.
const READ_PAUSE: Duration = Duration::from_millis(600);
/// Mean pause after the first failed call; it doubles with each further one.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Upper limit of the mean pause after failed calls.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_200);
/// Mean interval at which hubs read the list of instances.
const LIST_INTERVAL: Duration = Duration::from_secs(12);
/// Time that the second reader of the list leaves to the first one to complete it.
const LIST_TURN: Duration = Duration::from_secs(1);
/// Maximum number of rows in a transaction. The list needs no more entries than this
/// for instances to find each other.
const MAX_PUTS: usize = 100;
/// Allowance for the error of the estimated offset between the clocks, which is
/// the shortest time that a response of the store took to arrive.
const CLOCK_SLACK: Duration = Duration::from_millis(20);
/// Change of the offset between the clocks above which the store's clock counts
/// as having been reset.
const CLOCK_JUMP: Duration = Duration::from_secs(60);

/// Source of news of the store's era in the log, besides the names of instances.
const STORE: &str = "store";

/// Starts the tasks that keep the copies of the tables up to date and register
/// this instance.
pub(crate) fn start(gateway: &SharedGateway, mesh: &Mesh) {
    for table in 0..TABLES.len() {
        let (gateway, mesh) = (gateway.clone(), mesh.clone());
        tokio::task::spawn_local(
            async move { TableFollower::new(gateway, mesh, table).run().await },
        );
    }
    let gateway = gateway.clone();
    tokio::task::spawn_local(async move { run_registration(&gateway).await });
}

/// Task that keeps this instance's copy of one table up to date.
struct TableFollower {
    gateway: SharedGateway,
    mesh: Mesh,
    /// Index of the table in [`TABLES`].
    table: usize,
    /// Mean pause after the next failed call.
    pause: Duration,
    /// Time for which the next poll of the feed waits for changes.
    poll_wait: Duration,
    /// Whether the last call failed.
    is_failing: bool,
    /// Reason to read the table that was logged last; `None` if there was none.
    reason: Option<&'static str>,
    /// Estimate, from below, of the store's clock minus this instance's, in
    /// milliseconds.
    clock_offset: Option<f64>,
    /// Consecutive reads of the whole table because the store lacked the changes.
    whole_reads: u32,
    /// Whether the last reads were older than the copy.
    is_behind: bool,
}

/// What a read of a table led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadOutcome {
    /// There were changes.
    Changed,
    /// There were none.
    Unchanged,
    /// The store did not have the changes since the copy, and the whole table was
    /// read.
    Whole,
    /// The store is behind the copy.
    Stale,
}

impl TableFollower {
    fn new(gateway: SharedGateway, mesh: Mesh, table: usize) -> Self {
        TableFollower {
            gateway,
            mesh,
            table,
            pause: MIN_RETRY_PAUSE,
            poll_wait: READ_POLICIES[table].poll_wait,
            is_failing: false,
            reason: None,
            clock_offset: None,
            whole_reads: 0,
            is_behind: false,
        }
    }

    async fn run(&mut self) {
        loop {
            let reason = self.read_reason();
            self.log_reason(reason);
            if reason.is_none() {
                tokio::time::sleep(CHECK_INTERVAL).await;
                continue;
            }
            match self.read().await {
                Ok(outcome) => self.after_read(outcome).await,
                Err(e) => self.after_error(&e).await,
            }
        }
    }

    /// Returns why this instance has to read the table now, if it has to.
    fn read_reason(&self) -> Option<&'static str> {
        let now = self.gateway.now();
        let verified_at = {
            let copy = &self.gateway.copies.borrow()[self.table];
            // A copy that came from a seed is verified by the first pulse;
            // until then it counts as verified at the start of the process.
            copy.verified_at().or(copy.position().map(|_| Time::ZERO))
        };
        let fleet = self.gateway.fleet.borrow();
        let policy = &READ_POLICIES[self.table];
        let reason = fleet.reason_to_read(now, self.table, policy, verified_at);
        let puller = &self.gateway.pullers.borrow()[self.table];
        let is_enough = verified_at.is_some() || !policy.read_at_start;
        let is_enough = is_enough && !fleet.is_hub(now);
        match reason {
            None if puller.is_exhausted() => Some("changes missing"),
            // What comes from another instance would come twice, over the same link.
            Some(_) if is_enough && puller.spares_store(now) => None,
            reason => reason,
        }
    }

    fn log_reason(&mut self, reason: Option<&'static str>) {
        if std::mem::replace(&mut self.reason, reason) != reason {
            self.gateway.event_log.state_change(&json!({
                "event": "reads the store", "table": TABLES[self.table], "reason": reason,
            }));
        }
    }

    /// Reads the changes since the position of the copy, or the whole table if there
    /// is no copy or the store doesn't have those changes.
    async fn read(&mut self) -> platform::Result<ReadOutcome> {
        let position = self.gateway.copies.borrow()[self.table].position();
        let start = self.gateway.now();
        let Some(position) = position else {
            let rows = self.read_all().await?;
            return Ok(self.apply(start, None, rows));
        };
        let wait = self.poll_wait();
        let table = TABLES[self.table];
        // Changes that are larger than the table are read as a table.
        let size = self.gateway.copies.borrow()[self.table].changes_size(None);
        let after = position.version;
        let read = self.gateway.store.poll_feed(table, after, wait, size).await;
        self.gateway.metrics.count("store_calls", table);
        let era = match read {
            Ok(rows) if rows.era <= position.era => {
                return Ok(self.apply(start, Some(position.version), rows));
            }
            // The changes of a later era don't follow on the copy's version.
            Ok(rows) => rows.era,
            Err(StoreError::HistoryGone { era, .. }) => era,
            Err(StoreError::TooLarge { .. }) => {
                let start = self.gateway.now();
                let rows = self.read_all().await?;
                return Ok(self.apply(start, None, rows));
            }
            Err(e) => return Err(e),
        };
        self.gateway.note_era(era, STORE);
        self.gateway.metrics.count("histories_gone", table);
        if self.whole_reads == 0 {
            self.gateway.event_log.state_change(&json!({
                "event": "history of the store is gone", "table": table, "era": era,
                "copy": position,
            }));
        }
        let start = self.gateway.now();
        let rows = self.read_all().await?;
        Ok(match self.apply(start, None, rows) {
            ReadOutcome::Stale => ReadOutcome::Stale,
            _ => ReadOutcome::Whole,
        })
    }

    async fn read_all(&self) -> platform::Result<RowsResponse> {
        let table = TABLES[self.table];
        let rows = self.gateway.store.read_range(table, "", "").await?;
        self.gateway.metrics.count("store_calls", table);
        Ok(rows)
    }

    /// Returns how long a poll of the feed waits for changes. Only hubs wait; other
    /// instances read because they lack a hub's updates and need those at once.
    fn poll_wait(&self) -> Duration {
        let now = self.gateway.now();
        if self.gateway.fleet.borrow().is_hub(now) {
            self.poll_wait
        } else {
            Duration::ZERO
        }
    }

    fn apply(&mut self, start: Time, since: Option<u64>, rows: RowsResponse) -> ReadOutcome {
        if rows.unreadable > 0 {
            let table = TABLES[self.table];
            self.gateway.metrics.count("unreadable_responses", table);
            self.gateway.event_log.state_change(&json!({
                "event": "unreadable rows", "table": table, "rows": rows.unreadable,
            }));
        }
        let head_at = self.gateway.clock.time_of(rows.head_at);
        let snapshot_time = self.snapshot_time(start, head_at, rows.now_ms);
        let had_changes = !rows.rows.is_empty();
        let update = TableUpdate {
            since,
            era: rows.era,
            version: rows.version,
            rows: rows.rows.into_iter().map(table_row).collect(),
        };
        let position = update.position();
        self.gateway.note_era(position.era, STORE);
        let applied = self.gateway.apply_update(self.table, update);
        match &applied {
            Ok(Applied::Changed(update)) => {
                self.mesh.publish_update(&self.gateway, self.table, update);
            }
            Ok(Applied::Unchanged | Applied::Replaced | Applied::Stale) => {}
            // The feed was polled from the version of the copy.
            Err(Gap) => log::error!("the store's feed starts after the requested version"),
        }
        let changed = {
            let copies = self.gateway.copies.borrow();
            let changed = copies[self.table].last_change().unwrap_or_default();
            changed.version.min(position.version)
        };
        self.verify(position, changed, snapshot_time);
        let copy = self.gateway.copies.borrow()[self.table].position();
        let is_older_era = copy.is_some_and(|copy| position.era < copy.era);
        match applied {
            Ok(Applied::Replaced) => {
                self.mesh.announce_copies(&self.gateway);
                ReadOutcome::Changed
            }
            // Other instances may have sent the changes during the poll.
            Ok(Applied::Stale) if since.is_none() || is_older_era => {
                self.log_stale(position, copy);
                ReadOutcome::Stale
            }
            _ if had_changes => ReadOutcome::Changed,
            _ => ReadOutcome::Unchanged,
        }
    }

    /// Records a proof by the store, at the start only once others had a chance to
    /// report a later era or a newer configuration.
    fn verify(&self, position: Position, changed: u64, at: Time) {
        let (gateway, table) = (self.gateway.clone(), self.table);
        if !gateway.fleet.borrow().waits_for_news(gateway.now()) {
            gateway.verify_table(table, position, changed, at);
            return;
        }
        tokio::task::spawn_local(async move {
            while gateway.fleet.borrow().waits_for_news(gateway.now()) {
                tokio::time::sleep(NEWS_INTERVAL).await;
            }
            gateway.verify_table(table, position, changed, at);
        });
    }

    fn log_stale(&mut self, read: Position, copy: Option<Position>) {
        if !std::mem::replace(&mut self.is_behind, true) {
            self.gateway.event_log.state_change(&json!({
                "event": "store is behind the copy", "table": TABLES[self.table],
                "read": read, "copy": copy,
            }));
        }
    }

    /// Returns the time, on this instance's clock, whose state of the store a
    /// response shows.
    ///
    /// It is derived from the store's time in the response, because a response may
    /// wait long for changes or come from a replica that lags behind. Without a
    /// time in the response it is the start of the call. The head came at `head_at`; the
    /// body may take seconds more.
    fn snapshot_time(&mut self, start: Time, head_at: Time, store_ms: f64) -> Time {
        if store_ms <= 0.0 {
            return start;
        }
        let ms = |time: Time| time.as_secs_f64() * 1_000.0;
        let observed = store_ms - ms(head_at);
        let offset = match self.clock_offset {
            Some(offset) if (offset - observed).abs() < ms(CLOCK_JUMP) => offset.max(observed),
            _ => observed,
        };
        self.clock_offset = Some(offset);
        let snapshot = Duration::try_from_secs_f64((store_ms - offset) / 1_000.0);
        snapshot.map_or(start, |at| at.min(head_at).saturating_sub(CLOCK_SLACK))
    }

    async fn after_read(&mut self, outcome: ReadOutcome) {
        if std::mem::take(&mut self.is_failing) {
            self.gateway.event_log.state_change(&json!({
                "event": "store regained", "table": TABLES[self.table],
            }));
        }
        let max_pause = match outcome {
            ReadOutcome::Stale => MAX_RETRY_PAUSE,
            ReadOutcome::Whole if self.whole_reads > 0 => READ_PAUSE,
            _ => Duration::ZERO,
        };
        self.whole_reads = match outcome {
            ReadOutcome::Whole | ReadOutcome::Stale => self.whole_reads + 1,
            ReadOutcome::Changed | ReadOutcome::Unchanged => 0,
        };
        if max_pause > Duration::ZERO {
            return self.back_off(max_pause).await;
        }
        if self.whole_reads == 0 {
            self.pause = MIN_RETRY_PAUSE;
            self.is_behind = false;
        }
        let is_hub = self.gateway.fleet.borrow().is_hub(self.gateway.now());
        let had_changes = outcome != ReadOutcome::Unchanged;
        let (pause, poll_wait) = READ_POLICIES[self.table].next_poll(had_changes);
        self.poll_wait = poll_wait;
        let pause = if is_hub {
            pause
        } else {
            READ_PAUSE.mul_f64(jitter())
        };
        tokio::time::sleep(pause).await;
    }

    /// Pauses for about twice as long as the last time, up to a limit.
    async fn back_off(&mut self, max_pause: Duration) {
        let pause = self.pause.min(max_pause);
        tokio::time::sleep(pause.mul_f64(jitter())).await;
        self.pause = (self.pause * 2).min(MAX_RETRY_PAUSE);
    }

    async fn after_error(&mut self, error: &StoreError) {
        self.gateway
            .metrics
            .count("store_failures", TABLES[self.table]);
        let is_first = !self.is_failing;
        if is_first && matches!(error, StoreError::TooLarge { .. }) {
            self.gateway
                .record_too_large(self.table, "rows in the store");
        }
        if !std::mem::replace(&mut self.is_failing, true) {
            self.gateway.event_log.state_change(&json!({
                "event": "store lost", "table": TABLES[self.table], "error": error.to_string(),
            }));
        }
        self.back_off(MAX_RETRY_PAUSE).await;
    }
}

/// Returns a random factor on pauses, which spreads the calls of many instances.
fn jitter() -> f64 {
    rand::rng().random_range(0.5..1.5)
}

fn table_row(row: Row) -> TableRow {
    TableRow {
        key: row.key,
        version: row.version,
        value: (!row.removed).then_some(row.value),
    }
}

/// Registers this instance in the list of instances, and then reads the list
/// periodically while it has to.
async fn run_registration(gateway: &SharedGateway) {
    let listing = gateway.fleet.borrow().me().clone();
    let value = serde_json::to_vec(&listing).unwrap_or_default();
    let entry = Transaction {
        puts: vec![unpartitioned_put(INSTANCES_TABLE, &listing.id, value)],
        ..Transaction::default()
    };
    let mut pause = MIN_RETRY_PAUSE;
    while let Err(e) = gateway.store.transact(&entry).await {
        log::debug!("failed to register in the list of instances: {e}");
        tokio::time::sleep(pause.mul_f64(jitter())).await;
        pause = (pause * 2).min(MAX_RETRY_PAUSE);
    }
    while gateway.fleet.borrow().waits_for_seeds(gateway.now()) {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    follow_list(gateway).await;
}

/// Reads the list of instances periodically while this instance has to, and at once
/// in a later era of the store.
async fn follow_list(gateway: &SharedGateway) {
    let mut listed_era = gateway.store_era();
    let mut pause = MIN_RETRY_PAUSE;
    while gateway.phase() == Phase::Serving {
        if should_read_list(gateway) {
            let is_restored = gateway.store_era() > listed_era;
            match read_list(gateway, is_restored).await {
                Ok(era) => listed_era = listed_era.max(era),
                Err(e) => log::debug!("failed to bring the list of instances up to date: {e}"),
            }
        }
        if should_read_list(gateway) && gateway.store_era() > listed_era {
            tokio::time::sleep(pause.mul_f64(jitter())).await;
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
            continue;
        }
        pause = MIN_RETRY_PAUSE;
        let next_read = gateway.now() + LIST_INTERVAL.mul_f64(jitter());
        let is_due = || gateway.store_era() > listed_era && should_read_list(gateway);
        while gateway.now() < next_read && !is_due() {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Returns whether this instance has to read the list of instances: it is one of
/// the hubs that do, or it knows no other live instance.
fn should_read_list(gateway: &SharedGateway) -> bool {
    let now = gateway.now();
    let fleet = gateway.fleet.borrow();
    fleet.live(now).len() < 2 || fleet.is_chosen_hub(now, INSTANCES_TABLE, LIST_READERS)
}

/// Reads the list of instances and returns its era. If the store `is_restored`, adds
/// the instances that it lacks: their entries, which were written once, may be lost.
async fn read_list(gateway: &SharedGateway, is_restored: bool) -> platform::Result<Era> {
    let is_first = {
        let fleet = gateway.fleet.borrow();
        fleet.is_chosen_hub(gateway.now(), INSTANCES_TABLE, 1)
    };
    if is_restored && !is_first {
        tokio::time::sleep(LIST_TURN).await;
    }
    let rows = gateway.store.read_range(INSTANCES_TABLE, "", "").await?;
    gateway.note_era(rows.era, STORE);
    let listed = rows.rows.iter().filter_map(|row| {
        let listing = documents::decode_listing(row);
        listing
            .inspect_err(|e| gateway.record_unreadable(INSTANCES_TABLE, row, e))
            .ok()
    });
    let listed: Vec<Listing> = listed.collect();
    let now = gateway.now();
    let mut missing = {
        let mut fleet = gateway.fleet.borrow_mut();
        let missing = fleet.missing_from(now, &listed);
        fleet.add_listed(now, listed);
        missing
    };
    if !is_restored || rows.era < gateway.store_era() {
        return Ok(rows.era);
    }
    missing.truncate(MAX_PUTS);
    if missing.is_empty() {
        return Ok(rows.era);
    }
    let put = |listing: &Listing| {
        let value = serde_json::to_vec(listing).unwrap_or_default();
        unpartitioned_put(INSTANCES_TABLE, &listing.id, value)
    };
    let entries = Transaction {
        puts: missing.iter().map(put).collect(),
        ..Transaction::default()
    };
    gateway.store.transact(&entries).await?;
    gateway.event_log.state_change(&json!({
        "event": "list of instances completed", "era": rows.era,
        "instances": missing.iter().map(|l| &l.id).collect::<Vec<_>>(),
    }));
    Ok(rows.era)
}

/// Removes this instance from the list of instances.
pub(crate) async fn deregister(gateway: &SharedGateway) {
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
        log::debug!("failed to remove this instance from the list of instances: {e}");
    }
}
