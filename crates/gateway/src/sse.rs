//! Events of a stream, cut where one ends and the next begins.

use hyper::body::Bytes;

/// Most bytes of one event that is not yet whole.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One whole event as the target sent it, with its blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// Its id, if it has one that is a number.
    pub id: Option<u64>,
    /// Its bytes.
    pub bytes: Bytes,
}

/// Cuts the bytes of a stream into whole events.
///
/// Bytes are passed on as they came: only the blank line that ends an event
/// and its `id` field are looked at, by the `text/event-stream` format.
#[derive(Debug, Default)]
pub struct SseSplitter {
    buffer: Vec<u8>,
    /// Start of the last line, whose end has not come.
    line_start: usize,
    /// Bytes that have been searched for that end.
    scanned: usize,
}

impl SseSplitter {
    /// Takes bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Fails where an event is over its limit of size.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<SseEvent>, &'static str> {
        self.buffer.extend_from_slice(bytes);
        let mut ends = Vec::new();
        let mut start = 0;
        while let Some(end) = self.event_end(start) {
            ends.push(end);
            start = end;
        }
        if self.buffer.len() - start > MAX_EVENT_BYTES {
            return Err("an event is too long");
        }
        if ends.is_empty() {
            return Ok(Vec::new());
        }
        let tail = self.buffer.split_off(start);
        let complete = Bytes::from(std::mem::replace(&mut self.buffer, tail));
        self.line_start -= start;
        self.scanned -= start;
        let starts = std::iter::once(0).chain(ends.iter().copied());
        let slices = starts
            .zip(&ends)
            .map(|(start, end)| complete.slice(start..*end));
        let events = slices.map(|bytes| SseEvent {
            id: event_id(&bytes),
            bytes,
        });
        Ok(events.collect())
    }

    /// Bytes after the last whole event.
    pub fn remainder(&self) -> &[u8] {
        &self.buffer
    }

    /// Memory that these bytes take.
    pub(crate) fn capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Position after the blank line that ends the event which begins at
    /// `start`, whatever its line ends. Each byte is looked at once.
    fn event_end(&mut self, start: usize) -> Option<usize> {
        while let Some(found) = self.buffer[self.scanned..].iter().position(|b| *b == b'\n') {
            let end = self.scanned + found;
            let line = &self.buffer[self.line_start..end];
            let is_blank = line.is_empty() || line == b"\r";
            let is_first = self.line_start == start;
            self.line_start = end + 1;
            self.scanned = end + 1;
            if is_blank && !is_first {
                return Some(end + 1);
            }
        }
        self.scanned = self.buffer.len();
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
