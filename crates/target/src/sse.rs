//! Reader of server-sent events.

/// Maximum size of one event in bytes.
const EVENT_MAX: usize = 1 << 20;

/// Splits a `text/event-stream` that arrives in arbitrary pieces into events.
///
/// Only the `data` field is returned; other fields and comments are skipped.
#[derive(Debug, Default)]
pub struct SseReader {
    line: Vec<u8>,
    data: Vec<u8>,
}

impl SseReader {
    /// Appends bytes and returns the data of the events that they complete.
    ///
    /// # Errors
    ///
    /// Fails if an event exceeds the size limit or is not valid UTF-8.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<String>, &'static str> {
        let mut events = Vec::new();
        for byte in bytes {
            if *byte != b'\n' {
                self.line.push(*byte);
                if self.line.len() + self.data.len() > EVENT_MAX {
                    return Err("an event is too long");
                }
                continue;
            }
            if let Some(event) = self.end_line()? {
                events.push(event);
            }
        }
        Ok(events)
    }

    /// Returns the memory that the incomplete event takes, in bytes.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.line.capacity() + self.data.capacity()
    }

    fn end_line(&mut self) -> Result<Option<String>, &'static str> {
        let mut line = std::mem::take(&mut self.line);
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        if line.is_empty() {
            if self.data.is_empty() {
                return Ok(None);
            }
            let data = std::mem::take(&mut self.data);
            let text = String::from_utf8(data).map_err(|_| "an event is not UTF-8")?;
            return Ok(Some(text));
        }
        if let Some(data) = line.strip_prefix(b"data:") {
            if !self.data.is_empty() {
                self.data.push(b'\n');
            }
            self.data
                .extend_from_slice(data.strip_prefix(b" ").unwrap_or(data));
        }
        Ok(None)
    }
}
