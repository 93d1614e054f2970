//! Processes of the built binary, which are signalled and ended by their ids.

use bpaf::{Parser, long};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// Ports for the listeners of processes.
///
/// They lie below the kernel's range for outgoing connections, one of which
/// could otherwise take a port before the process listens on it.
const PORTS: std::ops::Range<u32> = 12_000..32_000;
/// Distance of the first ports of two bench processes with successive ids.
const PORTS_PER_PROCESS: u32 = 500;

/// Returns an unused loopback address, a different one on every call.
pub(crate) fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    loop {
        let number = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + number % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Command-line option for the path of the built binary.
pub(crate) fn binary() -> impl Parser<PathBuf> {
    long("binary")
        .help("Built binary")
        .argument::<PathBuf>("FILE")
        .fallback(PathBuf::from("target/release/briargap"))
        .debug_fallback()
}

/// Process of the built binary, which is killed on drop.
pub(crate) struct DaemonProcess {
    settings: PathBuf,
    binary: PathBuf,
    child: Option<Child>,
}

impl DaemonProcess {
    /// Prepares a process, whose output files lie beside its settings file.
    pub(crate) fn new(binary: &Path, settings: PathBuf) -> DaemonProcess {
        DaemonProcess {
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

    /// Returns whether the process runs.
    pub(crate) fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Returns the exit status if the process has ended.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().ok().flatten()
    }

    /// Kills the process without a chance to shut down.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails if the process has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal, such as `STOP`, to the process.
    pub(crate) fn signal(&self, name: &str) {
        if let Some(id) = self.id() {
            let _ = Command::new("kill")
                .arg(format!("-{name}"))
                .arg(id.to_string())
                .status();
        }
    }

    /// Returns the id of the process.
    pub(crate) fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Temporary folder of a run, removed on drop unless it is kept.
pub(crate) struct RunFolder {
    path: PathBuf,
    is_kept: bool,
}

impl RunFolder {
    /// Creates a folder in the folder for temporary files.
    pub(crate) fn create(name: &str) -> std::io::Result<RunFolder> {
        let name = format!("briargap-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(RunFolder {
            path,
            is_kept: false,
        })
    }

    /// Returns the path of the folder.
    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    /// Keeps the folder, so that its logs can be read after the run.
    pub(crate) fn keep(&mut self) {
        self.is_kept = true;
    }
}

impl Drop for RunFolder {
    fn drop(&mut self) {
        if !self.is_kept {
            // A folder that can't be removed is left in place.
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
