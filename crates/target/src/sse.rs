//! Reader of event streams.

/// Most bytes of one event.
const EVENT_MAX: usize = 1 << 20;

/// Takes bytes as they come and gives the data of whole events.
///
/// Only the `data` field is read; other fields and comments are skipped, as
/// the `text/event-stream` format says.
#[derive(Debug, Default)]
pub struct SseReader {
    line: Vec<u8>,
    data: Vec<u8>,
}

impl SseReader {
    /// Takes bytes and returns the data of the events that they complete.
    ///
    /// # Errors
    ///
    /// Fails where an event is over its limit of size or is not UTF-8.
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

    /// Memory that the event which is not yet whole takes.
    pub(crate) fn held(&self) -> usize {
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
