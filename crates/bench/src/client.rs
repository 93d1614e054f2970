//! A caller: uses only the public interface.

use serde_json::Value;
use smol_str::SmolStr;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A caller of one workspace.
#[derive(Clone, Debug)]
pub struct Caller {
    key: String,
    timeout: Duration,
}

/// What a caller got.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Got {
    /// HTTP status; 0 where no answer came.
    pub status: u16,
    /// Request's id.
    pub request: SmolStr,
    /// Text of the answer.
    pub text: String,
    /// Events.
    pub events: u64,
    /// Whether the end mark came, or the whole body.
    pub whole: bool,
    /// Refusal's or failure's code.
    pub code: String,
    /// Whether the request ran, as the refusal says.
    pub run: String,
    /// Time until the first event.
    pub first: Option<Duration>,
    /// Longest time between two events.
    pub gap: Duration,
}

impl Caller {
    /// Makes a caller with a workspace's key.
    pub fn new(key: &str) -> Self {
        Caller {
            key: key.to_owned(),
            timeout: Duration::from_secs(120),
        }
    }

    /// Uses another limit of time.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Asks which instances serve a chat.
    pub fn locate(&self, at: SocketAddr, service: &str, chat: &str) -> Vec<SocketAddr> {
        let url = format!("http://{at}/v1/locate?service={service}&chat={chat}");
        let Ok(response) = self.prepare(minreq::get(url)).send() else {
            return Vec::new();
        };
        let value: Value = serde_json::from_slice(response.as_bytes()).unwrap_or_default();
        let addresses = value["addresses"].as_array().cloned().unwrap_or_default();
        let texts = addresses.iter().filter_map(|a| a["address"].as_str());
        texts.filter_map(|a| a.parse().ok()).collect()
    }

    /// Continues a chat; `messages` is the whole conversation so far.
    pub fn chat(&self, at: SocketAddr, service: &str, chat: &str, messages: &Value) -> Got {
        self.chat_with(
            at,
            chat,
            &serde_json::json!({
                "model": service, "messages": messages, "stream": true,
            }),
        )
    }

    /// Sends a chat request with a body of the caller's own making.
    pub fn chat_with(&self, at: SocketAddr, chat: &str, body: &Value) -> Got {
        let url = format!("http://{at}/v1/chat/completions");
        let request = minreq::post(url)
            .with_header("x-briargap-chat", chat)
            .with_header("content-type", "application/json")
            .with_body(body.to_string());
        self.stream(request)
    }

    /// Reads an answer again from an offset.
    pub fn resume(&self, at: SocketAddr, request: &str, offset: u64) -> Got {
        let url = format!("http://{at}/v1/requests/{request}?offset={offset}");
        self.stream(minreq::get(url))
    }

    /// Withdraws a request.
    pub fn withdraw(&self, at: SocketAddr, request: &str) -> u16 {
        let url = format!("http://{at}/v1/requests/{request}");
        let sent = self.prepare(minreq::delete(url)).send();
        sent.map_or(0, |r| r.status_code)
    }

    /// Mints an id for an order.
    pub fn mint(&self, at: SocketAddr) -> Option<String> {
        let url = format!("http://{at}/v1/requests");
        let response = self.prepare(minreq::post(url)).send().ok()?;
        let value: Value = serde_json::from_slice(response.as_bytes()).ok()?;
        value["request"].as_str().map(str::to_owned)
    }

    /// Calls a plain service under a key, or without one.
    pub fn call(&self, at: SocketAddr, path: &str, key: Option<&str>, body: &str) -> Got {
        let url = format!("http://{at}/v1/services/{path}");
        let mut request = minreq::post(url)
            .with_header("content-type", "application/json")
            .with_body(body);
        if let Some(key) = key {
            request = request.with_header("x-briargap-request", key);
        }
        let Ok(response) = self.prepare(request).send() else {
            return Got::default();
        };
        let mut got = Got {
            status: response.status_code,
            text: String::from_utf8_lossy(response.as_bytes()).into_owned(),
            whole: response.status_code == 200,
            ..Got::default()
        };
        got.read_refusal(response.as_bytes());
        got
    }

    fn prepare(&self, request: minreq::Request) -> minreq::Request {
        request
            .with_header("authorization", format!("Bearer {}", self.key))
            .with_timeout(self.timeout.as_secs().max(1))
    }

    fn stream(&self, request: minreq::Request) -> Got {
        let begun = Instant::now();
        let Ok(response) = self.prepare(request).send_lazy() else {
            return Got::default();
        };
        let mut headers = response.headers.iter();
        let id = headers.find(|h| h.0.eq_ignore_ascii_case("x-briargap-request"));
        let mut got = Got {
            status: response.status_code,
            request: id.map(|h| SmolStr::from(&h.1)).unwrap_or_default(),
            ..Got::default()
        };
        let mut line = Vec::new();
        let mut last = begun;
        let mut reader = BufReader::new(response);
        while reader.read_until(b'\n', &mut line).is_ok_and(|n| n > 0) {
            if got.status != 200 {
                continue;
            }
            got.read_line(line.trim_ascii_end(), begun, &mut last);
            line.clear();
            if got.whole {
                return got;
            }
        }
        if got.status != 200 {
            got.read_refusal(&line);
        }
        got
    }
}

impl Got {
    fn read_line(&mut self, line: &[u8], begun: Instant, last: &mut Instant) {
        let Some(data) = line.strip_prefix(b"data: ") else {
            return;
        };
        if data == b"[DONE]" {
            self.whole = true;
            return;
        }
        let value: Value = serde_json::from_slice(data).unwrap_or_default();
        if value.get("error").is_some() {
            return self.read_refusal(data);
        }
        let now = Instant::now();
        match self.first {
            None => self.first = Some(now - begun),
            Some(_) => self.gap = self.gap.max(now - *last),
        }
        *last = now;
        self.events += 1;
        let piece = &value["choices"][0]["delta"]["content"];
        self.text.push_str(piece.as_str().unwrap_or_default());
    }

    fn read_refusal(&mut self, body: &[u8]) {
        let value: Value = serde_json::from_slice(body).unwrap_or_default();
        let field = |name: &str| value["error"][name].as_str().unwrap_or_default().to_owned();
        self.code = field("code");
        self.run = field("run");
    }
}
