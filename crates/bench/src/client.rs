//! Client that uses only the public interface of an instance.

use serde_json::Value;
use smol_str::SmolStr;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Client with the API key of one workspace.
#[derive(Clone, Debug)]
pub struct Caller {
    key: String,
    timeout: Duration,
}

/// Response to a caller, as far as it was received.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// HTTP status; 0 if there was no response.
    pub status: u16,
    /// Id of the request.
    pub request_id: SmolStr,
    /// Text of the response.
    pub text: String,
    /// Number of events.
    pub events: u64,
    /// Whether the end mark of the stream or the whole body was received.
    pub complete: bool,
    /// Code of the error, empty without one.
    pub error_code: String,
    /// Whether the request ran: field `run` of the error, empty without one.
    pub execution: String,
    /// Time to the first event.
    pub first_event: Option<Duration>,
    /// Longest time between two events.
    pub max_gap: Duration,
}

impl Caller {
    /// Creates a client with the API key of a workspace.
    pub fn new(key: &str) -> Self {
        Caller {
            key: key.to_owned(),
            timeout: Duration::from_secs(120),
        }
    }

    /// Sets the timeout of requests.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Returns the addresses of the instances that serve a chat.
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

    /// Continues a chat; `messages` holds the whole conversation so far.
    pub fn chat(&self, at: SocketAddr, service: &str, chat: &str, messages: &Value) -> Response {
        self.chat_with(
            at,
            chat,
            &serde_json::json!({
                "model": service, "messages": messages, "stream": true,
            }),
        )
    }

    /// Sends a chat request with the given body.
    pub fn chat_with(&self, at: SocketAddr, chat: &str, body: &Value) -> Response {
        let url = format!("http://{at}/v1/chat/completions");
        let request = minreq::post(url)
            .with_header("x-briargap-chat", chat)
            .with_header("content-type", "application/json")
            .with_body(body.to_string());
        self.stream(request)
    }

    /// Reads a response again, from an offset in events.
    pub fn resume(&self, at: SocketAddr, request: &str, offset: u64) -> Response {
        let url = format!("http://{at}/v1/requests/{request}?offset={offset}");
        self.stream(minreq::get(url))
    }

    /// Cancels a request and returns the HTTP status.
    pub fn cancel(&self, at: SocketAddr, request: &str) -> u16 {
        let url = format!("http://{at}/v1/requests/{request}");
        let sent = self.prepare(minreq::delete(url)).send();
        sent.map_or(0, |r| r.status_code)
    }

    /// Has the instance issue an id for an order.
    pub fn issue_id(&self, at: SocketAddr) -> Option<String> {
        let url = format!("http://{at}/v1/requests");
        let response = self.prepare(minreq::post(url)).send().ok()?;
        let value: Value = serde_json::from_slice(response.as_bytes()).ok()?;
        value["request"].as_str().map(str::to_owned)
    }

    /// Calls a plain service, with an idempotency key if one is given.
    pub fn call(&self, at: SocketAddr, path: &str, key: Option<&str>, body: &str) -> Response {
        let url = format!("http://{at}/v1/services/{path}");
        let mut request = minreq::post(url)
            .with_header("content-type", "application/json")
            .with_body(body);
        if let Some(key) = key {
            request = request.with_header("x-briargap-request", key);
        }
        let Ok(response) = self.prepare(request).send() else {
            return Response::default();
        };
        let mut result = Response {
            status: response.status_code,
            text: String::from_utf8_lossy(response.as_bytes()).into_owned(),
            complete: response.status_code == 200,
            ..Response::default()
        };
        result.read_error(response.as_bytes());
        result
    }

    fn prepare(&self, request: minreq::Request) -> minreq::Request {
        request
            .with_header("authorization", format!("Bearer {}", self.key))
            .with_timeout(self.timeout.as_secs().max(1))
    }

    fn stream(&self, request: minreq::Request) -> Response {
        let started = Instant::now();
        let Ok(response) = self.prepare(request).send_lazy() else {
            return Response::default();
        };
        let mut headers = response.headers.iter();
        let id = headers.find(|h| h.0.eq_ignore_ascii_case("x-briargap-request"));
        let mut result = Response {
            status: response.status_code,
            request_id: id.map(|h| SmolStr::from(&h.1)).unwrap_or_default(),
            ..Response::default()
        };
        let mut line = Vec::new();
        let mut last = started;
        let mut reader = BufReader::new(response);
        while reader.read_until(b'\n', &mut line).is_ok_and(|n| n > 0) {
            if result.status != 200 {
                continue;
            }
            result.read_event(line.trim_ascii_end(), started, &mut last);
            line.clear();
            if result.complete {
                return result;
            }
        }
        if result.status != 200 {
            result.read_error(&line);
        }
        result
    }
}

impl Response {
    fn read_event(&mut self, line: &[u8], started: Instant, last: &mut Instant) {
        let Some(data) = line.strip_prefix(b"data: ") else {
            return;
        };
        if data == b"[DONE]" {
            self.complete = true;
            return;
        }
        let value: Value = serde_json::from_slice(data).unwrap_or_default();
        if value.get("error").is_some() {
            return self.read_error(data);
        }
        let now = Instant::now();
        match self.first_event {
            None => self.first_event = Some(now - started),
            Some(_) => self.max_gap = self.max_gap.max(now - *last),
        }
        *last = now;
        self.events += 1;
        let content = &value["choices"][0]["delta"]["content"];
        self.text.push_str(content.as_str().unwrap_or_default());
    }

    fn read_error(&mut self, body: &[u8]) {
        let value: Value = serde_json::from_slice(body).unwrap_or_default();
        let field = |name: &str| value["error"][name].as_str().unwrap_or_default().to_owned();
        self.error_code = field("code");
        self.execution = field("run");
    }
}
