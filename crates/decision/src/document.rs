//! Service documents, the configuration of one service by its team.

use crate::id::{DomainId, ServiceId, TargetId, Version, WorkspaceId};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, DurationMilliSeconds, serde_as};
use smol_str::SmolStr;
use std::collections::BTreeSet;
use std::time::Duration;

/// Maximum number of targets of a document.
const MAX_TARGETS: usize = 4_096;
/// Maximum number of slots of a target; load messages encode it in one byte.
const MAX_SLOTS: u32 = 250;
/// Hexadecimal digits of a SHA-256 digest.
const DIGEST_DIGITS: usize = 64;

/// Protocol of the targets of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[serde(expecting = "enum Kind")]
pub enum ServiceKind {
    /// Model engines that stream chat completions.
    Engine,
    /// Plain HTTP services with one response per request.
    Plain,
}

/// Configuration of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the service, which callers give as the model.
    pub service: ServiceId,
    /// Protocol of the targets.
    pub kind: ServiceKind,
    /// Limits of load, queues and time.
    #[serde(default)]
    pub limits: Limits,
    /// Pool of targets.
    pub targets: Vec<TargetSpec>,
    /// Workspaces that may call the service.
    pub workspaces: Vec<WorkspaceSpec>,
    /// Rules for calls of a plain service; the one with the longest matching
    /// prefix applies.
    #[serde(default)]
    pub calls: Vec<CallRule>,
}

/// A target of the pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// Name, unique in the document.
    pub id: TargetId,
    /// IP address and port.
    pub address: std::net::SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Share of chats relative to the other targets.
    #[serde(default = "one")]
    pub weight: u32,
}

/// A workspace that may call the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// Name, unique in the document.
    pub id: WorkspaceId,
    /// SHA-256 digest of the workspace's bearer key in hexadecimal.
    pub key_digest: SmolStr,
    /// Share of the pool under overload relative to the other workspaces.
    #[serde(default = "one")]
    pub share: u32,
}

/// Rule for the calls of a plain service below a path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRule {
    /// Path prefix, without a leading slash.
    pub path: SmolStr,
    /// Whether such a call may run more than once.
    pub repeatable: bool,
}

/// Limits of a service.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum load of a target as a multiple of the pool's mean load.
    pub multiple: f64,
    /// Slots of a warm target.
    pub slots: u32,
    /// Slots of a target at the beginning of its cold start.
    pub cold_slots: u32,
    /// Completed requests per additional slot of a cold target.
    pub ramp_step: u32,
    /// Maximum number of requests queued for one target.
    pub queue: usize,
    /// Longest wait in a queue, in milliseconds.
    #[serde(rename = "queue_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub queue_time: Duration,
    /// Processing time that a cached prompt token saves, in microseconds.
    #[serde(rename = "token_us")]
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub token_time: Duration,
    /// Longest wait for the target that caches a chat while other targets have
    /// room, in milliseconds.
    #[serde(rename = "hold_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub hold_time: Duration,
    /// Longest pause between two events of a response, in milliseconds.
    #[serde(rename = "idle_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle_time: Duration,
    /// Longest wait for the first event of a response, in milliseconds.
    #[serde(rename = "first_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub first_time: Duration,
    /// Longest total duration of a request, in milliseconds.
    #[serde(rename = "total_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub total_time: Duration,
    /// Maximum number of attempts per request.
    pub attempts: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            multiple: 1.25,
            slots: 16,
            cold_slots: 2,
            ramp_step: 2,
            queue: 64,
            queue_time: Duration::from_secs(10),
            token_time: Duration::from_micros(300),
            hold_time: Duration::from_millis(1_500),
            idle_time: Duration::from_secs(2),
            first_time: Duration::from_secs(10),
            total_time: Duration::from_secs(300),
            attempts: 4,
        }
    }
}

/// A document with the version under which it was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Versioned")]
pub struct VersionedDocument {
    /// Version; starts at 1 and only increases.
    #[serde(rename = "v")]
    pub version: Version,
    /// Document.
    #[serde(rename = "d")]
    pub document: Document,
}

/// An invalid value in a document or in settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Fault")]
pub struct ValidationError {
    /// Path of the value, such as `targets[2].weight`.
    pub path: String,
    /// Description of the violated rule.
    pub message: String,
}

impl std::fmt::Display for ValidationError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

impl Document {
    /// Returns all errors of the document; none if it may be accepted.
    pub fn validate(&self) -> Vec<ValidationError> {
        let mut errors = Vec::new();
        check_name("service", &self.service, &mut errors);
        self.limits.validate(&mut errors);
        self.check_targets(&mut errors);
        self.check_workspaces(&mut errors);
        if self.kind == ServiceKind::Engine && !self.calls.is_empty() {
            push_error(
                &mut errors,
                "calls",
                "only a plain service has rules of calls",
            );
        }
        errors
    }

    /// Returns whether a call of a plain service may run more than once.
    pub fn is_repeatable(&self, path: &str) -> bool {
        self.calls
            .iter()
            .filter(|rule| path.starts_with(rule.path.as_str()))
            .max_by_key(|rule| rule.path.len())
            .is_some_and(|rule| rule.repeatable)
    }

    /// Returns the workspace with the given name.
    pub fn workspace(&self, id: &str) -> Option<&WorkspaceSpec> {
        self.workspaces.iter().find(|w| w.id == id)
    }

    /// Returns the target with the given name.
    pub fn target(&self, id: &str) -> Option<&TargetSpec> {
        self.targets.iter().find(|t| t.id == id)
    }

    fn check_targets(&self, errors: &mut Vec<ValidationError>) {
        if self.targets.len() > MAX_TARGETS {
            let message = format!("at most {MAX_TARGETS} targets");
            push_error(errors, "targets", &message);
        }
        let mut seen = BTreeSet::new();
        for (i, target) in self.targets.iter().enumerate() {
            check_name(&format!("targets[{i}].id"), &target.id, errors);
            check_name(&format!("targets[{i}].domain"), &target.domain, errors);
            if !seen.insert(&target.id) {
                push_error(errors, &format!("targets[{i}].id"), "named twice");
            }
            if target.weight == 0 {
                push_error(errors, &format!("targets[{i}].weight"), "must be over 0");
            }
        }
    }

    fn check_workspaces(&self, errors: &mut Vec<ValidationError>) {
        let mut seen = BTreeSet::new();
        for (i, workspace) in self.workspaces.iter().enumerate() {
            check_name(&format!("workspaces[{i}].id"), &workspace.id, errors);
            if !seen.insert(&workspace.id) {
                push_error(errors, &format!("workspaces[{i}].id"), "named twice");
            }
            if workspace.share == 0 {
                push_error(errors, &format!("workspaces[{i}].share"), "must be over 0");
            }
            let digest = &workspace.key_digest;
            let is_hex = digest.bytes().all(|b| b.is_ascii_hexdigit());
            if digest.len() != DIGEST_DIGITS || !is_hex {
                let path = format!("workspaces[{i}].key_digest");
                push_error(errors, &path, "must be a SHA-256 digest in hexadecimal");
            }
        }
    }
}

impl Limits {
    fn validate(&self, errors: &mut Vec<ValidationError>) {
        let rules = [
            (
                self.multiple.is_finite() && self.multiple >= 1.0,
                "limits.multiple",
                "must be 1 or more",
            ),
            (
                (1..=MAX_SLOTS).contains(&self.slots),
                "limits.slots",
                "must be from 1 to 250",
            ),
            (
                self.cold_slots >= 1 && self.cold_slots <= self.slots,
                "limits.cold_slots",
                "must be from 1 to limits.slots",
            ),
            (self.ramp_step >= 1, "limits.ramp_step", "must be over 0"),
            (
                (1..=16).contains(&self.attempts),
                "limits.attempts",
                "must be from 1 to 16",
            ),
            (
                !self.idle_time.is_zero(),
                "limits.idle_ms",
                "must be over 0",
            ),
            (
                self.hold_time <= self.queue_time,
                "limits.hold_ms",
                "must be at most limits.queue_ms",
            ),
            (
                self.first_time >= self.idle_time,
                "limits.first_ms",
                "must be at least limits.idle_ms",
            ),
            (
                self.total_time > self.first_time + self.queue_time,
                "limits.total_ms",
                "must be over limits.first_ms and limits.queue_ms together",
            ),
        ];
        for (is_met, path, message) in rules {
            if !is_met {
                push_error(errors, path, message);
            }
        }
    }
}

fn one() -> u32 {
    1
}

/// Adds an error with its path.
fn push_error(errors: &mut Vec<ValidationError>, path: &str, message: &str) {
    errors.push(ValidationError {
        path: path.to_owned(),
        message: message.to_owned(),
    });
}

/// Checks the length and the characters of a name.
fn check_name(path: &str, name: &str, errors: &mut Vec<ValidationError>) {
    let is_valid = name
        .bytes()
        .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_'));
    if name.is_empty() || name.len() > 64 || !is_valid {
        push_error(
            errors,
            path,
            "must be 1 to 64 letters, digits, hyphens or underscores",
        );
    }
}
