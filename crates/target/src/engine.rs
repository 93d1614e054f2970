//! Model engines: streamed chat completions, load reports and cache events.

use crate::http::{self, Stopped};
use crate::sse::SseReader;
use crate::{Attempt, AttemptEvent, Error, LoadPoll, LoadPollFuture, TargetClient, TargetRequest};
use decision::LoadReport;
use exchange::{MemoryBudget, Reservation};
use http_body_util::BodyExt;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Data of the end mark.
const END_MARK: &str = "[DONE]";
/// Time for one load report.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);

/// Adapter for engines that speak the chat-completions interface.
#[derive(Clone, Debug, Default)]
pub struct EngineClient {
    memory: MemoryBudget,
}

impl EngineClient {
    /// Makes an adapter whose buffered responses count against `memory`.
    pub fn new(memory: MemoryBudget) -> Self {
        EngineClient { memory }
    }
}

impl TargetClient for EngineClient {
    fn dispatch(&self, call: TargetRequest) -> Attempt {
        let memory = self.memory.reservation();
        http::start(|heard| run(call, memory, heard))
    }

    fn poll_load(&self, address: SocketAddr, since: u64) -> LoadPollFuture {
        Box::pin(async move {
            let polled = tokio::time::timeout(POLL_TIMEOUT, poll(address, since)).await;
            let stopped = match polled {
                Ok(Ok(poll)) => return Ok(poll),
                Ok(Err(Stopped::Before { message, .. } | Stopped::After(message))) => message,
                Err(_) => "no answer in time".to_owned(),
            };
            Err(Error {
                step: "load report",
                peer: address,
                message: stopped,
            })
        })
    }
}

async fn run(
    call: TargetRequest,
    mut memory: Reservation,
    heard: flume::Sender<AttemptEvent>,
) -> std::result::Result<(), Stopped> {
    let request = http::http_request(&call)?;
    let sender = http::connect(call.address).await?;
    let _ = heard.send_async(AttemptEvent::Sent).await;
    let (answer, _driver) = sender.send(request).await?;
    let status = answer.status().as_u16();
    if exchange::header_or_empty(&answer, http::NOT_RUN) == "true" {
        return Err(Stopped::Before {
            connect_failed: false,
            message: format!("the engine refused with status {status}"),
        });
    }
    let mut body = answer.into_body();
    if status != 200 {
        let message = read_error(body).await;
        let _ = heard
            .send_async(AttemptEvent::Failed { status, message })
            .await;
        return Ok(());
    }
    let mut reader = SseReader::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| Stopped::After(e.to_string()))?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        let events = reader.push(&bytes);
        let events = events.map_err(|e| Stopped::After(e.to_owned()))?;
        if !memory.try_resize(reader.held()) {
            return Err(exchange::Error::TooLarge.into());
        }
        for data in events {
            let is_end = data == END_MARK;
            let said = if is_end {
                AttemptEvent::End
            } else {
                event(data)
            };
            if heard.send_async(said).await.is_err() || is_end {
                return Ok(());
            }
        }
    }
    Err(Stopped::After("the stream has no end mark".to_owned()))
}

async fn read_error(body: hyper::body::Incoming) -> String {
    let bytes = exchange::collect(body, http::ERROR_MAX).await;
    bytes.map_or_else(
        |_| String::new(),
        |b| String::from_utf8_lossy(&b).into_owned(),
    )
}

#[derive(Deserialize)]
struct Echo {
    #[serde(default)]
    id: smol_str::SmolStr,
}

fn event(data: String) -> AttemptEvent {
    let echo = serde_json::from_str::<Echo>(&data).map(|e| e.id);
    AttemptEvent::Event {
        echoed_id: echo.unwrap_or_default(),
        data,
    }
}

#[derive(Deserialize)]
struct LoadAnswer {
    #[serde(flatten)]
    report: LoadReport,
    #[serde(default)]
    events: Vec<CacheEvent>,
    #[serde(default)]
    next: u64,
}

#[derive(Deserialize)]
struct CacheEvent {
    seq: u64,
    chat: String,
    tokens: u32,
}

async fn poll(address: SocketAddr, since: u64) -> std::result::Result<LoadPoll, Stopped> {
    let call = TargetRequest {
        attempt: smol_str::SmolStr::new_static("load"),
        address,
        method: smol_str::SmolStr::new_static("GET"),
        path: format!("/load?since={since}"),
        content_type: smol_str::SmolStr::new_static("application/json"),
        body: Vec::new(),
        priority: 0,
        resume_from: 0,
    };
    let sender = http::connect(address).await?;
    let (answer, _driver) = sender.send(http::http_request(&call)?).await?;
    let bytes = exchange::collect(answer.into_body(), http::BODY_MAX).await?;
    let answer: LoadAnswer =
        serde_json::from_slice(&bytes).map_err(|e| Stopped::After(e.to_string()))?;
    let events_lost = has_gap(since, &answer.events);
    let events = answer.events.into_iter();
    Ok(LoadPoll {
        report: answer.report,
        cached_chats: events.map(|e| (e.chat, e.tokens)).collect(),
        next_seq: answer.next,
        events_lost,
    })
}

/// Whether a number is missing between the last poll and these events.
fn has_gap(since: u64, events: &[CacheEvent]) -> bool {
    let numbers = events.iter().map(|e| e.seq);
    let expected = since..;
    numbers.zip(expected).any(|(seq, due)| seq != due)
}
