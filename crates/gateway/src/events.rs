//! Events of a stream, cut where one ends and the next begins.

use hyper::body::Bytes;

/// Most bytes of one event that is not yet whole.
const EVENT_MAX: usize = 1 << 20;

/// One whole event as the target sent it, with its blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
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
pub struct EventReader {
    bytes: Vec<u8>,
}

impl EventReader {
    /// Takes bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Fails where an event is over its limit of size.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, &'static str> {
        self.bytes.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = event_end(&self.bytes) {
            let rest = self.bytes.split_off(end);
            let whole = std::mem::replace(&mut self.bytes, rest);
            events.push(Event {
                id: event_id(&whole),
                bytes: whole.into(),
            });
        }
        if self.bytes.len() > EVENT_MAX {
            return Err("an event is too long");
        }
        Ok(events)
    }

    /// Bytes after the last whole event.
    pub fn rest(&self) -> &[u8] {
        &self.bytes
    }
}

/// Position after the first blank line, whatever its line ends.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut at = 0;
    while let Some(end) = bytes[at..].iter().position(|b| *b == b'\n') {
        let line = &bytes[at..at + end];
        at += end + 1;
        if (line.is_empty() || line == b"\r") && at > line.len() + 1 {
            return Some(at);
        }
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
