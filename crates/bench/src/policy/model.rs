//! Model of a pool of engines with limited prefix caches, and of chats whose
//! turns return to the pool.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Virtual time since the start of a run.
pub type Time = Duration;

/// Time to generate one token.
const TOKEN_TIME: Duration = Duration::from_millis(25);
/// Time to the first token if the whole prompt is cached.
const MIN_FIRST_TIME: Duration = Duration::from_millis(30);
/// Time to process 1,000 prompt tokens that are not cached.
const PREFILL_TIME: Duration = Duration::from_millis(120);
/// Requests that an engine runs at once.
pub const SLOTS: usize = 16;
/// Requests that an engine should get at once just after its start.
pub const COLD_SLOTS: usize = 2;
/// Completed requests after which a cold engine should get one more at once.
pub const RAMP_STEP: u64 = 2;
/// Tokens that an engine's prefix cache holds.
const CACHE_TOKENS: u64 = 150_000;
/// Mean pause of a chat between two turns.
const THINK_TIME: Duration = Duration::from_secs(20);
/// Mean number of turns of a chat.
const TURNS: f64 = 6.0;
/// Time to the first token above which a caller does not count a request as served.
pub const MAX_FIRST_WAIT: Duration = Duration::from_secs(10);

/// One turn of a chat.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number of the request.
    pub id: u64,
    /// Id of the chat.
    pub chat: u64,
    /// Index of the workspace.
    pub workspace: usize,
    /// Prompt tokens.
    pub prompt: u64,
    /// Prompt tokens that were already part of an earlier turn.
    pub returning: u64,
    /// Tokens of the response.
    pub response: u64,
    /// Arrival time.
    pub at: Time,
}

/// An engine of the model.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// Whether the engine is up.
    pub is_available: bool,
    /// Number of starts.
    pub boot: u64,
    /// Requests that run.
    pub running: BTreeSet<u64>,
    /// Requests that wait for a slot.
    pub waiting: VecDeque<u64>,
    /// Requests completed since the last start.
    pub completed: u64,
    cache: BTreeMap<u64, (Time, u64)>,
    by_last_use: BTreeSet<(Time, u64)>,
    cached: u64,
}

impl Engine {
    /// Requests that run or wait.
    pub fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Tokens of a chat that are in the cache.
    pub fn cached(&self, chat: u64) -> u64 {
        self.cache.get(&chat).map_or(0, |c| c.1)
    }

    /// Requests that the engine should get at once: few after its start, all
    /// slots once it is warm.
    pub fn capacity(&self) -> usize {
        let grown = (self.completed / RAMP_STEP) as usize;
        (COLD_SLOTS + grown).min(SLOTS)
    }

    /// Caches a chat as the most recently used, and evicts the least recently
    /// used ones while the cache is too large.
    fn cache_chat(&mut self, now: Time, chat: u64, tokens: u64) {
        if let Some((used, old)) = self.cache.insert(chat, (now, tokens)) {
            self.by_last_use.remove(&(used, chat));
            self.cached -= old;
        }
        self.by_last_use.insert((now, chat));
        self.cached += tokens;
        while self.cached > CACHE_TOKENS {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                break;
            };
            if let Some((_, tokens)) = self.cache.remove(&oldest) {
                self.cached -= tokens;
            }
        }
    }
}

/// How a request ended at its engine.
#[derive(Clone, Debug)]
pub struct Finished {
    /// The request.
    pub request: Request,
    /// Engine.
    pub engine: usize,
    /// Whether the response is complete.
    pub complete: bool,
    /// Prompt tokens that came from the cache.
    pub cached: u64,
    /// Time from arrival to the first token.
    pub first: Duration,
}

/// Size of the pool and the load on it.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Number of engines.
    pub engines: usize,
    /// New chats per second, of all workspaces.
    pub chats: f64,
    /// Factor on the new chats of the first workspace.
    pub surge: f64,
    /// Number of workspaces.
    pub workspaces: usize,
}

/// Something that is due at a time.
#[derive(Clone, Debug)]
enum ModelEvent {
    /// A workspace starts a chat.
    NewChat(usize),
    /// A chat continues.
    Turn(Box<Chat>),
    /// A request completes, by the engine, its start number and the request.
    Done(usize, u64, u64),
}

#[derive(Clone, Debug)]
struct Chat {
    id: u64,
    workspace: usize,
    history: u64,
    turns: u32,
    rng: ChaCha8Rng,
}

/// A request that was placed on an engine.
struct Active {
    request: Request,
    chat: Chat,
    cached: u64,
    first: Duration,
}

/// State of the pool and its chats.
pub struct Model {
    /// Current time.
    pub now: Time,
    /// Engines of the pool.
    pub engines: Vec<Engine>,
    workload: Workload,
    due: BTreeMap<(Time, u64), ModelEvent>,
    seq: u64,
    request_count: u64,
    active: BTreeMap<u64, Active>,
    unplaced: BTreeMap<u64, (Request, Chat)>,
    arrival_rngs: Vec<ChaCha8Rng>,
    seed: u64,
}

impl Model {
    /// Makes a pool of warm engines with empty caches.
    pub fn new(workload: Workload, seed: u64) -> Self {
        let engine = Engine {
            is_available: true,
            boot: 1,
            completed: 10_000,
            ..Engine::default()
        };
        let workspaces = workload.workspaces as u64;
        let arrival_rngs = (0..workspaces).map(|w| ChaCha8Rng::seed_from_u64(seed ^ (w << 32)));
        let mut model = Model {
            now: Time::ZERO,
            engines: vec![engine; workload.engines],
            workload,
            due: BTreeMap::new(),
            seq: 0,
            request_count: 0,
            active: BTreeMap::new(),
            unplaced: BTreeMap::new(),
            arrival_rngs: arrival_rngs.collect(),
            seed,
        };
        for workspace in 0..model.workload.workspaces {
            model.schedule_chat(workspace);
        }
        model
    }

    /// Time of the next event.
    pub fn next_due(&self) -> Option<Time> {
        self.due.first_key_value().map(|((at, _), _)| *at)
    }

    /// Processes the next event; returns a request that arrives or one that ends.
    pub fn step(&mut self) -> (Option<Request>, Option<Finished>) {
        let Some(((at, _), event)) = self.due.pop_first() else {
            return (None, None);
        };
        self.now = at;
        match event {
            ModelEvent::NewChat(workspace) => {
                let chat = self.new_chat(workspace);
                self.schedule_chat(workspace);
                (Some(self.next_request(chat, false)), None)
            }
            ModelEvent::Turn(chat) => (Some(self.next_request(*chat, true)), None),
            ModelEvent::Done(engine, boot, id) => {
                let is_current = self.engines[engine].boot == boot;
                let ended = is_current && self.engines[engine].running.remove(&id);
                let finished = ended.then(|| self.finish(engine, id, true));
                self.start_waiting(engine);
                (None, finished.flatten())
            }
        }
    }

    /// Places a request on an engine.
    pub fn place(&mut self, id: u64, engine: usize) {
        let Some((request, chat)) = self.unplaced.remove(&id) else {
            return;
        };
        let active = Active {
            request,
            chat,
            cached: 0,
            first: Duration::ZERO,
        };
        self.active.insert(id, active);
        self.engines[engine].waiting.push_back(id);
        self.start_waiting(engine);
    }

    /// Drops a request that was refused; its chat continues later.
    pub fn refuse(&mut self, id: u64) {
        if let Some((_, chat)) = self.unplaced.remove(&id) {
            self.schedule_turn(chat);
        }
    }

    /// Stops an engine, or starts it with an empty cache; returns the requests
    /// that it held, which are cut off.
    pub fn set_available(&mut self, engine: usize, is_available: bool) -> Vec<Finished> {
        let changed = &mut self.engines[engine];
        let ids: Vec<u64> = changed
            .running
            .iter()
            .chain(&changed.waiting)
            .copied()
            .collect();
        *changed = Engine {
            is_available,
            boot: changed.boot + 1,
            ..Engine::default()
        };
        let ended = ids
            .into_iter()
            .filter_map(|id| self.finish(engine, id, false));
        ended.collect()
    }

    fn finish(&mut self, engine: usize, id: u64, complete: bool) -> Option<Finished> {
        let Active {
            request,
            mut chat,
            cached,
            first,
        } = self.active.remove(&id)?;
        if complete {
            let tokens = request.prompt + request.response;
            self.engines[engine].completed += 1;
            self.engines[engine].cache_chat(self.now, request.chat, tokens);
            chat.history = tokens;
            chat.turns -= 1;
        }
        if chat.turns > 0 {
            self.schedule_turn(chat);
        }
        Some(Finished {
            request,
            engine,
            complete,
            cached,
            first,
        })
    }

    /// Starts waiting requests of an engine while it has free slots.
    fn start_waiting(&mut self, engine: usize) {
        while self.engines[engine].running.len() < SLOTS {
            let Some(id) = self.engines[engine].waiting.pop_front() else {
                return;
            };
            let now = self.now;
            let target = &mut self.engines[engine];
            let Some(active) = self.active.get_mut(&id) else {
                continue;
            };
            active.cached = target
                .cached(active.request.chat)
                .min(active.request.prompt);
            let uncached = (active.request.prompt - active.cached) as f64;
            let before = MIN_FIRST_TIME + PREFILL_TIME.mul_f64(uncached / 1_000.0);
            active.first = (now + before).saturating_sub(active.request.at);
            let decode = TOKEN_TIME * active.request.response as u32;
            target.running.insert(id);
            let boot = target.boot;
            self.schedule(before + decode, ModelEvent::Done(engine, boot, id));
        }
    }

    /// Makes a new chat.
    ///
    /// Each chat has a random generator of its own, so that it is the same under
    /// every policy, whatever the order of events.
    fn new_chat(&mut self, workspace: usize) -> Chat {
        let id: u64 = self.arrival_rngs[workspace].random();
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ id);
        let mean = if workspace < 3 { 3_000.0 } else { 600.0 };
        let history = exponential(&mut rng, mean) as u64 + 100;
        let turns = exponential(&mut rng, TURNS - 1.0) as u32 + 1;
        Chat {
            id,
            workspace,
            history,
            turns,
            rng,
        }
    }

    /// Makes the request of a chat's next turn.
    fn next_request(&mut self, mut chat: Chat, is_return: bool) -> Request {
        self.request_count += 1;
        let returning = if is_return { chat.history } else { 0 };
        let message = chat.rng.random_range(20..200);
        let request = Request {
            id: self.request_count,
            chat: chat.id,
            workspace: chat.workspace,
            prompt: chat.history + message,
            returning,
            response: chat.rng.random_range(60..200),
            at: self.now,
        };
        self.unplaced.insert(request.id, (request.clone(), chat));
        request
    }

    fn schedule(&mut self, after: Duration, event: ModelEvent) {
        self.seq += 1;
        self.due.insert((self.now + after, self.seq), event);
    }

    fn schedule_chat(&mut self, workspace: usize) {
        // Three large workspaces bring two thirds of the chats.
        let workload = &self.workload;
        let share = if workspace < 3 {
            2.0 / 9.0
        } else {
            1.0 / (3.0 * (workload.workspaces - 3) as f64)
        };
        let factor = if workspace == 0 { workload.surge } else { 1.0 };
        let rate = workload.chats * share * factor;
        let after = exponential(&mut self.arrival_rngs[workspace], 1.0 / rate);
        let after = Duration::from_secs_f64(after);
        self.schedule(after, ModelEvent::NewChat(workspace));
    }

    fn schedule_turn(&mut self, mut chat: Chat) {
        let after = exponential(&mut chat.rng, THINK_TIME.as_secs_f64());
        let after = Duration::from_secs_f64(after);
        self.schedule(after, ModelEvent::Turn(Box::new(chat)));
    }
}

/// Draws from an exponential distribution.
fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    let unit: f64 = rng.random();
    -mean * (1.0 - unit).ln()
}
