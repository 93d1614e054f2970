//! Answers under way and answers kept for callers that come back.

use crate::settings::AnswerSettings;
use caller::ResponsePart;
use decision::{Error, Execution, Message, RequestId, Step, WorkspaceId};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tokio::sync::Notify;

/// Most bytes of one answer that are kept.
const ANSWER_MAX: usize = 4 << 20;
/// Events in one message to another instance.
const EVENTS_A_PART: usize = 64;
/// Parts that wait for a caller's connection.
const PARTS_WAITING: usize = 16;

/// One answer, as far as it has come.
#[derive(Debug)]
pub(crate) struct AnswerLog {
    pub(crate) id: RequestId,
    workspace: WorkspaceId,
    inner: Mutex<Inner>,
    grown: Notify,
    pub(crate) withdrawn: Notify,
}

#[derive(Debug)]
struct Inner {
    parts: VecDeque<ResponsePart>,
    base: u64,
    bytes: usize,
    finished: Option<Instant>,
    readers: usize,
    unread_since: Instant,
}

impl AnswerLog {
    /// Adds a part; the last one finishes the answer.
    pub(crate) fn push(&self, part: ResponsePart) {
        let mut inner = self.inner.lock().expect("answer");
        inner.bytes += part_bytes(&part);
        if !matches!(part, ResponsePart::Event { .. }) {
            inner.finished = Some(Instant::now());
        }
        inner.parts.push_back(part);
        while inner.bytes > ANSWER_MAX && inner.parts.len() > 1 {
            let dropped = inner.parts.pop_front();
            inner.bytes -= dropped.as_ref().map_or(0, part_bytes);
            inner.base += 1;
        }
        drop(inner);
        self.grown.notify_waiters();
    }

    /// Starts a reader from an offset.
    pub(crate) fn read(self: &Arc<Self>, offset: u64) -> flume::Receiver<ResponsePart> {
        let (sender, parts) = flume::bounded(PARTS_WAITING);
        self.inner.lock().expect("answer").readers += 1;
        let log = self.clone();
        tokio::spawn(async move {
            log.feed(offset, &sender).await;
            let mut inner = log.inner.lock().expect("answer");
            inner.readers -= 1;
            inner.unread_since = Instant::now();
        });
        parts
    }

    async fn feed(&self, offset: u64, sender: &flume::Sender<ResponsePart>) {
        let mut next = offset;
        loop {
            let grown = self.grown.notified();
            tokio::pin!(grown);
            // Registers before looking, so that no part is missed in between.
            grown.as_mut().enable();
            match self.get(next) {
                Ok(Some(part)) => {
                    let is_last = !matches!(part, ResponsePart::Event { .. });
                    if sender.send_async(part).await.is_err() || is_last {
                        return;
                    }
                    next += 1;
                }
                Ok(None) => {
                    tokio::select! {
                        () = grown => {}
                        () = closed(sender) => return,
                    }
                }
                Err(error) => {
                    let _ = sender.send_async(ResponsePart::Failed(error)).await;
                    return;
                }
            }
        }
    }

    fn get(&self, index: u64) -> Result<Option<ResponsePart>, Error> {
        let inner = self.inner.lock().expect("answer");
        let Some(place) = index.checked_sub(inner.base) else {
            return Err(no_offset("these events are no longer kept"));
        };
        let part = inner.parts.get(place as usize).cloned();
        if part.is_none() && inner.finished.is_some() {
            return Err(no_offset("the answer is not that long"));
        }
        Ok(part)
    }

    fn is_finished(&self) -> bool {
        self.inner.lock().expect("answer").finished.is_some()
    }
}

/// Waits until a channel's receiver has gone.
async fn closed<T>(sender: &flume::Sender<T>) {
    // flume tells of a lost receiver only on sending, so this looks now and then.
    while !sender.is_disconnected() {
        tokio::time::sleep(std::time::Duration::from_millis(250)).await;
    }
}

fn no_offset(message: &str) -> Error {
    Error::new("unknown_offset", Step::Read, "caller", message).with_execution(Execution::Ran)
}

fn part_bytes(part: &ResponsePart) -> usize {
    match part {
        ResponsePart::Event { data, .. } => data.len(),
        ResponsePart::CompleteResponse { body, .. } => body.len(),
        ResponsePart::End | ResponsePart::Failed(_) => 0,
    }
}

/// All answers of one instance.
#[derive(Debug)]
pub(crate) struct Answers {
    settings: AnswerSettings,
    logs: Mutex<BTreeMap<RequestId, Arc<AnswerLog>>>,
}

impl Answers {
    pub(crate) fn new(settings: AnswerSettings) -> Self {
        Answers {
            settings,
            logs: Mutex::new(BTreeMap::new()),
        }
    }

    /// Starts an answer.
    pub(crate) fn start(&self, id: &RequestId, workspace: &WorkspaceId) -> Arc<AnswerLog> {
        let log = Arc::new(AnswerLog {
            id: id.clone(),
            workspace: workspace.clone(),
            inner: Mutex::new(Inner {
                parts: VecDeque::new(),
                base: 0,
                bytes: 0,
                finished: None,
                readers: 0,
                unread_since: Instant::now(),
            }),
            grown: Notify::new(),
            withdrawn: Notify::new(),
        });
        let mut logs = self.logs.lock().expect("answers");
        logs.insert(id.clone(), log.clone());
        log
    }

    /// Finds an answer of one of these workspaces.
    ///
    /// An answer of another workspace is not told from one that is unknown.
    pub(crate) fn find(&self, id: &str, workspaces: &[WorkspaceId]) -> Option<Arc<AnswerLog>> {
        let logs = self.logs.lock().expect("answers");
        logs.get(id)
            .filter(|log| workspaces.contains(&log.workspace))
            .cloned()
    }

    /// Answers that have not finished.
    pub(crate) fn under_way(&self) -> usize {
        let logs = self.logs.lock().expect("answers");
        logs.values().filter(|log| !log.is_finished()).count()
    }

    /// Answers kept, and their bytes.
    pub(crate) fn size(&self) -> (usize, usize) {
        let logs = self.logs.lock().expect("answers");
        let bytes = logs.values().map(|l| l.inner.lock().expect("answer").bytes);
        (logs.len(), bytes.sum())
    }

    /// Answers that still have a reader.
    pub(crate) fn read_now(&self) -> usize {
        let logs = self.logs.lock().expect("answers");
        let mut readers = logs
            .values()
            .map(|l| l.inner.lock().expect("answer").readers);
        readers.by_ref().filter(|r| *r > 0).count()
    }

    /// Drops what has been kept for long enough and withdraws what nobody reads.
    pub(crate) fn sweep(&self) {
        let mut logs = self.logs.lock().expect("answers");
        let mut finished = Vec::new();
        let mut bytes = 0;
        logs.retain(|id, log| {
            let inner = log.inner.lock().expect("answer");
            let is_unread = inner.readers == 0;
            match inner.finished {
                Some(at) if at.elapsed() >= self.settings.keep_time && is_unread => return false,
                Some(at) if is_unread => finished.push((at, id.clone(), inner.bytes)),
                None if is_unread
                    && inner.unread_since.elapsed() >= self.settings.resume_timeout =>
                {
                    log.withdrawn.notify_one();
                }
                _ => {}
            }
            bytes += inner.bytes;
            true
        });
        finished.sort();
        for (_, id, size) in finished {
            if bytes <= self.settings.max_bytes {
                break;
            }
            logs.remove(&id);
            bytes -= size;
        }
    }

    /// Answers another instance's question for a part.
    pub(crate) fn part(&self, message: &Message) -> Option<Message> {
        let Message::FetchAnswer {
            ask,
            request,
            workspace,
            offset,
        } = message
        else {
            return None;
        };
        let Some(log) = self.find(request, std::slice::from_ref(workspace)) else {
            return Some(Message::AnswerPart {
                ask: *ask,
                events: Vec::new(),
                known: false,
                last: false,
            });
        };
        let inner = log.inner.lock().expect("answer");
        let skip = offset.saturating_sub(inner.base) as usize;
        let parts = inner.parts.iter().skip(skip).take(EVENTS_A_PART);
        let mut events = Vec::new();
        let mut last = false;
        for part in parts {
            match part {
                ResponsePart::Event { data, .. } => events.push(data.to_string()),
                ResponsePart::End => last = true,
                ResponsePart::CompleteResponse { .. } | ResponsePart::Failed(_) => {}
            }
        }
        Some(Message::AnswerPart {
            ask: *ask,
            events,
            known: *offset >= inner.base,
            last,
        })
    }
}
