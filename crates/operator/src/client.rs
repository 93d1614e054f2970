//! Client of the operators' interface.

use crate::{ApplyResult, DrainResult, Error, Result, ServiceSummary};
use decision::{Document, MarkKey, Version, Versioned};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Seconds for one call.
const CALL_TIMEOUT_S: u64 = 15;

/// Client of one instance's operators' interface.
#[derive(Clone)]
pub struct Client {
    base_url: String,
    token: String,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: Error,
}

impl Client {
    /// Makes a client for `address`, an IP address and port.
    pub fn new(address: &str, token: impl Into<String>) -> Self {
        Client {
            base_url: format!("http://{address}"),
            token: token.into(),
        }
    }

    /// State of the process.
    pub fn state(&self) -> Result<Value> {
        self.send(minreq::get(format!("{}/state", self.base_url)))
    }

    /// Services in force.
    pub fn services(&self) -> Result<Vec<ServiceSummary>> {
        self.send(minreq::get(format!("{}/services", self.base_url)))
    }

    /// A document, in force or of an earlier version.
    pub fn document(&self, service: &str, version: Option<Version>) -> Result<Versioned> {
        let query = version.map_or_else(String::new, |v| format!("?version={v}"));
        self.send(minreq::get(format!(
            "{}/services/{service}{query}",
            self.base_url
        )))
    }

    /// Applies a document in place of version `expected`.
    pub fn apply(
        &self,
        document: &Document,
        expected: Version,
        dry_run: bool,
    ) -> Result<ApplyResult> {
        let body = serde_json::to_vec(document).map_err(|e| Error::Malformed {
            message: e.to_string(),
        })?;
        let service = &document.service;
        let dry_run = u8::from(dry_run);
        let url = format!(
            "{}/services/{service}?expect={expected}&dry_run={dry_run}",
            self.base_url
        );
        self.send(minreq::put(url).with_body(body))
    }

    /// Takes a failure domain or a target out, or back in.
    pub fn set_drained(&self, key: &MarkKey, drained: bool) -> Result<DrainResult> {
        let direction = if drained { "out" } else { "in" };
        let path = match key {
            MarkKey::Domain(name) => format!("domains/{name}"),
            MarkKey::Target(name) => format!("targets/{name}"),
        };
        self.send(minreq::post(format!(
            "{}/{path}/{direction}",
            self.base_url
        )))
    }

    /// Releases a digest, in hexadecimal, from quarantine.
    pub fn unquarantine(&self, digest: &str) -> Result<Value> {
        self.send(minreq::post(format!("{}/pardon/{digest}", self.base_url)))
    }

    /// Begins a graceful shutdown.
    pub fn stop(&self) -> Result<Value> {
        self.send(minreq::post(format!("{}/stop", self.base_url)))
    }

    fn send<T: DeserializeOwned>(&self, request: minreq::Request) -> Result<T> {
        let request = request
            .with_header("authorization", format!("Bearer {}", self.token))
            .with_timeout(CALL_TIMEOUT_S);
        let response = request
            .send()
            .map_err(|e| self.transport_error("call", &e))?;
        let body = response.as_bytes();
        if response.status_code == 200 {
            return serde_json::from_slice(body)
                .map_err(|e| self.transport_error("read answer", &e));
        }
        match serde_json::from_slice::<ErrorBody>(body) {
            Ok(body) => Err(body.error),
            Err(e) => Err(self.transport_error("read answer", &e)),
        }
    }

    fn transport_error(&self, step: &str, message: &impl ToString) -> Error {
        Error::Transport {
            step: step.to_owned(),
            peer: self.base_url.clone(),
            message: message.to_string(),
        }
    }
}
