//! A small fleet in this process: instances and stand-ins, on loopback.

use crate::standin::{Engine, EngineOptions, PlatformStandIn, Service};
use briargap::{Instance, Platform, Settings};
use decision::{Document, Limits, Listing, ServiceKind, TargetSpec, WorkspaceSpec};
use smol_str::{SmolStr, format_smolstr};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Operators' token of the kit's instances.
pub const TOKEN: &str = "operators-token-for-tests";
/// Failure domains that the kit spreads instances and targets over.
pub const DOMAINS: [&str; 3] = ["north", "middle", "south"];

/// Instances and stand-ins in one process.
pub struct Kit {
    /// Platform.
    pub platform: PlatformStandIn,
    /// Engines of the service `assistant`.
    pub engines: Vec<Engine>,
    /// Targets of the service `orders`.
    pub services: Vec<Service>,
    /// Instances.
    pub instances: Vec<Instance>,
    runtime: tokio::runtime::Runtime,
}

/// How large a kit is.
#[derive(Clone, Debug)]
pub struct KitOptions {
    /// Instances.
    pub instances: usize,
    /// Engines.
    pub engines: usize,
    /// Targets of the plain service.
    pub services: usize,
    /// Properties of the engines.
    pub engine: EngineOptions,
    /// Limits of the service `assistant`.
    pub limits: Limits,
    /// Changes to each instance's settings, as JSON to merge.
    pub settings: serde_json::Value,
}

impl Default for KitOptions {
    fn default() -> Self {
        KitOptions {
            instances: 3,
            engines: 3,
            services: 2,
            engine: EngineOptions::default(),
            limits: Limits::default(),
            settings: serde_json::Value::Null,
        }
    }
}

/// Key of a workspace of the kit.
pub fn key(workspace: &str) -> String {
    format!("key-of-{workspace}")
}

/// A workspace whose key is [`key`].
pub fn workspace(name: &str, share: u32) -> WorkspaceSpec {
    WorkspaceSpec {
        id: name.into(),
        key_digest: caller::key_digest(&key(name)).into(),
        share,
    }
}

/// A document of a service over the given targets, spread over the domains.
pub fn document(
    service: &str,
    kind: ServiceKind,
    limits: Limits,
    addresses: &[SocketAddr],
    workspaces: Vec<WorkspaceSpec>,
) -> Document {
    let targets = addresses.iter().enumerate().map(|(i, address)| TargetSpec {
        id: format_smolstr!("{service}-{i}"),
        address: *address,
        domain: SmolStr::new_static(DOMAINS[i % DOMAINS.len()]),
        weight: 1,
    });
    Document {
        service: service.into(),
        kind,
        limits,
        targets: targets.collect(),
        workspaces,
        calls: Vec::new(),
    }
}

/// Settings of an instance on free loopback ports.
pub fn settings(
    name: &str,
    domain: &str,
    platform: &str,
    seeds: &[Listing],
    more: &serde_json::Value,
) -> Settings {
    let mut value = serde_json::json!({
        "instance": name,
        "domain": domain,
        "caller": { "listen": "127.0.0.1:0", "lookup_ms": 1000 },
        "peer": { "listen": "127.0.0.1:0", "seeds": seeds },
        "operator": { "listen": "127.0.0.1:0", "token_file": token_file() },
        "platform": { "address": platform, "poll_ms": 500 },
    });
    merge(&mut value, more);
    Settings::parse(&value.to_string()).unwrap_or_else(|f| panic!("settings: {f:?}"))
}

fn merge(value: &mut serde_json::Value, more: &serde_json::Value) {
    match (value, more) {
        (serde_json::Value::Object(into), serde_json::Value::Object(from)) => {
            for (name, more) in from {
                merge(into.entry(name).or_insert(serde_json::Value::Null), more);
            }
        }
        (_, serde_json::Value::Null) => {}
        (value, more) => *value = more.clone(),
    }
}

/// File that holds [`TOKEN`].
pub fn token_file() -> PathBuf {
    let name = format!("briargap-token-{}", std::process::id());
    let path = std::env::temp_dir().join(name);
    if !path.exists() {
        // Written aside and renamed, so that no reader sees half of it.
        let aside = path.with_extension(format!("{:?}", std::thread::current().id()));
        std::fs::write(&aside, TOKEN).expect("token file");
        std::fs::rename(&aside, &path).expect("token file");
    }
    path
}

impl Kit {
    /// Starts a kit with the services `assistant` and `orders`, warm.
    pub fn start(options: &KitOptions) -> Kit {
        let platform = PlatformStandIn::start();
        let engines: Vec<Engine> = (0..options.engines)
            .map(|_| Engine::start(options.engine.clone()))
            .collect();
        for engine in &engines {
            engine.warm_up();
        }
        let services: Vec<Service> = (0..options.services).map(|_| Service::start()).collect();
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(4)
            .enable_all()
            .build()
            .expect("runtime");
        let mut kit = Kit {
            platform,
            engines,
            services,
            instances: Vec::new(),
            runtime,
        };
        for i in 0..options.instances {
            let name = format!("instance-{i}");
            kit.add(&name, DOMAINS[i % DOMAINS.len()], &options.settings);
        }
        kit.wait("membership", Kit::sees_all);
        kit.apply_documents(&options.limits);
        kit
    }

    /// Starts one more instance.
    pub fn add(&mut self, name: &str, domain: &str, more: &serde_json::Value) -> usize {
        let seeds: Vec<Listing> = self.instances.iter().map(|i| i.listing().clone()).collect();
        let settings = settings(name, domain, &self.platform.base_url(), &seeds, more);
        let platform = Platform::with_store(self.platform.address());
        let started = self.runtime.block_on(Instance::start(settings, platform));
        self.instances.push(started.expect("an instance"));
        self.instances.len() - 1
    }

    fn apply_documents(&self, limits: &Limits) {
        let workspaces = vec![workspace("forge", 1), workspace("cooper", 1)];
        let engines: Vec<SocketAddr> = self.engines.iter().map(Engine::address).collect();
        let services: Vec<SocketAddr> = self.services.iter().map(Service::address).collect();
        let assistant = document(
            "assistant",
            ServiceKind::Engine,
            limits.clone(),
            &engines,
            workspaces.clone(),
        );
        let plain = Limits {
            first_time: limits.first_time.min(std::time::Duration::from_secs(3)),
            ..limits.clone()
        };
        let orders = document("orders", ServiceKind::Plain, plain, &services, workspaces);
        let operator = self.operator(0);
        for document in [assistant, orders] {
            operator.apply(&document, 0, false).expect("document");
        }
        self.wait("documents", |kit| {
            (0..kit.instances.len()).all(|i| {
                let services = kit.operator(i).services();
                services.is_ok_and(|s| s.len() == 2)
            })
        });
        self.wait("engines", |kit| {
            let state = kit.state(0);
            let targets = state["node"]["services"]["assistant"]["targets"].clone();
            let caps = targets.as_array().cloned().unwrap_or_default();
            let is_warm =
                |t: &serde_json::Value| t["cap"].as_u64() == Some(u64::from(limits.slots));
            !caps.is_empty() && caps.iter().filter(|t| is_warm(t)).count() > 0
        });
    }

    /// Operators' client of an instance.
    pub fn operator(&self, instance: usize) -> operator::Client {
        let address = self.instances[instance].operator_addr().to_string();
        operator::Client::new(&address, TOKEN)
    }

    /// State dump of an instance.
    pub fn state(&self, instance: usize) -> serde_json::Value {
        self.operator(instance).state().unwrap_or_default()
    }

    /// Address for callers of an instance.
    pub fn caller(&self, instance: usize) -> SocketAddr {
        self.instances[instance].caller_addr()
    }

    /// Whether every instance sees every other one alive.
    pub fn sees_all(&self) -> bool {
        (0..self.instances.len()).all(|i| {
            let members = self.state(i)["node"]["members"].clone();
            let members = members.as_object().cloned().unwrap_or_default();
            let alive = members.values().filter(|m| m["status"] == "a").count();
            alive >= self.instances.len()
        })
    }

    /// Waits until something holds; the bound is there only to end a failure.
    ///
    /// # Panics
    ///
    /// Panics where it does not hold within a minute.
    pub fn wait(&self, what: &str, holds: impl Fn(&Kit) -> bool) {
        for _ in 0..1_200 {
            if holds(self) {
                return;
            }
            std::thread::sleep(std::time::Duration::from_millis(50));
        }
        panic!("{what}: not within a minute");
    }

    /// Stops an instance gracefully; returns whether no request was cut off.
    pub fn stop(&mut self, instance: usize) -> bool {
        let instance = self.instances.remove(instance);
        self.runtime.block_on(instance.stop())
    }

    /// Runs a future on the kit's runtime.
    pub fn block_on<T>(&self, future: impl Future<Output = T>) -> T {
        self.runtime.block_on(future)
    }
}
