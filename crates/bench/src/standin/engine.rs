//! Stand-in of a model engine with slots, a prefix cache and a cold start.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use standin::http;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};
use tiny_http::{Method, Request, Server};

/// Number of characters that count as one prompt token.
const CHARS_PER_TOKEN: usize = 4;
/// Longest time for which a silent connection is kept open.
const MAX_SILENCE: Duration = Duration::from_secs(60);
/// Time for which an engine refuses connections after a crash.
const DOWN_TIME: Duration = Duration::from_millis(1_500);
/// Age up to which a load report is returned again.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// Delay before a cache event appears in a load report.
const EVENT_DELAY: Duration = Duration::from_millis(300);
/// Number of completed requests after which an engine counts as warm.
const WARM_AFTER: u64 = 28;

/// Properties of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Number of requests that run at once; others wait, the highest priority first.
    pub slots: usize,
    /// Time to generate one token.
    pub token_time: Duration,
    /// Time to process 1,000 prompt tokens that are not cached.
    pub prefill_time: Duration,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: usize,
    /// Tokens of a response to a request without `max_tokens`.
    pub answer_tokens: usize,
    /// Most requests at once that a cold engine survives; 0 for no limit.
    pub cold_limit: usize,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fencing: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        EngineOptions {
            slots: 16,
            token_time: Duration::from_millis(2),
            prefill_time: Duration::from_millis(40),
            cache_tokens: 40_000,
            answer_tokens: 24,
            cold_limit: 0,
            checks_fencing: true,
        }
    }
}

/// Fault switches of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Additional time for each token, in milliseconds.
    pub slow_ms: u64,
    /// Text that crashes the engine if a request contains it.
    pub crash_on: Option<String>,
    /// Number of next streams that send nothing more after `silent_after` events.
    pub silent: u32,
    /// Number of events before a stream goes silent or is cut.
    pub silent_after: u64,
    /// Number of next streams that end without an end mark after `silent_after` events.
    pub cut: u32,
    /// Number of next streams that carry the id of another request.
    pub crossed: u32,
    /// Every n-th cache event is left out; 0 for none.
    pub gap_every: u64,
}

/// One run of a request at an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Id of the attempt.
    pub attempt: String,
    /// Name of the chat.
    pub chat: String,
    /// Number of prompt tokens.
    pub prompt: usize,
    /// Number of prompt tokens that were cached.
    pub cached: usize,
    /// Number of requests that ran when this one started, itself included.
    pub load: usize,
    /// Whether the engine was in its cold start.
    pub cold: bool,
    /// Whether the end mark was sent.
    pub whole: bool,
    /// Milliseconds from the start of the engine to the start of the run.
    pub at_ms: u64,
}

/// Requests and crashes that an engine has recorded.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EngineRecords {
    /// Every run.
    pub runs: Vec<Run>,
    /// Highest number of requests at once.
    pub peak: usize,
    /// Highest number of requests at once while cold.
    pub cold_peak: usize,
    /// Highest number of requests that ran or waited.
    pub held_peak: usize,
    /// Number of crashes.
    pub crashes: u64,
    /// Orders with their fencing numbers, and whether each was accepted.
    pub orders: Vec<(u64, String, bool)>,
}

/// Change of the number of tokens that are cached for a chat.
struct CacheEvent {
    seq: u64,
    chat: String,
    tokens: usize,
    at: Instant,
}

/// Prefix cache that evicts the least recently used chat.
#[derive(Default)]
struct Cache {
    /// By chat: the value of `use_count` at the last use, and the cached tokens.
    chats: BTreeMap<String, (u64, usize)>,
    use_count: u64,
    total: usize,
}

struct State {
    boot: u64,
    running: BTreeSet<u64>,
    waiting: BTreeSet<(u8, u64)>,
    seq: u64,
    completed: u64,
    cache: Cache,
    events: VecDeque<CacheEvent>,
    event_seq: u64,
    faults: EngineFaults,
    records: EngineRecords,
    report: (Option<Instant>, Value),
    fence: u64,
    stopped: bool,
}

struct Shared {
    options: EngineOptions,
    started: Instant,
    state: Mutex<State>,
    slot_freed: Condvar,
    server: Mutex<Option<Arc<Server>>>,
    address: Mutex<SocketAddr>,
}

/// Stand-in of a model engine.
#[derive(Clone)]
pub struct Engine(Arc<Shared>);

impl Engine {
    /// Starts an engine on a free port.
    pub fn start(options: EngineOptions) -> Engine {
        Engine::start_at(options, "127.0.0.1:0".parse().expect("address"))
    }

    /// Starts an engine at an address.
    pub fn start_at(options: EngineOptions, listen: SocketAddr) -> Engine {
        let state = State {
            boot: 1,
            running: BTreeSet::new(),
            waiting: BTreeSet::new(),
            seq: 0,
            completed: 0,
            cache: Cache::default(),
            events: VecDeque::new(),
            event_seq: 0,
            faults: EngineFaults::default(),
            records: EngineRecords::default(),
            report: (None, Value::Null),
            fence: 0,
            stopped: false,
        };
        let engine = Engine(Arc::new(Shared {
            options,
            started: Instant::now(),
            state: Mutex::new(state),
            slot_freed: Condvar::new(),
            server: Mutex::new(None),
            address: Mutex::new(listen),
        }));
        engine.listen();
        engine
    }

    /// Returns the address at which the engine listens.
    pub fn address(&self) -> SocketAddr {
        *self.0.address.lock().expect("address")
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.lock().faults = faults;
    }

    /// Returns what the engine has recorded.
    pub fn records(&self) -> EngineRecords {
        self.lock().records.clone()
    }

    /// Returns the number of requests that run or wait.
    pub fn load(&self) -> usize {
        let state = self.lock();
        state.running.len() + state.waiting.len()
    }

    /// Returns the milliseconds since the start of the engine.
    pub fn elapsed_ms(&self) -> u64 {
        self.0.started.elapsed().as_millis() as u64
    }

    /// Sets the number of completed requests so that the engine counts as warm.
    pub fn warm_up(&self) {
        let mut state = self.lock();
        state.completed = WARM_AFTER * 4;
        state.report.0 = None;
    }

    /// Empties the cache and makes the engine cold, without a restart that its load
    /// reports would show.
    pub fn reset_cold(&self) {
        let mut state = self.lock();
        state.cache = Cache::default();
        state.completed = 0;
    }

    /// Breaks every connection and refuses new ones, for a while if the engine
    /// restarts, and else for good.
    pub fn crash(&self, restarts: bool) {
        {
            let mut state = self.lock();
            if state.stopped {
                // Called for a request that was accepted just before a crash.
                return;
            }
            state.boot += 1;
            state.records.crashes += 1;
            state.running.clear();
            state.waiting.clear();
            state.cache = Cache::default();
            state.completed = 0;
            state.report.0 = None;
            state.events.clear();
            state.event_seq = 0;
            state.stopped = true;
        }
        self.0.slot_freed.notify_all();
        let server = self.0.server.lock().expect("server").take();
        if let Some(server) = server {
            server.unblock();
        }
        if restarts {
            let engine = self.clone();
            std::thread::spawn(move || {
                std::thread::sleep(DOWN_TIME);
                engine.listen();
            });
        }
    }

    /// Opens the listening socket, at the start or after a crash.
    pub fn listen(&self) {
        let engine = self.clone();
        let (server, address) = http::start(self.address(), move |request| engine.serve(request));
        *self.0.address.lock().expect("address") = address;
        *self.0.server.lock().expect("server") = Some(server);
        self.lock().stopped = false;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.state.lock().expect("engine")
    }

    fn serve(&self, mut request: Request) {
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        match (request.method().clone(), path) {
            (Method::Post, "/v1/chat/completions") => self.chat(request),
            (Method::Get, "/load") => {
                let since = query.strip_prefix("since=").and_then(|s| s.parse().ok());
                http::respond_json(request, 200, &self.report(since.unwrap_or(0)));
            }
            (Method::Get, "/records") => http::respond_json(request, 200, &self.records()),
            (Method::Post, "/orders") => self.order(request),
            (Method::Post, "/fault") => {
                if let Some(faults) = http::read_json(&mut request) {
                    self.set_faults(faults);
                }
                http::respond_json(request, 200, &true);
            }
            (Method::Post, "/cold") => {
                self.reset_cold();
                http::respond_json(request, 200, &true);
            }
            (Method::Post, "/crash") => {
                http::respond_json(request, 200, &true);
                self.crash(true);
            }
            _ => http::respond_json(request, 404, &"not found"),
        }
    }

    /// Returns a load report, which may be out of date, with the cache events from a
    /// sequence number on.
    fn report(&self, since: u64) -> Value {
        let mut state = self.lock();
        if state.report.0.is_none_or(|at| at.elapsed() >= REPORT_LAG) {
            let report = json!({
                "boot": state.boot,
                "running": state.running.len() + state.waiting.len(),
                "completed": state.completed,
                "cached": state.cache.total,
            });
            state.report = (Some(Instant::now()), report);
        }
        let mut report = state.report.1.clone();
        // Events are published after a delay; some were left out by a fault.
        let published = state
            .events
            .iter()
            .filter(|e| e.at.elapsed() >= EVENT_DELAY);
        let due: Vec<&CacheEvent> = published.filter(|e| e.seq >= since).collect();
        report["next"] = json!(due.last().map_or(since, |e| e.seq + 1));
        report["events"] = due
            .into_iter()
            .map(|e| json!({ "seq": e.seq, "chat": e.chat, "tokens": e.tokens }))
            .collect();
        report
    }

    /// Accepts an order unless its fencing number is outdated.
    fn order(&self, mut request: Request) {
        let Some(order) = http::read_json::<Value>(&mut request) else {
            return http::respond_json(request, 400, &"malformed");
        };
        let fence = order["fence"].as_u64().unwrap_or(0);
        let mut state = self.lock();
        let is_outdated = self.0.options.checks_fencing && fence < state.fence;
        state.fence = state.fence.max(fence);
        let what = order["order"].to_string();
        state.records.orders.push((fence, what, !is_outdated));
        drop(state);
        let status = if is_outdated { 409 } else { 200 };
        http::respond_json(request, status, &!is_outdated);
    }

    fn chat(&self, mut request: Request) {
        let attempt = http::header(&request, "x-request-id").unwrap_or_default();
        let offset = http::header(&request, "x-resume-from").and_then(|o| o.parse().ok());
        let priority = http::header(&request, "x-priority").and_then(|p| p.parse().ok());
        let Some(body) = http::read_json::<Value>(&mut request) else {
            return http::respond_json(request, 400, &"malformed");
        };
        let text = body["messages"].to_string();
        let crash_on = self.lock().faults.crash_on.clone();
        if crash_on.is_some_and(|trigger| text.contains(&trigger)) {
            std::thread::sleep(Duration::from_millis(5));
            self.crash(true);
            return http::disconnect(request);
        }
        let Some(slot) = self.acquire_slot(priority.unwrap_or(0)) else {
            return http::disconnect(request);
        };
        let run = self.start_run(&attempt, &body, &text);
        let Some(run) = run else {
            return http::disconnect(request);
        };
        let response = ResponseStream {
            engine: self,
            slot,
            run,
            attempt,
            tokens: answer_tokens(&body, self.0.options.answer_tokens),
            offset: offset.unwrap_or(0),
            seed: decision::digest("", text.as_bytes()),
        };
        response.stream(request);
    }

    /// Waits for a slot, the highest priority first.
    ///
    /// Returns the start number of the engine and the number of the request, or
    /// `None` after a crash.
    fn acquire_slot(&self, priority: u8) -> Option<(u64, u64)> {
        let mut state = self.lock();
        let boot = state.boot;
        state.seq += 1;
        let position = (u8::MAX - priority, state.seq);
        state.waiting.insert(position);
        let held = state.running.len() + state.waiting.len();
        state.records.held_peak = state.records.held_peak.max(held);
        loop {
            if state.boot != boot || state.stopped {
                return None;
            }
            let is_next = state.waiting.first() == Some(&position);
            if is_next && state.running.len() < self.0.options.slots {
                state.waiting.pop_first();
                state.running.insert(position.1);
                return Some((boot, position.1));
            }
            state = self.0.slot_freed.wait(state).expect("engine");
        }
    }

    /// Records a run and returns its index, or `None` if the load crashes the cold
    /// engine.
    fn start_run(&self, attempt: &str, body: &Value, text: &str) -> Option<usize> {
        let mut state = self.lock();
        let chat = body["prompt_cache_key"].as_str().unwrap_or(text).to_owned();
        let prompt = text.len() / CHARS_PER_TOKEN;
        let load = state.running.len();
        let is_cold = state.completed < WARM_AFTER;
        let cached = state.cache.get(&chat).min(prompt);
        state.records.peak = state.records.peak.max(load);
        if is_cold {
            state.records.cold_peak = state.records.cold_peak.max(load);
        }
        state.records.runs.push(Run {
            attempt: attempt.to_owned(),
            chat,
            prompt,
            cached,
            load,
            cold: is_cold,
            whole: false,
            at_ms: self.0.started.elapsed().as_millis() as u64,
        });
        let run = state.records.runs.len() - 1;
        let limit = self.0.options.cold_limit;
        if is_cold && limit > 0 && load > limit {
            drop(state);
            self.crash(true);
            return None;
        }
        Some(run)
    }

    /// Frees a slot and caches the chat of a complete response.
    fn release_slot(&self, slot: (u64, u64), run: usize, whole: bool, tokens: usize) {
        let mut state = self.lock();
        if state.boot != slot.0 {
            return;
        }
        state.running.remove(&slot.1);
        if whole {
            state.completed += 1;
            state.records.runs[run].whole = true;
            let (chat, prompt) = {
                let run = &state.records.runs[run];
                (run.chat.clone(), run.prompt)
            };
            let limit = self.0.options.cache_tokens;
            for (chat, tokens) in state.cache.put(chat, prompt + tokens, limit) {
                let seq = state.event_seq;
                state.event_seq += 1;
                let every = state.faults.gap_every;
                if every == 0 || !(seq + 1).is_multiple_of(every) {
                    state.events.push_back(CacheEvent {
                        seq,
                        chat,
                        tokens,
                        at: Instant::now(),
                    });
                }
            }
            while state.events.len() > 1_000 {
                state.events.pop_front();
            }
        }
        drop(state);
        self.0.slot_freed.notify_all();
    }
}

impl Cache {
    /// Returns the number of cached tokens of a chat.
    fn get(&self, chat: &str) -> usize {
        self.chats.get(chat).map_or(0, |c| c.1)
    }

    /// Caches a chat and evicts others beyond the limit; returns each chat whose
    /// number of cached tokens has changed, with the new number.
    fn put(&mut self, chat: String, tokens: usize, limit: usize) -> Vec<(String, usize)> {
        self.use_count += 1;
        let old = self.chats.insert(chat.clone(), (self.use_count, tokens));
        self.total = self.total + tokens - old.map_or(0, |c| c.1);
        let mut changed = vec![(chat, tokens)];
        while self.total > limit {
            let oldest = self.chats.iter().min_by_key(|(_, c)| c.0);
            let Some((name, (_, tokens))) = oldest.map(|(n, c)| (n.clone(), *c)) else {
                break;
            };
            self.chats.remove(&name);
            self.total -= tokens;
            changed.push((name, 0));
        }
        changed
    }
}

fn answer_tokens(body: &Value, default: usize) -> usize {
    let wanted = body["max_tokens"].as_u64();
    wanted.map_or(default, |n| n.clamp(1, 4_096) as usize)
}

/// A response that is being streamed.
struct ResponseStream<'a> {
    engine: &'a Engine,
    slot: (u64, u64),
    run: usize,
    attempt: String,
    tokens: usize,
    offset: u64,
    seed: u64,
}

impl ResponseStream<'_> {
    fn stream(self, request: Request) {
        let options = &self.engine.0.options;
        let (uncached, faults) = {
            let mut state = self.engine.lock();
            let run = &state.records.runs[self.run];
            let uncached = run.prompt - run.cached;
            let faults = state.faults.clone();
            state.faults.silent = faults.silent.saturating_sub(1);
            state.faults.cut = faults.cut.saturating_sub(1);
            state.faults.crossed = faults.crossed.saturating_sub(1);
            (uncached, faults)
        };
        std::thread::sleep(options.prefill_time.mul_f64(uncached as f64 / 1_000.0));
        let mut writer = request.into_writer();
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                    connection: close\r\n\r\n";
        let mut is_open = writer.write_all(head.as_bytes()).is_ok();
        let id = if faults.crossed > 0 {
            "another-request.1"
        } else {
            &self.attempt
        };
        for index in self.offset..self.tokens as u64 {
            std::thread::sleep(options.token_time + Duration::from_millis(faults.slow_ms));
            let is_due = index >= faults.silent_after;
            if faults.silent > 0 && is_due {
                self.hold_silent();
                break;
            }
            if faults.cut > 0 && is_due {
                is_open = false;
            }
            let is_crashed = self.engine.lock().boot != self.slot.0;
            if is_crashed || !is_open {
                break;
            }
            let event = self.event(id, index);
            is_open = writer.write_all(event.as_bytes()).is_ok() && writer.flush().is_ok();
        }
        let is_complete = is_open
            && faults.silent == 0
            && self.engine.lock().boot == self.slot.0
            && writer.write_all(b"data: [DONE]\n\n").is_ok()
            && writer.flush().is_ok();
        self.engine
            .release_slot(self.slot, self.run, is_complete, self.tokens);
    }

    /// Keeps the connection open without sending anything.
    fn hold_silent(&self) {
        let since = Instant::now();
        while since.elapsed() < MAX_SILENCE && self.engine.lock().boot == self.slot.0 {
            std::thread::sleep(Duration::from_millis(20));
            let state = self.engine.lock();
            if state.stopped || state.faults.silent_after == u64::MAX {
                return;
            }
        }
    }

    /// Returns an event of the response, with one word.
    fn event(&self, id: &str, index: u64) -> String {
        let is_last = index + 1 == self.tokens as u64;
        let finish = if is_last { json!("stop") } else { Value::Null };
        let word = word(self.seed, index);
        let data = json!({
            "id": id,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": "stand-in",
            "choices": [{ "index": 0, "delta": { "content": word }, "finish_reason": finish }],
        });
        format!("data: {data}\n\n")
    }
}

/// Returns the word of a response at an index, the same on every engine.
pub fn word(seed: u64, index: u64) -> String {
    const WORDS: [&str; 16] = [
        "the ", "hoop ", "of ", "willow ", "bears ", "an ", "iron ", "band ", "and ", "a ",
        "tower ", "bolt ", "wants ", "torque ", "at ", "dawn ",
    ];
    let mixed = decision::digest("word", &(seed ^ index.wrapping_mul(0x9E37)).to_le_bytes());
    WORDS[(mixed % 16) as usize].to_owned()
}
