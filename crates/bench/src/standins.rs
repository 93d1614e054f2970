//! `bench standins`: the stand-ins alone, for trying an instance by hand.

use crate::kit;
use crate::standin::{Engine, EngineOptions, PlatformStandIn, Service};
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

/// Starts the stand-ins and prints their addresses, with documents to apply.
pub fn run(options: &StandinsOptions) -> ExitCode {
    let platform = PlatformStandIn::start();
    let engines: Vec<Engine> = (0..options.engines)
        .map(|_| Engine::start(EngineOptions::default()))
        .collect();
    for engine in &engines {
        engine.warm_up();
    }
    let services: Vec<Service> = (0..options.services).map(|_| Service::start()).collect();
    let workspaces = vec![kit::workspace("forge", 1), kit::workspace("cooper", 1)];
    let engines_at: Vec<SocketAddr> = engines.iter().map(Engine::address).collect();
    let services_at: Vec<SocketAddr> = services.iter().map(Service::address).collect();
    let limits = Limits::default();
    let assistant = kit::document(
        "assistant",
        ServiceKind::Engine,
        limits.clone(),
        &engines_at,
        workspaces.clone(),
    );
    let orders = kit::document(
        "orders",
        ServiceKind::Plain,
        limits,
        &services_at,
        workspaces,
    );
    let out = json!({
        "platform": platform.base_url(),
        "keys": { "forge": kit::key("forge"), "cooper": kit::key("cooper") },
        "documents": [assistant, orders],
    });
    println!("{out:#}");
    std::thread::sleep(Duration::from_secs(options.seconds));
    ExitCode::SUCCESS
}
