//! Stand-in of a model engine.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use standin::http;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};
use tiny_http::{Method, Request, Server};

/// Characters of a prompt that make one token.
const CHARS_A_TOKEN: usize = 4;
/// Longest that a silent connection is held.
const SILENCE: Duration = Duration::from_secs(60);
/// Time for which a crashed engine refuses connections.
const DOWN_TIME: Duration = Duration::from_millis(1_500);
/// Age of the load report that is given out.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// Time after which a cache event is published.
const EVENT_LAG: Duration = Duration::from_millis(300);
/// Completed requests after which an engine is warm.
const WARM_AFTER: u64 = 28;

/// Properties of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Requests that run at once; further ones wait by priority.
    pub slots: usize,
    /// Time of one token.
    pub token_time: Duration,
    /// Time of 1,000 prompt tokens that are not cached.
    pub prefill_time: Duration,
    /// Tokens that the prefix cache holds.
    pub cache_tokens: usize,
    /// Tokens of an answer where the request does not say.
    pub answer_tokens: usize,
    /// Requests at once that crash an engine which is cold; 0 for none.
    pub cold_limit: usize,
    /// Whether an order with an old fencing number is refused.
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
    /// Extra time of each token, in milliseconds.
    pub slow_ms: u64,
    /// Requests that contain this text crash the engine.
    pub crash_on: Option<String>,
    /// The next so many streams go silent after `silent_after` events.
    pub silent: u32,
    /// Events before the silence.
    pub silent_after: u64,
    /// The next so many streams end without an end mark after `silent_after` events.
    pub cut: u32,
    /// The next so many streams carry another request's id.
    pub crossed: u32,
    /// Every n-th cache event is not published; 0 for none.
    pub gap_every: u64,
}

/// One run of a request at an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Attempt.
    pub attempt: String,
    /// Chat.
    pub chat: String,
    /// Prompt tokens.
    pub prompt: usize,
    /// Prompt tokens that were cached.
    pub cached: usize,
    /// Requests that ran at its start, this one included.
    pub load: usize,
    /// Whether the engine was in its cold start.
    pub cold: bool,
    /// Whether the end mark was sent.
    pub whole: bool,
    /// Milliseconds from the engine's start to the run's.
    pub at_ms: u64,
}

/// What an engine saw.
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
    /// Crashes.
    pub crashes: u64,
    /// Orders with their fencing numbers, and whether each was taken.
    pub orders: Vec<(u64, String, bool)>,
}

/// A change of the tokens that are cached of a chat.
struct CacheEvent {
    seq: u64,
    chat: String,
    tokens: usize,
    at: Instant,
}

#[derive(Default)]
struct Cache {
    chats: BTreeMap<String, (u64, usize)>,
    clock: u64,
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
    freed: Condvar,
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
            freed: Condvar::new(),
            server: Mutex::new(None),
            address: Mutex::new(listen),
        }));
        engine.open();
        engine
    }

    /// Address.
    pub fn address(&self) -> SocketAddr {
        *self.0.address.lock().expect("address")
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.lock().faults = faults;
    }

    /// What the engine saw.
    pub fn records(&self) -> EngineRecords {
        self.lock().records.clone()
    }

    /// Requests that run or wait now.
    pub fn load(&self) -> usize {
        let state = self.lock();
        state.running.len() + state.waiting.len()
    }

    /// Milliseconds since the engine's start.
    pub fn elapsed_ms(&self) -> u64 {
        self.0.started.elapsed().as_millis() as u64
    }

    /// Counts so many requests as completed, so that the engine is warm.
    pub fn warm_up(&self) {
        let mut state = self.lock();
        state.completed = WARM_AFTER * 4;
        state.report.0 = None;
    }

    /// Loses the cache and starts over without a restart that others see.
    pub fn turn_cold(&self) {
        let mut state = self.lock();
        state.cache = Cache::default();
        state.completed = 0;
    }

    /// Breaks every connection and refuses new ones for a time, or for good.
    pub fn crash(&self, comes_back: bool) {
        {
            let mut state = self.lock();
            if state.stopped {
                // A request that was accepted just before the crash.
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
        self.0.freed.notify_all();
        let server = self.0.server.lock().expect("server").take();
        if let Some(server) = server {
            server.unblock();
        }
        if comes_back {
            let engine = self.clone();
            std::thread::spawn(move || {
                std::thread::sleep(DOWN_TIME);
                engine.open();
            });
        }
    }

    /// Opens the listening socket, as after a crash.
    pub fn open(&self) {
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
                self.turn_cold();
                http::respond_json(request, 200, &true);
            }
            (Method::Post, "/crash") => {
                http::respond_json(request, 200, &true);
                self.crash(true);
            }
            _ => http::respond_json(request, 404, &"not found"),
        }
    }

    /// Load report, which lags, and the cache events since a number.
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
        // Events are published late, and some of them never.
        let published = state.events.iter().filter(|e| e.at.elapsed() >= EVENT_LAG);
        let due: Vec<&CacheEvent> = published.filter(|e| e.seq >= since).collect();
        report["next"] = json!(due.last().map_or(since, |e| e.seq + 1));
        report["events"] = due
            .into_iter()
            .map(|e| json!({ "seq": e.seq, "chat": e.chat, "tokens": e.tokens }))
            .collect();
        report
    }

    fn order(&self, mut request: Request) {
        let Some(order) = http::read_json::<Value>(&mut request) else {
            return http::respond_json(request, 400, &"malformed");
        };
        let fence = order["fence"].as_u64().unwrap_or(0);
        let mut state = self.lock();
        let is_old = self.0.options.checks_fencing && fence < state.fence;
        state.fence = state.fence.max(fence);
        let what = order["order"].to_string();
        state.records.orders.push((fence, what, !is_old));
        drop(state);
        let status = if is_old { 409 } else { 200 };
        http::respond_json(request, status, &!is_old);
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
        if crash_on.is_some_and(|needle| text.contains(&needle)) {
            std::thread::sleep(Duration::from_millis(5));
            self.crash(true);
            return http::disconnect(request);
        }
        let Some(place) = self.enter(priority.unwrap_or(0)) else {
            return http::disconnect(request);
        };
        let run = self.start_run(&attempt, &body, &text);
        let Some(run) = run else {
            return http::disconnect(request);
        };
        let job = Job {
            engine: self,
            place,
            run,
            attempt,
            tokens: answer_tokens(&body, self.0.options.answer_tokens),
            offset: offset.unwrap_or(0),
            seed: decision::digest("", text.as_bytes()),
        };
        job.stream(request);
    }

    /// Waits for a slot, the highest priority first.
    fn enter(&self, priority: u8) -> Option<(u64, u64)> {
        let mut state = self.lock();
        let boot = state.boot;
        state.seq += 1;
        let place = (u8::MAX - priority, state.seq);
        state.waiting.insert(place);
        let held = state.running.len() + state.waiting.len();
        state.records.held_peak = state.records.held_peak.max(held);
        loop {
            if state.boot != boot || state.stopped {
                return None;
            }
            let is_next = state.waiting.first() == Some(&place);
            if is_next && state.running.len() < self.0.options.slots {
                state.waiting.pop_first();
                state.running.insert(place.1);
                return Some((boot, place.1));
            }
            state = self.0.freed.wait(state).expect("engine");
        }
    }

    /// Records a run; returns nothing where the load crashes the cold engine.
    fn start_run(&self, attempt: &str, body: &Value, text: &str) -> Option<usize> {
        let mut state = self.lock();
        let chat = body["prompt_cache_key"].as_str().unwrap_or(text).to_owned();
        let prompt = text.len() / CHARS_A_TOKEN;
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

    fn leave(&self, place: (u64, u64), run: usize, whole: bool, tokens: usize) {
        let mut state = self.lock();
        if state.boot != place.0 {
            return;
        }
        state.running.remove(&place.1);
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
        self.0.freed.notify_all();
    }
}

impl Cache {
    fn get(&self, chat: &str) -> usize {
        self.chats.get(chat).map_or(0, |c| c.1)
    }

    /// Caches a chat; returns the chats whose cached tokens changed.
    fn put(&mut self, chat: String, tokens: usize, limit: usize) -> Vec<(String, usize)> {
        self.clock += 1;
        let old = self.chats.insert(chat.clone(), (self.clock, tokens));
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

/// One answer as it streams.
struct Job<'a> {
    engine: &'a Engine,
    place: (u64, u64),
    run: usize,
    attempt: String,
    tokens: usize,
    offset: u64,
    seed: u64,
}

impl Job<'_> {
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
            let is_crashed = self.engine.lock().boot != self.place.0;
            if is_crashed || !is_open {
                break;
            }
            let event = self.event(id, index);
            is_open = writer.write_all(event.as_bytes()).is_ok() && writer.flush().is_ok();
        }
        let is_whole = is_open
            && faults.silent == 0
            && self.engine.lock().boot == self.place.0
            && writer.write_all(b"data: [DONE]\n\n").is_ok()
            && writer.flush().is_ok();
        self.engine
            .leave(self.place, self.run, is_whole, self.tokens);
    }

    /// Holds the connection open and sends nothing more.
    fn hold_silent(&self) {
        let since = Instant::now();
        while since.elapsed() < SILENCE && self.engine.lock().boot == self.place.0 {
            std::thread::sleep(Duration::from_millis(20));
            let state = self.engine.lock();
            if state.stopped || state.faults.silent_after == u64::MAX {
                return;
            }
        }
    }

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

/// The word of an answer at a place: the same on every engine.
pub fn word(seed: u64, index: u64) -> String {
    const WORDS: [&str; 16] = [
        "the ", "hoop ", "of ", "willow ", "bears ", "an ", "iron ", "band ", "and ", "a ",
        "tower ", "bolt ", "wants ", "torque ", "at ", "dawn ",
    ];
    let mixed = decision::digest("word", &(seed ^ index.wrapping_mul(0x9E37)).to_le_bytes());
    WORDS[(mixed % 16) as usize].to_owned()
}
