//! Buffers of answers.
//!
//! An answer is the response to one request as the instance that received the request
//! keeps it, from the first part until some time after the last. A caller that loses its
//! connection can resume reading from any offset that is still kept, at this instance or
//! through another one.

use crate::settings::AnswerSettings;
use caller::ResponsePart;
use decision::{Error, Execution, Message, RequestId, Step, WorkspaceId};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Size limit of one answer; beyond it the oldest parts are dropped.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Largest number of events in one message to another instance.
const EVENTS_PER_MESSAGE: usize = 64;
/// Parts that are queued for one reader.
const READER_QUEUE: usize = 16;
/// Interval at which a waiting reader checks whether its receiver has been dropped.
const RECEIVER_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Parts of one answer received so far, for any number of readers.
#[derive(Debug)]
pub(crate) struct AnswerBuffer {
    pub(crate) id: RequestId,
    workspace: WorkspaceId,
    state: Mutex<BufferState>,
    part_added: Notify,
    /// Signalled when the request is to be cancelled.
    pub(crate) cancelled: Notify,
}

#[derive(Debug)]
struct BufferState {
    parts: VecDeque<ResponsePart>,
    /// Position in the answer of the first part that is still kept.
    first_index: u64,
    bytes: usize,
    finished_at: Option<Instant>,
    readers: usize,
    /// Time at which the last reader left or, before that, of creation.
    unread_since: Instant,
}

impl AnswerBuffer {
    /// Appends a part; any part other than an event finishes the answer.
    pub(crate) fn push(&self, part: ResponsePart) {
        let mut state = self.state.lock().expect("answer");
        state.bytes += part_bytes(&part);
        if !matches!(part, ResponsePart::Event { .. }) {
            state.finished_at = Some(Instant::now());
        }
        state.parts.push_back(part);
        while state.bytes > MAX_ANSWER_BYTES && state.parts.len() > 1 {
            let dropped = state.parts.pop_front();
            state.bytes -= dropped.as_ref().map_or(0, part_bytes);
            state.first_index += 1;
        }
        drop(state);
        self.part_added.notify_waiters();
    }

    /// Starts a task that sends all parts from `offset` on, including those still to come.
    ///
    /// Dropping the receiver ends the task.
    pub(crate) fn spawn_reader(self: &Arc<Self>, offset: u64) -> flume::Receiver<ResponsePart> {
        let (sender, parts) = flume::bounded(READER_QUEUE);
        self.state.lock().expect("answer").readers += 1;
        let buffer = self.clone();
        tokio::spawn(async move {
            buffer.send_parts(offset, &sender).await;
            let mut state = buffer.state.lock().expect("answer");
            state.readers -= 1;
            state.unread_since = Instant::now();
        });
        parts
    }

    /// Sends parts until the last one is sent or the receiver has been dropped.
    async fn send_parts(&self, offset: u64, sender: &flume::Sender<ResponsePart>) {
        let mut next = offset;
        loop {
            let part_added = self.part_added.notified();
            tokio::pin!(part_added);
            // Registers for the notification before reading, so that a part that is
            // added in between is not missed.
            part_added.as_mut().enable();
            match self.part_at(next) {
                Ok(Some(part)) => {
                    let is_last = !matches!(part, ResponsePart::Event { .. });
                    if sender.send_async(part).await.is_err() || is_last {
                        return;
                    }
                    next += 1;
                }
                Ok(None) => {
                    tokio::select! {
                        () = part_added => {}
                        () = receiver_dropped(sender) => return,
                    }
                }
                Err(error) => {
                    let _ = sender.send_async(ResponsePart::Failed(error)).await;
                    return;
                }
            }
        }
    }

    /// Returns the part at a position, or `None` if it has not arrived yet.
    ///
    /// # Errors
    ///
    /// Fails if the part is no longer kept or lies beyond the end of a finished answer.
    fn part_at(&self, index: u64) -> Result<Option<ResponsePart>, Error> {
        let state = self.state.lock().expect("answer");
        let Some(position) = index.checked_sub(state.first_index) else {
            return Err(unknown_offset("these events are no longer kept"));
        };
        let part = state.parts.get(position as usize).cloned();
        if part.is_none() && state.finished_at.is_some() {
            return Err(unknown_offset("the answer is not that long"));
        }
        Ok(part)
    }

    fn is_finished(&self) -> bool {
        self.state.lock().expect("answer").finished_at.is_some()
    }
}

/// Waits until the receiver of a channel has been dropped.
async fn receiver_dropped<T>(sender: &flume::Sender<T>) {
    // flume has no notification for a dropped receiver, so this polls.
    while !sender.is_disconnected() {
        tokio::time::sleep(RECEIVER_POLL_INTERVAL).await;
    }
}

fn unknown_offset(message: &str) -> Error {
    Error::new("unknown_offset", Step::Read, "caller", message).with_execution(Execution::Ran)
}

fn part_bytes(part: &ResponsePart) -> usize {
    match part {
        ResponsePart::Event { data, .. } => data.len(),
        ResponsePart::CompleteResponse { body, .. } => body.len(),
        ResponsePart::End | ResponsePart::Failed(_) => 0,
    }
}

/// All answers that one instance keeps.
#[derive(Debug)]
pub(crate) struct Answers {
    settings: AnswerSettings,
    buffers: Mutex<BTreeMap<RequestId, Arc<AnswerBuffer>>>,
}

impl Answers {
    pub(crate) fn new(settings: AnswerSettings) -> Self {
        Answers {
            settings,
            buffers: Mutex::new(BTreeMap::new()),
        }
    }

    /// Creates the empty buffer of a new answer.
    pub(crate) fn create(&self, id: &RequestId, workspace: &WorkspaceId) -> Arc<AnswerBuffer> {
        let buffer = Arc::new(AnswerBuffer {
            id: id.clone(),
            workspace: workspace.clone(),
            state: Mutex::new(BufferState {
                parts: VecDeque::new(),
                first_index: 0,
                bytes: 0,
                finished_at: None,
                readers: 0,
                unread_since: Instant::now(),
            }),
            part_added: Notify::new(),
            cancelled: Notify::new(),
        });
        let mut buffers = self.buffers.lock().expect("answers");
        buffers.insert(id.clone(), buffer.clone());
        buffer
    }

    /// Finds an answer that belongs to one of these workspaces.
    ///
    /// An answer of any other workspace gives `None`, exactly like an unknown id.
    pub(crate) fn find(&self, id: &str, workspaces: &[WorkspaceId]) -> Option<Arc<AnswerBuffer>> {
        let buffers = self.buffers.lock().expect("answers");
        buffers
            .get(id)
            .filter(|buffer| workspaces.contains(&buffer.workspace))
            .cloned()
    }

    /// Returns the number of answers that are not finished.
    pub(crate) fn count_unfinished(&self) -> usize {
        let buffers = self.buffers.lock().expect("answers");
        buffers
            .values()
            .filter(|buffer| !buffer.is_finished())
            .count()
    }

    /// Returns the number of answers and their total size in bytes.
    pub(crate) fn usage(&self) -> (usize, usize) {
        let buffers = self.buffers.lock().expect("answers");
        let bytes = buffers
            .values()
            .map(|b| b.state.lock().expect("answer").bytes);
        (buffers.len(), bytes.sum())
    }

    /// Returns the number of answers that have a reader.
    pub(crate) fn count_being_read(&self) -> usize {
        let buffers = self.buffers.lock().expect("answers");
        let mut readers = buffers
            .values()
            .map(|b| b.state.lock().expect("answer").readers);
        readers.by_ref().filter(|r| *r > 0).count()
    }

    /// Removes finished answers that have been kept for long enough, and cancels requests
    /// that have had no reader for the resume timeout.
    ///
    /// If all answers together exceed their size limit, finished ones without a reader are
    /// removed early, oldest first.
    pub(crate) fn expire(&self) {
        let mut buffers = self.buffers.lock().expect("answers");
        let mut finished = Vec::new();
        let mut bytes = 0;
        buffers.retain(|id, buffer| {
            let state = buffer.state.lock().expect("answer");
            let is_unread = state.readers == 0;
            match state.finished_at {
                Some(at) if at.elapsed() >= self.settings.keep_time && is_unread => return false,
                Some(at) if is_unread => finished.push((at, id.clone(), state.bytes)),
                None if is_unread
                    && state.unread_since.elapsed() >= self.settings.resume_timeout =>
                {
                    buffer.cancelled.notify_one();
                }
                _ => {}
            }
            bytes += state.bytes;
            true
        });
        finished.sort();
        for (_, id, size) in finished {
            if bytes <= self.settings.max_bytes {
                break;
            }
            buffers.remove(&id);
            bytes -= size;
        }
    }

    /// Reads events for another instance whose caller resumes an answer kept here.
    ///
    /// Returns `None` unless `message` is such a query.
    pub(crate) fn read_for_instance(&self, message: &Message) -> Option<Message> {
        let Message::FetchAnswer {
            query,
            request,
            workspace,
            offset,
        } = message
        else {
            return None;
        };
        let Some(buffer) = self.find(request, std::slice::from_ref(workspace)) else {
            return Some(Message::AnswerPart {
                query: *query,
                events: Vec::new(),
                known: false,
                last: false,
            });
        };
        let state = buffer.state.lock().expect("answer");
        let skip = offset.saturating_sub(state.first_index) as usize;
        let parts = state.parts.iter().skip(skip).take(EVENTS_PER_MESSAGE);
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
            query: *query,
            events,
            known: *offset >= state.first_index,
            last,
        })
    }
}
