//! Requests that must run at most once.
//!
//! Such a request carries one of two keys. Under an idempotency key of the caller's own,
//! the instance inserts a claim into the platform's store, and only the holder of the
//! claim dispatches the request. An issued id comes from this instance and is valid once,
//! here only, which needs no call to the store.

use crate::store::Store;
use decision::{
    Claim, ClaimAction, ClaimEvent, ClaimRow, ClaimState, Error, Execution, InstanceId, RequestId,
    RequestOutcome, Result, ServiceId, Step, WorkspaceId,
};
use platform::{ConditionalWrite, Record, StoreError, WriteOutcome};
use rand::Rng;
use smol_str::{SmolStr, format_smolstr};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Prefix of every issued id.
const ISSUED_PREFIX: &str = "bg-";
/// Time for which an issued id is valid.
const ISSUED_ID_TTL: Duration = Duration::from_secs(3_600);
/// Largest number of issued ids that are valid at once.
const MAX_ISSUED_IDS: usize = 100_000;
/// Size limit of a response body that is kept in the row of a claim.
const MAX_KEPT_BODY: usize = 4 << 10;
/// Attempts to write the final state of a claim.
const MAX_CONCLUDE_TRIES: u32 = 60;
/// Pause between two such attempts.
const CONCLUDE_PAUSE: Duration = Duration::from_secs(2);

/// Claim that this instance holds.
pub(crate) struct HeldClaim {
    key: SmolStr,
    row: ClaimRow,
    /// Version of the row in the store; 0 if no row was found.
    version: u64,
}

/// Result of an attempt to claim a request.
pub(crate) enum ClaimResult {
    /// The claim is held, so the request may run.
    Held(HeldClaim),
    /// The request ran before; status of its response and the body, if it was kept.
    AlreadyRan(u16, Option<String>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IdState {
    Unused,
    Used,
}

#[derive(Debug)]
struct IssuedId {
    workspace: WorkspaceId,
    state: IdState,
    expires: Instant,
}

/// Ids issued by this instance, each valid for one request here.
#[derive(Debug)]
pub(crate) struct IssuedIds {
    instance: InstanceId,
    incarnation: u64,
    ids: Mutex<IdTable>,
}

#[derive(Debug, Default)]
struct IdTable {
    last_seq: u64,
    by_seq: BTreeMap<u64, IssuedId>,
}

/// Result of an attempt to use an issued id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdUse {
    /// The id was unused, so the request may run.
    FirstUse,
    /// The id has been used at this instance.
    AlreadyUsed,
    /// This instance did not issue the id, issued it to another workspace, or it has
    /// expired.
    Unknown,
}

impl IssuedIds {
    pub(crate) fn new(instance: InstanceId, incarnation: u64) -> Self {
        IssuedIds {
            instance,
            incarnation,
            ids: Mutex::new(IdTable::default()),
        }
    }

    /// Issues an id.
    ///
    /// # Errors
    ///
    /// Fails if too many ids are valid at once.
    pub(crate) fn issue(&self, workspace: &WorkspaceId) -> Result<RequestId> {
        let mut ids = self.ids.lock().expect("issued ids");
        ids.by_seq.retain(|_, id| id.expires > Instant::now());
        if ids.by_seq.len() >= MAX_ISSUED_IDS {
            let message = "too many ids are waiting for their use";
            return Err(Error::new("overloaded", Step::Claim, "instance", message));
        }
        ids.last_seq += 1;
        let seq = ids.last_seq;
        let issued = IssuedId {
            workspace: workspace.clone(),
            state: IdState::Unused,
            expires: Instant::now() + ISSUED_ID_TTL,
        };
        ids.by_seq.insert(seq, issued);
        Ok(self.format_id(seq))
    }

    fn format_id(&self, seq: u64) -> RequestId {
        let IssuedIds {
            instance,
            incarnation,
            ..
        } = self;
        format_smolstr!("{ISSUED_PREFIX}{instance}.{incarnation}.{seq}")
    }

    /// Uses an id, if it is valid for this workspace and unused.
    pub(crate) fn try_use(&self, id: &str, workspace: &str) -> IdUse {
        let mut ids = self.ids.lock().expect("issued ids");
        let seq = id.rsplit('.').next().and_then(|s| s.parse::<u64>().ok());
        let Some(seq) = seq.filter(|s| self.format_id(*s) == id) else {
            return IdUse::Unknown;
        };
        match ids.by_seq.get_mut(&seq) {
            Some(issued) if issued.workspace != workspace || issued.expires <= Instant::now() => {
                IdUse::Unknown
            }
            Some(issued) if issued.state == IdState::Used => IdUse::AlreadyUsed,
            Some(issued) => {
                issued.state = IdState::Used;
                IdUse::FirstUse
            }
            None => IdUse::Unknown,
        }
    }

    /// Makes an id usable again after a request that did not run.
    pub(crate) fn restore_use(&self, id: &str) {
        let seq = id.rsplit('.').next().and_then(|s| s.parse::<u64>().ok());
        let mut ids = self.ids.lock().expect("issued ids");
        if let Some(issued) = seq.and_then(|s| ids.by_seq.get_mut(&s)) {
            issued.state = IdState::Unused;
        }
    }
}

/// Returns the instance and incarnation that issued an id, or `None` if the id does not
/// have that form.
pub(crate) fn issuer(id: &str) -> Option<(&str, u64)> {
    let (rest, _) = id.strip_prefix(ISSUED_PREFIX)?.rsplit_once('.')?;
    let (instance, incarnation) = rest.rsplit_once('.')?;
    Some((instance, incarnation.parse().ok()?))
}

/// Returns whether a key has the prefix of an issued id.
pub(crate) fn is_issued_id(key: &str) -> bool {
    key.starts_with(ISSUED_PREFIX)
}

/// Claims a request under the caller's own idempotency key.
///
/// # Errors
///
/// Fails if another attempt holds the claim, the key was used for another request, or the
/// store does not respond.
pub(crate) async fn claim(
    store: &Store,
    instance: &InstanceId,
    scope: (&WorkspaceId, &ServiceId),
    key: &str,
    digest: u64,
) -> Result<ClaimResult> {
    let (workspace, service) = scope;
    let key = format_smolstr!("claim/{workspace}/{service}/{key}");
    let unique: u64 = rand::rng().random();
    let token = format_smolstr!("{instance}-{unique:016x}");
    let (mut claim, mut action) = Claim::new(token, digest);
    let mut version = 0;
    loop {
        let event = match action {
            ClaimAction::Insert(ref row) => write_row(store, &key, row, &mut version).await,
            ClaimAction::Read => read_row(store, &key, &mut version).await,
            ClaimAction::Dispatch => {
                return Ok(ClaimResult::Held(HeldClaim {
                    key,
                    row: claim.row().clone(),
                    version: version.max(1),
                }));
            }
            ClaimAction::Repeat { status, body } => {
                return Ok(ClaimResult::AlreadyRan(status, body));
            }
            ClaimAction::Taken => return Err(already_claimed()),
            ClaimAction::Mismatch => {
                let message = "this key was used for another request";
                return Err(Error::new("key_reused", Step::Claim, "caller", message));
            }
            ClaimAction::GiveUp { void } => {
                if void {
                    let held = HeldClaim {
                        key,
                        row: claim.row().clone(),
                        version,
                    };
                    write_final_state(store.clone(), held, ClaimState::Void);
                }
                return Err(claim_unavailable());
            }
        };
        action = claim.handle(event);
    }
}

/// Error for a claim that another attempt holds.
fn already_claimed() -> Error {
    let message = "this key is claimed by an earlier send, which may have run; ask again later";
    Error::new("claimed", Step::Claim, "platform", message).with_execution(Execution::Unknown)
}

/// Error for a store that does not respond.
///
/// This attempt did not run, but an earlier one under the same key may have.
fn claim_unavailable() -> Error {
    let message = "the key cannot be claimed while the platform's table does not answer; \
                   this send did not run, but an earlier one under the key may have";
    Error::new("claim_unavailable", Step::Claim, "platform", message)
        .with_execution(Execution::Unknown)
}

/// Writes the row if it still has `version`, and updates `version`.
async fn write_row(store: &Store, key: &SmolStr, row: &ClaimRow, version: &mut u64) -> ClaimEvent {
    let write = ConditionalWrite {
        key: key.clone(),
        expected_version: *version,
        value: serde_json::to_string(row).unwrap_or_default(),
    };
    match store.write(write).recv_async().await {
        Ok(Ok(WriteOutcome::Applied(new))) => {
            *version = new;
            ClaimEvent::Written
        }
        Ok(Ok(WriteOutcome::Conflict(found))) => ClaimEvent::Conflict(parse_row(found, version)),
        Ok(Err(StoreError::Refused { .. })) => ClaimEvent::Down,
        Ok(Err(_)) | Err(_) => ClaimEvent::Lost,
    }
}

/// Reads the row and updates `version`.
async fn read_row(store: &Store, key: &SmolStr, version: &mut u64) -> ClaimEvent {
    let reply = store.read(vec![key.clone()]);
    match reply.recv_async().await {
        Ok(Ok(mut rows)) => ClaimEvent::Row(parse_row(rows.pop().flatten(), version)),
        Ok(Err(_)) | Err(_) => ClaimEvent::Down,
    }
}

/// Parses a row and sets `version` to that of the row, or to 0 if there is none.
fn parse_row(row: Option<Record>, version: &mut u64) -> Option<ClaimRow> {
    let Some(row) = row else {
        *version = 0;
        return None;
    };
    *version = row.version;
    serde_json::from_str(&row.value).ok()
}

/// Records how a claimed request ended.
///
/// A complete response makes the claim done, and certainty that the request did not run
/// makes it void, so that the key can be claimed again.
pub(crate) fn conclude(
    store: &Store,
    held: HeldClaim,
    outcome: RequestOutcome,
    response: Option<(u16, Arc<[u8]>)>,
) {
    let state = match (outcome, response) {
        (RequestOutcome::Done, Some((status, body))) => ClaimState::Done {
            status,
            body: Some(body)
                .filter(|b| b.len() <= MAX_KEPT_BODY)
                .and_then(|b| String::from_utf8(b.to_vec()).ok()),
        },
        (outcome, _) if outcome.has_not_run() => ClaimState::Void,
        // The request may have run. The claim stays, so that it never runs again.
        _ => return,
    };
    write_final_state(store.clone(), held, state);
}

/// Writes the final state of a claim in the background.
///
/// Stops if the row shows that state already or belongs to another attempt.
fn write_final_state(store: Store, held: HeldClaim, state: ClaimState) {
    tokio::spawn(async move {
        let mut version = held.version;
        let token = held.row.token.clone();
        let row = ClaimRow { state, ..held.row };
        for _ in 0..MAX_CONCLUDE_TRIES {
            if version > 0 {
                match write_row(&store, &held.key, &row, &mut version).await {
                    ClaimEvent::Written => return,
                    ClaimEvent::Conflict(Some(found)) if found.token != token => return,
                    ClaimEvent::Conflict(Some(found)) if found.state == row.state => return,
                    _ => {}
                }
            }
            if let ClaimEvent::Row(Some(found)) = read_row(&store, &held.key, &mut version).await
                && (found.token != token || found.state == row.state)
            {
                return;
            }
            tokio::time::sleep(CONCLUDE_PAUSE).await;
        }
        log::warn!("cannot write the final state of {}", held.key);
    });
}
