//! Small fleet in the current process: instances and stand-ins, on loopback.

use crate::standin::{Engine, EngineOptions, PlatformStandIn, Service};
use briargap::{Instance, Platform, Settings};
use decision::{Document, Limits, Listing, ServiceKind, TargetSpec, WorkspaceSpec};
use smol_str::{SmolStr, format_smolstr};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Token that the instances accept from operators.
pub const TOKEN: &str = "operators-token-for-tests";
/// Failure domains, over which instances and targets are spread in turn.
pub const DOMAINS: [&str; 3] = ["north", "middle", "south"];

/// Instances and stand-ins in the current process.
pub struct TestFleet {
    /// Stand-in of the platform.
    pub platform: PlatformStandIn,
    /// Engines of the service `assistant`.
    pub engines: Vec<Engine>,
    /// Targets of the service `orders`.
    pub services: Vec<Service>,
    /// Running instances.
    pub instances: Vec<Instance>,
    runtime: tokio::runtime::Runtime,
}

/// Sizes and properties of a [`TestFleet`].
#[derive(Clone, Debug)]
pub struct TestFleetOptions {
    /// Number of instances.
    pub instances: usize,
    /// Number of engines of the service `assistant`.
    pub engines: usize,
    /// Number of targets of the service `orders`.
    pub services: usize,
    /// Properties of the engines.
    pub engine: EngineOptions,
    /// Limits of the service `assistant`.
    pub limits: Limits,
    /// JSON that is merged into the settings of each instance.
    pub settings: serde_json::Value,
}

impl Default for TestFleetOptions {
    fn default() -> Self {
        TestFleetOptions {
            instances: 3,
            engines: 3,
            services: 2,
            engine: EngineOptions::default(),
            limits: Limits::default(),
            settings: serde_json::Value::Null,
        }
    }
}

/// Returns the API key of a workspace.
pub fn key(workspace: &str) -> String {
    format!("key-of-{workspace}")
}

/// Returns a workspace whose API key is [`key`] of its name.
pub fn workspace(name: &str, share: u32) -> WorkspaceSpec {
    WorkspaceSpec {
        id: name.into(),
        key_digest: caller::key_digest(&key(name)).into(),
        share,
    }
}

/// Returns the document of a service whose targets are spread over [`DOMAINS`].
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

/// Returns settings of an instance on free loopback ports.
pub fn settings(
    name: &str,
    domain: &str,
    platform: &str,
    seeds: &[Listing],
    overrides: &serde_json::Value,
) -> Settings {
    let mut value = serde_json::json!({
        "instance": name,
        "domain": domain,
        "caller": { "listen": "127.0.0.1:0", "lookup_ms": 1000 },
        "peer": { "listen": "127.0.0.1:0", "seeds": seeds },
        "operator": { "listen": "127.0.0.1:0", "token_file": token_file() },
        "platform": { "address": platform, "poll_ms": 500 },
    });
    merge(&mut value, overrides);
    Settings::parse(&value.to_string()).unwrap_or_else(|f| panic!("settings: {f:?}"))
}

/// Merges JSON objects in depth; any other value but null replaces the old one.
fn merge(value: &mut serde_json::Value, changes: &serde_json::Value) {
    match (value, changes) {
        (serde_json::Value::Object(into), serde_json::Value::Object(from)) => {
            for (name, change) in from {
                merge(into.entry(name).or_insert(serde_json::Value::Null), change);
            }
        }
        (_, serde_json::Value::Null) => {}
        (value, change) => *value = change.clone(),
    }
}

/// Returns the path of a file that holds [`TOKEN`], and creates it if needed.
pub fn token_file() -> PathBuf {
    let name = format!("briargap-token-{}", std::process::id());
    let path = std::env::temp_dir().join(name);
    if !path.exists() {
        // Written to another file and renamed, so that no reader sees it incomplete.
        let temporary = path.with_extension(format!("{:?}", std::thread::current().id()));
        std::fs::write(&temporary, TOKEN).expect("token file");
        std::fs::rename(&temporary, &path).expect("token file");
    }
    path
}

impl TestFleet {
    /// Starts a fleet with the services `assistant` and `orders` and waits until
    /// its instances have joined, have their documents and know a warm engine.
    pub fn start(options: &TestFleetOptions) -> TestFleet {
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
        let mut fleet = TestFleet {
            platform,
            engines,
            services,
            instances: Vec::new(),
            runtime,
        };
        for i in 0..options.instances {
            let name = format!("instance-{i}");
            fleet.add_instance(&name, DOMAINS[i % DOMAINS.len()], &options.settings);
        }
        fleet.wait_until("membership", TestFleet::all_see_all);
        fleet.apply_documents(&options.limits);
        fleet
    }

    /// Starts another instance and returns its index.
    pub fn add_instance(
        &mut self,
        name: &str,
        domain: &str,
        overrides: &serde_json::Value,
    ) -> usize {
        let seeds: Vec<Listing> = self.instances.iter().map(|i| i.listing().clone()).collect();
        let settings = settings(name, domain, &self.platform.base_url(), &seeds, overrides);
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
        let operator = self.operator_client(0);
        for document in [assistant, orders] {
            operator.apply(&document, 0, false).expect("document");
        }
        self.wait_until("documents", |fleet| {
            (0..fleet.instances.len()).all(|i| {
                let services = fleet.operator_client(i).services();
                services.is_ok_and(|s| s.len() == 2)
            })
        });
        self.wait_until("engines", |fleet| {
            let state = fleet.state(0);
            let targets = state["node"]["services"]["assistant"]["targets"].clone();
            let caps = targets.as_array().cloned().unwrap_or_default();
            let is_warm =
                |t: &serde_json::Value| t["cap"].as_u64() == Some(u64::from(limits.slots));
            !caps.is_empty() && caps.iter().filter(|t| is_warm(t)).count() > 0
        });
    }

    /// Returns a client of an instance's operator interface.
    pub fn operator_client(&self, instance: usize) -> operator::Client {
        let address = self.instances[instance].operator_addr().to_string();
        operator::Client::new(&address, TOKEN)
    }

    /// Returns the state dump of an instance.
    pub fn state(&self, instance: usize) -> serde_json::Value {
        self.operator_client(instance).state().unwrap_or_default()
    }

    /// Returns the address at which an instance serves callers.
    pub fn caller_addr(&self, instance: usize) -> SocketAddr {
        self.instances[instance].caller_addr()
    }

    /// Returns whether every instance considers all instances alive.
    pub fn all_see_all(&self) -> bool {
        (0..self.instances.len()).all(|i| {
            let members = self.state(i)["node"]["members"].clone();
            let members = members.as_object().cloned().unwrap_or_default();
            let alive = members.values().filter(|m| m["status"] == "a").count();
            alive >= self.instances.len()
        })
    }

    /// Waits until a condition holds.
    ///
    /// # Panics
    ///
    /// Panics if it does not hold within a minute.
    pub fn wait_until(&self, what: &str, holds: impl Fn(&TestFleet) -> bool) {
        for _ in 0..1_200 {
            if holds(self) {
                return;
            }
            std::thread::sleep(std::time::Duration::from_millis(50));
        }
        panic!("{what}: not within a minute");
    }

    /// Shuts an instance down; returns whether all its requests could finish.
    pub fn stop_instance(&mut self, instance: usize) -> bool {
        let instance = self.instances.remove(instance);
        self.runtime.block_on(instance.stop())
    }

    /// Runs a future on the runtime of the instances.
    pub fn block_on<T>(&self, future: impl Future<Output = T>) -> T {
        self.runtime.block_on(future)
    }
}
