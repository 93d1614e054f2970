//! Listening sockets, connections of callers and the graceful stop.

use crate::fleet::Mesh;
use crate::responses::{ResponseBody, full_body, own_response};
use crate::state::Phase;
use crate::timeouts::{ConnectionState, GuardedBody, TimedStream, Timeout};
use crate::{Error, Listen, Result, Settings, SharedGateway, control, forward, watch};
use decision::DoorLimits;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use platform::directory::{ADDRESSES_MAX, READY_PATH, RESOLVE_PATH, ResolveResponse};
use serde_json::json;
use socket2::SockRef;
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Smallest buffer of a connection in bytes that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Limit on the bytes of a connection that its socket holds unsent.
const UNSENT_BYTES: u32 = 128 << 10;
/// Seconds for which a caller may cache the result of a lookup.
const LOOKUP_TTL_S: u64 = 1;
/// Number of TTLs for which some callers use the result of a lookup; a stopping
/// instance serves at least that long if its grace period allows.
const LOOKUP_TTLS: u32 = 3;
/// Time before the end of the grace period at which a stopping instance exits,
/// to do so before it is killed.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// Time for which a stopping instance sends the responses of [`Phase::Ending`].
const LAST_RESPONSES_TIME: Duration = Duration::from_millis(100);
/// Interval at which a stopping instance checks whether its work is done.
const STOP_POLL: Duration = Duration::from_millis(50);
/// Time before [`Phase::Closing`] from which a stopping instance takes on no request
/// that may outlast it, except for idempotent ones.
const LATE_MARGIN: Duration = Duration::from_millis(100);
/// Size in bytes of the receive buffer of a caller's connection.
const RECEIVE_BUFFER: usize = 32 << 10;
/// Size in bytes of the receive buffer of other connections, whose requests are short.
const SMALL_RECEIVE_BUFFER: usize = 8 << 10;
/// Pause before the next connection is accepted after a failure.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Purpose of a listening socket; see the fields of [`Listen`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endpoint {
    Callers,
    Ready,
    Directory,
    Control,
}

/// Open listening sockets and their purposes.
pub(crate) struct Listeners(Vec<(Endpoint, TcpListener)>);

/// Opens the listening sockets and sets their addresses in `listen`, where a port
/// of 0 has been replaced.
pub(crate) async fn bind(listen: &mut Listen) -> Result<Listeners> {
    let endpoints = [
        (Endpoint::Callers, "listen for callers", &mut listen.callers),
        (Endpoint::Ready, "listen for checks", &mut listen.ready),
        (
            Endpoint::Directory,
            "listen for lookups",
            &mut listen.directory,
        ),
        (Endpoint::Control, "listen for control", &mut listen.control),
    ];
    let mut listeners = Vec::new();
    for (endpoint, step, address) in endpoints {
        let failed = |source| Error::Listen {
            step,
            address: *address,
            source,
        };
        let listener = TcpListener::bind(*address).await.map_err(failed)?;
        // Its connections inherit this. Unread bytes in them count as memory of the process.
        let socket = SockRef::from(&listener);
        let size = match endpoint {
            Endpoint::Callers => RECEIVE_BUFFER,
            Endpoint::Ready | Endpoint::Directory | Endpoint::Control => SMALL_RECEIVE_BUFFER,
        };
        socket.set_recv_buffer_size(size).map_err(failed)?;
        *address = listener.local_addr().map_err(failed)?;
        listeners.push((endpoint, listener));
    }
    Ok(Listeners(listeners))
}

/// Starts to accept connections on the listening sockets.
pub(crate) fn start(gateway: &SharedGateway, listeners: Listeners) {
    for (endpoint, listener) in listeners.0 {
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move {
            accept_until_closing(&gateway, listener, endpoint).await;
        });
    }
    let listen = gateway.settings.borrow().listen.clone();
    gateway.event_log.state_change(&json!({
        "event": "started", "callers": listen.callers, "peers": listen.peers,
        "incarnation": gateway.incarnation,
    }));
}

/// Accepts connections until the instance is in [`Phase::Closing`], and then those
/// that are waiting to be accepted.
async fn accept_until_closing(gateway: &SharedGateway, listener: TcpListener, endpoint: Endpoint) {
    accept_all(gateway, &listener, endpoint).await;
    // Closing the listener would reset these. They need the descriptors that are
    // reserved otherwise.
    while let Ok(Ok((tcp, from))) = tokio::time::timeout(Duration::ZERO, listener.accept()).await {
        spawn_connection(gateway, tcp, from, endpoint);
    }
}

impl Endpoint {
    /// Returns the number of connections that it may have.
    fn limit(self, limits: &DoorLimits) -> usize {
        match self {
            Endpoint::Callers => limits.callers,
            Endpoint::Ready => limits.ready,
            Endpoint::Directory => limits.directory,
            Endpoint::Control => limits.control,
        }
    }

    /// Returns the name of the listening socket in logs.
    fn label(self) -> &'static str {
        match self {
            Endpoint::Callers => "callers",
            Endpoint::Ready => "ready",
            Endpoint::Directory => "directory",
            Endpoint::Control => "control",
        }
    }
}

/// Waits until the instance is in [`Phase::Closing`].
async fn closing(gateway: &SharedGateway) {
    // Can't fail: the gateway keeps the sender.
    let _ = gateway
        .phase
        .subscribe()
        .wait_for(|p| *p >= Phase::Closing)
        .await;
}

/// Accepts connections until the instance is in [`Phase::Closing`]. At the limit of the
/// listening socket the slowest one is closed, or the new one waits until one may be, or
/// until that phase.
async fn accept_all(gateway: &SharedGateway, listener: &TcpListener, endpoint: Endpoint) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing(gateway) => return,
        };
        match accepted {
            Ok((tcp, from)) => {
                let limit = endpoint.limit(&gateway.settings.borrow().machine.door_limits());
                tokio::select! {
                    () = gateway.doors.make_room(endpoint, limit) => {}
                    // Dropped, it would be reset with its request unread.
                    () = closing(gateway) => {}
                }
                spawn_connection(gateway, tcp, from, endpoint);
            }
            Err(e) => {
                log::warn!("failed to accept a connection: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection on a task of its own.
fn spawn_connection(gateway: &SharedGateway, tcp: TcpStream, from: SocketAddr, endpoint: Endpoint) {
    let gateway = gateway.clone();
    gateway.connections.set(gateway.connections.get() + 1);
    let state = ConnectionState::new();
    let id = gateway.doors.add(endpoint, state.clone());
    tokio::task::spawn_local(async move {
        tokio::select! {
            biased;
            reason = state.closed() => record_end(&gateway, from, endpoint, reason.label()),
            () = serve_connection(&gateway, tcp, from, endpoint, &state) => {}
        }
        gateway.doors.remove(id);
        gateway.connections.set(gateway.connections.get() - 1);
    });
}

/// Serves one connection until the caller or the instance closes it.
async fn serve_connection(
    gateway: &SharedGateway,
    tcp: TcpStream,
    from: SocketAddr,
    endpoint: Endpoint,
    state: &ConnectionState,
) {
    // Events are small, and Nagle's algorithm would delay them.
    if let Err(e) = tcp.set_nodelay(true) {
        log::debug!("failed to set TCP_NODELAY: {e}");
    }
    // Otherwise a write can fail to proceed for seconds although the caller reads.
    if let Err(e) = SockRef::from(&tcp).set_tcp_notsent_lowat(UNSENT_BYTES) {
        log::debug!("failed to set TCP_NOTSENT_LOWAT: {e}");
    }
    let mut stream = TimedStream::new(tcp, state.clone(), gateway.limits.clone());
    let (shared, requests) = (gateway.clone(), state.clone());
    let mut service = service_fn(move |request| {
        let (gateway, guard) = (shared.clone(), requests.begin_request());
        async move {
            let state = guard.connection();
            let response = respond(&gateway, request, from, endpoint, &state).await;
            Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, guard)))
        }
    });
    let mut phase = gateway.phase.subscribe();
    let closing = async {
        // Can't fail: the gateway keeps the sender.
        let _ = phase.wait_for(|p| *p >= Phase::Closing).await;
        state.close_when_idle();
    };
    let mut closing = std::pin::pin!(closing);
    let ended = loop {
        let header_bytes = gateway.limits.header_bytes();
        let mut connection = http1::Builder::new()
            .max_buf_size(header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let resized = async {
            gateway.limits.wait_for_other_buffer(header_bytes).await;
            state.wait_until_idle().await;
        };
        tokio::select! {
            ended = &mut connection => break ended,
            // A graceful shutdown of hyper would close an idle connection before it has
            // read a request that has arrived.
            () = closing.as_mut() => break connection.await,
            () = resized => {}
        }
        // The size of hyper's buffer is fixed.
        let parts = connection.into_parts();
        stream = parts.io.into_inner().with_unread(parts.read_buf);
        service = parts.service;
    };
    match (state.expired(), ended) {
        (Some(Timeout::Closing), _) => {
            gateway
                .metrics
                .count("connections", Timeout::Closing.label());
        }
        (Some(timeout), _) => record_end(gateway, from, endpoint, timeout.label()),
        (None, Err(e)) => {
            gateway.metrics.count("connections", "broken");
            log::debug!("connection failed: {e}");
        }
        (None, Ok(())) => {}
    }
}

/// Counts and logs a connection that the instance ended.
fn record_end(gateway: &SharedGateway, from: SocketAddr, endpoint: Endpoint, reason: &'static str) {
    gateway.metrics.count("connections", reason);
    gateway.event_log.request(false, || {
        json!({
            "event": "connection closed", "from": from, "listener": endpoint.label(),
            "reason": reason,
        })
    });
}

async fn respond(
    gateway: &SharedGateway,
    request: Request<Incoming>,
    from: SocketAddr,
    endpoint: Endpoint,
    state: &ConnectionState,
) -> Response<ResponseBody> {
    let path = request.uri().path();
    let mut response = match endpoint {
        Endpoint::Callers => forward::serve(gateway, request, state).await,
        Endpoint::Ready if path == READY_PATH => ready(gateway),
        Endpoint::Directory if path == RESOLVE_PATH => resolve(gateway, from.ip()),
        Endpoint::Control => control::respond(gateway, &request),
        Endpoint::Ready | Endpoint::Directory => own_response(gateway, 404, "not found", None),
    };
    if gateway.phase() != Phase::Serving {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Responds to a readiness probe. An instance that is ready counts as live from then on,
/// without waiting for the next pulse.
fn ready(gateway: &SharedGateway) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    if gateway.is_ready() {
        gateway.fleet.borrow_mut().set_starting(false);
    } else {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Responds to a lookup from `from` with the caller addresses of live instances.
fn resolve(gateway: &SharedGateway, from: IpAddr) -> Response<ResponseBody> {
    let now = gateway.now();
    let fleet = gateway.fleet.borrow();
    let addresses = fleet.lookup(now, &from, ADDRESSES_MAX);
    if addresses.is_empty() {
        return own_response(gateway, 503, "no instance is known", Some(1.0));
    }
    let resolved = ResolveResponse {
        addresses,
        ttl_s: LOOKUP_TTL_S,
    };
    let body = serde_json::to_vec(&resolved).unwrap_or_default();
    let mut response = Response::new(full_body(body.into()));
    let json_type = header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, json_type);
    response
}

/// Replaces the settings, except for the listen addresses.
pub(crate) fn reload(gateway: &SharedGateway, settings: Option<Settings>) {
    let Some(mut settings) = settings else {
        gateway
            .event_log
            .state_change(&json!({"event": "settings not reloaded"}));
        return;
    };
    let mut current = gateway.settings.borrow_mut();
    settings.listen = current.listen.clone();
    *current = settings;
    gateway
        .event_log
        .state_change(&json!({"event": "settings reloaded"}));
}

/// Stops the instance gracefully, as [`Instance::stop`](crate::Instance::stop)
/// describes.
pub(crate) async fn stop(gateway: &SharedGateway, mesh: &Mesh) {
    let started = gateway.now();
    let grace = gateway.settings.borrow().bounds.grace;
    gateway.event_log.state_change(&json!({
        "event": "stopping", "requests": gateway.requests.get(),
    }));
    gateway.phase.send_replace(Phase::Leaving);
    gateway.fleet.borrow_mut().set_leaving();
    mesh.announce(gateway);
    watch::deregister(gateway).await;
    let limit = grace.saturating_sub(KILL_MARGIN + LAST_RESPONSES_TIME + STOP_POLL);
    let lookups = limit.min(Duration::from_secs(LOOKUP_TTL_S) * LOOKUP_TTLS);
    let elapsed = || gateway.now().saturating_sub(started);
    let last_requests = lookups.saturating_sub(LATE_MARGIN);
    tokio::time::sleep(last_requests.saturating_sub(elapsed())).await;
    gateway.exit.set(Some(started + limit));
    tokio::time::sleep(lookups.saturating_sub(elapsed())).await;
    gateway.phase.send_replace(Phase::Closing);
    // A connection may have received a request that is not counted yet.
    let is_busy = || gateway.requests.get() > 0 || gateway.connections.get() > 0;
    while elapsed() < limit && is_busy() {
        tokio::time::sleep(STOP_POLL.min(limit.saturating_sub(elapsed()))).await;
    }
    gateway.phase.send_replace(Phase::Ending);
    if is_busy() {
        tokio::time::sleep(LAST_RESPONSES_TIME).await;
    }
    // Gives the sockets time to send the last bytes.
    tokio::time::sleep(STOP_POLL).await;
    gateway.event_log.state_change(&json!({
        "event": "stopped", "requests": gateway.requests.get(),
        "connections": gateway.connections.get(),
        "traffic": serde_json::to_value(mesh.traffic()).unwrap_or_default(),
    }));
}
