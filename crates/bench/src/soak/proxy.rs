//! A proxy on loopback that delays, resets, silences and cuts connections.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Interval at which a connection without bytes looks at the mode.
const LOOK: Duration = Duration::from_millis(50);

/// What becomes of the bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    /// They are passed on.
    Pass,
    /// They are passed on later.
    Delay(Duration),
    /// Connections are closed, and new ones at once.
    Reset,
    /// They are swallowed both ways, on open connections for good.
    Silent,
    /// Those of the side that accepted are swallowed.
    NoAnswers,
    /// Those of the side that dialled are swallowed.
    NoRequests,
}

/// Way of the bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Request,
    Answer,
}

/// A proxy before one address.
pub(super) struct Proxy {
    address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
}

impl Proxy {
    /// Starts a proxy on a free port.
    pub(super) fn start(to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let mode = Arc::new(Mutex::new(Mode::Pass));
        let shared = mode.clone();
        std::thread::spawn(move || {
            for dialled in listener.incoming().flatten() {
                let mode = shared.clone();
                std::thread::spawn(move || connect(&dialled, to, &mode));
            }
        });
        Proxy { address, mode }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn set(&self, mode: Mode) {
        *self.mode.lock().expect("mode") = mode;
    }
}

fn connect(dialled: &TcpStream, to: SocketAddr, mode: &Arc<Mutex<Mode>>) {
    if *mode.lock().expect("mode") == Mode::Reset {
        return;
    }
    let Ok(accepted) = TcpStream::connect(to) else {
        return;
    };
    let (Ok(from), Ok(back)) = (dialled.try_clone(), accepted.try_clone()) else {
        return;
    };
    let shared = mode.clone();
    let requests = std::thread::spawn(move || pump(&from, &back, &shared, Way::Request));
    pump(&accepted, dialled, mode, Way::Answer);
    // The pump ends with its connection.
    let _ = requests.join();
}

/// Passes bytes on until one side closes or the mode closes both.
fn pump(mut from: &TcpStream, mut to: &TcpStream, mode: &Mutex<Mode>, way: Way) {
    let mut bytes = [0; 8 << 10];
    let mut is_dead = false;
    if from.set_read_timeout(Some(LOOK)).is_err() {
        return;
    }
    loop {
        let count = match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(count) => count,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => 0,
            Err(_) => break,
        };
        let now = *mode.lock().expect("mode");
        match (now, way) {
            (Mode::Reset, _) => break,
            (Mode::Silent, _)
            | (Mode::NoAnswers, Way::Answer)
            | (Mode::NoRequests, Way::Request) => {
                is_dead = true;
            }
            (Mode::Delay(delay), _) if count > 0 => std::thread::sleep(delay),
            _ => {}
        }
        if !is_dead && to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    // The other side may have closed first.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
