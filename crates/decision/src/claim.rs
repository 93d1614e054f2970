//! Claims: a request with the caller's own key runs at most once.
//!
//! The claim is a row of the platform's table that only one attempt can
//! insert. It is never taken over: once its holder may have dispatched the
//! request, nobody else may. The phases (claim, act without a transaction,
//! mark) and the guard by the holder's token follow ADR-018, "Persistent
//! Per-Service Event Outbox" (amendment on the lease-based drainer); unlike
//! there, a claim has no lease, because an order must not run again.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Most inserts and read-backs of one claim.
const TRIES: u32 = 4;

/// A claim's row in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Token of the attempt that holds it.
    pub token: SmolStr,
    /// Digest of the request, to tell a repeat from another request.
    pub digest: u64,
    /// How far it has come.
    pub state: ClaimState,
}

/// How far a claimed request has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// It may have been dispatched.
    Claimed,
    /// It ran; the answer's status and, if short, its body.
    Done {
        /// HTTP status.
        status: u16,
        /// Body, if it was short enough to keep.
        body: Option<String>,
    },
    /// Its holder gave it up before any byte left; it may be claimed again.
    Void,
}

/// What the table said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimInput {
    /// The write took effect.
    Written,
    /// The write met another row.
    Conflict(Option<ClaimRow>),
    /// The answer to the write was lost: it may have taken effect.
    Lost,
    /// The row as read.
    Row(Option<ClaimRow>),
    /// The table does not answer a read.
    Down,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Insert the row, or replace the void one.
    Insert(ClaimRow),
    /// Read the row.
    Read,
    /// The claim is held: dispatch.
    Dispatch,
    /// It ran before: give its answer again.
    Repeat {
        /// HTTP status.
        status: u16,
        /// Body, if it was kept.
        body: Option<String>,
    },
    /// Another attempt holds it; whether it ran is unknown here.
    Taken,
    /// The key was used for another request.
    Mismatch,
    /// No claim could be made; the request has not run.
    ///
    /// `void` says that the row may be there all the same, and has to be
    /// voided when the table answers again.
    GiveUp {
        /// Whether a row may be left.
        void: bool,
    },
}

/// State machine of one claim.
#[derive(Clone, Debug)]
pub struct Claim {
    row: ClaimRow,
    tries: u32,
    written: bool,
}

impl Claim {
    /// Starts a claim; `token` must never have been used before.
    pub fn new(token: SmolStr, digest: u64) -> (Self, ClaimStep) {
        let row = ClaimRow {
            token,
            digest,
            state: ClaimState::Claimed,
        };
        let claim = Claim {
            row: row.clone(),
            tries: 1,
            written: false,
        };
        (claim, ClaimStep::Insert(row))
    }

    /// The row that the claim writes.
    pub fn row(&self) -> &ClaimRow {
        &self.row
    }

    /// Takes what the table said and says what to do.
    pub fn on(&mut self, input: ClaimInput) -> ClaimStep {
        match input {
            ClaimInput::Written => ClaimStep::Dispatch,
            ClaimInput::Conflict(None) | ClaimInput::Row(None) => self.insert(),
            ClaimInput::Conflict(Some(row)) | ClaimInput::Row(Some(row)) => self.judge(row),
            ClaimInput::Lost => {
                self.written = true;
                self.retry(ClaimStep::Read)
            }
            ClaimInput::Down => self.retry(ClaimStep::Read),
        }
    }

    fn insert(&mut self) -> ClaimStep {
        let row = self.row.clone();
        self.retry(ClaimStep::Insert(row))
    }

    fn retry(&mut self, step: ClaimStep) -> ClaimStep {
        self.tries += 1;
        if self.tries > TRIES {
            return ClaimStep::GiveUp { void: self.written };
        }
        step
    }

    fn judge(&mut self, row: ClaimRow) -> ClaimStep {
        match row.state {
            ClaimState::Claimed if row.token == self.row.token => ClaimStep::Dispatch,
            _ if row.digest != self.row.digest => ClaimStep::Mismatch,
            ClaimState::Claimed => ClaimStep::Taken,
            ClaimState::Done { status, body } => ClaimStep::Repeat { status, body },
            ClaimState::Void if row.token == self.row.token => ClaimStep::GiveUp { void: false },
            ClaimState::Void => self.insert(),
        }
    }
}
