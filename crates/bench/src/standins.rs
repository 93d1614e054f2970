//! `bench standins`: runs only the stand-ins, to try an instance by hand.

use crate::standin::{Engine, EngineOptions, PlatformStandIn, Service};
use crate::test_fleet;
use bpaf::Bpaf;
use decision::{Limits, ServiceKind};
use serde_json::json;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

/// Options of `bench standins`.
#[derive(Clone, Debug, Bpaf)]
pub struct StandinsOptions {
    /// Engines
    #[bpaf(long, argument("COUNT"), fallback(3), display_fallback)]
    engines: usize,
    /// Targets of the plain service
    #[bpaf(long, argument("COUNT"), fallback(2), display_fallback)]
    services: usize,
    /// Seconds after which the stand-ins end
    #[bpaf(long, argument("SECONDS"), fallback(600), display_fallback)]
    seconds: u64,
}

/// Starts the stand-ins and prints the address of the platform, the API keys and
/// the documents to apply.
pub fn run(options: &StandinsOptions) -> ExitCode {
    let platform = PlatformStandIn::start();
    let engines: Vec<Engine> = (0..options.engines)
        .map(|_| Engine::start(EngineOptions::default()))
        .collect();
    for engine in &engines {
        engine.warm_up();
    }
    let services: Vec<Service> = (0..options.services).map(|_| Service::start()).collect();
    let workspaces = vec![
        test_fleet::workspace("forge", 1),
        test_fleet::workspace("cooper", 1),
    ];
    let engine_addresses: Vec<SocketAddr> = engines.iter().map(Engine::address).collect();
    let service_addresses: Vec<SocketAddr> = services.iter().map(Service::address).collect();
    let limits = Limits::default();
    let assistant = test_fleet::document(
        "assistant",
        ServiceKind::Engine,
        limits.clone(),
        &engine_addresses,
        workspaces.clone(),
    );
    let orders = test_fleet::document(
        "orders",
        ServiceKind::Plain,
        limits,
        &service_addresses,
        workspaces,
    );
    let out = json!({
        "platform": platform.base_url(),
        "keys": { "forge": test_fleet::key("forge"), "cooper": test_fleet::key("cooper") },
        "documents": [assistant, orders],
    });
    println!("{out:#}");
    std::thread::sleep(Duration::from_secs(options.seconds));
    ExitCode::SUCCESS
}
