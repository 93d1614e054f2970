//! Stand-in of an engine of a plain service, which answers at once.

use crate::http;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A request that an engine ran.
#[derive(Clone)]
pub struct Run {
    pub attempt: String,
    pub engine: String,
    pub at: Instant,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
}

impl Engine {
    pub fn start(id: &str, runs: &Runs) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (serving, runs) = (id.to_owned(), runs.clone());
        std::thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let (id, runs) = (serving.clone(), runs.clone());
                std::thread::spawn(move || serve(tcp, &id, &runs));
            }
        });
        Engine {
            id: id.to_owned(),
            address,
        }
    }

    /// Returns the entry of the engine in the store.
    pub fn entry(&self, service: &str, zone: &str) -> String {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.map_or(1, |t| t.as_millis());
        format!(
            r#"{{"Service":"{service}","Address":"{}","Zone":"{zone}","Version":"v1","Slots":64,"State":"ready","ColdLeftMs":0,"SeqNo":1,"born":{born}}}"#,
            self.address
        )
    }
}

fn serve(tcp: TcpStream, id: &str, runs: &Runs) {
    let _ = tcp.set_nodelay(true);
    let mut writer = tcp.try_clone().expect("a socket");
    let mut reader = BufReader::new(tcp);
    while let Some(request) = http::read(&mut reader) {
        let attempt = request.header("x-attempt-id").to_owned();
        let answer = if request.header("x-expect-instance") != id {
            format!("HTTP/1.1 421 -\r\nX-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n")
        } else {
            runs.lock().expect("runs").push(Run {
                attempt: attempt.clone(),
                engine: id.to_owned(),
                at: Instant::now(),
            });
            format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Stamp: 1.{attempt}\r\nContent-Length: 2\r\n\r\nok"
            )
        };
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
