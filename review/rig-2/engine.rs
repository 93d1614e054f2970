//! Stand-in of an engine.

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

/// How an engine answers.
#[derive(Clone, Copy)]
pub enum Kind {
    /// One of a plain service, which answers at once.
    Plain,
    /// A model engine with weights of this version, which answers with a short stream.
    Model { version: u64 },
}

impl Engine {
    pub fn start(id: &str, kind: Kind, runs: &Runs) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (serving, runs) = (id.to_owned(), runs.clone());
        std::thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let (id, runs) = (serving.clone(), runs.clone());
                std::thread::spawn(move || serve(tcp, &id, kind, &runs));
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

fn serve(tcp: TcpStream, id: &str, kind: Kind, runs: &Runs) {
    let _ = tcp.set_nodelay(true);
    let mut writer = tcp.try_clone().expect("a socket");
    let mut reader = BufReader::new(tcp);
    while let Some(request) = http::read(&mut reader) {
        let attempt = request.header("x-attempt-id").to_owned();
        let head = format!("X-Attempt-Id: {attempt}\r\n");
        let is_other = request.header("x-expect-instance") != id;
        let wanted = request.header("x-expect-version");
        let has_other_weights = match kind {
            Kind::Plain => false,
            Kind::Model { version } => !wanted.is_empty() && wanted != version.to_string(),
        };
        if is_other || has_other_weights {
            let answer =
                format!("HTTP/1.1 421 -\r\n{head}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        runs.lock().expect("runs").push(Run {
            attempt: attempt.clone(),
            engine: id.to_owned(),
            at: Instant::now(),
        });
        let answer = match kind {
            Kind::Plain => format!(
                "HTTP/1.1 200 OK\r\n{head}X-Server-Stamp: 1.{attempt}\r\nContent-Length: 2\r\n\r\nok"
            ),
            Kind::Model { version } => {
                let event = |n: u32| format!("id: {n}\ndata: {attempt}\n\n");
                let chunks: String = (1..=3)
                    .map(event)
                    .map(|e| format!("{:x}\r\n{e}\r\n", e.len()))
                    .collect();
                format!(
                    "HTTP/1.1 200 OK\r\n{head}X-Server-Stamp: 1.{attempt}\r\nX-Weight-Versions: {version}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"
                )
            }
        };
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
