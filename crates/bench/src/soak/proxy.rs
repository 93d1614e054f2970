//! TCP proxy on loopback that delays or drops data or closes connections.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Read timeout, after which an idle connection checks the mode again.
const MODE_POLL: Duration = Duration::from_millis(50);

/// What the proxy does with data and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    /// Forwards data.
    Forward,
    /// Forwards data after a delay.
    Delay(Duration),
    /// Closes open connections, and new ones as they are accepted.
    Reset,
    /// Drops data in both directions. A connection that was open in this mode
    /// never forwards data again, since a part of its stream is missing.
    DropAll,
    /// Drops data from the server, as [`Mode::DropAll`] does.
    DropResponses,
    /// Drops data from the client, as [`Mode::DropAll`] does.
    DropRequests,
}

/// Direction in which data flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Request,
    Response,
}

/// Proxy in front of one address.
pub(super) struct Proxy {
    address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
}

impl Proxy {
    /// Starts a proxy on a free port.
    pub(super) fn start(to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let mode = Arc::new(Mutex::new(Mode::Forward));
        let shared = mode.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let mode = shared.clone();
                std::thread::spawn(move || connect(&client, to, &mode));
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

fn connect(client: &TcpStream, to: SocketAddr, mode: &Arc<Mutex<Mode>>) {
    if *mode.lock().expect("mode") == Mode::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(to) else {
        return;
    };
    let (Ok(from), Ok(to_server)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let shared = mode.clone();
    let requests =
        std::thread::spawn(move || forward(&from, &to_server, &shared, Direction::Request));
    forward(&server, client, mode, Direction::Response);
    // Both directions end with the connection.
    let _ = requests.join();
}

/// Forwards data in one direction until a side closes or the mode is reset.
fn forward(mut from: &TcpStream, mut to: &TcpStream, mode: &Mutex<Mode>, direction: Direction) {
    let mut bytes = [0; 8 << 10];
    let mut is_dropping = false;
    if from.set_read_timeout(Some(MODE_POLL)).is_err() {
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
        match (now, direction) {
            (Mode::Reset, _) => break,
            (Mode::DropAll, _)
            | (Mode::DropResponses, Direction::Response)
            | (Mode::DropRequests, Direction::Request) => {
                is_dropping = true;
            }
            (Mode::Delay(delay), _) if count > 0 => std::thread::sleep(delay),
            _ => {}
        }
        if !is_dropping && to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    // Fails if the connection is closed already.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
