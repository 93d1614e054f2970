//! Connections to targets that are kept between requests.
//!
//! What may be kept and used again is decided by [`decision::Router`]. Here are the
//! sockets, and the checks that no byte of one response reaches another request.

use crate::SharedGateway;
use crate::state::Phase;
use decision::{ConnectionClaim, ConnectionId, ConnectionPlan, Pick, Refusal, Reuse, Time};
use exchange::{Connection, IdleConnection, IdleState};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response};
use platform::requests::KeepTime;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

/// Timeout of opening a connection to a target. Connecting takes about 2 ms, or
/// a second if the first packet is lost; such an attempt is given up earlier.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Interval at which connections are closed that are kept no longer.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Connections that one instance keeps at rest.
const MAX_RESTING: usize = 256;
/// Descriptors of the machine for each connection at rest.
const DESCRIPTORS_PER_RESTING: usize = 16;
/// Time for which a connection is used whose target does not say how long it keeps
/// it: it may keep it for less than the second that it could state.
const UNSTATED_KEEP_TIME: Duration = Duration::from_millis(200);
/// Part of the time for which a target says that it keeps a resting connection in
/// which it is used. The target may close it as a request is on its way.
const KEEP_TIME_PART: f64 = 0.5;

/// Connection at rest and the count that it stands for.
struct Resting {
    claim: ConnectionClaim,
    idle: IdleConnection,
    since: Time,
}

/// Connections to all targets that rest between requests.
#[derive(Default)]
pub(crate) struct RestingConnections(RefCell<BTreeMap<ConnectionId, Resting>>);

impl RestingConnections {
    fn take(&self, id: ConnectionId) -> Option<IdleConnection> {
        let taken = self.0.borrow_mut().remove(&id);
        taken.map(|resting| resting.idle)
    }

    pub(crate) fn len(&self) -> usize {
        self.0.borrow().len()
    }

    /// Closes the connections that `is_kept` rejects.
    fn retain(&self, gateway: &SharedGateway, is_kept: impl Fn(&Resting) -> bool) {
        let now = gateway.now();
        let (kept, closed) = std::mem::take(&mut *self.0.borrow_mut())
            .into_iter()
            .partition::<BTreeMap<_, _>, _>(|(_, resting)| is_kept(resting));
        *self.0.borrow_mut() = kept;
        let mut router = gateway.router.borrow_mut();
        for resting in closed.values() {
            router.close_connection(now, &resting.claim);
        }
    }

    /// Closes the connections to a target, which has forgotten one of them.
    fn close_target(&self, gateway: &SharedGateway, target: &str) {
        self.retain(gateway, |resting| resting.claim.target != target);
    }

    /// Adds a connection; the one that has rested for the longest time gives way where
    /// there are too many.
    fn put(&self, gateway: &SharedGateway, claim: ConnectionClaim, idle: IdleConnection) {
        let descriptors = gateway.settings.borrow().machine.descriptors;
        let limit = MAX_RESTING.min(descriptors / DESCRIPTORS_PER_RESTING);
        if self.len() >= limit {
            let resting = self.0.borrow();
            let oldest = resting
                .iter()
                .min_by_key(|(_, r)| r.since)
                .map(|(id, _)| *id);
            drop(resting);
            self.retain(gateway, |r| Some(r.claim.id) != oldest);
        }
        let resting = Resting {
            idle,
            since: gateway.now(),
            claim,
        };
        self.0.borrow_mut().insert(resting.claim.id, resting);
    }
}

/// Starts to close the connections that are kept no longer.
pub(crate) fn start(gateway: &SharedGateway) {
    let gateway = gateway.clone();
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            if gateway.resting.len() > 0 {
                sweep(&gateway);
            }
        }
    });
}

fn sweep(gateway: &SharedGateway) {
    let (now, is_open) = (gateway.now(), gateway.phase() < Phase::Closing);
    for resting in gateway.resting.0.borrow().values() {
        if resting.idle.state() == IdleState::Surplus {
            record_surplus(gateway, &resting.claim);
        }
    }
    let kept: Vec<ConnectionId> = {
        let (router, resting) = (gateway.router.borrow(), gateway.resting.0.borrow());
        let kept = resting.iter().filter(|(_, r)| {
            let is_silent = r.idle.state() == IdleState::Silent;
            is_open && router.keeps_connection(now, &r.claim) && is_silent
        });
        kept.map(|(id, _)| *id).collect()
    };
    let is_kept = |resting: &Resting| kept.binary_search(&resting.claim.id).is_ok();
    gateway.resting.retain(gateway, is_kept);
}

/// Records that a target has sent bytes that belong to no request.
fn record_surplus(gateway: &SharedGateway, claim: &ConnectionClaim) {
    gateway.metrics.count("target_connections", "surplus");
    let mut router = gateway.router.borrow_mut();
    router.record_surplus(gateway.now(), claim);
}

/// Why no connection to a target was opened.
pub(crate) enum ConnectError {
    /// The target has no room for another connection.
    Full(Refusal),
    /// The connection failed.
    Failed(exchange::Error),
}

/// Connection to a target that serves one request. Dropping it closes it, which
/// cancels the request.
pub(crate) struct TargetConnection {
    connection: Connection,
    claim: Option<ClaimGuard>,
    /// Whether it has served another request before.
    pub(crate) is_reused: bool,
    /// Time for which it may rest after the response; `None` if it is to be closed.
    rest: Option<Duration>,
}

/// Counts a connection until it is dropped.
struct ClaimGuard {
    gateway: SharedGateway,
    claim: Option<ConnectionClaim>,
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if let Some(claim) = &self.claim {
            let now = self.gateway.now();
            let mut router = self.gateway.router.borrow_mut();
            router.close_connection(now, claim);
        }
    }
}

impl TargetConnection {
    /// Returns a connection to a target, a kept one if there is one that `reuse` allows.
    pub(crate) async fn open(
        gateway: &SharedGateway,
        pick: &Pick,
        reuse: Reuse,
        timeout: Duration,
    ) -> Result<TargetConnection, ConnectError> {
        // A stopping instance keeps no more connections, but uses those that rest.
        let is_off = gateway.settings.borrow().connections.keep.is_zero();
        let reuse = if is_off { Reuse::Never } else { reuse };
        loop {
            let now = gateway.now();
            let (plan, claim) = {
                let mut router = gateway.router.borrow_mut();
                router.claim_connection(now, &pick.lease, reuse)
            };
            let claim = claim.map(|claim| ClaimGuard {
                gateway: gateway.clone(),
                claim: Some(claim),
            });
            let label = match plan {
                ConnectionPlan::Reuse(id) => {
                    let idle = gateway.resting.take(id);
                    let state = idle.as_ref().map(IdleConnection::state);
                    let Some(idle) = idle.filter(|_| state == Some(IdleState::Silent)) else {
                        gateway.metrics.count("target_connections", "closed");
                        if let Some(claim) = claim.as_ref().and_then(|c| c.claim.as_ref())
                            && state == Some(IdleState::Surplus)
                        {
                            record_surplus(gateway, claim);
                        }
                        continue;
                    };
                    let connection = idle.resume().await.map_err(ConnectError::Failed)?;
                    gateway.metrics.count("target_connections", "reused");
                    return Ok(TargetConnection {
                        connection,
                        claim,
                        is_reused: true,
                        rest: None,
                    });
                }
                ConnectionPlan::Full => {
                    gateway.metrics.count("target_connections", "no_room");
                    return Err(ConnectError::Full(Refusal::Full));
                }
                ConnectionPlan::Open(_) => "opened",
                ConnectionPlan::Uncounted => "uncounted",
            };
            gateway.metrics.count("target_connections", label);
            let connection = exchange::connect(pick.address, CONNECT_TIMEOUT.min(timeout)).await;
            return Ok(TargetConnection {
                connection: connection.map_err(ConnectError::Failed)?,
                claim,
                is_reused: false,
                rest: None,
            });
        }
    }

    /// Returns the longest time for which connections rest, if they are kept.
    fn keep_time(gateway: &SharedGateway) -> Option<Duration> {
        let keep = gateway.settings.borrow().connections.keep;
        let is_open = gateway.phase() < Phase::Closing;
        (is_open && !keep.is_zero()).then_some(keep)
    }

    /// Returns whether the target may be asked to keep the connection.
    pub(crate) fn may_be_kept(&self) -> bool {
        let guard = self.claim.as_ref();
        let guard = guard.filter(|guard| Self::keep_time(&guard.gateway).is_some());
        let claim = guard.and_then(|guard| Some((&guard.gateway, guard.claim.as_ref()?)));
        claim.is_some_and(|(gateway, claim)| {
            let router = gateway.router.borrow();
            router.may_keep(gateway.now(), claim)
        })
    }

    /// Records that the response belongs to another request, to which the target has
    /// responded more than once.
    pub(crate) fn record_surplus(&self) {
        if let Some(ClaimGuard {
            gateway,
            claim: Some(claim),
        }) = self.claim.as_ref().filter(|_| self.is_reused)
        {
            record_surplus(gateway, claim);
        }
    }

    /// Lets the connection rest after the response for part of the time for which the
    /// target keeps it; `None` if the target closes it.
    pub(crate) fn rest_after(&mut self, keep_time: Option<KeepTime>) {
        let own = self
            .claim
            .as_ref()
            .and_then(|c| Self::keep_time(&c.gateway));
        let limit = keep_time.map(|keep_time| match keep_time {
            KeepTime::Stated(time) => time.mul_f64(KEEP_TIME_PART),
            KeepTime::Unstated => UNSTATED_KEEP_TIME,
        });
        self.rest = own.zip(limit).map(|(own, limit)| own.min(limit));
    }

    /// Returns whether the connection is to be kept after the response.
    pub(crate) fn will_rest(&self) -> bool {
        self.rest.is_some()
    }

    /// Sends a request as [`Connection::request`] does.
    pub(crate) async fn request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> exchange::Result<Response<Incoming>> {
        self.connection.request(request).await
    }

    /// Closes the resting connections to the same target, as it has forgotten this
    /// one.
    pub(crate) fn close_others(&self) {
        if let Some(ClaimGuard {
            gateway,
            claim: Some(claim),
        }) = &self.claim
        {
            gateway.resting.close_target(gateway, &claim.target);
        }
    }

    /// Ends the exchange, whose response has been read to its marked end, and keeps the
    /// connection if it can serve another request.
    pub(crate) fn finish(self) {
        let connection = self.connection;
        let (Some(mut guard), Some(rest)) = (self.claim, self.rest) else {
            return;
        };
        // The task of the connection has yet to return the socket.
        tokio::task::spawn_local(async move {
            let Some(idle) = connection.into_idle().await else {
                return;
            };
            let (gateway, now) = (guard.gateway.clone(), guard.gateway.now());
            let is_kept = guard.claim.as_ref().is_some_and(|claim| {
                let mut router = gateway.router.borrow_mut();
                gateway.phase() < Phase::Closing
                    && idle.state() == IdleState::Silent
                    && router.rest_connection(now, claim, now.saturating_add(rest))
            });
            if is_kept && let Some(claim) = guard.claim.take() {
                gateway.resting.put(&gateway, claim, idle);
            }
        });
    }
}
