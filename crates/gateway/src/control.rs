//! Control endpoint: metrics and a dump of the instance's state.

use crate::SharedGateway;
use crate::responses::{ResponseBody, full_body, own_response};
use crate::room;
use crate::state::TABLES;
use decision::Position;
use exchange::Purpose;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde_json::json;

/// Path of the metrics, in the Prometheus text format.
const METRICS_PATH: &str = "/metrics";
/// Path of the state dump, in JSON.
const STATE_PATH: &str = "/state";

pub(crate) fn respond(
    gateway: &SharedGateway,
    request: &Request<Incoming>,
) -> Response<ResponseBody> {
    match request.uri().path() {
        METRICS_PATH => Response::new(full_body(metrics_text(gateway).into())),
        STATE_PATH => Response::new(full_body(state_dump(gateway).into())),
        _ => own_response(gateway, 404, "not found", None),
    }
}

fn metrics_text(gateway: &SharedGateway) -> String {
    let now = gateway.now();
    let router = gateway.router.borrow();
    let age = router.freshness().age(now).map(|a| a.as_millis() as u64);
    let gauges = [
        ("requests_now", gateway.requests.get() as u64),
        ("connections_now", gateway.connections.get() as u64),
        ("at_targets_now", u64::from(router.in_flight())),
        (
            "instances_live",
            gateway.fleet.borrow().live(now).len() as u64,
        ),
        ("configuration_version", router.version().unwrap_or(0)),
        ("configuration_age_ms", age.unwrap_or(u64::MAX)),
        ("store_era", gateway.store_era()),
    ];
    let held = [
        ("bodies", Purpose::Bodies),
        ("answers", Purpose::Answers),
        ("frames", Purpose::Frames),
    ];
    let held = held.map(|(kind, purpose)| {
        let bytes = gateway.memory.held(purpose);
        format!("briargap_held_bytes{{kind=\"{kind}\"}} {bytes}\n")
    });
    let lines = gauges.map(|(name, value)| format!("briargap_{name} {value}\n"));
    lines.concat()
        + &held.concat()
        + &copies_text(gateway)
        + &room::metrics_text(gateway)
        + &gateway.metrics.to_text()
}

/// Returns the positions of the copies of the store's tables as metrics.
fn copies_text(gateway: &SharedGateway) -> String {
    let copies = gateway.copies.borrow();
    let lines = TABLES.iter().zip(copies.iter()).map(|(table, copy)| {
        let Position { era, version } = copy.position().unwrap_or_default();
        format!(
            "briargap_copy_era{{kind=\"{table}\"}} {era}\n\
             briargap_copy_version{{kind=\"{table}\"}} {version}\n"
        )
    });
    lines.collect()
}

fn state_dump(gateway: &SharedGateway) -> String {
    let now = gateway.now();
    let fleet = gateway.fleet.borrow();
    let feeds = gateway.copy_statuses();
    let state = json!({
        "instance": gateway.settings.borrow().instance,
        "incarnation": gateway.incarnation,
        "phase": format!("{:?}", gateway.phase()),
        "requests": gateway.requests.get(),
        "connections": gateway.connections.get(),
        "hub": fleet.is_hub(now),
        "live": fleet.live(now),
        "feeds": feeds,
        "room": room::dump(gateway),
        "router": gateway.router.borrow().dump(now),
        "rollouts": gateway.router.borrow_mut().rollouts().statuses(),
    });
    state.to_string()
}
