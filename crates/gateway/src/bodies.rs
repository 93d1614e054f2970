//! Bodies of requests: read within the memory for them, or discarded.
//!
//! A body is held whole until its request has an answer, because the request may have
//! to be sent to another target.

use crate::SharedGateway;
use crate::timeouts::ConnectionState;
use exchange::{Purpose, ReservedBuffer, next_data};
use hyper::body::{Body, Bytes, Incoming};
use hyper::{HeaderMap, header};
use std::time::Duration;

/// Time for which a body that finds no memory is not read on, before it is refused.
const MEMORY_WAIT: Duration = Duration::from_millis(200);
/// Time for which a refusal waits for the end of its request's body.
const DISCARD_FIRST: Duration = Duration::from_millis(20);
/// Time for which the body of a request that was refused is read and discarded, so that
/// the refusal is not lost with the connection.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It exceeds the limit of the configuration.
    TooLarge,
    /// It ended early or is malformed.
    Broken,
    /// It was not complete when its request's time was over.
    Late,
    /// There is no memory for it.
    NoMemory,
}

/// Reads a complete body within `time`.
pub(crate) async fn read(
    gateway: &SharedGateway,
    connection: &ConnectionState,
    body: &mut Incoming,
    time: Duration,
) -> Result<Bytes, BodyError> {
    let max_bytes = max_bytes(gateway);
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let reading = connection.begin_body();
    let reservation = gateway.memory.reservation_for(Purpose::Bodies);
    // The buffer grows with what arrives, up to exactly the length that is stated.
    let stated = body.size_hint().exact();
    let most = stated.map_or(max_bytes, |length| length as usize);
    let mut buffer = ReservedBuffer::new(reservation, most);
    let read = async {
        while let Some(data) = next_data(body).await.map_err(|_| BodyError::Broken)? {
            reading.count(data.len());
            let capacity = buffer.capacity_for(data.len());
            let capacity = capacity.ok_or(BodyError::TooLarge)?;
            let resized = gateway.memory.resize(&mut buffer.reservation, capacity);
            let waited = tokio::time::timeout(MEMORY_WAIT, resized).await;
            waited.map_err(|_| BodyError::NoMemory)?;
            buffer.push(&data);
        }
        Ok(())
    };
    let read = tokio::time::timeout(time, read).await;
    read.unwrap_or(Err(BodyError::Late))?;
    Ok(buffer.into_bytes())
}

/// Discards the body of a request that is refused; returns whether its end was read, so
/// that the connection can be used again.
pub(crate) async fn discard(
    gateway: &SharedGateway,
    headers: &HeaderMap,
    mut body: Incoming,
) -> bool {
    // A caller that waits for a word sends none of its body.
    if body.is_end_stream() || headers.contains_key(header::EXPECT) {
        return body.is_end_stream();
    }
    let mut rest = max_bytes(gateway);
    let first = read_away(&mut body, &mut rest);
    if let Ok(is_read) = tokio::time::timeout(DISCARD_FIRST, first).await {
        return is_read;
    }
    tokio::task::spawn_local(async move {
        // A body that goes on is reset with its connection.
        let _ = tokio::time::timeout(DISCARD_TIME, read_away(&mut body, &mut rest)).await;
    });
    false
}

/// Reads up to `rest` bytes of a body; returns whether that is all of it.
async fn read_away(body: &mut Incoming, rest: &mut usize) -> bool {
    loop {
        match next_data(body).await {
            Ok(Some(data)) if data.len() <= *rest => *rest -= data.len(),
            ended => return matches!(ended, Ok(None)),
        }
    }
}

fn max_bytes(gateway: &SharedGateway) -> usize {
    let limits = gateway.router.borrow().configuration().map(|c| c.limits);
    limits.unwrap_or_default().body_bytes
}
