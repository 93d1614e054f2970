//! Instances as separate processes, started as the deploy file says.

use crate::http;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

/// Processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started.
pub fn kill_all() {
    for pid in STARTED.lock().expect("pids").drain(..) {
        unsafe { kill(pid as i32, SIGKILL) };
    }
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
const SIGKILL: i32 = 9;

/// Ports that all machines use.
#[derive(Clone, Copy)]
pub struct Ports {
    pub callers: u16,
    pub ready: u16,
    pub directory: u16,
    pub control: u16,
    pub peers: u16,
}

impl Ports {
    /// Finds ports that are free at all addresses.
    pub fn find(ips: &[Ipv4Addr]) -> Ports {
        let probe = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut port = probe.local_addr().expect("an address").port().min(60_000);
        let mut found = Vec::new();
        while found.len() < 5 {
            port += 1;
            let is_free = |ip: &Ipv4Addr| TcpListener::bind((*ip, port)).is_ok();
            if ips.iter().all(is_free) {
                found.push(port);
            }
        }
        Ports {
            callers: found[0],
            ready: found[1],
            directory: found[2],
            control: found[3],
            peers: found[4],
        }
    }
}

/// One machine with its process.
pub struct Instance {
    pub name: String,
    pub ip: Ipv4Addr,
    pub ports: Ports,
    domain: String,
    seeds: Vec<SocketAddr>,
    settings: PathBuf,
    child: Option<Child>,
}

impl Instance {
    pub fn new(
        folder: &std::path::Path,
        name: &str,
        domain: &str,
        ip: Ipv4Addr,
        ports: Ports,
        seeds: &[SocketAddr],
    ) -> Self {
        Instance {
            name: name.to_owned(),
            ip,
            ports,
            domain: domain.to_owned(),
            seeds: seeds.to_vec(),
            settings: folder.join(format!("{name}.json")),
            child: None,
        }
    }

    /// Writes the settings file as the template gives it for a small deployment.
    pub fn write_settings(&self, store: SocketAddr, revoke_ms: u64) {
        let Ports {
            callers,
            ready,
            directory,
            control,
            peers,
        } = self.ports;
        let (name, domain, ip) = (&self.name, &self.domain, self.ip);
        let seeds: Vec<String> = self.seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let seeds = seeds.join(",");
        let text = format!(
            r#"{{
  "instance": "{name}",
  "domain": "{domain}",
  "listen": {{
    "callers": "{ip}:{callers}",
    "ready": "{ip}:{ready}",
    "directory": "{ip}:{directory}",
    "control": "{ip}:{control}",
    "peers": "{ip}:{peers}"
  }},
  "seeds": [{seeds}],
  "seed_port": {peers},
  "store": {{ "address": "{store}" }},
  "bounds": {{
    "key_age_ms": {revoke_ms},
    "grace_s": 8,
    "lookup_s": 5,
    "retry_ratio": 0.2,
    "retry_slack": 113,
    "cold_excess": 1.5,
    "cold_slack": 5,
    "load_multiple": 2
  }},
  "machine": {{
    "cores": 0.17,
    "descriptors": 2870,
    "link_mbps": 700.0,
    "memory_mb": 182
  }}
}}
"#
        );
        fs::write(&self.settings, text).expect("the settings can be written");
    }

    pub fn start(&mut self) {
        let output = self.settings.with_extension("log");
        let output = File::create(output).expect("a log");
        let child = Command::new("target/release/briargap")
            .arg("serve")
            .env("BRIARGAP_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("a log"))
            .stderr(output)
            .spawn();
        let child = child.expect("the program starts");
        STARTED.lock().expect("pids").push(child.id());
        self.child = Some(child);
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // Only processes that this one started.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn callers(&self) -> SocketAddr {
        (self.ip, self.ports.callers).into()
    }

    pub fn is_ready(&self) -> bool {
        let ready = (self.ip, self.ports.ready).into();
        let head = "GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n";
        let answer = http::call(ready, head, "", Duration::from_secs(1));
        answer.is_some_and(|a| a.status() == 200)
    }

    /// Returns the lines of its log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.settings.with_extension("log"));
        let log = log.unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            STARTED
                .lock()
                .expect("pids")
                .retain(|pid| *pid != child.id());
            let _ = child.wait();
        }
    }
}
