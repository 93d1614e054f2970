//! Settings of an instance that serves callers under service documents, in JSON.

use decision::{DomainId, InstanceId, Listing, ValidationError};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Settings of one instance.
///
/// The names in JSON are part of the interface and differ from some field names;
/// durations are whole milliseconds there.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance; must be unique in the fleet.
    pub instance: InstanceId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// HTTP interface for callers.
    pub caller: CallerSettings,
    /// Mesh of connections to other instances.
    pub peer: PeerSettings,
    /// HTTP interface for operators.
    pub operator: OperatorSettings,
    /// Access to the platform's store.
    pub platform: PlatformSettings,
    /// Failure detection between instances.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// Retention of answers, so that callers can resume them.
    #[serde(default)]
    pub answers: AnswerSettings,
    /// Largest number of chats whose cache locations the instance remembers.
    #[serde(rename = "chats", default = "max_chats")]
    pub max_chats: usize,
    /// Longest duration of a graceful shutdown, in milliseconds.
    ///
    /// Requests that are still running then are cut off.
    #[serde(rename = "stop_limit_ms", default = "stop_limit")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub stop_limit: Duration,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// Address of a statsd server; without it no metrics are sent.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

/// HTTP interface for callers.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address that lookups return for this instance, if it differs from `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Largest number of open connections; further ones wait to be accepted.
    #[serde(rename = "connections", default = "max_connections")]
    pub max_connections: usize,
    /// Size limit of a request body, in bytes.
    #[serde(rename = "body_max", default = "max_body")]
    pub max_body: usize,
    /// Time for which callers may cache the result of a lookup, in milliseconds.
    #[serde(rename = "lookup_ms", default = "lookup_ttl")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lookup_ttl: Duration,
    /// Time limit for receiving the head of a request, in milliseconds; also closes
    /// idle connections.
    #[serde(rename = "head_ms", default = "head_timeout")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub head_timeout: Duration,
}

/// Mesh of connections to other instances.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address to which other instances connect, if it differs from `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Files for mutual TLS; without them `listen` must be a loopback address.
    #[serde(default)]
    pub tls: Option<TlsSettings>,
    /// Instances to contact at start, in case the platform's list of instances is
    /// not available.
    #[serde(default)]
    pub seeds: Vec<Listing>,
}

/// Files for mutual TLS.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// Certificate chain of this instance, in PEM.
    pub certificate: PathBuf,
    /// Private key of this instance, in PEM.
    pub key: PathBuf,
    /// Certificate of the authority that signs all instances' certificates, in PEM.
    pub authority: PathBuf,
}

/// HTTP interface for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// File that holds the operators' bearer token, of at least 16 characters.
    pub token_file: PathBuf,
}

/// Access to the platform's store.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base address of the store, as in `http://10.0.0.5:7000`.
    pub address: String,
    /// Interval at which documents, drain marks and the list of instances are read,
    /// in milliseconds.
    #[serde(rename = "poll_ms", default = "poll_interval")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub poll_interval: Duration,
}

impl PlatformSettings {
    /// Returns the store's address, or `None` unless the base address is `http://` with
    /// an IP address and port.
    pub fn store_addr(&self) -> Option<SocketAddr> {
        let address = self.address.strip_prefix("http://")?;
        address.trim_end_matches('/').parse().ok()
    }
}

/// Failure detection by heartbeats between instances.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// Interval at which heartbeats are sent, in milliseconds.
    #[serde(rename = "heartbeat_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat after which an instance is suspected, in milliseconds.
    #[serde(rename = "suspect_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub suspect_timeout: Duration,
    /// Time after which a suspected instance counts as dead, unless it refutes the
    /// suspicion, in milliseconds.
    #[serde(rename = "dead_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub dead_timeout: Duration,
}

/// Retention of answers: responses that an instance keeps so that callers can resume
/// them after a lost connection.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AnswerSettings {
    /// Time for which a finished answer is kept, in milliseconds.
    #[serde(rename = "keep_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub keep_time: Duration,
    /// Time for which a request without a reader runs on before it is cancelled, in
    /// milliseconds.
    #[serde(rename = "resume_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub resume_timeout: Duration,
    /// Size limit of all kept answers together, in bytes.
    #[serde(rename = "bytes")]
    pub max_bytes: usize,
}

/// Logging.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Lowest level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Format of a line.
    pub format: LogFormat,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object per line.
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

/// Fewest heartbeat intervals that the suspect timeout must span.
const HEARTBEATS_BEFORE_SUSPECT: u32 = 3;

impl Settings {
    /// Reads settings from a file and validates them.
    ///
    /// # Errors
    ///
    /// Returns all faults with their paths; a file that cannot be read or JSON that
    /// cannot be parsed is a single fault.
    pub fn read(path: &Path) -> Result<Settings, Vec<ValidationError>> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| vec![fault(&path.display().to_string(), &e.to_string())])?;
        Settings::parse(&text)
    }

    /// Parses settings from JSON and validates them.
    ///
    /// # Errors
    ///
    /// Returns all faults with their paths; a file that cannot be read or JSON that
    /// cannot be parsed is a single fault.
    pub fn parse(text: &str) -> Result<Settings, Vec<ValidationError>> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let settings: Settings = serde_path_to_error::deserialize(&mut reader)
            .map_err(|e| vec![fault(&e.path().to_string(), &e.inner().to_string())])?;
        let faults = settings.faults();
        if faults.is_empty() {
            return Ok(settings);
        }
        Err(faults)
    }

    /// Validates all settings and the relations between them; returns every fault.
    pub fn faults(&self) -> Vec<ValidationError> {
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

    /// Returns the files for mutual TLS, if it is configured.
    pub(crate) fn tls_files(&self) -> Option<peer::TlsFiles> {
        let tls = self.peer.tls.as_ref()?;
        Some(peer::TlsFiles {
            certificate: tls.certificate.clone(),
            key: tls.key.clone(),
            authority: tls.authority.clone(),
        })
    }
}

fn fault(path: &str, message: &str) -> ValidationError {
    ValidationError {
        path: path.to_owned(),
        message: message.to_owned(),
    }
}
