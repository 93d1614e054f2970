//! Settings of one instance, read from a JSON file.

use decision::{DomainId, Fault, InstanceId, Listing};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Settings of one instance.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Interface for callers.
    pub caller: CallerSettings,
    /// Interface for other instances.
    pub peer: PeerSettings,
    /// Interface for operators.
    pub operator: OperatorSettings,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Heartbeats.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// Answers that are kept for callers that come back.
    #[serde(default)]
    pub answers: AnswerSettings,
    /// Most chats on record.
    #[serde(rename = "chats", default = "max_chats")]
    pub max_chats: usize,
    /// Longest time that a graceful shutdown takes, in milliseconds.
    #[serde(rename = "stop_limit_ms", default = "stop_limit")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub stop_limit: Duration,
    /// Log.
    #[serde(default)]
    pub log: LogSettings,
    /// Address of a statsd server for metrics.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

/// Interface for callers.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address that lookups tell, where it is another.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Most connections at once.
    #[serde(rename = "connections", default = "max_connections")]
    pub max_connections: usize,
    /// Most bytes of a request's body.
    #[serde(rename = "body_max", default = "max_body")]
    pub max_body: usize,
    /// Time for which callers may keep a lookup, in milliseconds.
    #[serde(rename = "lookup_ms", default = "lookup_ttl")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lookup_ttl: Duration,
    /// Time for a request's head and for an idle connection, in milliseconds.
    #[serde(rename = "head_ms", default = "head_timeout")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub head_timeout: Duration,
}

/// Interface for other instances.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address that other instances dial, where it is another.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Files for mutual TLS; without them only a loopback address is allowed.
    #[serde(default)]
    pub tls: Option<TlsSettings>,
    /// Instances to greet while the platform's list is not to be had.
    #[serde(default)]
    pub seeds: Vec<Listing>,
}

/// Files for mutual TLS.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// Certificate chain in PEM.
    pub certificate: PathBuf,
    /// Private key in PEM.
    pub key: PathBuf,
    /// Authority's certificate in PEM.
    pub authority: PathBuf,
}

/// Interface for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// File that holds the operators' bearer token.
    pub token_file: PathBuf,
}

/// The platform's services.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base address of the store, as in `http://10.0.0.5:7000`.
    pub address: String,
    /// Interval at which the index row and the list are read, in milliseconds.
    #[serde(rename = "poll_ms", default = "poll_interval")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub poll_interval: Duration,
}

impl PlatformSettings {
    /// Address of the store; `None` where the base address names no port.
    pub fn store_addr(&self) -> Option<SocketAddr> {
        let address = self.address.strip_prefix("http://")?;
        address.trim_end_matches('/').parse().ok()
    }
}

/// Heartbeats.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// Interval of heartbeats, in milliseconds.
    #[serde(rename = "heartbeat_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub heartbeat_interval: Duration,
    /// Silence after which an instance is suspected, in milliseconds.
    #[serde(rename = "suspect_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub suspect_timeout: Duration,
    /// Time after which a suspect counts as dead, in milliseconds.
    #[serde(rename = "dead_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub dead_timeout: Duration,
}

/// Answers that are kept for callers that come back.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AnswerSettings {
    /// Time for which a finished answer is kept, in milliseconds.
    #[serde(rename = "keep_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub keep_time: Duration,
    /// Time for which an answer goes on without its caller, in milliseconds.
    #[serde(rename = "resume_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub resume_timeout: Duration,
    /// Most bytes of all answers that are kept.
    #[serde(rename = "bytes")]
    pub max_bytes: usize,
}

/// Log.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Least level: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Form of a line.
    pub format: LogFormat,
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
            heartbeat_interval: Duration::from_secs(1),
            suspect_timeout: Duration::from_secs(3),
            dead_timeout: Duration::from_secs(2),
        }
    }
}

impl Default for AnswerSettings {
    fn default() -> Self {
        AnswerSettings {
            keep_time: Duration::from_secs(60),
            resume_timeout: Duration::from_secs(10),
            max_bytes: 16 << 20,
        }
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings {
            level: "info".to_owned(),
            format: LogFormat::Text,
        }
    }
}

fn max_chats() -> usize {
    20_000
}

fn stop_limit() -> Duration {
    Duration::from_secs(330)
}

fn max_connections() -> usize {
    1_024
}

fn max_body() -> usize {
    1 << 20
}

fn lookup_ttl() -> Duration {
    Duration::from_secs(5)
}

fn head_timeout() -> Duration {
    Duration::from_secs(10)
}

fn poll_interval() -> Duration {
    Duration::from_secs(2)
}

/// Least number of heartbeats within the silence that raises suspicion.
const HEARTBEATS_BEFORE_SUSPECT: u32 = 3;

impl Settings {
    /// Reads settings and checks them as a whole.
    ///
    /// # Errors
    ///
    /// Returns every fault with its path in the document.
    pub fn read(path: &Path) -> Result<Settings, Vec<Fault>> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| vec![fault(&path.display().to_string(), &e.to_string())])?;
        Settings::parse(&text)
    }

    /// Parses settings and checks them as a whole.
    ///
    /// # Errors
    ///
    /// Returns every fault with its path in the document.
    pub fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let settings: Settings = serde_path_to_error::deserialize(&mut reader)
            .map_err(|e| vec![fault(&e.path().to_string(), &e.inner().to_string())])?;
        let faults = settings.faults();
        if faults.is_empty() {
            return Ok(settings);
        }
        Err(faults)
    }

    /// Lists every fault of the settings and of their relations.
    pub fn faults(&self) -> Vec<Fault> {
        let MembershipSettings {
            heartbeat_interval,
            suspect_timeout,
            dead_timeout,
        } = &self.membership;
        let is_valid_name = |name: &str| {
            !name.is_empty()
                && name.len() <= 63
                && name
                    .bytes()
                    .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
        };
        let has_scheme = self.platform.address.starts_with("http://");
        let is_known_level = self.log.level.parse::<log::LevelFilter>().is_ok();
        let is_loopback = self.peer.listen.ip().is_loopback();
        let rules = [
            (
                is_valid_name(&self.instance),
                "instance",
                "must be 1 to 63 lower-case letters, digits or hyphens",
            ),
            (!self.domain.is_empty(), "domain", "must not be empty"),
            (
                self.caller.max_connections > 0,
                "caller.connections",
                "must be over 0",
            ),
            (
                self.caller.max_body >= 1_024,
                "caller.body_max",
                "must be at least 1024",
            ),
            (
                !self.caller.lookup_ttl.is_zero(),
                "caller.lookup_ms",
                "must be over 0",
            ),
            (
                self.stop_limit > self.caller.lookup_ttl,
                "stop_limit_ms",
                "must be over caller.lookup_ms, or callers with a stale address are cut off",
            ),
            (
                is_loopback || self.peer.tls.is_some(),
                "peer.tls",
                "is needed where peer.listen is not a loopback address",
            ),
            (has_scheme, "platform.address", "must begin with http://"),
            (
                !has_scheme || self.platform.store_addr().is_some(),
                "platform.address",
                "must name an IP address and a port",
            ),
            (
                !self.platform.poll_interval.is_zero(),
                "platform.poll_ms",
                "must be over 0",
            ),
            (
                !heartbeat_interval.is_zero(),
                "membership.heartbeat_ms",
                "must be over 0",
            ),
            (
                *suspect_timeout >= *heartbeat_interval * HEARTBEATS_BEFORE_SUSPECT,
                "membership.suspect_ms",
                "must be at least three times membership.heartbeat_ms",
            ),
            (
                *dead_timeout >= *heartbeat_interval,
                "membership.dead_ms",
                "must be at least membership.heartbeat_ms, or no suspect can refute in time",
            ),
            (
                self.answers.keep_time >= self.answers.resume_timeout,
                "answers.keep_ms",
                "must be at least answers.resume_ms",
            ),
            (self.max_chats > 0, "chats", "must be over 0"),
            (
                is_known_level,
                "log.level",
                "must be error, warn, info, debug or trace",
            ),
        ];
        let violated = rules.iter().filter(|(is_met, _, _)| !is_met);
        violated
            .map(|(_, path, message)| fault(path, message))
            .collect()
    }

    /// Files for mutual TLS.
    pub(crate) fn tls_files(&self) -> Option<peer::TlsFiles> {
        let tls = self.peer.tls.as_ref()?;
        Some(peer::TlsFiles {
            certificate: tls.certificate.clone(),
            key: tls.key.clone(),
            authority: tls.authority.clone(),
        })
    }
}

fn fault(path: &str, message: &str) -> Fault {
    Fault {
        path: path.to_owned(),
        message: message.to_owned(),
    }
}
