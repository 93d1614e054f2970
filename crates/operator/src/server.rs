//! HTTP server for the operators' interface.

use crate::{Error, OperatorApi, Result};
use decision::{Document, DrainKey};
use serde::Serialize;
use serde_json::json;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use subtle::ConstantTimeEq;
use tiny_http::{Header, Method, Request, Response};

/// Size limit of a service document.
const MAX_DOCUMENT_BYTES: u64 = 1 << 20;

/// HTTP server for the operators' interface of one instance.
///
/// Dropping it ends its thread.
pub struct Server {
    http: Arc<tiny_http::Server>,
    local_addr: SocketAddr,
}

impl Server {
    /// Binds `listen` and serves operators on a dedicated thread.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the thread cannot be started.
    pub fn start(
        listen: SocketAddr,
        token: String,
        api: Arc<dyn OperatorApi>,
    ) -> std::io::Result<Server> {
        let http = tiny_http::Server::http(listen).map_err(std::io::Error::other)?;
        let http = Arc::new(http);
        let local_addr = http.server_addr().to_ip().unwrap_or(listen);
        let listener = http.clone();
        std::thread::Builder::new()
            .name("operator".to_owned())
            .spawn(move || {
                for request in listener.incoming_requests() {
                    serve(request, &token, &*api);
                }
            })?;
        Ok(Server { http, local_addr })
    }

    /// Returns the bound address.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.http.unblock();
    }
}

fn serve(mut request: Request, token: &str, api: &dyn OperatorApi) {
    let result = route(&mut request, token, api);
    let (status, body) = match result {
        Ok(body) => (200, body),
        Err(e) => (
            status_code(&e),
            json!({ "error": e, "message": e.to_string() }),
        ),
    };
    let header = Header::from_bytes("content-type", "application/json").expect("valid header");
    let response = Response::from_string(body.to_string())
        .with_status_code(status)
        .with_header(header);
    // Sending fails if the operator has closed the connection.
    let _ = request.respond(response);
}

fn status_code(error: &Error) -> u16 {
    match error {
        Error::Unauthorized => 401,
        Error::NotFound { .. } => 404,
        Error::Invalid { .. } | Error::Malformed { .. } => 400,
        Error::Conflict { .. } => 409,
        Error::Platform { .. } | Error::Transport { .. } => 503,
    }
}

fn route(request: &mut Request, token: &str, api: &dyn OperatorApi) -> Result<serde_json::Value> {
    authorize(request, token)?;
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    let method = request.method().clone();
    match (&method, segments.as_slice()) {
        (Method::Get, ["state"]) => Ok(api.state()),
        (Method::Get, ["services"]) => to_json(&api.services()),
        (Method::Get, ["services", service]) => {
            let version = query_number(query, "version")?;
            to_json(&api.document(service, version)?)
        }
        (Method::Put, ["services", service]) => {
            let document = read_document(request, service)?;
            let expected = query_number(query, "expect")?.unwrap_or(0);
            let dry_run = query_number(query, "dry_run")?.unwrap_or(0) != 0;
            to_json(&api.apply(document, expected, dry_run)?)
        }
        (Method::Post, ["domains", domain, direction]) => to_json(&api.set_drained(
            DrainKey::Domain((*domain).into()),
            parse_drained(direction)?,
        )?),
        (Method::Post, ["targets", target, direction]) => to_json(&api.set_drained(
            DrainKey::Target((*target).into()),
            parse_drained(direction)?,
        )?),
        (Method::Post, ["pardon", digest]) => {
            let digest = u64::from_str_radix(digest, 16);
            let digest = digest.map_err(|_| malformed("a digest is 16 hexadecimal digits"))?;
            api.unquarantine(digest)?;
            Ok(json!({ "released": format!("{digest:016x}") }))
        }
        (Method::Post, ["stop"]) => {
            api.stop();
            Ok(json!({ "stopping": true }))
        }
        _ => Err(Error::NotFound {
            what: format!("{method} {path}"),
        }),
    }
}

fn authorize(request: &Request, token: &str) -> Result<()> {
    let expected = format!("Bearer {token}");
    let mut headers = request.headers().iter();
    let header = headers.find(|h| h.field.equiv("authorization"));
    let is_authorized = header.is_some_and(|h| {
        let value = h.value.as_str().as_bytes();
        bool::from(value.ct_eq(expected.as_bytes()))
    });
    if is_authorized {
        return Ok(());
    }
    Err(Error::Unauthorized)
}

fn read_document(request: &mut Request, service: &str) -> Result<Document> {
    let mut bytes = Vec::new();
    let mut body = request.as_reader().take(MAX_DOCUMENT_BYTES + 1);
    body.read_to_end(&mut bytes)
        .map_err(|e| malformed(&format!("body: {e}")))?;
    if bytes.len() as u64 > MAX_DOCUMENT_BYTES {
        return Err(malformed(&format!(
            "the document is over {MAX_DOCUMENT_BYTES} bytes"
        )));
    }
    let document: Document =
        serde_json::from_slice(&bytes).map_err(|e| malformed(&format!("document: {e}")))?;
    if document.service != service {
        let message = format!("the document is of service {:?}", document.service);
        return Err(malformed(&message));
    }
    Ok(document)
}

/// Parses the last path segment of a drain call: `out` starts a drain, `in` ends it.
fn parse_drained(direction: &str) -> Result<bool> {
    match direction {
        "out" => Ok(true),
        "in" => Ok(false),
        _ => Err(malformed("an order is out or in")),
    }
}

/// Returns a numeric query parameter, or `None` if it is absent.
fn query_number(query: &str, name: &str) -> Result<Option<u64>> {
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    let Some((_, text)) = pairs.find(|(n, _)| *n == name) else {
        return Ok(None);
    };
    let parsed = text.parse().map(Some);
    parsed.map_err(|_| malformed(&format!("{name} must be a whole number")))
}

fn to_json(value: &impl Serialize) -> Result<serde_json::Value> {
    serde_json::to_value(value).map_err(|e| malformed(&e.to_string()))
}

fn malformed(message: &str) -> Error {
    Error::Malformed {
        message: message.to_owned(),
    }
}
