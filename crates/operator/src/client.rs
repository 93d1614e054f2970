//! Client of the operators' interface.

use crate::{ApplyResult, DrainResult, Error, Result, ServiceSummary};
use decision::{Document, MarkKey, Version, Versioned};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Seconds for one call.
const TIMEOUT_S: u64 = 15;

/// Client of one instance's operators' interface.
#[derive(Clone)]
pub struct Client {
    base: String,
    token: String,
}

#[derive(Deserialize)]
struct Refusal {
    error: Error,
}

impl Client {
    /// Makes a client for `address`, an IP address and port.
    pub fn new(address: &str, token: impl Into<String>) -> Self {
        Client {
            base: format!("http://{address}"),
            token: token.into(),
        }
    }

    /// State of the process.
    pub fn state(&self) -> Result<Value> {
        self.call(minreq::get(format!("{}/state", self.base)))
    }

    /// Services in force.
    pub fn services(&self) -> Result<Vec<ServiceSummary>> {
        self.call(minreq::get(format!("{}/services", self.base)))
    }

    /// A document, in force or of an earlier version.
    pub fn document(&self, service: &str, version: Option<Version>) -> Result<Versioned> {
        let query = version.map_or_else(String::new, |v| format!("?version={v}"));
        self.call(minreq::get(format!(
            "{}/services/{service}{query}",
            self.base
        )))
    }

    /// Applies a document in place of version `expect`.
    pub fn apply(
        &self,
        document: &Document,
        expect: Version,
        dry_run: bool,
    ) -> Result<ApplyResult> {
        let body = serde_json::to_vec(document).map_err(|e| Error::Malformed {
            message: e.to_string(),
        })?;
        let service = &document.service;
        let dry_run = u8::from(dry_run);
        let url = format!(
            "{}/services/{service}?expect={expect}&dry_run={dry_run}",
            self.base
        );
        self.call(minreq::put(url).with_body(body))
    }

    /// Takes a failure domain or a target out, or back in.
    pub fn set_drained(&self, key: &MarkKey, drained: bool) -> Result<DrainResult> {
        let way = if drained { "out" } else { "in" };
        let path = match key {
            MarkKey::Domain(name) => format!("domains/{name}"),
            MarkKey::Target(name) => format!("targets/{name}"),
        };
        self.call(minreq::post(format!("{}/{path}/{way}", self.base)))
    }

    /// Releases a digest, in hexadecimal, from quarantine.
    pub fn unquarantine(&self, digest: &str) -> Result<Value> {
        self.call(minreq::post(format!("{}/pardon/{digest}", self.base)))
    }

    /// Begins a graceful shutdown.
    pub fn stop(&self) -> Result<Value> {
        self.call(minreq::post(format!("{}/stop", self.base)))
    }

    fn call<T: DeserializeOwned>(&self, request: minreq::Request) -> Result<T> {
        let request = request
            .with_header("authorization", format!("Bearer {}", self.token))
            .with_timeout(TIMEOUT_S);
        let response = request.send().map_err(|e| self.transport("call", &e))?;
        let body = response.as_bytes();
        if response.status_code == 200 {
            return serde_json::from_slice(body).map_err(|e| self.transport("read answer", &e));
        }
        match serde_json::from_slice::<Refusal>(body) {
            Ok(refusal) => Err(refusal.error),
            Err(e) => Err(self.transport("read answer", &e)),
        }
    }

    fn transport(&self, step: &str, message: &impl ToString) -> Error {
        Error::Transport {
            step: step.to_owned(),
            peer: self.base.clone(),
            message: message.to_string(),
        }
    }
}
