//! The error that crosses every border of the system.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::fmt;

/// Result with this package's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// The step of a request or an order at which an error arose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Reading what the caller or the operator sent.
    Read,
    /// Checking a key, a workspace or a token.
    Authorize,
    /// Finding a target and a slot on it.
    Place,
    /// Claiming a request that may run only once.
    Claim,
    /// Opening a connection to a target.
    Connect,
    /// Sending the request to a target.
    Dispatch,
    /// Reading a target's answer.
    Answer,
    /// Reading or writing the platform's services.
    Platform,
    /// Talking to another instance.
    Mesh,
    /// Checking or accepting a document.
    Configure,
}

/// Whether the request of a refusal ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(expecting = "enum Ran")]
pub enum Execution {
    /// No byte of it left for a target, or the target itself said so.
    #[serde(rename = "not run")]
    NotRun,
    /// It ran, wholly or in part.
    #[serde(rename = "ran")]
    Ran,
    /// It may have run.
    #[serde(rename = "unknown")]
    Unknown,
}

/// An error with the step and the peer at which it arose.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error(Box<Inner>);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Inner {
    code: SmolStr,
    step: Step,
    peer: SmolStr,
    ran: Execution,
    message: String,
}

impl Error {
    /// Makes an error of a request that did not run.
    ///
    /// `code` is a stable word that callers match on.
    pub fn new(code: &'static str, step: Step, peer: &str, message: impl Into<String>) -> Self {
        Error(Box::new(Inner {
            code: SmolStr::new_static(code),
            step,
            peer: peer.into(),
            ran: Execution::NotRun,
            message: message.into(),
        }))
    }

    /// Returns the error with another statement of whether the request ran.
    #[must_use]
    pub fn with_execution(mut self, ran: Execution) -> Self {
        self.0.ran = ran;
        self
    }

    /// Stable word that callers match on.
    pub fn code(&self) -> &str {
        &self.0.code
    }

    /// Step at which the error arose.
    pub fn step(&self) -> Step {
        self.0.step
    }

    /// Peer at which the error arose.
    pub fn peer(&self) -> &str {
        &self.0.peer
    }

    /// Whether the request ran.
    pub fn execution(&self) -> Execution {
        self.0.ran
    }

    /// Description for a person.
    pub fn message(&self) -> &str {
        &self.0.message
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Inner {
            step,
            peer,
            message,
            ..
        } = &*self.0;
        write!(f, "{message} (step {step:?}, peer {peer})")
    }
}

impl std::error::Error for Error {}
