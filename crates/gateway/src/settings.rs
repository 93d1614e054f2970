//! Settings of an instance that runs on the operators' platform.

use decision::{DomainId, InstanceId, ValidationError};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Settings of an instance that runs on the operators' platform.
///
/// Fields that are not known are left out, because the platform's template may
/// be newer than the program.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Addresses to listen on.
    pub listen: Listen,
    /// The platform's store.
    pub store: StoreSettings,
    /// Instances to ask while the store is away, which may be gone.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Port of the mesh on the seeds, where theirs is another one.
    #[serde(default)]
    pub seed_port: Option<u16>,
    /// Bounds that the operators set.
    pub bounds: Bounds,
    /// What the machine bears.
    pub machine: ResourceLimits,
    /// Least level of log lines: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_level")]
    pub log_level: String,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Listen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Checks whether the instance takes requests.
    pub ready: SocketAddr,
    /// Questions of callers for instances.
    pub directory: SocketAddr,
    /// Metrics and the dump.
    pub control: SocketAddr,
    /// Other instances.
    pub peers: SocketAddr,
}

/// The platform's store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoreSettings {
    /// Address.
    pub address: SocketAddr,
}

/// Bounds that the operators set.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Bounds {
    /// Longest age of a configuration by which a key may be honoured.
    #[serde(rename = "key_age_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub key_age: Duration,
    /// Time from the order to stop to the kill.
    #[serde(rename = "grace_s")]
    #[serde_as(as = "serde_with::DurationSecondsWithFrac<f64>")]
    pub grace: Duration,
    /// Longest time for which callers keep the answer of a lookup.
    #[serde(rename = "lookup_s")]
    #[serde_as(as = "serde_with::DurationSecondsWithFrac<f64>")]
    pub lookup_ttl: Duration,
    /// Retries allowed for each request.
    pub retry_ratio: f64,
    /// Retries allowed besides, in the window of the operators.
    pub retry_slack: f64,
    /// Factor on a cold target's rate that is still borne.
    pub cold_excess: f64,
    /// Requests a second that a cold target bears besides.
    pub cold_slack: f64,
    /// Multiple of the pool's mean load that no target may pass.
    pub load_multiple: f64,
}

/// What the machine bears.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Machine")]
pub struct ResourceLimits {
    /// Cores, as a fraction.
    pub cores: f64,
    /// File descriptors.
    pub descriptors: usize,
}

fn default_level() -> String {
    "info".to_owned()
}

impl Settings {
    /// Reads settings and checks them as a whole.
    ///
    /// # Errors
    ///
    /// Returns every fault with its path in the document.
    pub fn read(path: &Path) -> Result<Settings, Vec<ValidationError>> {
        let text = std::fs::read_to_string(path).map_err(|e| {
            vec![ValidationError {
                path: path.display().to_string(),
                message: e.to_string(),
            }]
        })?;
        Settings::parse(&text)
    }

    /// Parses settings and checks them as a whole.
    ///
    /// # Errors
    ///
    /// Returns every fault with its path in the document.
    pub fn parse(text: &str) -> Result<Settings, Vec<ValidationError>> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let settings: Settings = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
            vec![ValidationError {
                path: e.path().to_string(),
                message: e.inner().to_string(),
            }]
        })?;
        let faults = settings.validate();
        if faults.is_empty() {
            return Ok(settings);
        }
        Err(faults)
    }

    /// Addresses of the mesh of other instances to ask at the start.
    pub(crate) fn seed_addresses(&self) -> Vec<SocketAddr> {
        let mesh =
            |seed: &SocketAddr| SocketAddr::new(seed.ip(), self.seed_port.unwrap_or(seed.port()));
        let seeds = self.seeds.iter().map(mesh);
        seeds.filter(|seed| *seed != self.listen.peers).collect()
    }

    /// Whether others are seeds and this instance is none.
    pub(crate) fn joins_by_seeds(&self) -> bool {
        !self.seeds.is_empty() && self.seed_addresses().len() == self.seeds.len()
    }

    /// Lists every fault of the settings.
    pub fn validate(&self) -> Vec<ValidationError> {
        let bounds = &self.bounds;
        let is_level = self.log_level.parse::<log::LevelFilter>().is_ok();
        let rules = [
            (!self.instance.is_empty(), "instance", "must not be empty"),
            (!self.domain.is_empty(), "domain", "must not be empty"),
            (
                self.listen.callers != self.listen.peers,
                "listen.peers",
                "must differ from listen.callers",
            ),
            (
                !bounds.key_age.is_zero(),
                "bounds.key_age_ms",
                "must be over 0",
            ),
            (!bounds.grace.is_zero(), "bounds.grace_s", "must be over 0"),
            (
                bounds.lookup_ttl >= Duration::from_secs(1),
                "bounds.lookup_s",
                "must be at least 1",
            ),
            (
                bounds.load_multiple >= 1.0,
                "bounds.load_multiple",
                "must be at least 1",
            ),
            (
                bounds.retry_ratio >= 0.0 && bounds.retry_slack >= 0.0,
                "bounds.retry_ratio",
                "must not be negative, nor bounds.retry_slack",
            ),
            (self.machine.cores > 0.0, "machine.cores", "must be over 0"),
            (
                self.machine.descriptors >= 256,
                "machine.descriptors",
                "must be at least 256",
            ),
            (
                is_level,
                "log_level",
                "must be error, warn, info, debug or trace",
            ),
        ];
        let violated = rules.iter().filter(|(holds, _, _)| !holds);
        violated
            .map(|(_, path, message)| ValidationError {
                path: (*path).to_owned(),
                message: (*message).to_owned(),
            })
            .collect()
    }
}
