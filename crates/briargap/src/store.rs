//! Persistent data: service documents, drain marks and claims in the platform's store.
//!
//! Writes that are queued at the same time share one call (group commit). If a write
//! of a document gets no response, the row is read back to learn whether the write
//! took effect.

use decision::{Document, DrainMark, ServiceId, Version, VersionedDocument};
use operator::ApplyResult;
use platform::{ConditionalWrite, Record, RecordStore, Result, StoreError as Error, WriteOutcome};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Key of the row that maps each service to the highest version of its document.
static INDEX_KEY: SmolStr = SmolStr::new_static("index");
/// Key of the row that holds all drain marks.
static MARKS_KEY: SmolStr = SmolStr::new_static("marks");
/// Threads that write, and as many that read, so that one slow call does not delay the
/// others.
const TABLE_THREADS: usize = 4;
/// Capacity of the queues of reads and of writes.
const QUEUE_CAPACITY: usize = 4_096;
/// Largest number of writes in one call.
const MAX_BATCH: usize = 64;
/// Time for which a call waits for further writes to join it.
const BATCH_DELAY: Duration = Duration::from_millis(2);
/// Pause before a failed write of drain marks, or an unclear write of a document, is
/// tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Attempts to change a shared row, or to resolve an unclear write of a document.
const MAX_TRIES: usize = 8;

/// Queued write with the channel for its result.
struct WriteJob {
    write: ConditionalWrite,
    reply: flume::Sender<Result<WriteOutcome>>,
}

/// Queued read with the channel for its result.
type ReadJob = (Vec<SmolStr>, flume::Sender<Result<Vec<Option<Record>>>>);

/// Client for the rows that instances under service documents share.
#[derive(Clone)]
pub(crate) struct Store {
    table: Arc<dyn RecordStore>,
    writes: flume::Sender<WriteJob>,
    reads: flume::Sender<ReadJob>,
    marks: flume::Sender<DrainMark>,
    unsaved: Arc<Mutex<Vec<DrainMark>>>,
}

/// Row of one version of a service document.
#[derive(Serialize, Deserialize)]
struct DocumentRow {
    /// Unique token of the write, by which a writer recognizes its own row.
    token: SmolStr,
    document: Document,
}

/// Rows that [`Store::read_changes`] found.
#[derive(Debug, Default)]
pub(crate) struct TableChanges {
    pub(crate) documents: Vec<VersionedDocument>,
    pub(crate) marks: Vec<DrainMark>,
}

/// Content of the index row: the highest version of each document.
type Index = BTreeMap<ServiceId, Version>;

impl Store {
    /// Starts the threads that call the store.
    pub(crate) fn start(table: Arc<dyn RecordStore>) -> std::io::Result<Store> {
        let (writes, write_jobs) = flume::bounded::<WriteJob>(QUEUE_CAPACITY);
        let (reads, read_jobs) = flume::bounded::<ReadJob>(QUEUE_CAPACITY);
        let (marks, mark_jobs) = flume::unbounded::<DrainMark>();
        let unsaved = Arc::new(Mutex::new(Vec::new()));
        for i in 0..TABLE_THREADS {
            let (thread_table, jobs) = (table.clone(), write_jobs.clone());
            let thread = std::thread::Builder::new().name(format!("table-write-{i}"));
            thread.spawn(move || write_batches(&*thread_table, &jobs))?;
            let (thread_table, jobs) = (table.clone(), read_jobs.clone());
            let thread = std::thread::Builder::new().name(format!("table-read-{i}"));
            thread.spawn(move || {
                for (keys, reply) in &jobs {
                    let _ = reply.send(thread_table.read(&keys));
                }
            })?;
        }
        let store = Store {
            table: table.clone(),
            writes,
            reads,
            marks,
            unsaved: unsaved.clone(),
        };
        let thread = std::thread::Builder::new().name("table-marks".to_owned());
        thread.spawn(move || save_marks(&*table, &mark_jobs, &unsaved))?;
        Ok(store)
    }

    /// Queues a conditional write; the receiver gets its result.
    pub(crate) fn write(&self, write: ConditionalWrite) -> flume::Receiver<Result<WriteOutcome>> {
        let (reply, received) = flume::bounded(1);
        let _ = self.writes.send(WriteJob { write, reply });
        received
    }

    /// Queues a read; the receiver gets one record, or `None`, per key.
    pub(crate) fn read(&self, keys: Vec<SmolStr>) -> flume::Receiver<Result<Vec<Option<Record>>>> {
        let (reply, received) = flume::bounded(1);
        let _ = self.reads.send((keys, reply));
        received
    }

    /// Queues a drain mark to be saved; failed writes are repeated without end.
    pub(crate) fn save_mark(&self, mark: DrainMark) {
        let _ = self.marks.send(mark);
    }

    /// Returns the drain marks that are not saved yet.
    pub(crate) fn unsaved_marks(&self) -> Vec<DrainMark> {
        self.unsaved.lock().expect("marks").clone()
    }

    /// Reads all drain marks, and the documents whose version is higher than `known`.
    pub(crate) fn read_changes(
        &self,
        known: impl Fn(&ServiceId) -> Version,
    ) -> Result<TableChanges> {
        let rows = self.table.read(&[INDEX_KEY.clone(), MARKS_KEY.clone()])?;
        let index: Index = parse_row(rows[0].as_ref())?;
        let marks = parse_row(rows[1].as_ref())?;
        let newer: Vec<(ServiceId, Version)> = index
            .into_iter()
            .filter(|(service, version)| *version > known(service))
            .collect();
        let keys: Vec<SmolStr> = newer.iter().map(|(s, v)| document_key(s, *v)).collect();
        let rows = if keys.is_empty() {
            Vec::new()
        } else {
            self.table.read(&keys)?
        };
        let mut documents = Vec::new();
        for ((_, version), row) in newer.into_iter().zip(rows) {
            if let Some(document) = parse_document(row.as_ref())? {
                documents.push(VersionedDocument { version, document });
            }
        }
        Ok(TableChanges { documents, marks })
    }

    /// Reads one version of a document.
    pub(crate) fn read_document(
        &self,
        service: &str,
        version: Version,
    ) -> Result<Option<Document>> {
        let rows = self.table.read(&[document_key(service, version)])?;
        parse_document(rows[0].as_ref())
    }

    /// Replaces version `expected` of a document; 0 creates the first version.
    ///
    /// The row of a version is inserted once and never changed: of several writers the
    /// first to insert it wins, and the index row is raised afterwards. If the result of
    /// the insert is unclear, reading the row back resolves it.
    pub(crate) fn apply(
        &self,
        document: &Document,
        expected: Version,
        token: &str,
    ) -> std::result::Result<ApplyResult, operator::Error> {
        let service = &document.service;
        let version = expected + 1;
        if expected > 0
            && self
                .read_document(service, expected)
                .map_err(to_operator_error)?
                .is_none()
        {
            let found = self
                .highest_version(service, expected)
                .map_err(to_operator_error)?;
            return Err(conflict(expected, found));
        }
        let row = DocumentRow {
            token: token.into(),
            document: document.clone(),
        };
        let value = serde_json::to_string(&row).map_err(|e| operator::Error::Malformed {
            message: e.to_string(),
        })?;
        let write = ConditionalWrite {
            key: document_key(service, version),
            expected_version: 0,
            value,
        };
        let settled = match write_one(&*self.table, &write) {
            Ok(WriteOutcome::Applied(_)) => false,
            Ok(WriteOutcome::Conflict(_)) | Err(Error::OutcomeUnknown { .. }) => {
                self.resolve_write(&write, token, expected)?;
                true
            }
            Err(e) => return Err(to_operator_error(e)),
        };
        // The row decides that the document is accepted. Polling instances find it
        // through the index.
        if let Err(e) = self.raise_index(service, version) {
            log::warn!("cannot raise the index of service {service} to version {version}: {e}");
        }
        Ok(ApplyResult {
            service: service.clone(),
            version,
            dry_run: false,
            settled,
        })
    }

    /// Finds out whether this write or another one inserted the row, after a write that
    /// got no response or a conflict.
    ///
    /// Inserts the row if it is missing.
    fn resolve_write(
        &self,
        write: &ConditionalWrite,
        token: &str,
        expected: Version,
    ) -> std::result::Result<(), operator::Error> {
        for _ in 0..MAX_TRIES {
            match self.table.read(std::slice::from_ref(&write.key)) {
                Ok(rows) => match rows[0].as_ref() {
                    Some(row) => {
                        let found: DocumentRow =
                            parse_json(&row.value).map_err(to_operator_error)?;
                        if found.token == token {
                            return Ok(());
                        }
                        return Err(conflict(expected, expected + 1));
                    }
                    None => {
                        if let Ok(WriteOutcome::Applied(_)) = write_one(&*self.table, write) {
                            return Ok(());
                        }
                    }
                },
                Err(e) => log::debug!("cannot read back row {}: {e}", write.key),
            }
            std::thread::sleep(RETRY_PAUSE);
        }
        Err(operator::Error::Platform {
            message: "the write may have taken effect; apply again with the same expected \
                      version to learn which"
                .to_owned(),
        })
    }

    /// Returns the version that the index names, capped at `at_most` (at 1 if that is 0).
    fn highest_version(&self, service: &str, at_most: Version) -> Result<Version> {
        let rows = self.table.read(std::slice::from_ref(&INDEX_KEY))?;
        let index: Index = parse_row(rows[0].as_ref())?;
        Ok(index.get(service).copied().unwrap_or(0).min(at_most.max(1)))
    }

    /// Sets the index to `version` unless it names a higher one.
    fn raise_index(&self, service: &ServiceId, version: Version) -> Result<()> {
        update_row(&*self.table, &INDEX_KEY, |index: &mut Index| {
            let entry = index.entry(service.clone()).or_insert(0);
            let is_raised = version > *entry;
            *entry = version.max(*entry);
            is_raised
        })
    }
}

/// Writes queued jobs in batches until the queue is closed.
fn write_batches(table: &dyn RecordStore, jobs: &flume::Receiver<WriteJob>) {
    while let Ok(first) = jobs.recv() {
        std::thread::sleep(BATCH_DELAY);
        let mut batch = vec![first];
        batch.extend(jobs.try_iter().take(MAX_BATCH - 1));
        let writes: Vec<ConditionalWrite> = batch.iter().map(|j| j.write.clone()).collect();
        for (job, written) in batch.into_iter().zip(table.write(&writes)) {
            let _ = job.reply.send(written);
        }
    }
}

/// Merges queued drain marks into their row, and repeats failed writes until they
/// succeed.
fn save_marks(
    table: &dyn RecordStore,
    jobs: &flume::Receiver<DrainMark>,
    unsaved: &Mutex<Vec<DrainMark>>,
) {
    loop {
        let is_idle = unsaved.lock().expect("marks").is_empty();
        let next = if is_idle {
            jobs.recv()
                .map_err(|_| flume::RecvTimeoutError::Disconnected)
        } else {
            jobs.recv_timeout(RETRY_PAUSE)
        };
        match next {
            Ok(mark) => unsaved.lock().expect("marks").push(mark),
            Err(flume::RecvTimeoutError::Timeout) => {}
            Err(flume::RecvTimeoutError::Disconnected) => return,
        }
        let pending = unsaved.lock().expect("marks").clone();
        let stored = update_row(table, &MARKS_KEY, |marks: &mut Vec<DrainMark>| {
            merge_marks(marks, &pending)
        });
        match stored {
            Ok(()) => {
                let mut unsaved = unsaved.lock().expect("marks");
                unsaved.retain(|m| !pending.contains(m));
            }
            Err(e) => log::debug!("cannot save drain marks, will retry: {e}"),
        }
    }
}

/// Merges `new` into `marks`; returns whether anything changed.
fn merge_marks(marks: &mut Vec<DrainMark>, new: &[DrainMark]) -> bool {
    let mut merged = decision::DrainMarks::default();
    for mark in marks.iter() {
        merged.merge(mark);
    }
    let mut changed = false;
    for mark in new {
        changed |= merged.merge(mark);
    }
    *marks = merged.iter().collect();
    changed
}

/// Changes a shared row by compare-and-set; `change` returns whether it changed the value.
///
/// A write without response needs no separate reading back: changes are idempotent, so
/// the next attempt reads the row and finds nothing left to change if the write took
/// effect.
fn update_row<T>(
    table: &dyn RecordStore,
    key: &SmolStr,
    change: impl Fn(&mut T) -> bool,
) -> Result<()>
where
    T: Default + Serialize + for<'a> Deserialize<'a>,
{
    let mut last_error = None;
    for _ in 0..MAX_TRIES {
        let rows = table.read(std::slice::from_ref(key))?;
        let row = rows[0].as_ref();
        let mut value: T = parse_row(row)?;
        if !change(&mut value) {
            return Ok(());
        }
        let write = ConditionalWrite {
            key: key.clone(),
            expected_version: row.map_or(0, |r| r.version),
            value: serde_json::to_string(&value).unwrap_or_default(),
        };
        match write_one(table, &write) {
            Ok(WriteOutcome::Applied(_)) => return Ok(()),
            Ok(WriteOutcome::Conflict(_)) => {}
            Err(e) => last_error = Some(e),
        }
    }
    Err(last_error.unwrap_or(Error::Refused {
        step: "table write",
        message: format!("row {key} changes too often"),
    }))
}

fn write_one(table: &dyn RecordStore, write: &ConditionalWrite) -> Result<WriteOutcome> {
    let written = table.write(std::slice::from_ref(write)).pop();
    written.unwrap_or_else(|| {
        Err(Error::OutcomeUnknown {
            step: "write records",
            message: "no result for the write".to_owned(),
        })
    })
}

fn document_key(service: &str, version: Version) -> SmolStr {
    format_smolstr!("document/{service}/{version}")
}

fn parse_json<T: for<'a> Deserialize<'a>>(text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|e| Error::Refused {
        step: "table row",
        message: e.to_string(),
    })
}

fn parse_row<T: Default + for<'a> Deserialize<'a>>(row: Option<&Record>) -> Result<T> {
    row.map_or_else(|| Ok(T::default()), |r| parse_json(&r.value))
}

fn parse_document(row: Option<&Record>) -> Result<Option<Document>> {
    let Some(row) = row else { return Ok(None) };
    parse_json::<DocumentRow>(&row.value).map(|r| Some(r.document))
}

fn conflict(expected: Version, found: Version) -> operator::Error {
    operator::Error::Conflict { expected, found }
}

#[expect(clippy::needless_pass_by_value, reason = "used as a mapping of errors")]
pub(crate) fn to_operator_error(error: Error) -> operator::Error {
    operator::Error::Platform {
        message: error.to_string(),
    }
}
