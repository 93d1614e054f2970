//! The listening socket for operators.

use crate::{Error, OperatorApi, Result};
use decision::{Document, MarkKey};
use serde::Serialize;
use serde_json::json;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use subtle::ConstantTimeEq;
use tiny_http::{Header, Method, Request, Response};

/// Most bytes of a document.
const BODY_MAX: u64 = 1 << 20;

/// The operators' interface of one instance.
pub struct Server {
    http: Arc<tiny_http::Server>,
    local: SocketAddr,
}

impl Server {
    /// Opens the socket and serves operators on a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound.
    pub fn start(
        listen: SocketAddr,
        token: String,
        control: Arc<dyn OperatorApi>,
    ) -> std::io::Result<Server> {
        let http = tiny_http::Server::http(listen).map_err(std::io::Error::other)?;
        let http = Arc::new(http);
        let local = http.server_addr().to_ip().unwrap_or(listen);
        let served = http.clone();
        std::thread::Builder::new()
            .name("operator".to_owned())
            .spawn(move || {
                for request in served.incoming_requests() {
                    serve(request, &token, &*control);
                }
            })?;
        Ok(Server { http, local })
    }

    /// Address on which operators are served.
    pub fn local_addr(&self) -> SocketAddr {
        self.local
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.http.unblock();
    }
}

fn serve(mut request: Request, token: &str, control: &dyn OperatorApi) {
    let answered = route(&mut request, token, control);
    let (status, body) = match answered {
        Ok(body) => (200, body),
        Err(e) => (status(&e), json!({ "error": e, "message": e.to_string() })),
    };
    let header = Header::from_bytes("content-type", "application/json").expect("valid header");
    let response = Response::from_string(body.to_string())
        .with_status_code(status)
        .with_header(header);
    // An operator that has gone does not need the answer.
    let _ = request.respond(response);
}

fn status(error: &Error) -> u16 {
    match error {
        Error::Unauthorized => 401,
        Error::NotFound { .. } => 404,
        Error::Invalid { .. } | Error::Malformed { .. } => 400,
        Error::Conflict { .. } => 409,
        Error::Platform { .. } | Error::Transport { .. } => 503,
    }
}

fn route(
    request: &mut Request,
    token: &str,
    control: &dyn OperatorApi,
) -> Result<serde_json::Value> {
    authorize(request, token)?;
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let method = request.method().clone();
    match (&method, parts.as_slice()) {
        (Method::Get, ["state"]) => Ok(control.state()),
        (Method::Get, ["services"]) => value(&control.services()),
        (Method::Get, ["services", service]) => {
            let version = number(query, "version")?;
            value(&control.document(service, version)?)
        }
        (Method::Put, ["services", service]) => {
            let document = read_document(request, service)?;
            let expect = number(query, "expect")?.unwrap_or(0);
            let dry_run = number(query, "dry_run")?.unwrap_or(0) != 0;
            value(&control.apply(document, expect, dry_run)?)
        }
        (Method::Post, ["domains", domain, way]) => {
            value(&control.set_drained(MarkKey::Domain((*domain).into()), is_out(way)?)?)
        }
        (Method::Post, ["targets", target, way]) => {
            value(&control.set_drained(MarkKey::Target((*target).into()), is_out(way)?)?)
        }
        (Method::Post, ["pardon", digest]) => {
            let digest = u64::from_str_radix(digest, 16);
            let digest = digest.map_err(|_| malformed("a digest is 16 hexadecimal digits"))?;
            control.unquarantine(digest)?;
            Ok(json!({ "released": format!("{digest:016x}") }))
        }
        (Method::Post, ["stop"]) => {
            control.stop();
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
    let given = headers.find(|h| h.field.equiv("authorization"));
    let is_right = given.is_some_and(|h| {
        let value = h.value.as_str().as_bytes();
        bool::from(value.ct_eq(expected.as_bytes()))
    });
    if is_right {
        return Ok(());
    }
    Err(Error::Unauthorized)
}

fn read_document(request: &mut Request, service: &str) -> Result<Document> {
    let mut bytes = Vec::new();
    let mut body = request.as_reader().take(BODY_MAX + 1);
    body.read_to_end(&mut bytes)
        .map_err(|e| malformed(&format!("body: {e}")))?;
    if bytes.len() as u64 > BODY_MAX {
        return Err(malformed(&format!("the document is over {BODY_MAX} bytes")));
    }
    let document: Document =
        serde_json::from_slice(&bytes).map_err(|e| malformed(&format!("document: {e}")))?;
    if document.service != service {
        let message = format!("the document is of service {:?}", document.service);
        return Err(malformed(&message));
    }
    Ok(document)
}

fn is_out(way: &str) -> Result<bool> {
    match way {
        "out" => Ok(true),
        "in" => Ok(false),
        _ => Err(malformed("an order is out or in")),
    }
}

fn number(query: &str, name: &str) -> Result<Option<u64>> {
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    let Some((_, text)) = pairs.find(|(n, _)| *n == name) else {
        return Ok(None);
    };
    let parsed = text.parse().map(Some);
    parsed.map_err(|_| malformed(&format!("{name} must be a whole number")))
}

fn value(value: &impl Serialize) -> Result<serde_json::Value> {
    serde_json::to_value(value).map_err(|e| malformed(&e.to_string()))
}

fn malformed(message: &str) -> Error {
    Error::Malformed {
        message: message.to_owned(),
    }
}
