//! Answers under way and answers kept for callers that come back.

use crate::settings::AnswerSettings;
use caller::ResponsePart;
use decision::{Error, Message, Ran, RequestId, Step, WorkspaceId};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tokio::sync::Notify;

/// Most bytes of one answer that are kept.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Events in one message to another instance.
const EVENTS_PER_MESSAGE: usize = 64;
/// Parts that wait for a caller's connection.
const READER_QUEUE: usize = 16;

/// One answer, as far as it has come.
#[derive(Debug)]
pub(crate) struct AnswerBuffer {
    pub(crate) id: RequestId,
    workspace: WorkspaceId,
    state: Mutex<BufferState>,
    part_added: Notify,
    pub(crate) cancelled: Notify,
}

#[derive(Debug)]
struct BufferState {
    parts: VecDeque<ResponsePart>,
    first_index: u64,
    bytes: usize,
    finished_at: Option<Instant>,
    readers: usize,
    unread_since: Instant,
}

impl AnswerBuffer {
    /// Adds a part; the last one finishes the answer.
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

    /// Starts a reader from an offset.
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

    async fn send_parts(&self, offset: u64, sender: &flume::Sender<ResponsePart>) {
        let mut next = offset;
        loop {
            let part_added = self.part_added.notified();
            tokio::pin!(part_added);
            // Registers before looking, so that no part is missed in between.
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

/// Waits until a channel's receiver has gone.
async fn receiver_dropped<T>(sender: &flume::Sender<T>) {
    // flume tells of a lost receiver only on sending, so this looks now and then.
    while !sender.is_disconnected() {
        tokio::time::sleep(std::time::Duration::from_millis(250)).await;
    }
}

fn unknown_offset(message: &str) -> Error {
    Error::new("unknown_offset", Step::Read, "caller", message).with_ran(Ran::Ran)
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
    buffers: Mutex<BTreeMap<RequestId, Arc<AnswerBuffer>>>,
}

impl Answers {
    pub(crate) fn new(settings: AnswerSettings) -> Self {
        Answers {
            settings,
            buffers: Mutex::new(BTreeMap::new()),
        }
    }

    /// Starts an answer.
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

    /// Finds an answer of one of these workspaces.
    ///
    /// An answer of another workspace is not told from one that is unknown.
    pub(crate) fn find(&self, id: &str, workspaces: &[WorkspaceId]) -> Option<Arc<AnswerBuffer>> {
        let buffers = self.buffers.lock().expect("answers");
        buffers
            .get(id)
            .filter(|buffer| workspaces.contains(&buffer.workspace))
            .cloned()
    }

    /// Answers that have not finished.
    pub(crate) fn count_unfinished(&self) -> usize {
        let buffers = self.buffers.lock().expect("answers");
        buffers
            .values()
            .filter(|buffer| !buffer.is_finished())
            .count()
    }

    /// Answers kept, and their bytes.
    pub(crate) fn usage(&self) -> (usize, usize) {
        let buffers = self.buffers.lock().expect("answers");
        let bytes = buffers
            .values()
            .map(|b| b.state.lock().expect("answer").bytes);
        (buffers.len(), bytes.sum())
    }

    /// Answers that still have a reader.
    pub(crate) fn count_being_read(&self) -> usize {
        let buffers = self.buffers.lock().expect("answers");
        let mut readers = buffers
            .values()
            .map(|b| b.state.lock().expect("answer").readers);
        readers.by_ref().filter(|r| *r > 0).count()
    }

    /// Drops what has been kept for long enough and withdraws what nobody reads.
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

    /// Answers another instance's question for a part.
    pub(crate) fn read_for_instance(&self, message: &Message) -> Option<Message> {
        let Message::AnswerAsk {
            ask,
            request,
            workspace,
            offset,
        } = message
        else {
            return None;
        };
        let Some(buffer) = self.find(request, std::slice::from_ref(workspace)) else {
            return Some(Message::AnswerPart {
                ask: *ask,
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
            ask: *ask,
            events,
            known: *offset >= state.first_index,
            last,
        })
    }
}
