//! Requests that may run only once: claims in the table and issued ids.

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

/// Beginning of every issued id.
const ISSUED_PREFIX: &str = "bg-";
/// Time for which an issued id may be used.
const ISSUED_ID_TTL: Duration = Duration::from_secs(3_600);
/// Most issued ids at once.
const MAX_ISSUED_IDS: usize = 100_000;
/// Most bytes of an answer that a claim's row keeps.
const MAX_KEPT_BODY: usize = 4 << 10;
/// Tries to mark a claim as done or void.
const MAX_CONCLUDE_TRIES: u32 = 60;
/// Pause between two of them.
const CONCLUDE_PAUSE: Duration = Duration::from_secs(2);

/// A claim that is held.
pub(crate) struct HeldClaim {
    key: SmolStr,
    row: ClaimRow,
    version: u64,
}

/// What came of a claim.
pub(crate) enum ClaimResult {
    /// It is held: the request may run.
    Held(HeldClaim),
    /// The request ran before: its status and, if kept, its body.
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

/// Ids issued by this instance, each good for one use here.
#[derive(Debug)]
pub(crate) struct IssuedIds {
    instance: InstanceId,
    incarnation: u64,
    ids: Mutex<(u64, BTreeMap<u64, IssuedId>)>,
}

/// What an issued id allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdUse {
    /// The first use: the request may run.
    FirstUse,
    /// It has been used here.
    AlreadyUsed,
    /// This instance did not mint it, or it has expired.
    Unknown,
}

impl IssuedIds {
    pub(crate) fn new(instance: InstanceId, incarnation: u64) -> Self {
        IssuedIds {
            instance,
            incarnation,
            ids: Mutex::new((0, BTreeMap::new())),
        }
    }

    /// Mints an id.
    pub(crate) fn issue(&self, workspace: &WorkspaceId) -> Result<RequestId> {
        let mut ids = self.ids.lock().expect("issued ids");
        ids.1.retain(|_, m| m.expires > Instant::now());
        if ids.1.len() >= MAX_ISSUED_IDS {
            let message = "too many ids are waiting for their use";
            return Err(Error::new("overloaded", Step::Claim, "instance", message));
        }
        ids.0 += 1;
        let seq = ids.0;
        let issued = IssuedId {
            workspace: workspace.clone(),
            state: IdState::Unused,
            expires: Instant::now() + ISSUED_ID_TTL,
        };
        ids.1.insert(seq, issued);
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

    /// Takes the one use of an id.
    pub(crate) fn try_use(&self, id: &str, workspace: &str) -> IdUse {
        let mut ids = self.ids.lock().expect("issued ids");
        let seq = id.rsplit('.').next().and_then(|s| s.parse::<u64>().ok());
        let Some(seq) = seq.filter(|s| self.format_id(*s) == id) else {
            return IdUse::Unknown;
        };
        match ids.1.get_mut(&seq) {
            Some(m) if m.workspace != workspace || m.expires <= Instant::now() => IdUse::Unknown,
            Some(m) if m.state == IdState::Used => IdUse::AlreadyUsed,
            Some(m) => {
                m.state = IdState::Used;
                IdUse::FirstUse
            }
            None => IdUse::Unknown,
        }
    }

    /// Gives the use back, because nothing ran.
    pub(crate) fn restore_use(&self, id: &str) {
        let seq = id.rsplit('.').next().and_then(|s| s.parse::<u64>().ok());
        let mut ids = self.ids.lock().expect("issued ids");
        if let Some(issued) = seq.and_then(|s| ids.1.get_mut(&s)) {
            issued.state = IdState::Unused;
        }
    }
}

/// Instance and incarnation that issued an id, if it has that form.
pub(crate) fn issuer(id: &str) -> Option<(&str, u64)> {
    let (rest, _) = id.strip_prefix(ISSUED_PREFIX)?.rsplit_once('.')?;
    let (instance, incarnation) = rest.rsplit_once('.')?;
    Some((instance, incarnation.parse().ok()?))
}

/// Whether a key has the form of an issued id.
pub(crate) fn is_issued_id(key: &str) -> bool {
    key.starts_with(ISSUED_PREFIX)
}

/// Claims a request by the caller's own key.
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
    let (mut claim, mut step) = Claim::new(token, digest);
    let mut version = 0;
    loop {
        let input = match step {
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
        step = claim.handle(input);
    }
}

fn already_claimed() -> Error {
    let message = "this key is claimed by an earlier send, which may have run; ask again later";
    Error::new("claimed", Step::Claim, "platform", message).with_execution(Execution::Unknown)
}

/// Nothing of this send ran, but an earlier one under the same key may have.
fn claim_unavailable() -> Error {
    let message = "the key cannot be claimed while the platform's table does not answer; \
                   this send did not run, but an earlier one under the key may have";
    Error::new("claim_unavailable", Step::Claim, "platform", message)
        .with_execution(Execution::Unknown)
}

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

async fn read_row(store: &Store, key: &SmolStr, version: &mut u64) -> ClaimEvent {
    let reply = store.read(vec![key.clone()]);
    match reply.recv_async().await {
        Ok(Ok(mut rows)) => ClaimEvent::Row(parse_row(rows.pop().flatten(), version)),
        Ok(Err(_)) | Err(_) => ClaimEvent::Down,
    }
}

fn parse_row(row: Option<Record>, version: &mut u64) -> Option<ClaimRow> {
    let Some(row) = row else {
        *version = 0;
        return None;
    };
    *version = row.version;
    serde_json::from_str(&row.value).ok()
}

/// Records how a claimed request ended.
pub(crate) fn conclude(
    store: &Store,
    held: HeldClaim,
    outcome: RequestOutcome,
    whole: Option<(u16, Arc<[u8]>)>,
) {
    let state = match (outcome, whole) {
        (RequestOutcome::Done, Some((status, body))) => ClaimState::Done {
            status,
            body: Some(body)
                .filter(|b| b.len() <= MAX_KEPT_BODY)
                .and_then(|b| String::from_utf8(b.to_vec()).ok()),
        },
        (outcome, _) if outcome.has_not_run() => ClaimState::Void,
        // It may have run: the claim stays as it is, so that it never runs again.
        _ => return,
    };
    write_final_state(store.clone(), held, state);
}

/// Writes the end state of a claim, for as long as the claim is ours.
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
        log::warn!("claim {} could not be concluded", held.key);
    });
}
