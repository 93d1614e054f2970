//! Error type of requests and orders, as shown to callers and operators.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::fmt;

/// Result with this package's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Step of a request or an operator's order at which an error occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Reading what the caller or the operator sent.
    Read,
    /// Checking a key, a workspace or a token.
    Authorize,
    /// Finding a target with a free slot.
    Place,
    /// Claiming a request that may run at most once.
    Claim,
    /// Opening a connection to a target.
    Connect,
    /// Sending the request to a target.
    Dispatch,
    /// Reading a target's response.
    Answer,
    /// Reading or writing the platform's services.
    Platform,
    /// Communicating with another instance.
    Mesh,
    /// Checking or accepting a document.
    Configure,
}

/// Whether a request that failed has run at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(expecting = "enum Ran")]
pub enum Execution {
    /// No byte of it was sent, or the target reported that it did not run.
    #[serde(rename = "not run")]
    NotRun,
    /// It ran, at least in part.
    #[serde(rename = "ran")]
    Ran,
    /// It may have run.
    #[serde(rename = "unknown")]
    Unknown,
}

/// An error with the step and the peer at which it occurred.
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
    /// Creates an error of a request that did not run.
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

    /// Sets whether the request ran.
    #[must_use]
    pub fn with_execution(mut self, ran: Execution) -> Self {
        self.0.ran = ran;
        self
    }

    /// Returns the stable word that callers match on.
    pub fn code(&self) -> &str {
        &self.0.code
    }

    /// Returns the step at which the error occurred.
    pub fn step(&self) -> Step {
        self.0.step
    }

    /// Returns the peer at which the error occurred.
    pub fn peer(&self) -> &str {
        &self.0.peer
    }

    /// Returns whether the request ran.
    pub fn execution(&self) -> Execution {
        self.0.ran
    }

    /// Returns the description for humans.
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
