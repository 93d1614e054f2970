//! Stand-in of the platform's store: rows, feeds and transactions.

use crate::http;
use crate::json::{self, Json, base64};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Row {
    table: String,
    part: String,
    key: String,
    /// Value in base64; `None` if the row was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct State {
    /// Rows by table, part and key.
    rows: BTreeMap<(String, String, String), Row>,
    history: Vec<Row>,
    version: u64,
    /// Whether calls get no answer.
    is_silent: bool,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let store = Store {
            state: Arc::default(),
            started: Instant::now(),
            address: listener.local_addr().expect("an address"),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(tcp));
            }
        });
        store
    }

    /// Writes a row as operators and targets do, which is confirmed on return.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.put_in(table, "", key, value);
    }

    /// Writes a row of a part.
    pub fn put_in(&self, table: &str, part: &str, key: &str, value: &str) {
        let value = Some(base64(value.as_bytes()));
        let mut state = self.state.0.lock().expect("state");
        state.write(table, part, key, value);
        drop(state);
        self.state.1.notify_all();
    }

    /// Writes a row and gives no answers to instances from then on.
    pub fn put_and_fall_silent(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.0.lock().expect("state");
        state.is_silent = true;
        state.write(table, "", key, Some(base64(value.as_bytes())));
    }

    pub fn set_silent(&self, is_silent: bool) {
        self.state.0.lock().expect("state").is_silent = is_silent;
        self.state.1.notify_all();
    }

    fn serve(&self, tcp: TcpStream) {
        let _ = tcp.set_nodelay(true);
        let mut writer = tcp.try_clone().expect("a socket");
        let mut reader = BufReader::new(tcp);
        while let Some(call) = http::read(&mut reader) {
            let Some((status, body)) = self.answer(&call) else {
                // Kept open without an answer.
                std::thread::sleep(Duration::from_secs(60));
                return;
            };
            std::thread::sleep(ANSWER_TIME);
            if self.state.0.lock().expect("state").is_silent {
                std::thread::sleep(Duration::from_secs(60));
                return;
            }
            let answer = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the status and the body of an answer; `None` if there is none.
    fn answer(&self, call: &http::Message) -> Option<(u16, String)> {
        let target = call.first.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            let found = pairs.find(|(n, _)| *n == name);
            found.map_or(String::new(), |(_, value)| decode(value))
        };
        let table = field("Table");
        let mut state = self.state.0.lock().expect("state");
        if state.is_silent {
            return None;
        }
        let rows: Vec<Row> = match path {
            "/rows-get" => {
                let (part, from, to) = (field("part"), field("From"), field("To"));
                let rows = state.rows.values();
                let rows = rows.filter(|r| r.table == table && r.part == part && r.key >= from);
                rows.filter(|r| to.is_empty() || r.key < to)
                    .cloned()
                    .collect()
            }
            "/rows-feed" => {
                let after: u64 = field("After").parse().unwrap_or(0);
                let wait: u64 = field("WaitMs").parse().unwrap_or(0);
                let due = Instant::now() + Duration::from_millis(wait);
                loop {
                    let new = state.history.iter();
                    let new = new.filter(|r| r.table == table && r.version > after);
                    let new: Vec<Row> = new.cloned().collect();
                    let left = due.saturating_duration_since(Instant::now());
                    if !new.is_empty() || left.is_zero() || state.is_silent {
                        break new;
                    }
                    state = self.state.1.wait_timeout(state, left).expect("state").0;
                }
            }
            "/rows-tx" => {
                let body = json::parse(&String::from_utf8_lossy(&call.body));
                let text = |row: &Json, name: &str| row.get(name).text().to_owned();
                for row in body.get("Puts").list() {
                    let value = Some(text(row, "Value"));
                    let (table, part) = (text(row, "Table"), text(row, "part"));
                    state.write(&table, &part, &text(row, "Key"), value);
                }
                for row in body.get("Remove").list() {
                    let (table, part) = (text(row, "Table"), text(row, "part"));
                    state.write(&table, &part, &text(row, "Key"), None);
                }
                self.state.1.notify_all();
                Vec::new()
            }
            _ => return Some((404, "{}".to_owned())),
        };
        if state.is_silent {
            return None;
        }
        let rows: Vec<String> = rows.iter().map(Row::to_json).collect();
        Some((
            200,
            format!(
                r#"{{"Rows":[{}],"Truncated":false,"Ver":{},"NowMs":{}}}"#,
                rows.join(","),
                state.version,
                self.started.elapsed().as_millis() + 50_000
            ),
        ))
    }
}

impl State {
    fn write(&mut self, table: &str, part: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let row = Row {
            table: table.to_owned(),
            part: part.to_owned(),
            key: key.to_owned(),
            value,
            version: self.version,
        };
        let id = (row.table.clone(), row.part.clone(), row.key.clone());
        if row.value.is_some() {
            self.rows.insert(id, row.clone());
        } else {
            self.rows.remove(&id);
        }
        self.history.push(row);
    }
}

impl Row {
    fn to_json(&self) -> String {
        let end = match &self.value {
            Some(value) => format!(r#""Value":"{value}""#),
            None => r#""Removed":true"#.to_owned(),
        };
        let (table, part, key, version) = (&self.table, &self.part, &self.key, self.version);
        format!(r#"{{"Table":"{table}","part":"{part}","Key":"{key}","Ver":{version},{end}}}"#)
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'%' => {
                let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                u8::from_str_radix(&digits, 16).unwrap_or(0)
            }
            b'+' => b' ',
            other => other,
        });
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
