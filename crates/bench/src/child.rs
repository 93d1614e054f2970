//! A process of the built binary, ended by its id.

use bpaf::{Parser, long};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// Ports for addresses that are given to processes: below those that the
/// kernel gives to outgoing connections, which could take one in between.
const PORTS: std::ops::Range<u32> = 12_000..32_000;
/// Ports that one process of the bench takes before another one's begin.
const PORTS_EACH: u32 = 500;

/// An address on loopback that nobody listens on; no other call returns it.
pub(crate) fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(PORTS_EACH);
    loop {
        let number = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + number % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Option that names the built binary.
pub(crate) fn binary() -> impl Parser<PathBuf> {
    long("binary")
        .help("Built binary")
        .argument::<PathBuf>("FILE")
        .fallback(PathBuf::from("target/release/briargap"))
        .debug_fallback()
}

/// A process that is started, signalled and ended here.
pub(crate) struct Daemon {
    settings: PathBuf,
    binary: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// Prepares a process; its log stands beside its settings.
    pub(crate) fn new(binary: &Path, settings: PathBuf) -> Daemon {
        Daemon {
            settings,
            binary: binary.to_owned(),
            child: None,
        }
    }

    /// Starts the process.
    pub(crate) fn start(&mut self) {
        let log = |kind: &str| {
            let path = self.settings.with_extension(kind);
            let file = std::fs::File::options()
                .create(true)
                .append(true)
                .open(path);
            file.map_or_else(|_| Stdio::null(), Stdio::from)
        };
        let child = Command::new(&self.binary)
            .arg("serve")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log("out"))
            .stderr(log("log"))
            .spawn();
        self.child = Some(child.expect("the built binary"));
    }

    /// Whether the process runs.
    pub(crate) fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// How the process ended, if it has.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().ok().flatten()
    }

    /// Kills the process without a word.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal by name, as in `STOP`, to this process alone.
    pub(crate) fn signal(&self, name: &str) {
        if let Some(id) = self.id() {
            let _ = Command::new("kill")
                .arg(format!("-{name}"))
                .arg(id.to_string())
                .status();
        }
    }

    /// Id of the process.
    pub(crate) fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Folder of one run, removed at its end unless it is kept.
pub(crate) struct Folder {
    path: PathBuf,
    is_kept: bool,
}

impl Folder {
    /// Makes a folder among the temporary files.
    pub(crate) fn create(name: &str) -> std::io::Result<Folder> {
        let name = format!("briargap-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Folder {
            path,
            is_kept: false,
        })
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    /// Keeps the folder and its logs.
    pub(crate) fn keep(&mut self) {
        self.is_kept = true;
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.is_kept {
            // What can't be removed is left to the system's own cleaning.
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
