//! Routes of the caller interface.

use crate::parse::{self, request_error};
use crate::response::{self, HttpResponse};
use crate::{CHAT_HEADER, CallerApi};
use decision::{Error, Result, chat_id};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Timeout for reading a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// State that all routes share.
pub(crate) struct Context {
    pub(crate) api: Arc<dyn CallerApi>,
    pub(crate) max_body: usize,
}

/// Serves one request; a failure becomes an error response.
pub(crate) async fn serve(
    context: &Context,
    request: Request<Incoming>,
    stalled: Arc<Notify>,
) -> HttpResponse {
    let routed = route(context, request, stalled).await;
    routed.unwrap_or_else(|error| response::error_response(&error, None))
}

async fn route(
    context: &Context,
    request: Request<Incoming>,
    stalled: Arc<Notify>,
) -> Result<HttpResponse> {
    let (head, body) = request.into_parts();
    let api = &*context.api;
    let path = head.uri.path().to_owned();
    let headers = &head.headers;
    match (&head.method, path.as_str()) {
        (&Method::GET, "/healthz") => Ok(health(api)),
        (&Method::GET, "/v1/locate") => locate(api, headers, &head.uri).await,
        (&Method::GET, "/v1/models") => models(api, headers),
        (&Method::POST, "/v1/requests") => {
            let workspaces = parse::workspaces_for_key(api, headers)?;
            let id = api.issue_id(&workspaces[0])?;
            Ok(response::json(201, &json!({ "request": id })))
        }
        (&Method::POST, "/v1/chat/completions") => {
            let bytes = read_body(body, context.max_body).await?;
            let submission = parse::parse_chat(api, headers, &bytes)?;
            let is_streamed = wants_stream(&submission);
            let response_stream = api.submit(submission).await?;
            Ok(response::into_response(response_stream, is_streamed, stalled).await)
        }
        (method, path) if path.starts_with("/v1/requests/") => {
            let id = path.trim_start_matches("/v1/requests/");
            let workspaces = parse::workspaces_for_key(api, headers)?;
            match *method {
                Method::GET => {
                    let offset = offset(headers, &head.uri)?;
                    let response_stream = api.resume(id, workspaces, offset).await?;
                    Ok(response::into_response(response_stream, true, stalled).await)
                }
                Method::DELETE => {
                    api.cancel(id, &workspaces)?;
                    Ok(response::json(200, &json!({ "withdrawn": id })))
                }
                _ => Err(not_found(&head.method, path)),
            }
        }
        (method, path) if path.starts_with("/v1/services/") => {
            let bytes = read_body(body, context.max_body).await?;
            let path = head.uri.path_and_query().map_or(path, |p| p.as_str());
            let submission = parse::parse_call(api, headers, method.as_str(), path, &bytes)?;
            let response_stream = api.submit(submission).await?;
            Ok(response::into_response(response_stream, false, stalled).await)
        }
        (method, path) => Err(not_found(method, path)),
    }
}

fn not_found(method: &Method, path: &str) -> Error {
    request_error("not_found", format!("there is no {method} {path}"))
}

fn health(api: &dyn CallerApi) -> HttpResponse {
    let is_ready = api.is_ready();
    let status = if is_ready { 200 } else { 503 };
    response::json(status, &json!({ "ready": is_ready }))
}

fn wants_stream(submission: &crate::Submission) -> bool {
    match &submission.operation {
        crate::Operation::Chat { body } => body.get("stream").is_some_and(|s| s == true),
        crate::Operation::Call { .. } => false,
    }
}

async fn locate(
    api: &dyn CallerApi,
    headers: &HeaderMap,
    uri: &hyper::Uri,
) -> Result<HttpResponse> {
    let query = parse::parse_query(uri)?;
    let Some(service) = query.get("service").copied() else {
        return Err(request_error("malformed", "query: service is missing"));
    };
    let (_, workspace) = parse::authorize(api, headers, service)?;
    let from_header = parse::text_header(headers, CHAT_HEADER)?;
    let chat = from_header
        .or(query.get("chat").copied())
        .unwrap_or_default();
    let id = chat_id(service, &workspace, chat);
    let locations = api.locate(service, id).await?;
    Ok(response::json(200, &locations))
}

fn models(api: &dyn CallerApi, headers: &HeaderMap) -> Result<HttpResponse> {
    let key = parse::bearer_key(headers)?;
    let services = api.services();
    let documents = services.iter().filter_map(|s| api.document(s));
    let data: Vec<_> = documents
        .filter(|d| crate::workspace_for_key(&d.document, key).is_some())
        .map(|d| json!({ "id": d.document.service, "object": "model", "owned_by": "briargap" }))
        .collect();
    Ok(response::json(
        200,
        &json!({ "object": "list", "data": data }),
    ))
}

/// Returns the number of events that the caller already has, from the query or
/// the `Last-Event-ID` header.
fn offset(headers: &HeaderMap, uri: &hyper::Uri) -> Result<u64> {
    let query = parse::parse_query(uri)?;
    let from_header = parse::text_header(headers, "last-event-id")?;
    let Some(text) = query.get("offset").copied().or(from_header) else {
        return Ok(0);
    };
    let parsed = text.parse();
    parsed.map_err(|_| request_error("malformed", "offset must be a whole number"))
}

async fn read_body(body: Incoming, limit: usize) -> Result<Vec<u8>> {
    let reading = Limited::new(body, limit).collect();
    match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(body)) => Ok(body.to_bytes().to_vec()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(request_error(
            "too_large",
            format!("the body is over {limit} bytes"),
        )),
        Ok(Err(e)) => Err(request_error("malformed", format!("body: {e}"))),
        Err(_) => Err(request_error("malformed", "the body did not come in time")),
    }
}
