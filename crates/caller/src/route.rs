//! Routes of the caller interface.

use crate::parse::{self, read_error};
use crate::reply::{self, Reply};
use crate::{CHAT_HEADER, CallerApi};
use decision::{Error, Result, chat_id};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Time for a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// What every route needs.
pub(crate) struct Context {
    pub(crate) api: Arc<dyn CallerApi>,
    pub(crate) body_max: usize,
}

/// Answers one request.
pub(crate) async fn serve(
    context: &Context,
    request: Request<Incoming>,
    stalled: Arc<Notify>,
) -> Reply {
    let served = route(context, request, stalled).await;
    served.unwrap_or_else(|error| reply::refuse(&error, None))
}

async fn route(
    context: &Context,
    request: Request<Incoming>,
    stalled: Arc<Notify>,
) -> Result<Reply> {
    let (head, body) = request.into_parts();
    let api = &*context.api;
    let path = head.uri.path().to_owned();
    let headers = &head.headers;
    match (&head.method, path.as_str()) {
        (&Method::GET, "/healthz") => Ok(health(api)),
        (&Method::GET, "/v1/locate") => locate(api, headers, &head.uri).await,
        (&Method::GET, "/v1/models") => models(api, headers),
        (&Method::POST, "/v1/requests") => {
            let workspaces = parse::workspaces_of(api, headers)?;
            let id = api.issue_id(&workspaces[0])?;
            Ok(reply::json(201, &json!({ "request": id })))
        }
        (&Method::POST, "/v1/chat/completions") => {
            let bytes = read_body(body, context.body_max).await?;
            let submission = parse::chat(api, headers, &bytes)?;
            let stream = wants_stream(&submission);
            let answer = api.submit(submission).await?;
            Ok(reply::answer(answer, stream, stalled).await)
        }
        (method, path) if path.starts_with("/v1/requests/") => {
            let id = path.trim_start_matches("/v1/requests/");
            let workspaces = parse::workspaces_of(api, headers)?;
            match *method {
                Method::GET => {
                    let offset = offset(headers, &head.uri)?;
                    let answer = api.resume(id, workspaces, offset).await?;
                    Ok(reply::answer(answer, true, stalled).await)
                }
                Method::DELETE => {
                    api.cancel(id, &workspaces)?;
                    Ok(reply::json(200, &json!({ "withdrawn": id })))
                }
                _ => Err(not_found(&head.method, path)),
            }
        }
        (method, path) if path.starts_with("/v1/services/") => {
            let bytes = read_body(body, context.body_max).await?;
            let path = head.uri.path_and_query().map_or(path, |p| p.as_str());
            let submission = parse::call(api, headers, method.as_str(), path, &bytes)?;
            let answer = api.submit(submission).await?;
            Ok(reply::answer(answer, false, stalled).await)
        }
        (method, path) => Err(not_found(method, path)),
    }
}

fn not_found(method: &Method, path: &str) -> Error {
    read_error("not_found", format!("there is no {method} {path}"))
}

fn health(api: &dyn CallerApi) -> Reply {
    let is_ready = api.is_ready();
    let status = if is_ready { 200 } else { 503 };
    reply::json(status, &json!({ "ready": is_ready }))
}

fn wants_stream(submission: &crate::Submission) -> bool {
    match &submission.operation {
        crate::Operation::Chat { body } => body.get("stream").is_some_and(|s| s == true),
        crate::Operation::Call { .. } => false,
    }
}

async fn locate(api: &dyn CallerApi, headers: &HeaderMap, uri: &hyper::Uri) -> Result<Reply> {
    let query = parse::query(uri)?;
    let Some(service) = query.get("service").copied() else {
        return Err(read_error("malformed", "query: service is missing"));
    };
    let (_, workspace) = parse::authorize(api, headers, service)?;
    let named = parse::header(headers, CHAT_HEADER)?;
    let chat = named.or(query.get("chat").copied()).unwrap_or_default();
    let id = chat_id(service, &workspace, chat);
    let located = api.locate(service, id).await?;
    Ok(reply::json(200, &located))
}

fn models(api: &dyn CallerApi, headers: &HeaderMap) -> Result<Reply> {
    let key = parse::bearer(headers)?;
    let services = api.services();
    let named = services.iter().filter_map(|s| api.document(s));
    let data: Vec<_> = named
        .filter(|d| crate::workspace_for_key(&d.document, key).is_some())
        .map(|d| json!({ "id": d.document.service, "object": "model", "owned_by": "briargap" }))
        .collect();
    Ok(reply::json(200, &json!({ "object": "list", "data": data })))
}

/// Events that the caller has already, by query or by the header of event streams.
fn offset(headers: &HeaderMap, uri: &hyper::Uri) -> Result<u64> {
    let query = parse::query(uri)?;
    let named = parse::header(headers, "last-event-id")?;
    let Some(text) = query.get("offset").copied().or(named) else {
        return Ok(0);
    };
    let parsed = text.parse();
    parsed.map_err(|_| read_error("malformed", "offset must be a whole number"))
}

async fn read_body(body: Incoming, most: usize) -> Result<Vec<u8>> {
    let reading = Limited::new(body, most).collect();
    match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(body)) => Ok(body.to_bytes().to_vec()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(read_error(
            "too_large",
            format!("the body is over {most} bytes"),
        )),
        Ok(Err(e)) => Err(read_error("malformed", format!("body: {e}"))),
        Err(_) => Err(read_error("malformed", "the body did not come in time")),
    }
}
