//! Requests that may run only once: claims in the table and minted ids.

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

/// Beginning of every minted id.
const MINTED_PREFIX: &str = "bg-";
/// Time for which a minted id may be used.
const MINTED_LIFE: Duration = Duration::from_secs(3_600);
/// Most minted ids at once.
const MINTED_MAX: usize = 100_000;
/// Most bytes of an answer that a claim's row keeps.
const KEPT_BODY: usize = 4 << 10;
/// Tries to mark a claim as done or void.
const MARK_TRIES: u32 = 60;
/// Pause between two of them.
const MARK_PAUSE: Duration = Duration::from_secs(2);

/// A claim that is held.
pub(crate) struct Held {
    key: SmolStr,
    row: ClaimRow,
    version: u64,
}

/// What came of a claim.
pub(crate) enum Claimed {
    /// It is held: the request may run.
    Held(Held),
    /// The request ran before: its status and, if kept, its body.
    Ran(u16, Option<String>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MintState {
    Fresh,
    Used,
}

#[derive(Debug)]
struct Minted {
    workspace: WorkspaceId,
    state: MintState,
    expires: Instant,
}

/// Ids minted by this instance, each good for one use here.
#[derive(Debug)]
pub(crate) struct MintedIds {
    instance: InstanceId,
    incarnation: u64,
    ids: Mutex<(u64, BTreeMap<u64, Minted>)>,
}

/// What a minted id allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MintUse {
    /// The first use: the request may run.
    First,
    /// It has been used here.
    Again,
    /// This instance did not mint it, or it has expired.
    Unknown,
}

impl MintedIds {
    pub(crate) fn new(instance: InstanceId, incarnation: u64) -> Self {
        MintedIds {
            instance,
            incarnation,
            ids: Mutex::new((0, BTreeMap::new())),
        }
    }

    /// Mints an id.
    pub(crate) fn mint(&self, workspace: &WorkspaceId) -> Result<RequestId> {
        let mut ids = self.ids.lock().expect("minted ids");
        ids.1.retain(|_, m| m.expires > Instant::now());
        if ids.1.len() >= MINTED_MAX {
            let message = "too many ids are waiting for their use";
            return Err(Error::new("overloaded", Step::Claim, "instance", message));
        }
        ids.0 += 1;
        let seq = ids.0;
        let minted = Minted {
            workspace: workspace.clone(),
            state: MintState::Fresh,
            expires: Instant::now() + MINTED_LIFE,
        };
        ids.1.insert(seq, minted);
        Ok(self.name(seq))
    }

    fn name(&self, seq: u64) -> RequestId {
        let MintedIds {
            instance,
            incarnation,
            ..
        } = self;
        format_smolstr!("{MINTED_PREFIX}{instance}.{incarnation}.{seq}")
    }

    /// Takes the one use of an id.
    pub(crate) fn take(&self, id: &str, workspace: &str) -> MintUse {
        let mut ids = self.ids.lock().expect("minted ids");
        let seq = id.rsplit('.').next().and_then(|s| s.parse::<u64>().ok());
        let Some(seq) = seq.filter(|s| self.name(*s) == id) else {
            return MintUse::Unknown;
        };
        match ids.1.get_mut(&seq) {
            Some(m) if m.workspace != workspace || m.expires <= Instant::now() => MintUse::Unknown,
            Some(m) if m.state == MintState::Used => MintUse::Again,
            Some(m) => {
                m.state = MintState::Used;
                MintUse::First
            }
            None => MintUse::Unknown,
        }
    }

    /// Gives the use back, because nothing ran.
    pub(crate) fn give_back(&self, id: &str) {
        let seq = id.rsplit('.').next().and_then(|s| s.parse::<u64>().ok());
        let mut ids = self.ids.lock().expect("minted ids");
        if let Some(minted) = seq.and_then(|s| ids.1.get_mut(&s)) {
            minted.state = MintState::Fresh;
        }
    }
}

/// Instance and incarnation that minted an id, if it has that form.
pub(crate) fn minter(id: &str) -> Option<(&str, u64)> {
    let (rest, _) = id.strip_prefix(MINTED_PREFIX)?.rsplit_once('.')?;
    let (instance, incarnation) = rest.rsplit_once('.')?;
    Some((instance, incarnation.parse().ok()?))
}

/// Whether a key has the form of a minted id.
pub(crate) fn is_minted(key: &str) -> bool {
    key.starts_with(MINTED_PREFIX)
}

/// Claims a request by the caller's own key.
pub(crate) async fn claim(
    store: &Store,
    instance: &InstanceId,
    scope: (&WorkspaceId, &ServiceId),
    key: &str,
    digest: u64,
) -> Result<Claimed> {
    let (workspace, service) = scope;
    let key = format_smolstr!("claim/{workspace}/{service}/{key}");
    let unique: u64 = rand::rng().random();
    let token = format_smolstr!("{instance}-{unique:016x}");
    let (mut claim, mut step) = Claim::new(token, digest);
    let mut version = 0;
    loop {
        let input = match step {
            ClaimAction::Insert(ref row) => insert(store, &key, row, &mut version).await,
            ClaimAction::Read => read(store, &key, &mut version).await,
            ClaimAction::Dispatch => {
                return Ok(Claimed::Held(Held {
                    key,
                    row: claim.row().clone(),
                    version: version.max(1),
                }));
            }
            ClaimAction::Repeat { status, body } => return Ok(Claimed::Ran(status, body)),
            ClaimAction::Taken => return Err(taken()),
            ClaimAction::Mismatch => {
                let message = "this key was used for another request";
                return Err(Error::new("key_reused", Step::Claim, "caller", message));
            }
            ClaimAction::GiveUp { void } => {
                if void {
                    let held = Held {
                        key,
                        row: claim.row().clone(),
                        version,
                    };
                    settle(store.clone(), held, ClaimState::Void);
                }
                return Err(unavailable());
            }
        };
        step = claim.handle(input);
    }
}

fn taken() -> Error {
    let message = "this key is claimed by an earlier send, which may have run; ask again later";
    Error::new("claimed", Step::Claim, "platform", message).with_execution(Execution::Unknown)
}

/// Nothing of this send ran, but an earlier one under the same key may have.
fn unavailable() -> Error {
    let message = "the key cannot be claimed while the platform's table does not answer; \
                   this send did not run, but an earlier one under the key may have";
    Error::new("claim_unavailable", Step::Claim, "platform", message)
        .with_execution(Execution::Unknown)
}

async fn insert(store: &Store, key: &SmolStr, row: &ClaimRow, version: &mut u64) -> ClaimEvent {
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
        Ok(Ok(WriteOutcome::Conflict(found))) => ClaimEvent::Conflict(parse(found, version)),
        Ok(Err(StoreError::Refused { .. })) => ClaimEvent::Down,
        Ok(Err(_)) | Err(_) => ClaimEvent::Lost,
    }
}

async fn read(store: &Store, key: &SmolStr, version: &mut u64) -> ClaimEvent {
    let reply = store.read(vec![key.clone()]);
    match reply.recv_async().await {
        Ok(Ok(mut rows)) => ClaimEvent::Row(parse(rows.pop().flatten(), version)),
        Ok(Err(_)) | Err(_) => ClaimEvent::Down,
    }
}

fn parse(row: Option<Record>, version: &mut u64) -> Option<ClaimRow> {
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
    held: Held,
    outcome: RequestOutcome,
    whole: Option<(u16, Arc<[u8]>)>,
) {
    let state = match (outcome, whole) {
        (RequestOutcome::Done, Some((status, body))) => ClaimState::Done {
            status,
            body: Some(body)
                .filter(|b| b.len() <= KEPT_BODY)
                .and_then(|b| String::from_utf8(b.to_vec()).ok()),
        },
        (outcome, _) if outcome.has_not_run() => ClaimState::Void,
        // It may have run: the claim stays as it is, so that it never runs again.
        _ => return,
    };
    settle(store.clone(), held, state);
}

/// Writes the end state of a claim, for as long as the claim is ours.
fn settle(store: Store, held: Held, state: ClaimState) {
    tokio::spawn(async move {
        let mut version = held.version;
        let token = held.row.token.clone();
        let row = ClaimRow { state, ..held.row };
        for _ in 0..MARK_TRIES {
            if version > 0 {
                match insert(&store, &held.key, &row, &mut version).await {
                    ClaimEvent::Written => return,
                    ClaimEvent::Conflict(Some(found)) if found.token != token => return,
                    ClaimEvent::Conflict(Some(found)) if found.state == row.state => return,
                    _ => {}
                }
            }
            if let ClaimEvent::Row(Some(found)) = read(&store, &held.key, &mut version).await
                && (found.token != token || found.state == row.state)
            {
                return;
            }
            tokio::time::sleep(MARK_PAUSE).await;
        }
        log::warn!("claim {} could not be concluded", held.key);
    });
}
