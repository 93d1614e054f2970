//! Settings of an instance.

use decision::{DomainId, DoorLimits, InstanceId, RolloutBounds, ValidationError};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Default of [`ConnectionSettings::keep`].
const DEFAULT_KEEP: Duration = Duration::from_secs(4);

/// Settings of an instance that runs on the operators' platform.
///
/// Unknown fields are ignored, because the settings may be written for a newer
/// version of the program.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub instance: InstanceId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Addresses to listen on.
    pub listen: Listen,
    /// The platform's store.
    pub store: StoreSettings,
    /// Instances to contact at the start, from which a new instance can learn the
    /// tables if the store is unavailable. Some may no longer exist.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Mesh port of the seeds, if it differs from the ports in `seeds`.
    #[serde(default)]
    pub seed_port: Option<u16>,
    /// Limits that the operators set for the fleet.
    pub bounds: Bounds,
    /// Resources of the machine that the instance may use.
    pub machine: Machine,
    /// Connections to targets.
    #[serde(default)]
    pub connections: ConnectionSettings,
    /// Whether requests wait for slots of plain services that are contended.
    #[serde(default = "default_lines")]
    pub lines: bool,
    /// Lowest level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_level")]
    pub log_level: String,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness probes.
    pub ready: SocketAddr,
    /// Lookups, by which callers find the live instances.
    pub directory: SocketAddr,
    /// Metrics and the state dump.
    pub control: SocketAddr,
    /// Mesh connections of other instances.
    pub peers: SocketAddr,
}

/// Settings of the platform's store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
}

/// Limits that the operators set for the fleet.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Bounds {
    /// Age of the configuration above which API keys are rejected.
    #[serde(rename = "key_age_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub key_age: Duration,
    /// Time from the signal to stop until the process is killed.
    #[serde(rename = "grace_s")]
    #[serde_as(as = "serde_with::DurationSecondsWithFrac<f64>")]
    pub grace: Duration,
    /// Longest time for which callers cache the result of a lookup.
    #[serde(rename = "lookup_s")]
    #[serde_as(as = "serde_with::DurationSecondsWithFrac<f64>")]
    pub lookup_ttl: Duration,
    /// Retries that the fleet may send for each request.
    pub retry_ratio: f64,
    /// Retries that the fleet may send in addition, in each window of 10 s.
    pub retry_slack: f64,
    /// Rate of requests that a cold target, one that has just started, tolerates,
    /// as a multiple of its service's limit for cold targets.
    pub cold_excess: f64,
    /// Requests per second that a cold target tolerates in addition.
    pub cold_slack: f64,
    /// Highest load of a target, as a multiple of its pool's mean load.
    pub load_multiple: f64,
    /// Largest share of a service's requests that a bad version may get in a roll-out.
    /// Orders of roll-outs have an effect only where all three of their bounds are set;
    /// a part of them is a fault.
    #[serde(default)]
    pub exposure_share: Option<f64>,
    /// Requests that a bad version may get besides that share.
    #[serde(default)]
    pub exposure_slack: Option<f64>,
    /// Time after its 50th bad response from which on a bad version gets nothing.
    #[serde(rename = "rollback_ms", default)]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub rollback_time: Option<Duration>,
}

impl Bounds {
    /// Returns the bounds on roll-outs, if all are set.
    pub(crate) fn rollout(&self) -> Option<RolloutBounds> {
        Some(RolloutBounds {
            exposure_share: self.exposure_share?,
            exposure_slack: self.exposure_slack?,
            rollback_time: self.rollback_time?,
        })
    }
}

/// Memory in MiB of a machine whose settings don't name it.
const DEFAULT_MEMORY_MB: f64 = 192.0;

/// Resources of the machine that an instance may use.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Machine {
    /// CPU cores; may be a fraction.
    pub cores: f64,
    /// Open file descriptors.
    pub descriptors: usize,
    /// Speed of its link in Mbit/s; 10 is reckoned with where none is given.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Memory in MiB; 192 are reckoned with if it is not known.
    #[serde(default)]
    pub memory_mb: Option<f64>,
}

impl Machine {
    /// Returns how much each listening socket may take.
    pub(crate) fn door_limits(&self) -> DoorLimits {
        let memory = self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) * f64::from(1 << 20);
        DoorLimits::new(self.descriptors, memory as usize)
    }
}

/// Settings of the connections to targets whose services limit them.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct ConnectionSettings {
    /// Longest time for which a connection is kept between two requests; 0 for a new
    /// connection for each attempt.
    #[serde(rename = "keep_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub keep: Duration,
}

impl Default for ConnectionSettings {
    fn default() -> Self {
        ConnectionSettings { keep: DEFAULT_KEEP }
    }
}

fn default_lines() -> bool {
    true
}

fn default_level() -> String {
    "info".to_owned()
}

impl Settings {
    /// Reads and validates the settings in a JSON file.
    ///
    /// # Errors
    ///
    /// Returns the error of reading or parsing the file, or else every invalid value
    /// with its path in the document.
    pub fn read(path: &Path) -> Result<Settings, Vec<ValidationError>> {
        let text = std::fs::read_to_string(path).map_err(|e| {
            vec![ValidationError {
                path: path.display().to_string(),
                message: e.to_string(),
            }]
        })?;
        Settings::parse(&text)
    }

    /// Parses and validates settings in JSON.
    ///
    /// # Errors
    ///
    /// Returns the first error of parsing, or else every invalid value, each with its
    /// path in the document.
    pub fn parse(text: &str) -> Result<Settings, Vec<ValidationError>> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let settings: Settings = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
            vec![ValidationError {
                path: e.path().to_string(),
                message: e.inner().to_string(),
            }]
        })?;
        let errors = settings.validate();
        if errors.is_empty() {
            return Ok(settings);
        }
        Err(errors)
    }

    /// Returns the mesh addresses of the seeds, without this instance.
    pub(crate) fn seed_addresses(&self) -> Vec<SocketAddr> {
        let mesh =
            |seed: &SocketAddr| SocketAddr::new(seed.ip(), self.seed_port.unwrap_or(seed.port()));
        let seeds = self.seeds.iter().map(mesh);
        seeds.filter(|seed| *seed != self.listen.peers).collect()
    }

    /// Returns whether this instance joins the fleet through other instances: there
    /// are seeds, and it is none of them.
    pub(crate) fn joins_by_seeds(&self) -> bool {
        !self.seeds.is_empty() && self.seed_addresses().len() == self.seeds.len()
    }

    /// Returns every invalid value.
    pub fn validate(&self) -> Vec<ValidationError> {
        let bounds = &self.bounds;
        let rollout = [
            ("bounds.exposure_share", bounds.exposure_share.is_some()),
            ("bounds.exposure_slack", bounds.exposure_slack.is_some()),
            ("bounds.rollback_ms", bounds.rollback_time.is_some()),
        ];
        let has_rollout = rollout.iter().any(|(_, is_set)| *is_set);
        let partial = rollout.map(|(path, is_set)| {
            let message = "must be set where another bound on roll-outs is";
            (is_set || !has_rollout, path, message)
        });
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
            (
                bounds
                    .exposure_share
                    .is_none_or(|share| (0.0..=1.0).contains(&share)),
                "bounds.exposure_share",
                "must be from 0 to 1",
            ),
            (
                bounds.exposure_slack.is_none_or(|slack| slack >= 0.0),
                "bounds.exposure_slack",
                "must not be negative",
            ),
            (self.machine.cores > 0.0, "machine.cores", "must be over 0"),
            (
                self.machine.descriptors >= 256,
                "machine.descriptors",
                "must be at least 256",
            ),
            (
                self.machine.link_mbps.is_none_or(|mbps| mbps > 0.0),
                "machine.link_mbps",
                "must be over 0",
            ),
            (
                self.machine.memory_mb.is_none_or(|mb| mb > 0.0),
                "machine.memory_mb",
                "must be over 0",
            ),
            (
                is_level,
                "log_level",
                "must be error, warn, info, debug or trace",
            ),
        ];
        let violated = rules.iter().chain(&partial).filter(|(holds, _, _)| !holds);
        violated
            .map(|(_, path, message)| ValidationError {
                path: (*path).to_owned(),
                message: (*message).to_owned(),
            })
            .collect()
    }
}
