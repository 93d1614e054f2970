//! Listening sockets, and the way from serving to stopped.

use crate::fleet::Mesh;
use crate::intake::{Intake, Progress, Served};
use crate::relay::{Outlet, whole};
use crate::state::Phase;
use crate::{Error, Listen, Result, Settings, Shared, control, forward, watch};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use platform::directory::{ADDRESSES_MAX, READY_PATH, RESOLVE_PATH, ResolveResponse};
use serde_json::json;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Bytes of a connection's buffer at least; hyper allows no less.
const BUFFER_MIN: usize = 8 << 10;
/// Seconds for which an answer of the directory may be kept.
const LOOKUP_S: u64 = 1;
/// Lifetimes of a lookup for which some callers keep it.
const LOOKUPS_KEPT: u32 = 3;
/// Time before the kill at which a stopping instance ends.
const END_MARGIN: Duration = Duration::from_millis(400);
/// Interval at which a stopping instance looks whether it is done.
const STOP_LOOK: Duration = Duration::from_millis(50);
/// File descriptors kept for the store, targets, instances and files.
const DESCRIPTORS_KEPT: usize = 600;
/// Pause after a connection can't be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    Callers,
    Ready,
    Directory,
    Control,
}

/// Open listening sockets.
pub(crate) struct Listeners(Vec<(Role, TcpListener)>);

/// Opens the listening sockets.
pub(crate) async fn bind(listen: &mut Listen) -> Result<Listeners> {
    let roles = [
        (Role::Callers, "listen for callers", &mut listen.callers),
        (Role::Ready, "listen for checks", &mut listen.ready),
        (Role::Directory, "listen for lookups", &mut listen.directory),
        (Role::Control, "listen for control", &mut listen.control),
    ];
    let mut listeners = Vec::new();
    for (role, step, address) in roles {
        let failed = |source| Error::Listen {
            step,
            address: *address,
            source,
        };
        let listener = TcpListener::bind(*address).await.map_err(failed)?;
        *address = listener.local_addr().map_err(failed)?;
        listeners.push((role, listener));
    }
    Ok(Listeners(listeners))
}

/// Serves the listening sockets.
pub(crate) fn start(gateway: &Shared, listeners: Listeners) {
    for (role, listener) in listeners.0 {
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move { accept(&gateway, listener, role).await });
    }
    let listen = gateway.settings.borrow().listen.clone();
    gateway.record.belief(&json!({
        "event": "started", "callers": listen.callers, "peers": listen.peers,
        "incarnation": gateway.incarnation,
    }));
}

/// Accepts connections until the instance closes them.
async fn accept(gateway: &Shared, listener: TcpListener, role: Role) {
    let mut phase = gateway.phase.subscribe();
    tokio::select! {
        () = accept_all(gateway, &listener, role) => {}
        // The sender lives as long as the gateway.
        _ = phase.wait_for(|p| *p == Phase::Closing) => {}
    }
}

async fn accept_all(gateway: &Shared, listener: &TcpListener, role: Role) {
    loop {
        let limit = gateway.settings.borrow().machine.descriptors;
        let limit = limit.saturating_sub(DESCRIPTORS_KEPT).max(64);
        if gateway.connections.get() >= limit {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        }
        match listener.accept().await {
            Ok((tcp, _)) => {
                let gateway = gateway.clone();
                tokio::task::spawn_local(async move {
                    let open = &gateway.connections;
                    open.set(open.get() + 1);
                    connection(&gateway, tcp, role).await;
                    open.set(open.get() - 1);
                });
            }
            Err(e) => {
                log::warn!("connection not accepted: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection until it ends or the instance closes it.
async fn connection(gateway: &Shared, tcp: TcpStream, role: Role) {
    // Events are small and must not wait for each other.
    if let Err(e) = tcp.set_nodelay(true) {
        log::debug!("connection without delay: {e}");
    }
    let limits = gateway.router.borrow().configuration().map(|c| c.limits);
    let limits = limits.unwrap_or_default();
    let progress = Progress::new();
    let intake = Intake::new(
        tcp,
        progress.clone(),
        limits.header_timeout,
        limits.idle_timeout,
    );
    let answering = gateway.clone();
    let service = service_fn(move |request| {
        let (gateway, serving) = (answering.clone(), progress.begin());
        async move {
            let response = respond(&gateway, request, role).await;
            Ok::<_, Infallible>(response.map(|body| Served::new(body, serving)))
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(limits.header_bytes.max(BUFFER_MIN))
        .serve_connection(TokioIo::new(intake), service);
    let mut connection = std::pin::pin!(connection);
    let mut phase = gateway.phase.subscribe();
    let closing = async {
        // The sender lives as long as the gateway.
        let _ = phase.wait_for(|p| *p == Phase::Closing).await;
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        gateway.metrics.count("connections", "broken");
        log::debug!("connection of a caller: {e}");
    }
}

async fn respond(gateway: &Shared, request: Request<Incoming>, role: Role) -> Response<Outlet> {
    let path = request.uri().path();
    let mut response = match role {
        Role::Callers => forward::serve(gateway, request).await,
        Role::Ready if path == READY_PATH => ready(gateway),
        Role::Directory if path == RESOLVE_PATH => resolve(gateway),
        Role::Control => control::respond(gateway, &request),
        Role::Ready | Role::Directory => forward::plain(gateway, 404, "not found", None),
    };
    if gateway.phase() != Phase::Serving {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn ready(gateway: &Shared) -> Response<Outlet> {
    let mut response = Response::new(whole(Bytes::new()));
    if !gateway.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Live instances, in an order that changes, for callers to choose from.
fn resolve(gateway: &Shared) -> Response<Outlet> {
    let now = gateway.now();
    let fleet = gateway.fleet.borrow();
    let live = fleet.live(now);
    let addresses: Vec<SocketAddr> = live.iter().map(|l| l.caller).take(ADDRESSES_MAX).collect();
    if addresses.is_empty() {
        return forward::plain(gateway, 503, "no instance is known", Some(1.0));
    }
    let resolved = ResolveResponse {
        addresses,
        ttl_s: LOOKUP_S,
    };
    let body = serde_json::to_vec(&resolved).unwrap_or_default();
    let mut response = Response::new(whole(body.into()));
    let json_type = header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, json_type);
    response
}

/// Takes settings that have changed; addresses stay as they are bound.
pub(crate) fn reload(gateway: &Shared, settings: Option<Settings>) {
    let Some(mut settings) = settings else {
        gateway
            .record
            .belief(&json!({"event": "settings not reloaded"}));
        return;
    };
    let mut current = gateway.settings.borrow_mut();
    settings.listen = current.listen.clone();
    *current = settings;
    gateway
        .record
        .belief(&json!({"event": "settings reloaded"}));
}

/// Leaves the directory, serves whoever comes with an old lookup, closes idle
/// connections and ends when the last request has ended.
pub(crate) async fn stop(gateway: &Shared, mesh: &Mesh) {
    let begun = gateway.now();
    let grace = gateway.settings.borrow().bounds.grace;
    gateway.record.belief(&json!({
        "event": "stopping", "requests": gateway.requests.get(),
    }));
    gateway.phase.send_replace(Phase::Leaving);
    gateway.fleet.borrow_mut().set_leaving();
    mesh.announce(gateway);
    watch::unlist(gateway).await;
    let lookups = Duration::from_secs(LOOKUP_S) * LOOKUPS_KEPT;
    let elapsed = || gateway.now().saturating_sub(begun);
    while elapsed() < lookups {
        tokio::time::sleep(STOP_LOOK).await;
    }
    gateway.phase.send_replace(Phase::Closing);
    let limit = grace.saturating_sub(END_MARGIN);
    // A connection may have a request that is not counted yet.
    let is_busy = || gateway.requests.get() > 0 || gateway.connections.get() > 0;
    while elapsed() < limit && is_busy() {
        tokio::time::sleep(STOP_LOOK).await;
    }
    // The last bytes are on their way through the sockets.
    tokio::time::sleep(STOP_LOOK).await;
    gateway.record.belief(&json!({
        "event": "stopped", "requests": gateway.requests.get(),
        "connections": gateway.connections.get(),
        "traffic": serde_json::to_value(mesh.traffic()).unwrap_or_default(),
    }));
}
