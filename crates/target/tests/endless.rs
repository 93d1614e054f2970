//! Endless responses of faulty targets.

use decision::AttemptId;
use standin::{Endless, ScriptedResponse, TargetStandIn};
use target::{AttemptEvent, ServiceClient, TargetClient, TargetRequest};

/// Memory of the smallest machine that runs an instance, in bytes.
const MACHINE_MEMORY: usize = 112 << 20;
/// Concurrent requests to one target.
const CONCURRENCY: usize = 64;

fn target_request(number: usize, target: &TargetStandIn) -> TargetRequest {
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

// Guards against concurrent endless bodies that exhaust the memory: the process
// would be killed together with all requests that it serves.
#[tokio::test]
async fn concurrent_endless_bodies_do_not_exhaust_the_memory() {
    let target = TargetStandIn::start("t1", |_| ScriptedResponse::Endless(Endless::Body));
    let service = ServiceClient::default();
    let attempts = (0..CONCURRENCY).map(|number| service.dispatch(target_request(number, &target)));
    let attempts: Vec<_> = attempts.collect();
    for attempt in attempts {
        while let Ok(event) = attempt.events.recv_async().await {
            assert!(
                !matches!(event, AttemptEvent::CompleteResponse { .. }),
                "the body has no end"
            );
        }
    }
    // The bytes sent are an upper bound of the bytes buffered at any time.
    let sent = target.flood_bytes();
    assert!(sent < MACHINE_MEMORY, "{sent} bytes");
}
