//! Answers of targets in trouble that don't end.

use decision::AttemptId;
use standin::{Endless, ScriptedResponse, TargetStandIn};
use target::{AttemptEvent, ServiceClient, TargetClient, TargetRequest};

/// Memory of the smallest machine that operators run an instance on, in bytes.
const MACHINE_MEMORY: usize = 112 << 20;
/// Calls to a target in trouble at the same time.
const AT_ONCE: usize = 64;

fn call(number: usize, target: &TargetStandIn) -> TargetRequest {
    TargetRequest {
        attempt: AttemptId::from(format!("a{number}")),
        address: target.address(),
        method: "POST".into(),
        path: "/order".to_owned(),
        content_type: "text/plain".into(),
        body: Vec::new(),
        priority: 0,
        resume_from: 0,
    }
}

// Guards against endless bodies that together fill the memory of a machine: the
// process would be killed, with all requests that it serves.
#[tokio::test]
async fn endless_bodies_at_once_do_not_fill_the_memory() {
    let target = TargetStandIn::start("t1", |_| ScriptedResponse::Endless(Endless::Body));
    let service = ServiceClient::default();
    let calls = (0..AT_ONCE).map(|number| service.dispatch(call(number, &target)));
    let attempts: Vec<_> = calls.collect();
    for attempt in attempts {
        while let Ok(event) = attempt.events.recv_async().await {
            assert!(
                !matches!(event, AttemptEvent::CompleteResponse { .. }),
                "it has no end"
            );
        }
    }
    // What was sent is an upper bound of what was held at any time.
    let flooded = target.flood_bytes();
    assert!(flooded < MACHINE_MEMORY, "{flooded} bytes");
}
