//! HTTP client for the operators' interface.

use crate::{ApplyResult, DrainResult, Error, Result, ServiceSummary};
use decision::{Document, DrainKey, Version, VersionedDocument};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Timeout of one call, in seconds.
const CALL_TIMEOUT_S: u64 = 15;

/// HTTP client for the operators' interface of one instance.
#[derive(Clone)]
pub struct Client {
    base_url: String,
    token: String,
}

/// Body of a response with an error status.
#[derive(Deserialize)]
#[serde(expecting = "struct Refusal")]
struct ErrorBody {
    error: Error,
}

impl Client {
    /// Creates a client for `address`, an IP address and port.
    pub fn new(address: &str, token: impl Into<String>) -> Self {
        Client {
            base_url: format!("http://{address}"),
            token: token.into(),
        }
    }

    /// Fetches the dump of the instance's state.
    pub fn state(&self) -> Result<Value> {
        self.send(minreq::get(format!("{}/state", self.base_url)))
    }

    /// Lists the services that have a document in force.
    pub fn services(&self) -> Result<Vec<ServiceSummary>> {
        self.send(minreq::get(format!("{}/services", self.base_url)))
    }

    /// Fetches one version of a service document; by default the one in force.
    pub fn document(&self, service: &str, version: Option<Version>) -> Result<VersionedDocument> {
        let query = version.map_or_else(String::new, |v| format!("?version={v}"));
        self.send(minreq::get(format!(
            "{}/services/{service}{query}",
            self.base_url
        )))
    }

    /// Replaces version `expected` of a service document; 0 creates the service.
    ///
    /// With `dry_run` the document is only validated.
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

    /// Drains a failure domain or target, or ends its drain.
    pub fn set_drained(&self, key: &DrainKey, drained: bool) -> Result<DrainResult> {
        let direction = if drained { "out" } else { "in" };
        let path = match key {
            DrainKey::Domain(name) => format!("domains/{name}"),
            DrainKey::Target(name) => format!("targets/{name}"),
        };
        self.send(minreq::post(format!(
            "{}/{path}/{direction}",
            self.base_url
        )))
    }

    /// Releases a request digest, in hexadecimal, from quarantine.
    pub fn unquarantine(&self, digest: &str) -> Result<Value> {
        self.send(minreq::post(format!("{}/pardon/{digest}", self.base_url)))
    }

    /// Begins a graceful shutdown of the instance.
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
