//! Runs three instances, targets and a platform in one process.
//!
//! For each turn of several chats, a caller looks up an instance and sends the
//! chat there. Then a caller sends one order to two instances under the same
//! idempotency key, and the order services report how often it ran.

use bench::client::Caller;
use bench::test_fleet::{TestFleet, TestFleetOptions, key};
use serde::Deserialize;
use serde_json::{Value, json};

/// The callers' messages of several chats, as JSON.
const CONVERSATIONS: &str = include_str!("conversations.json");

#[derive(Deserialize)]
struct Conversation {
    workload: String,
    workspace: String,
    chat: String,
    turns: Vec<String>,
}

fn main() {
    let conversations: Vec<Conversation> =
        serde_json::from_str(CONVERSATIONS).expect("conversations");
    println!("starting 3 instances, 3 engines, 2 order services and a platform on loopback");
    let fleet = TestFleet::start(&TestFleetOptions::default());
    for conversation in &conversations {
        send_chat(&fleet, conversation);
    }
    place_order(&fleet);
    print_cache_use(&fleet);
}

/// Sends the turns of a chat, each to the instance that a lookup names.
fn send_chat(fleet: &TestFleet, conversation: &Conversation) {
    let caller = Caller::new(&key(&conversation.workspace));
    let chat = &conversation.chat;
    println!("\n{} ({chat})", conversation.workload);
    let mut messages: Vec<Value> = Vec::new();
    for turn in &conversation.turns {
        let addresses = caller.locate(fleet.caller_addr(0), "assistant", chat);
        let address = addresses.first().copied().unwrap_or(fleet.caller_addr(0));
        messages.push(json!({ "role": "user", "content": turn }));
        let response = caller.chat(address, "assistant", chat, &json!(messages));
        println!(
            "  {} at {address}: {} events, first after {:.1} ms, {}",
            response.request_id,
            response.events,
            response.first_event.unwrap_or_default().as_secs_f64() * 1e3,
            if response.complete {
                "whole"
            } else {
                "cut off"
            },
        );
        messages.push(json!({ "role": "assistant", "content": response.text }));
    }
}

/// Sends one order to two instances under the same idempotency key.
fn place_order(fleet: &TestFleet) {
    let caller = Caller::new(&key("forge"));
    let order = json!({ "hoops": 40, "for": "distillery 9" }).to_string();
    println!("\norder: sent to two instances under one key");
    for instance in 0..2 {
        let address = fleet.caller_addr(instance);
        let response = caller.call(address, "orders/place", Some("order-2041"), &order);
        println!(
            "  at {address}: status {}, {}",
            response.status, response.text
        );
    }
    let runs = fleet
        .services
        .iter()
        .filter_map(|s| s.records().runs.get(&order).copied());
    println!("  the order services ran it {} time(s)", runs.sum::<u32>());
}

/// Prints how many prompt tokens each engine had in its cache.
fn print_cache_use(fleet: &TestFleet) {
    println!("\nwhat the engines saw");
    let (mut prompt, mut cached) = (0, 0);
    for (i, engine) in fleet.engines.iter().enumerate() {
        let records = engine.records();
        let prompt_tokens: usize = records.runs.iter().map(|r| r.prompt).sum();
        let cached_tokens: usize = records.runs.iter().map(|r| r.cached).sum();
        println!(
            "  assistant-{i}: {} answers, {cached_tokens} of {prompt_tokens} prompt tokens from its cache",
            records.runs.len(),
        );
        prompt += prompt_tokens;
        cached += cached_tokens;
    }
    let share = 100.0 * f64::from(u32::try_from(cached).unwrap_or(0))
        / f64::from(u32::try_from(prompt.max(1)).unwrap_or(1));
    println!("  {share:.0} % of all prompt tokens came from a cache");
}
