//! Claims, by which a request with the caller's idempotency key runs at most once.
//!
//! A claim is a row of the platform's table that only one attempt can insert. It
//! is never taken over: once its holder may have dispatched the request, no other
//! attempt may. The phases (claim, act without a transaction, mark as done) and
//! the check of the holder's token follow ADR-018, "Persistent Per-Service Event
//! Outbox" (amendment on the lease-based drainer). Unlike there, a claim has no
//! lease, because a request that is not idempotent must not run again.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Inserts and reads per claim.
const MAX_TRIES: u32 = 4;

/// Row of a claim in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Unique token of the attempt that holds the claim.
    pub token: SmolStr,
    /// Digest of the request, which distinguishes a repetition of the request
    /// from another request under the same key.
    pub digest: u64,
    /// Progress of the request.
    pub state: ClaimState,
}

/// Progress of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// It may have been dispatched.
    Claimed,
    /// It ran and its response is known.
    Done {
        /// HTTP status.
        status: u16,
        /// Body, if it was short enough to store.
        body: Option<String>,
    },
    /// The holder gave up before it sent any byte; the key may be claimed again.
    Void,
}

/// Result of a call of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The write took effect.
    Written,
    /// The write found another row, or none, in place of the expected one.
    Conflict(Option<ClaimRow>),
    /// The result of the write was lost; it may have taken effect.
    Lost,
    /// The row that was read.
    Row(Option<ClaimRow>),
    /// The call failed without effect, or a read failed.
    Down,
}

/// Next action for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Insert the row, or replace a void one.
    Insert(ClaimRow),
    /// Read the row.
    Read,
    /// The claim is held: dispatch the request.
    Dispatch,
    /// The request ran before: return the stored response.
    Repeat {
        /// HTTP status.
        status: u16,
        /// Body, if it was stored.
        body: Option<String>,
    },
    /// Another attempt holds the claim, and its request may have run.
    Taken,
    /// The key was used for another request.
    Mismatch,
    /// The claim failed; the request has not run.
    ///
    /// If `void` is set, the row may have been inserted all the same and must be
    /// voided once the table is available again.
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
    /// Whether the result of an insert was lost.
    maybe_written: bool,
}

impl Claim {
    /// Creates a claim and its first action.
    ///
    /// `token` must never have been used before.
    pub fn new(token: SmolStr, digest: u64) -> (Self, ClaimAction) {
        let row = ClaimRow {
            token,
            digest,
            state: ClaimState::Claimed,
        };
        let claim = Claim {
            row: row.clone(),
            tries: 1,
            maybe_written: false,
        };
        (claim, ClaimAction::Insert(row))
    }

    /// Returns the row that the claim inserts.
    pub fn row(&self) -> &ClaimRow {
        &self.row
    }

    /// Processes the result of the last action and returns the next one.
    pub fn handle(&mut self, event: ClaimEvent) -> ClaimAction {
        match event {
            ClaimEvent::Written => ClaimAction::Dispatch,
            ClaimEvent::Conflict(None) | ClaimEvent::Row(None) => self.insert(),
            ClaimEvent::Conflict(Some(row)) | ClaimEvent::Row(Some(row)) => self.handle_row(row),
            ClaimEvent::Lost => {
                self.maybe_written = true;
                self.retry(ClaimAction::Read)
            }
            ClaimEvent::Down => self.retry(ClaimAction::Read),
        }
    }

    fn insert(&mut self) -> ClaimAction {
        let row = self.row.clone();
        self.retry(ClaimAction::Insert(row))
    }

    /// Returns the action unless the tries are used up.
    fn retry(&mut self, action: ClaimAction) -> ClaimAction {
        self.tries += 1;
        if self.tries > MAX_TRIES {
            return ClaimAction::GiveUp {
                void: self.maybe_written,
            };
        }
        action
    }

    /// Decides by the row that is in the table.
    fn handle_row(&mut self, row: ClaimRow) -> ClaimAction {
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
