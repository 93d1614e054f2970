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
pub enum ClaimEvent {
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
pub enum ClaimAction {
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
    pub fn new(token: SmolStr, digest: u64) -> (Self, ClaimAction) {
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
        (claim, ClaimAction::Insert(row))
    }

    /// The row that the claim writes.
    pub fn row(&self) -> &ClaimRow {
        &self.row
    }

    /// Takes what the table said and says what to do.
    pub fn handle(&mut self, input: ClaimEvent) -> ClaimAction {
        match input {
            ClaimEvent::Written => ClaimAction::Dispatch,
            ClaimEvent::Conflict(None) | ClaimEvent::Row(None) => self.insert(),
            ClaimEvent::Conflict(Some(row)) | ClaimEvent::Row(Some(row)) => self.judge(row),
            ClaimEvent::Lost => {
                self.written = true;
                self.retry(ClaimAction::Read)
            }
            ClaimEvent::Down => self.retry(ClaimAction::Read),
        }
    }

    fn insert(&mut self) -> ClaimAction {
        let row = self.row.clone();
        self.retry(ClaimAction::Insert(row))
    }

    fn retry(&mut self, step: ClaimAction) -> ClaimAction {
        self.tries += 1;
        if self.tries > TRIES {
            return ClaimAction::GiveUp { void: self.written };
        }
        step
    }

    fn judge(&mut self, row: ClaimRow) -> ClaimAction {
        match row.state {
            ClaimState::Claimed if row.token == self.row.token => ClaimAction::Dispatch,
            _ if row.digest != self.row.digest => ClaimAction::Mismatch,
            ClaimState::Claimed => ClaimAction::Taken,
            ClaimState::Done { status, body } => ClaimAction::Repeat { status, body },
            ClaimState::Void if row.token == self.row.token => ClaimAction::GiveUp { void: false },
            ClaimState::Void => self.insert(),
        }
    }
}
