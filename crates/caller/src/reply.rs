//! Answers to callers.

use crate::{REQUEST_HEADER, ResponsePart, ResponseStream};
use decision::{Error, RequestId};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::Response;
use hyper::body::{Bytes, Frame};
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, RETRY_AFTER};
use serde::Serialize;
use serde_json::{Value, json};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Time for which a caller may leave its connection unread.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Events that wait for a caller's connection.
const EVENTS_WAITING: usize = 16;

pub(crate) type Body = BoxBody<Bytes, Infallible>;
pub(crate) type Reply = Response<Body>;

pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed()
}

pub(crate) fn json(status: u16, value: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, "application/json")
        .body(full(body))
        .expect("status and headers are valid")
}

/// HTTP status of a refusal.
fn status(code: &str) -> u16 {
    match code {
        "malformed" | "wrong_kind" | "key_needed" => 400,
        "unauthorized" => 401,
        "not_found" | "unknown_service" | "unknown_request" => 404,
        "claimed" | "key_reused" | "in_progress" => 409,
        "too_large" => 413,
        "wrong_instance" => 421,
        "quarantined" => 422,
        "overloaded" | "queue_timeout" | "no_target" | "no_configuration" | "retry_budget"
        | "stopping" | "claim_unavailable" => 503,
        "timeout" => 504,
        _ => 502,
    }
}

fn error_body(error: &Error, id: Option<&str>) -> Value {
    json!({ "error": {
        "type": "briargap",
        "code": error.code(),
        "message": error.message(),
        "step": error.step(),
        "peer": error.peer(),
        "run": error.execution(),
        "request": id,
    } })
}

pub(crate) fn refuse(error: &Error, id: Option<&RequestId>) -> Reply {
    let status = status(error.code());
    let mut reply = json(status, &error_body(error, id.map(RequestId::as_str)));
    if status == 503 {
        reply.headers_mut().insert(RETRY_AFTER, 1.into());
    }
    name(&mut reply, id);
    reply
}

fn name(reply: &mut Reply, id: Option<&RequestId>) {
    if let Some(value) = id.and_then(|id| id.parse().ok()) {
        reply.headers_mut().insert(REQUEST_HEADER, value);
    }
}

/// Answers with whatever the first part of the answer calls for.
pub(crate) async fn answer(answer: ResponseStream, stream: bool, stalled: Arc<Notify>) -> Reply {
    let id = answer.id.clone();
    let mut reply = match answer.parts.recv_async().await {
        Ok(ResponsePart::Failed(error)) => refuse(&error, Some(&id)),
        Ok(ResponsePart::CompleteResponse {
            status,
            content_type,
            body,
        }) => whole(status, &content_type, &body),
        Ok(first) if stream => events(first, answer.parts, id.clone(), stalled),
        Ok(first) => collect(first, &answer.parts, &id).await,
        Err(_) => refuse(&lost(), Some(&id)),
    };
    name(&mut reply, Some(&id));
    reply
}

fn lost() -> Error {
    let message = "the request ended without an answer";
    Error::new("failed", decision::Step::Answer, "instance", message)
        .with_execution(decision::Execution::Unknown)
}

fn whole(status: u16, content_type: &str, body: &[u8]) -> Reply {
    let reply = Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(full(body.to_vec()));
    reply.unwrap_or_else(|_| Response::new(full(body.to_vec())))
}

/// Streams the parts as events; each goes out as it comes.
fn events(
    first: ResponsePart,
    parts: flume::Receiver<ResponsePart>,
    id: RequestId,
    stalled: Arc<Notify>,
) -> Reply {
    let (sender, frames) = flume::bounded(EVENTS_WAITING);
    tokio::spawn(async move {
        let mut part = first;
        loop {
            let is_last = matches!(part, ResponsePart::End | ResponsePart::Failed(_));
            let frame = Frame::data(Bytes::from(event_text(&part, &id)));
            let sent = tokio::time::timeout(WRITE_TIMEOUT, sender.send_async(Ok(frame))).await;
            match sent {
                Ok(Ok(())) if is_last => return,
                Ok(Ok(())) => {}
                Ok(Err(_)) => return,
                Err(_) => return stalled.notify_one(),
            }
            let Ok(next) = parts.recv_async().await else {
                return;
            };
            part = next;
        }
    });
    let body: StreamBody<_> = StreamBody::new(frames.into_stream());
    Response::builder()
        .header(CONTENT_TYPE, "text/event-stream")
        .header(CACHE_CONTROL, "no-cache")
        .body(BodyExt::boxed(body))
        .expect("headers are valid")
}

fn event_text(part: &ResponsePart, id: &RequestId) -> String {
    match part {
        ResponsePart::Event { index, data } => format!("id: {}\ndata: {data}\n\n", index + 1),
        ResponsePart::End => "data: [DONE]\n\n".to_owned(),
        ResponsePart::Failed(error) => format!("data: {}\n\n", error_body(error, Some(id))),
        ResponsePart::CompleteResponse { .. } => String::new(),
    }
}

/// Collects the events into one answer, for a caller that does not stream.
async fn collect(
    first: ResponsePart,
    parts: &flume::Receiver<ResponsePart>,
    id: &RequestId,
) -> Reply {
    let mut part = first;
    let mut text = String::new();
    let mut last = Value::Null;
    loop {
        match part {
            ResponsePart::Event { data, .. } => {
                let value: Value = serde_json::from_str(&data).unwrap_or_default();
                let piece = &value["choices"][0]["delta"]["content"];
                text.push_str(piece.as_str().unwrap_or_default());
                last = value;
            }
            ResponsePart::End => return json(200, &completion(&text, &last, id)),
            ResponsePart::Failed(error) => return refuse(&error, Some(id)),
            ResponsePart::CompleteResponse { .. } => {}
        }
        let Ok(next) = parts.recv_async().await else {
            return refuse(&lost(), Some(id));
        };
        part = next;
    }
}

fn completion(text: &str, last: &Value, id: &RequestId) -> Value {
    json!({
        "id": id,
        "object": "chat.completion",
        "created": last["created"],
        "model": last["model"],
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": last["choices"][0]["finish_reason"],
        }],
        "usage": last["usage"],
    })
}
