//! Client of model engines: streamed chat completions, load reports and cache
//! events.

use crate::http::{self, AttemptError};
use crate::sse::SseReader;
use crate::{Attempt, AttemptEvent, Error, LoadPoll, LoadPollFuture, TargetClient, TargetRequest};
use decision::LoadReport;
use exchange::{MemoryBudget, Reservation};
use http_body_util::BodyExt;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Data of the event that ends a stream.
const END_MARK: &str = "[DONE]";
/// Timeout of a request for a load report.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);

/// Client of engines that serve the OpenAI chat completions interface.
#[derive(Clone, Debug, Default)]
pub struct EngineClient {
    memory: MemoryBudget,
}

impl EngineClient {
    /// Creates a client whose buffered responses count against `memory`.
    pub fn new(memory: MemoryBudget) -> Self {
        EngineClient { memory }
    }
}

impl TargetClient for EngineClient {
    fn dispatch(&self, request: TargetRequest) -> Attempt {
        let memory = self.memory.reservation();
        http::spawn_attempt(|events| run(request, memory, events))
    }

    fn poll_load(&self, address: SocketAddr, since: u64) -> LoadPollFuture {
        Box::pin(async move {
            let polled = tokio::time::timeout(POLL_TIMEOUT, poll(address, since)).await;
            let message = match polled {
                Ok(Ok(poll)) => return Ok(poll),
                Ok(Err(
                    AttemptError::NotRun { message, .. } | AttemptError::Disconnected(message),
                )) => message,
                Err(_) => "no answer in time".to_owned(),
            };
            Err(Error {
                step: "load report",
                peer: address,
                message,
            })
        })
    }
}

async fn run(
    request: TargetRequest,
    mut memory: Reservation,
    sender: flume::Sender<AttemptEvent>,
) -> std::result::Result<(), AttemptError> {
    let http_request = http::build_request(&request)?;
    let connection = http::connect(request.address).await?;
    let _ = sender.send_async(AttemptEvent::Sent).await;
    let (response, _driver) = connection.send(http_request).await?;
    http::check_head(&response, &request.attempt)?;
    let status = response.status().as_u16();
    let mut body = response.into_body();
    if status != 200 {
        let message = read_error(body).await;
        let _ = sender
            .send_async(AttemptEvent::Failed { status, message })
            .await;
        return Ok(());
    }
    let mut reader = SseReader::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| AttemptError::Disconnected(e.to_string()))?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        let events = reader.push(&bytes);
        let events = events.map_err(|e| AttemptError::Disconnected(e.to_owned()))?;
        if !memory.try_resize(reader.buffered_bytes()) {
            return Err(exchange::Error::TooLarge.into());
        }
        for data in events {
            let is_end = data == END_MARK;
            let event = if is_end {
                AttemptEvent::End
            } else {
                decode_event(data)
            };
            if sender.send_async(event).await.is_err() || is_end {
                return Ok(());
            }
        }
    }
    Err(AttemptError::Disconnected(
        "the stream has no end mark".to_owned(),
    ))
}

async fn read_error(body: hyper::body::Incoming) -> String {
    let bytes = exchange::collect(body, http::ERROR_MAX).await;
    bytes.map_or_else(
        |_| String::new(),
        |b| String::from_utf8_lossy(&b).into_owned(),
    )
}

/// Field of an event that repeats the ID of the attempt.
#[derive(Deserialize)]
struct EventId {
    #[serde(default)]
    id: smol_str::SmolStr,
}

fn decode_event(data: String) -> AttemptEvent {
    let id = serde_json::from_str::<EventId>(&data).map(|e| e.id);
    AttemptEvent::Event {
        echoed_id: id.unwrap_or_default(),
        data,
    }
}

#[derive(Deserialize)]
struct LoadResponse {
    #[serde(flatten)]
    report: LoadReport,
    #[serde(default)]
    events: Vec<CacheEvent>,
    #[serde(default)]
    next: u64,
}

/// Reports how many tokens of a chat the engine caches now.
#[derive(Deserialize)]
struct CacheEvent {
    seq: u64,
    chat: String,
    tokens: u32,
}

async fn poll(address: SocketAddr, since: u64) -> std::result::Result<LoadPoll, AttemptError> {
    let request = TargetRequest {
        attempt: smol_str::SmolStr::new_static("load"),
        address,
        method: smol_str::SmolStr::new_static("GET"),
        path: format!("/load?since={since}"),
        content_type: smol_str::SmolStr::new_static("application/json"),
        body: Vec::new(),
        priority: 0,
        resume_from: 0,
    };
    let connection = http::connect(address).await?;
    let (response, _driver) = connection.send(http::build_request(&request)?).await?;
    let bytes = exchange::collect(response.into_body(), http::BODY_MAX).await?;
    let response: LoadResponse =
        serde_json::from_slice(&bytes).map_err(|e| AttemptError::Disconnected(e.to_string()))?;
    let events_lost = has_gap(since, &response.events);
    let events = response.events.into_iter();
    Ok(LoadPoll {
        report: response.report,
        cached_chats: events.map(|e| (e.chat, e.tokens)).collect(),
        next_seq: response.next,
        events_lost,
    })
}

/// Whether the sequence numbers of these events, from `since` on, have a gap.
fn has_gap(since: u64, events: &[CacheEvent]) -> bool {
    let numbers = events.iter().map(|e| e.seq);
    let expected_numbers = since..;
    numbers
        .zip(expected_numbers)
        .any(|(seq, expected)| seq != expected)
}
