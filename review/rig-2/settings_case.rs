//! The settings change, with SIGHUP, to a shorter `RevokeMs`; then a key is taken away
//! as the store stops answering.

use crate::engine::{Engine, Kind, Runs};
use crate::http;
use crate::instance::{Instance, Ports, SIGHUP};
use crate::store::Store;
use crate::{Record, Verdict};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// `RevokeMs` before and after the change.
const REVOKE_MS: [u64; 2] = [5_000, 2_000];
/// Time from SIGHUP to the revocation.
const RELOAD_TIME: Duration = Duration::from_secs(3);
/// Time for which the store is silent (`platform_down`, 4.5 s in the site's list).
const SILENT_TIME: Duration = Duration::from_millis(4_500);
/// Time between requests at one instance.
const PAUSE: Duration = Duration::from_millis(100);
const HOST: &str = "ficu95.example";
const KEYS: [&str; 2] = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"];

struct Sent {
    attempt: String,
    key: usize,
    instance: String,
    at: Instant,
    status: u16,
}

fn configuration(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|k| format!("\"{k}\"")).collect();
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r-1","Host":"{HOST}","Prefix":"/pufi791/","RouteType":"idempotent","TimeoutMs":1500,"GoalMs":300,"Priority":1,"Service":"wuno96b","MaxAttempts":2,"Public":false,"Sticky":false,"Resumable":false}}],"Services":[{{"Name":"wuno96b","HealthPath":"/healthz","MaxConns":208,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"hule930","ApiKeys":[{}],"Priority":1}}]}}"#,
        keys.join(",")
    )
}

pub fn run(folder: &Path, has_trouble: bool, record: &mut Record) -> Verdict {
    let store = Store::start();
    let runs = Runs::default();
    let zones = ["nl-west-a", "nl-west-b", "nl-west-c"];
    let engines: Vec<Engine> = (1..=3)
        .map(|n| Engine::start(&format!("i-{n}"), Kind::Plain, &runs))
        .collect();
    for (engine, zone) in engines.iter().zip(zones) {
        store.put("servers", &engine.id, &engine.entry("wuno96b", zone));
    }
    store.put("op", "config", &configuration(7, &KEYS));

    let ips: Vec<Ipv4Addr> = (1..=3).map(|n| Ipv4Addr::new(127, 0, 77, n)).collect();
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
        instance.write_settings(store.address, REVOKE_MS[0]);
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

    let (sent, is_over) = (Arc::new(Mutex::new(Vec::new())), Arc::default());
    let callers = call_all(&instances, &sent, &is_over);
    std::thread::sleep(Duration::from_secs(2));

    for instance in &instances {
        instance.write_settings(store.address, REVOKE_MS[1]);
        instance.signal(SIGHUP);
    }
    record.note("RevokeMs is 2,000 in the settings; SIGHUP to all instances");
    std::thread::sleep(RELOAD_TIME);
    for instance in &instances {
        if instance.log_lines("settings reloaded").is_empty() {
            return Verdict::Unusable("an instance has not read its settings".to_owned());
        }
    }
    record.note("all instances log `settings reloaded`");

    let without = configuration(9, &KEYS[1..]);
    if has_trouble {
        store.put_and_fall_silent("op", "config", &without);
    } else {
        store.put("op", "config", &without);
    }
    let confirmed = Instant::now();
    record.note("version 9, without the first key, is confirmed");
    if has_trouble {
        record.note("the store gives no answers from now on, for 4.5 s");
    }
    std::thread::sleep(SILENT_TIME);
    store.set_silent(false);
    record.note("the store answers");
    std::thread::sleep(Duration::from_secs(4));
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }

    let bound = Duration::from_millis(REVOKE_MS[1]);
    let (sent, runs) = (sent.lock().expect("sent"), runs.lock().expect("runs"));
    let mut late = 0;
    let mut served = [0, 0];
    for call in sent.iter() {
        let run = runs.iter().find(|run| run.attempt == call.attempt);
        let ran = run.map_or("not run".to_owned(), |run| {
            let after = run.at.saturating_duration_since(call.at);
            format!("run by {} after {} ms", run.engine, after.as_millis())
        });
        let (key, status, name) = (call.key + 1, call.status, &call.instance);
        record.note_at(
            call.at,
            &format!("{} with key {key} to {name}: {status}, {ran}", call.attempt),
        );
        served[usize::from(call.at >= confirmed)] += u32::from(status == 200);
        if call.key == 0 && run.is_some() && call.at >= confirmed + bound {
            late += 1;
            let after = (call.at - confirmed).as_millis();
            record.note_at(
                call.at,
                &format!(
                    "LATE: {} was sent {after} ms after the confirmation",
                    call.attempt
                ),
            );
        }
    }
    record.note(&format!(
        "{late} requests with the first key ran that were sent later than RevokeMs after"
    ));
    match late {
        _ if served.contains(&0) => Verdict::Unusable("requests were not served".to_owned()),
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Sends requests with each key to each instance until it is over.
fn call_all(
    instances: &[Instance],
    sent: &Arc<Mutex<Vec<Sent>>>,
    is_over: &Arc<AtomicBool>,
) -> Vec<std::thread::JoinHandle<()>> {
    let pairs = instances.iter().enumerate();
    let pairs = pairs.flat_map(|(n, i)| (0..KEYS.len()).map(move |key| (n, i, key)));
    let start = |(number, instance, key): (usize, &Instance, usize)| {
        let (name, address) = (instance.name.clone(), instance.callers());
        let (sent, is_over) = (sent.clone(), is_over.clone());
        std::thread::spawn(move || {
            for count in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let attempt = format!("{:08x}{:08x}", number * 16 + key + 1, count);
                let head = format!(
                    "GET /pufi791/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 1500\r\nApi-Key: {}\r\nConnection: close\r\n",
                    KEYS[key]
                );
                let at = Instant::now();
                let answer = http::call(address, &head, "", Duration::from_secs(2));
                let status = answer.map_or(0, |a| a.status());
                let call = Sent {
                    attempt,
                    key,
                    instance: name.clone(),
                    at,
                    status,
                };
                sent.lock().expect("sent").push(call);
                std::thread::sleep(PAUSE);
            }
        })
    };
    pairs.map(start).collect()
}
