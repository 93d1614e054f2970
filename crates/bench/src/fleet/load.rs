//! Open-loop load: requests arrive at random times, whether or not earlier ones
//! have completed.

use crate::client::{Caller, Response};
use crate::standin::word;
use crate::test_fleet;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time for which a caller uses the result of a lookup.
const LOOKUP_TTL: Duration = Duration::from_secs(2);
/// Maximum number of times that a request is sent.
const MAX_SENDS: usize = 4;
/// Maximum number of requests in flight; further arrivals count as failed.
const MAX_IN_FLIGHT: usize = 600;
/// Number of tokens in a response.
pub(super) const RESPONSE_TOKENS: u64 = 24;
/// Every n-th arrival is an order, the others are chats.
const ORDER_EVERY: u64 = 10;
/// Maximum number of characters that a caller's turn adds to a chat.
const MAX_TURN_CHARS: usize = 900;
/// Number of turns after which a chat ends.
const MAX_TURNS: usize = 8;

/// Chat that may return for a further turn.
#[derive(Clone, Debug)]
struct Chat {
    name: String,
    workspace: &'static str,
    messages: Vec<Value>,
}

/// Result of a request.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    /// Scheduled time, since the start of the load.
    pub(super) due: Duration,
    /// Whether the response is complete and has the expected text.
    pub(super) is_complete: bool,
    /// Whether the response is complete but has another text than expected.
    pub(super) has_wrong_text: bool,
    /// Time from the scheduled time to the first event; for an order, from its first
    /// send to its end.
    pub(super) first_event: Duration,
    /// Longest time between two events.
    pub(super) max_gap: Duration,
    /// Body of an order, and whether the last response said that it did not run;
    /// `None` for a chat.
    pub(super) order: Option<(String, bool)>,
    /// Error code of the last response.
    pub(super) error_code: String,
}

/// Callers of a fleet, with their lookups and chats.
pub(super) struct Load {
    /// Addresses of the instances for callers.
    addresses: Vec<SocketAddr>,
    /// Time and result of the last lookup of each chat.
    lookups: Mutex<BTreeMap<String, (Instant, Vec<SocketAddr>)>>,
    /// Chats without a request in flight.
    idle_chats: Mutex<Vec<Chat>>,
    outcomes: Mutex<Vec<Outcome>>,
    /// Requests in flight.
    in_flight: AtomicUsize,
    /// Index of the next instance that gets a lookup or an order.
    next_instance: AtomicUsize,
}

/// Workspaces that send the load.
pub(super) const WORKSPACES: [&str; 10] =
    ["w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9"];

impl Load {
    pub(super) fn new(addresses: Vec<SocketAddr>) -> Arc<Load> {
        Arc::new(Load {
            addresses,
            lookups: Mutex::new(BTreeMap::new()),
            idle_chats: Mutex::new(Vec::new()),
            outcomes: Mutex::new(Vec::new()),
            in_flight: AtomicUsize::new(0),
            next_instance: AtomicUsize::new(0),
        })
    }

    /// Sends `rate` requests a second for `time`, with exponential intervals.
    ///
    /// Returns when all requests have ended, or after four times `time`.
    pub(super) fn run(self: &Arc<Load>, rate: f64, time: Duration, seed: u64) -> Vec<Outcome> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let started = Instant::now();
        let mut due = Duration::ZERO;
        let mut count = 0;
        while due < time {
            let unit: f64 = rng.random();
            due += Duration::from_secs_f64(-(1.0 - unit).ln() / rate);
            std::thread::sleep(due.saturating_sub(started.elapsed()));
            count += 1;
            if self.in_flight.load(Ordering::Relaxed) >= MAX_IN_FLIGHT {
                self.record_failure(due, "too many requests at once in the load tool");
                continue;
            }
            let load = self.clone();
            let job = if count % ORDER_EVERY == 0 {
                Job::Order(format!("{seed}-{count}"))
            } else {
                Job::Chat(self.pick_chat(&mut rng, seed, count))
            };
            self.in_flight.fetch_add(1, Ordering::Relaxed);
            std::thread::spawn(move || {
                let scheduled = started + due;
                let outcome = match job {
                    Job::Order(key) => load.place_order(due, &key),
                    Job::Chat(chat) => load.send_turn(due, scheduled, chat),
                };
                load.outcomes.lock().expect("outcomes").push(outcome);
                load.in_flight.fetch_sub(1, Ordering::Relaxed);
            });
        }
        while self.in_flight.load(Ordering::Relaxed) > 0 && started.elapsed() < time * 4 {
            std::thread::sleep(Duration::from_millis(20));
        }
        std::mem::take(&mut *self.outcomes.lock().expect("outcomes"))
    }

    /// Records a request that was not sent.
    fn record_failure(&self, due: Duration, code: &str) {
        self.outcomes.lock().expect("outcomes").push(Outcome {
            due,
            is_complete: false,
            has_wrong_text: false,
            first_event: Duration::ZERO,
            max_gap: Duration::ZERO,
            order: None,
            error_code: code.to_owned(),
        });
    }

    /// Takes an idle chat for its next turn, or starts a new one.
    fn pick_chat(&self, rng: &mut ChaCha8Rng, seed: u64, count: u64) -> Chat {
        let mut idle = self.idle_chats.lock().expect("chats");
        if !idle.is_empty() && rng.random_bool(0.8) {
            let at = rng.random_range(0..idle.len());
            return idle.swap_remove(at);
        }
        // Three large workspaces send about two thirds of the chats.
        let large = rng.random_bool(0.66);
        let workspace = if large {
            WORKSPACES[rng.random_range(0..3)]
        } else {
            WORKSPACES[rng.random_range(3..WORKSPACES.len())]
        };
        Chat {
            name: format!("chat-{seed}-{count}"),
            workspace,
            messages: Vec::new(),
        }
    }

    /// Returns the instances for a chat, from a lookup younger than `LOOKUP_TTL`.
    ///
    /// Returns all instances if up to five of them give no result.
    fn locate(&self, caller: &Caller, chat: &str) -> Vec<SocketAddr> {
        let known = self.lookups.lock().expect("lookups").get(chat).cloned();
        if let Some((at, found)) = known
            && at.elapsed() < LOOKUP_TTL
        {
            return found;
        }
        let count = self.addresses.len();
        let first = self.next_instance.fetch_add(1, Ordering::Relaxed);
        let quick = caller.clone().with_timeout(Duration::from_secs(1));
        for i in 0..count.min(5) {
            let at = self.addresses[(first + i) % count];
            let found = quick.locate(at, "assistant", chat);
            if !found.is_empty() {
                let mut lookups = self.lookups.lock().expect("lookups");
                lookups.insert(chat.to_owned(), (Instant::now(), found.clone()));
                return found;
            }
        }
        self.addresses.clone()
    }

    /// Sends the next turn of a chat, again if the response is incomplete.
    fn send_turn(&self, due: Duration, scheduled: Instant, mut chat: Chat) -> Outcome {
        let caller =
            Caller::new(&test_fleet::key(chat.workspace)).with_timeout(Duration::from_secs(30));
        let text = format!("turn {} of {} ", chat.messages.len(), chat.name);
        let text = text.repeat(MAX_TURN_CHARS / text.len());
        chat.messages
            .push(json!({ "role": "user", "content": text }));
        let messages = Value::Array(chat.messages.clone());
        let mut response = Response::default();
        let mut started = Instant::now();
        for send in 0..MAX_SENDS {
            let addresses = self.locate(&caller, &chat.name);
            started = Instant::now();
            response = caller.chat(
                addresses[send % addresses.len()],
                "assistant",
                &chat.name,
                &messages,
            );
            if response.complete {
                break;
            }
            self.lookups.lock().expect("lookups").remove(&chat.name);
            std::thread::sleep(Duration::from_millis(100 << send));
        }
        let seed = decision::digest("", messages.to_string().as_bytes());
        let expected: String = (0..RESPONSE_TOKENS).map(|i| word(seed, i)).collect();
        let text_matches = response.text == expected;
        let outcome = Outcome {
            due,
            is_complete: response.complete && text_matches,
            has_wrong_text: response.complete && !text_matches,
            first_event: started - scheduled + response.first_event.unwrap_or_default(),
            max_gap: response.max_gap,
            order: None,
            error_code: response.error_code,
        };
        chat.messages
            .push(json!({ "role": "assistant", "content": response.text }));
        if outcome.is_complete && chat.messages.len() < 2 * MAX_TURNS {
            self.idle_chats.lock().expect("chats").push(chat);
        }
        outcome
    }

    /// Places an order under an idempotency key, again if the response is an error.
    fn place_order(&self, due: Duration, key: &str) -> Outcome {
        let caller = Caller::new(&test_fleet::key("w1")).with_timeout(Duration::from_secs(8));
        let body = json!({ "order": key }).to_string();
        let first = self.next_instance.fetch_add(1, Ordering::Relaxed);
        let started = Instant::now();
        let mut response = Response::default();
        let mut failed_claims = 0;
        for send in 0..MAX_SENDS {
            let address = self.addresses[(first + send) % self.addresses.len()];
            response = caller.call(address, "orders/place", Some(key), &body);
            if response.status == 200 {
                break;
            }
            failed_claims += usize::from(response.error_code == "claim_unavailable");
            std::thread::sleep(Duration::from_millis(200 << send));
        }
        if failed_claims == MAX_SENDS {
            // The key could not be claimed on any send, so the order has not run and
            // may be placed again under an id that an instance issues.
            response = self.order_by_issued_id(&caller, first, &body);
        }
        let is_complete = response.status == 200;
        Outcome {
            due,
            is_complete,
            has_wrong_text: false,
            first_event: started.elapsed(),
            max_gap: Duration::ZERO,
            order: Some((body, !is_complete && response.execution == "not run")),
            error_code: response.error_code,
        }
    }
}

impl Load {
    /// Places an order under an issued id, at the instance that issued it.
    fn order_by_issued_id(&self, caller: &Caller, first: usize, body: &str) -> Response {
        let mut addresses = self.addresses.iter().cycle().skip(first).take(MAX_SENDS);
        let issued = addresses.find_map(|a| caller.issue_id(*a).map(|id| (*a, id)));
        let Some((address, id)) = issued else {
            return Response::default();
        };
        let mut response = Response::default();
        for _ in 0..MAX_SENDS {
            response = caller.call(address, "orders/place", Some(&id), body);
            if response.status == 200 {
                break;
            }
        }
        response
    }
}

/// Request to send.
enum Job {
    /// Order with its idempotency key.
    Order(String),
    /// Next turn of a chat.
    Chat(Chat),
}
