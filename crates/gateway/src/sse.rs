//! Splits a `text/event-stream` into its events.

use hyper::body::Bytes;

/// Limit on the bytes of an event whose end has not arrived.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Complete event as the target sent it, including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// Value of its `id` field, if that is a number.
    pub id: Option<u64>,
    /// Bytes of the event.
    pub bytes: Bytes,
}

/// Splits the bytes of a `text/event-stream` into complete events.
///
/// It passes all bytes on unchanged; of the format it parses only the blank line
/// that ends an event and the `id` field.
#[derive(Debug, Default)]
pub struct SseSplitter {
    buffer: Vec<u8>,
    /// Position at which the current, incomplete line begins.
    line_start: usize,
    /// Number of bytes that have been searched for line ends.
    scanned: usize,
}

impl SseSplitter {
    /// Appends bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Fails if an incomplete event exceeds 1 MiB.
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

    /// Returns the bytes after the last complete event.
    pub fn remainder(&self) -> &[u8] {
        &self.buffer
    }

    /// Returns the bytes allocated for the buffer.
    pub(crate) fn capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns the position after the blank line that ends the event which begins
    /// at `start`. Lines may end in LF or CR LF. Each byte is examined once, so
    /// that a long event takes linear time.
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
