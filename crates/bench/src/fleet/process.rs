//! Instances as processes of the built binary, on loopback.

use crate::child::{DaemonProcess, free_address};
use crate::test_fleet;
use decision::Listing;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;

/// Unit of the CPU times in `/proc/<id>/stat`: clock ticks per second.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page in bytes, the unit of `/proc/<id>/statm`.
const PAGE_BYTES: f64 = 4_096.0;

/// Process of one instance.
pub(super) struct InstanceProcess {
    pub(super) listing: Listing,
    pub(super) operator_addr: SocketAddr,
    daemon: DaemonProcess,
}

/// CPU time and memory that a process uses.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    /// CPU time since its start, in seconds.
    pub(super) cpu: f64,
    /// Resident memory in MiB.
    pub(super) memory: f64,
}

impl InstanceProcess {
    /// Writes the settings of an instance on free ports; doesn't start its process.
    ///
    /// # Panics
    ///
    /// Panics if the settings file can't be written.
    pub(super) fn new(
        binary: &Path,
        folder: &Path,
        name: &str,
        domain: &str,
        platform: &str,
    ) -> InstanceProcess {
        let (caller, peer, operator) = (free_address(), free_address(), free_address());
        let settings = json!({
            "instance": name,
            "domain": domain,
            "caller": { "listen": caller, "lookup_ms": 2000 },
            "peer": { "listen": peer },
            "operator": { "listen": operator, "token_file": test_fleet::token_file() },
            "platform": { "address": platform, "poll_ms": 1000 },
            "log": { "level": "warn" },
        });
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("settings");
        InstanceProcess {
            listing: Listing {
                id: name.into(),
                domain: domain.into(),
                caller,
                peer,
                leaving: false,
                starting: false,
                power: 0,
            },
            operator_addr: operator,
            daemon: DaemonProcess::new(binary, path),
        }
    }

    /// Starts the process.
    pub(super) fn start(&mut self) {
        self.daemon.start();
    }

    /// Returns whether the process runs.
    pub(super) fn is_running(&mut self) -> bool {
        self.daemon.is_running()
    }

    /// Kills the process, which has no chance to shut down in order.
    pub(super) fn kill(&mut self) {
        self.daemon.kill();
    }

    /// Sends a signal to the process, by its name such as `STOP`.
    pub(super) fn signal(&self, name: &str) {
        self.daemon.signal(name);
    }

    /// Returns a client of the operator interface.
    pub(super) fn operator_client(&self) -> operator::Client {
        operator::Client::new(&self.operator_addr.to_string(), test_fleet::TOKEN)
    }

    /// Returns the state dump of the instance, or null if it doesn't respond.
    pub(super) fn state(&self) -> Value {
        self.operator_client().state().unwrap_or_default()
    }

    /// Returns the CPU time and memory of the process, or zeros if it doesn't run.
    pub(super) fn usage(&self) -> Usage {
        let Some(id) = self.daemon.id() else {
            return Usage::default();
        };
        let read = |file: &str| std::fs::read_to_string(format!("/proc/{id}/{file}"));
        let stat = read("stat").unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
        let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok());
        // User and system time; the fields are counted from the one after the name.
        let cpu = ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0);
        let statm = read("statm").unwrap_or_default();
        let pages = statm.split(' ').nth(1).and_then(|p| p.parse::<f64>().ok());
        Usage {
            cpu: cpu / TICKS_PER_SECOND,
            memory: pages.unwrap_or(0.0) * PAGE_BYTES / (1024.0 * 1024.0),
        }
    }
}
