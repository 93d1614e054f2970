//! Parsing and authorization of callers' requests.

use crate::{
    CHAT_HEADER, CallerApi, KEY_HEADER, Operation, PRIORITY_HEADER, REQUEST_HEADER, Submission,
    WAIT_HEADER, workspace_for_key,
};
use decision::{Error, Result, ServiceKind, Step, VersionedDocument, WorkspaceId, chat_id, digest};
use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use serde_json::{Map, Value};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Maximum length of a header's value, such as a chat's name or a key, in bytes.
const NAME_MAX: usize = 256;
/// Highest priority of a request.
const PRIORITY_MAX: u8 = 9;
/// Priority of a request without a priority header.
const PRIORITY_DEFAULT: u8 = 5;

/// Error in what the caller sent.
pub(crate) fn request_error(code: &'static str, message: impl Into<String>) -> Error {
    Error::new(code, Step::Read, "caller", message)
}

/// Returns the key of the `Authorization` header.
pub(crate) fn bearer_key(headers: &HeaderMap) -> Result<&str> {
    let value = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
    let key = value.and_then(|v| v.strip_prefix("Bearer "));
    key.map(str::trim)
        .filter(|k| !k.is_empty())
        .ok_or_else(|| unauthorized("a bearer key is needed"))
}

fn unauthorized(message: &str) -> Error {
    Error::new("unauthorized", Step::Authorize, "caller", message)
}

/// Returns a service's document and the workspace that the request's key belongs
/// to.
pub(crate) fn authorize(
    api: &dyn CallerApi,
    headers: &HeaderMap,
    service: &str,
) -> Result<(Arc<VersionedDocument>, WorkspaceId)> {
    let key = bearer_key(headers)?;
    let Some(document) = api.document(service) else {
        return Err(unknown_service(api, service));
    };
    let workspace = workspace_for_key(&document.document, key).map(|w| w.id.clone());
    let workspace = workspace.ok_or_else(|| unauthorized("the key names no workspace"))?;
    Ok((document, workspace))
}

/// Error for a service without a document; says so if no document has arrived yet.
fn unknown_service(api: &dyn CallerApi, service: &str) -> Error {
    if api.services().is_empty() {
        let message = "this instance has no service document yet";
        return Error::new("no_configuration", Step::Place, "platform", message);
    }
    let message = format!("there is no service {service:?}");
    Error::new("unknown_service", Step::Read, "caller", message)
}

/// Returns the workspaces of all services that the request's key belongs to.
pub(crate) fn workspaces_for_key(
    api: &dyn CallerApi,
    headers: &HeaderMap,
) -> Result<Vec<WorkspaceId>> {
    let key = bearer_key(headers)?;
    let mut found: Vec<WorkspaceId> = api
        .services()
        .iter()
        .filter_map(|s| api.document(s))
        .filter_map(|d| workspace_for_key(&d.document, key).map(|w| w.id.clone()))
        .collect();
    found.sort();
    found.dedup();
    if found.is_empty() {
        return Err(unauthorized("the key names no workspace"));
    }
    Ok(found)
}

/// Returns a header's value; fails if it is empty, too long or not printable.
pub(crate) fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if text.len() <= NAME_MAX && !text.is_empty() => Ok(Some(text)),
        _ => Err(request_error(
            "malformed",
            format!("header {name} must be 1 to {NAME_MAX} printable characters"),
        )),
    }
}

fn number_header<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>> {
    let Some(text) = text_header(headers, name)? else {
        return Ok(None);
    };
    match text.parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(request_error(
            "malformed",
            format!("header {name} must be a whole number"),
        )),
    }
}

fn priority(headers: &HeaderMap) -> Result<u8> {
    match number_header(headers, PRIORITY_HEADER)? {
        Some(p) if p > PRIORITY_MAX => Err(request_error(
            "malformed",
            format!("header {PRIORITY_HEADER} must be from 0 to {PRIORITY_MAX}"),
        )),
        given => Ok(given.unwrap_or(PRIORITY_DEFAULT)),
    }
}

fn max_wait(headers: &HeaderMap) -> Result<Option<Duration>> {
    Ok(number_header(headers, WAIT_HEADER)?.map(Duration::from_millis))
}

/// Returns the caller's idempotency key: this interface's own header takes
/// precedence over the common one.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<SmolStr>> {
    let specific = text_header(headers, REQUEST_HEADER)?;
    let common = text_header(headers, KEY_HEADER)?;
    Ok(specific.or(common).map(SmolStr::from))
}

/// Parses and authorizes a chat request.
pub(crate) fn parse_chat(
    api: &dyn CallerApi,
    headers: &HeaderMap,
    bytes: &[u8],
) -> Result<Submission> {
    let parsed: std::result::Result<Map<String, Value>, _> = serde_json::from_slice(bytes);
    let body = parsed.map_err(|e| request_error("malformed", format!("body: {e}")))?;
    let Some(model) = body.get("model").and_then(Value::as_str) else {
        return Err(request_error("malformed", "body: model must be a string"));
    };
    let (service, workspace) = authorize(api, headers, model)?;
    if service.document.kind != ServiceKind::Engine {
        let message = format!("service {model:?} does not serve chats");
        return Err(request_error("wrong_kind", message));
    }
    let Some(messages) = body.get("messages").and_then(Value::as_array) else {
        return Err(request_error(
            "malformed",
            "body: messages must be an array",
        ));
    };
    if messages.is_empty() {
        return Err(request_error(
            "malformed",
            "body: messages must not be empty",
        ));
    }
    let given = match text_header(headers, CHAT_HEADER)? {
        Some(name) => Some(name),
        None => body.get("prompt_cache_key").and_then(Value::as_str),
    };
    let chat_name = given.map_or_else(|| default_chat_name(messages), str::to_owned);
    let priority = priority(headers)?;
    Ok(Submission {
        chat: chat_id(model, &workspace, &chat_name),
        chat_name,
        digest: digest(model, messages_text(&body).as_bytes()),
        priority,
        max_wait: max_wait(headers)?,
        idempotency_key: idempotency_key(headers)?,
        workspace,
        service: service.clone(),
        operation: Operation::Chat { body },
    })
}

/// Returns a name for a chat that the caller did not name: a hash of its first
/// two messages, which are the same in each later request of the chat.
fn default_chat_name(messages: &[Value]) -> String {
    let first = messages.iter().take(2).map(Value::to_string);
    let text = first.collect::<Vec<_>>().join("\n");
    format!("{:016x}", digest("", text.as_bytes()))
}

/// Returns the part of a chat request that determines what a target does, for
/// the request's digest.
fn messages_text(body: &Map<String, Value>) -> String {
    body.get("messages")
        .map(Value::to_string)
        .unwrap_or_default()
}

/// Parses and authorizes a request to a plain service.
pub(crate) fn parse_call(
    api: &dyn CallerApi,
    headers: &HeaderMap,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<Submission> {
    let rest = path.strip_prefix("/v1/services/").unwrap_or_default();
    let (service, call) = rest.split_once('/').unwrap_or((rest, ""));
    let (service, workspace) = authorize(api, headers, service)?;
    let document = &service.document;
    if document.kind != ServiceKind::Plain {
        let message = format!("service {:?} is called by chats", document.service);
        return Err(request_error("wrong_kind", message));
    }
    let call_path = call.split('?').next().unwrap_or_default();
    let repeatable = matches!(method, "GET" | "HEAD") || document.is_repeatable(call_path);
    let key = idempotency_key(headers)?;
    let content = [method.as_bytes(), call.as_bytes(), body].concat();
    let digest = digest(&document.service, &content);
    let chat_name = match text_header(headers, CHAT_HEADER)? {
        Some(name) => name.to_owned(),
        None => key
            .clone()
            .map_or_else(|| format!("{digest:016x}"), |k| k.to_string()),
    };
    let content_type = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    Ok(Submission {
        chat: chat_id(&document.service, &workspace, &chat_name),
        chat_name,
        digest,
        priority: priority(headers)?,
        max_wait: max_wait(headers)?,
        idempotency_key: key,
        workspace,
        operation: Operation::Call {
            method: method.into(),
            path: format!("/{call}"),
            content_type: content_type.unwrap_or("application/json").into(),
            body: body.to_vec(),
            repeatable,
        },
        service,
    })
}

/// Parses the parameters of a query; fails if a value is percent-encoded.
pub(crate) fn parse_query(uri: &hyper::Uri) -> Result<BTreeMap<&str, &str>> {
    let text = uri.query().unwrap_or_default();
    let pairs = text.split('&').filter(|p| !p.is_empty());
    pairs
        .map(|pair| match pair.split_once('=') {
            Some((_, value)) if value.contains('%') => Err(request_error(
                "malformed",
                "query values must be plain, without percent signs",
            )),
            Some(pair) => Ok(pair),
            None => Ok((pair, "")),
        })
        .collect()
}
