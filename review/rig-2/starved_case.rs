//! Two cases in which the chats of all callers starve.
//!
//! One caller asks model engines for weights of a version that they no longer have, as
//! `X-Expect-Version` allows, and others ask for none. Or another writer writes rows to
//! a part of the table of engines.

use crate::engine::{Engine, Kind, Runs};
use crate::http;
use crate::instance::{Instance, Ports};
use crate::store::Store;
use crate::{Record, Verdict};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Version of the weights that all engines have.
const WEIGHTS: u64 = 2;
/// Version that one caller asks for.
const FORMER_WEIGHTS: u64 = 1;
/// Time for which all callers send.
const LENGTH: Duration = Duration::from_secs(36);
/// Time after which the one caller begins, and the number of its requests.
const BEGIN: Duration = Duration::from_secs(3);
const PINNED: u64 = 12;
const HOST: &str = "ficu95.example";
/// Keys of the tenant with that caller, and of another one.
const KEYS: [&str; 2] = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"];

/// A kind of request: its path and the pause of each caller between two.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Class {
    Chat,
    Lookup,
    PinnedChat,
}

impl Class {
    fn path(self) -> &'static str {
        match self {
            Class::Chat | Class::PinnedChat => "/pufi791/2f",
            Class::Lookup => "/lohu930/2f",
        }
    }

    fn label(self) -> &'static str {
        match self {
            Class::Chat => "chat",
            Class::Lookup => "lookup",
            Class::PinnedChat => "chat with X-Expect-Version: 1",
        }
    }

    fn pause(self) -> Duration {
        match self {
            Class::Chat | Class::Lookup => Duration::from_millis(100),
            Class::PinnedChat => Duration::from_millis(500),
        }
    }
}

struct Sent {
    attempt: String,
    class: Class,
    instance: String,
    at: Instant,
    status: u16,
    is_served: bool,
}

fn configuration() -> String {
    let route = |name: &str, prefix: &str, rest: &str| {
        format!(
            r#"{{"Name":"{name}","Host":"{HOST}","Prefix":"{prefix}","Priority":1,"Public":false,{rest}}}"#
        )
    };
    let chat = route(
        "r-1",
        "/pufi791/",
        r#""RouteType":"streaming","TimeoutMs":10000,"GoalMs":400,"Service":"huvo11a","MaxAttempts":2,"Sticky":true,"Resumable":true,"GapTargetMs":400"#,
    );
    let lookup = route(
        "r-2",
        "/lohu930/",
        r#""RouteType":"idempotent","TimeoutMs":800,"GoalMs":300,"Service":"wuno96b","MaxAttempts":2,"Sticky":false,"Resumable":false"#,
    );
    format!(
        r#"{{"Version":7,"Routes":[{chat},{lookup}],"Services":[{{"Name":"huvo11a","HealthPath":"/healthz","MaxConns":780,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0,"Engine":{{"Slots":64,"KvCapacity":620182,"KvTokenBytes":327680,"LinkMbps":1100000.0,"Stride":8}}}},{{"Name":"wuno96b","HealthPath":"/healthz","MaxConns":208,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"hule930","ApiKeys":["{}"],"Priority":1}},{{"Name":"zola417","ApiKeys":["{}"],"Priority":1}}]}}"#,
        KEYS[0], KEYS[1]
    )
}

/// What begins some seconds after the callers.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// One caller's expected version.
    Pinned,
    /// Rows of another writer.
    Writer,
}

pub fn run(folder: &Path, trouble: Trouble, record: &mut Record) -> Verdict {
    let store = Store::start();
    let runs = Runs::default();
    let zones = ["nl-west-a", "nl-west-b", "nl-west-c"];
    let kinds = [
        ("huvo11a", "m", Kind::Model { version: WEIGHTS }, 6),
        ("wuno96b", "p", Kind::Plain, 3),
    ];
    for (service, prefix, kind, count) in kinds {
        for number in 0..count {
            let engine = Engine::start(&format!("i-{prefix}{number}"), kind, &runs);
            let entry = engine.entry(service, zones[number % 3]);
            store.put("servers", &engine.id, &entry);
        }
    }
    store.put("op", "config", &configuration());

    let ips: Vec<Ipv4Addr> = (1..=3).map(|n| Ipv4Addr::new(127, 0, 79, n)).collect();
    let ports = Ports::find(&ips);
    let seeds: Vec<SocketAddr> = ips.iter().map(|ip| (*ip, ports.control).into()).collect();
    let mut instances: Vec<Instance> = ips
        .iter()
        .zip(zones)
        .map(|(ip, zone)| {
            Instance::new(folder, &format!("edge-{zone}-1"), zone, *ip, ports, &seeds)
        })
        .collect();
    for instance in &mut instances {
        instance.write_settings(store.address, 5_000);
        instance.start();
    }
    let due = Instant::now() + Duration::from_secs(20);
    while !instances.iter().all(Instance::is_ready) {
        if Instant::now() > due {
            return Verdict::Unusable("the instances don't get ready".to_owned());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    record.note("all instances are ready");

    let sent = Arc::new(Mutex::new(Vec::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let started = Instant::now();
    let mut callers = Vec::new();
    for instance in &instances {
        for class in [Class::Chat, Class::Lookup] {
            let number = callers.len() as u64;
            callers.push(call(number, class, &[instance], &sent, &is_over, u64::MAX));
        }
    }
    std::thread::sleep(BEGIN);
    let begun = Instant::now();
    if trouble == Trouble::Writer {
        record.note("another writer writes entries without fields to the part p7 of `servers`");
        for number in 0..6 {
            store.put_in("servers", "p7", &format!("i-m{number}"), r#"{"SeqNo":1}"#);
        }
    }
    if trouble == Trouble::Pinned {
        let all: Vec<&Instance> = instances.iter().collect();
        record.note("one caller begins to ask for version 1 of the weights");
        let number = callers.len() as u64;
        callers.push(call(
            number,
            Class::PinnedChat,
            &all,
            &sent,
            &is_over,
            PINNED,
        ));
    }
    std::thread::sleep((started + LENGTH).saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    judge(&sent.lock().expect("sent"), &runs, begun, record)
}

/// Starved: a kind of request is served less than a quarter as often as all.
fn judge(sent: &[Sent], runs: &Runs, begun: Instant, record: &mut Record) -> Verdict {
    let runs = runs.lock().expect("runs");
    for call in sent {
        let run = runs.iter().find(|run| run.attempt == call.attempt);
        let ran = run.map_or("not run".to_owned(), |run| format!("run by {}", run.engine));
        let (label, name, status) = (call.class.label(), &call.instance, call.status);
        let line = format!("{} {label} to {name}: {status}, {ran}", call.attempt);
        record.note_at(call.at, &line);
    }
    // Requests for weights that no engine has can't be served and count nowhere.
    let owed: Vec<&Sent> = sent
        .iter()
        .filter(|c| c.class != Class::PinnedChat)
        .collect();
    let share = |class: Option<Class>, from: Option<Instant>| {
        let calls = owed.iter();
        let calls = calls.filter(|c| class.is_none_or(|class| c.class == class));
        let calls: Vec<_> = calls
            .filter(|c| from.is_none_or(|from| c.at >= from))
            .collect();
        let served = calls.iter().filter(|c| c.is_served).count();
        record_share(served, calls.len())
    };
    let (all, chat) = (share(None, None), share(Some(Class::Chat), None));
    let lookup = share(Some(Class::Lookup), None);
    let chat_after = share(Some(Class::Chat), Some(begun + Duration::from_secs(3)));
    let chat_before = {
        let calls = owed
            .iter()
            .filter(|c| c.class == Class::Chat && c.at < begun);
        let calls: Vec<_> = calls.collect();
        record_share(calls.iter().filter(|c| c.is_served).count(), calls.len())
    };
    record.note(&format!(
        "served: all {all:.3}, lookups {lookup:.3}, chats {chat:.3}: {chat_before:.3} in the first 3 s, {chat_after:.3} from 6 s on"
    ));
    match () {
        () if chat_before < 0.9 || lookup < 0.9 => {
            Verdict::Unusable("requests were not served at the start".to_owned())
        }
        () if chat < all / 4.0 => Verdict::Broken,
        () => Verdict::Held,
    }
}

fn record_share(served: usize, of: usize) -> f64 {
    served as f64 / of.max(1) as f64
}

/// Sends requests of a class to instances in turn, `most` of them or until it is over.
fn call(
    number: u64,
    class: Class,
    instances: &[&Instance],
    sent: &Arc<Mutex<Vec<Sent>>>,
    is_over: &Arc<AtomicBool>,
    most: u64,
) -> JoinHandle<()> {
    let to: Vec<(String, SocketAddr)> = instances
        .iter()
        .map(|i| (i.name.clone(), i.callers()))
        .collect();
    let (sent, is_over) = (sent.clone(), is_over.clone());
    let key = KEYS[usize::from(class != Class::PinnedChat)];
    std::thread::spawn(move || {
        for count in 0..most {
            if is_over.load(Ordering::Relaxed) {
                return;
            }
            let attempt = format!("{:08x}{:08x}", number + 1, count);
            let (name, address) = &to[count as usize % to.len()];
            let model = match class {
                Class::Lookup => String::new(),
                Class::Chat | Class::PinnedChat => format!(
                    "X-Model: m\r\nX-Token-Counts: 700,80\r\nX-Prompt-Prefix: 5c1e07a2:119,{:x}:580\r\n",
                    0x91bd_3f06_u64 + number * 1_000_000 + count
                ),
            };
            let pin = match class {
                Class::PinnedChat => format!("X-Expect-Version: {FORMER_WEIGHTS}\r\n"),
                Class::Chat | Class::Lookup => String::new(),
            };
            let head = format!(
                "POST {} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 2500\r\nApi-Key: {key}\r\n{model}{pin}Connection: close\r\n",
                class.path()
            );
            let at = Instant::now();
            let answer = http::call(*address, &head, "{}", Duration::from_secs(3));
            let is_served = answer
                .as_ref()
                .is_some_and(|a| a.status() == 200 && a.is_complete);
            sent.lock().expect("sent").push(Sent {
                attempt,
                class,
                instance: name.clone(),
                at,
                status: answer.map_or(0, |a| a.status()),
                is_served,
            });
            std::thread::sleep(class.pause());
        }
    })
}
