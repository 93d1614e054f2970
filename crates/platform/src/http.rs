//! The platform's HTTP interface.

use crate::{Directory, Error, Objects, Result, Row, Table, Write, Written};
use decision::Listing;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

/// Seconds after which a call counts as lost.
const TIMEOUT_S: u64 = 2;
/// Status of an object that is not there.
const NOT_FOUND: u16 = 404;

/// Adapter for the platform's HTTP interface.
///
/// Every call opens a connection of its own, so that a connection that has
/// gone silent holds up one call and no more.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    base: String,
}

impl HttpPlatform {
    /// Makes an adapter for the platform at `base`, as in `http://127.0.0.1:7000`.
    pub fn new(base: impl Into<String>) -> Self {
        HttpPlatform { base: base.into() }
    }

    fn post<T: DeserializeOwned>(
        &self,
        step: &'static str,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T> {
        let body = serde_json::to_vec(body).map_err(|e| refused(step, &e))?;
        let request = minreq::post(format!("{}{path}", self.base)).with_body(body);
        decode(step, &send(step, request)?)
    }
}

impl Table for HttpPlatform {
    fn read(&self, keys: &[SmolStr]) -> Result<Vec<Option<Row>>> {
        let rows: Vec<Option<Row>> = self.post("table read", "/table/read", &keys)?;
        check_count("table read", rows, keys.len())
    }

    fn write(&self, writes: &[Write]) -> Result<Vec<Written>> {
        let results: Vec<Written> = self.post("table write", "/table/write", &writes)?;
        check_count("table write", results, writes.len())
    }
}

impl Directory for HttpPlatform {
    fn list(&self) -> Result<Vec<Listing>> {
        let step = "instance list";
        let request = minreq::get(format!("{}/instances", self.base));
        decode(step, &send(step, request)?)
    }

    fn announce(&self, listing: &Listing) -> Result<()> {
        let _: serde_json::Value = self.post("instance announce", "/instances", listing)?;
        Ok(())
    }
}

impl Objects for HttpPlatform {
    fn get(&self, key: &str) -> Result<Option<Vec<u8>>> {
        let request = minreq::get(format!("{}/objects/{key}", self.base));
        let response = request
            .with_timeout(TIMEOUT_S)
            .send()
            .map_err(|e| sort_error("object read", &e))?;
        match response.status_code {
            200 => Ok(Some(response.into_bytes())),
            NOT_FOUND => Ok(None),
            status => Err(refused("object read", &format!("status {status}"))),
        }
    }

    fn put(&self, key: &str, value: &[u8]) -> Result<()> {
        let request = minreq::put(format!("{}/objects/{key}", self.base)).with_body(value);
        send("object write", request).map(drop)
    }
}

fn send(step: &'static str, request: minreq::Request) -> Result<Vec<u8>> {
    let response = request
        .with_timeout(TIMEOUT_S)
        .send()
        .map_err(|e| sort_error(step, &e))?;
    match response.status_code {
        200 => Ok(response.into_bytes()),
        status => Err(refused(step, &format!("status {status}"))),
    }
}

fn decode<T: DeserializeOwned>(step: &'static str, body: &[u8]) -> Result<T> {
    // A write whose answer cannot be read may have taken effect.
    serde_json::from_slice(body).map_err(|e| Error::Lost {
        step,
        message: e.to_string(),
    })
}

fn check_count<T>(step: &'static str, items: Vec<T>, expected: usize) -> Result<Vec<T>> {
    if items.len() == expected {
        return Ok(items);
    }
    let message = format!("{} answers to {expected} questions", items.len());
    Err(Error::Lost { step, message })
}

/// A refused connection proves that nothing was sent; all else may have been.
fn sort_error(step: &'static str, error: &minreq::Error) -> Error {
    match error {
        minreq::Error::IoError(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            refused(step, error)
        }
        _ => Error::Lost {
            step,
            message: error.to_string(),
        },
    }
}

fn refused(step: &'static str, message: &impl ToString) -> Error {
    Error::Refused {
        step,
        message: message.to_string(),
    }
}
