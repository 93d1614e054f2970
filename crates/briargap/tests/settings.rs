//! Settings: every fault at once, with its path.

use briargap::Settings;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde_json::{Value, json};

fn good() -> Value {
    json!({
        "instance": "huron-1",
        "domain": "huron-shore",
        "caller": { "listen": "127.0.0.1:8000" },
        "peer": { "listen": "127.0.0.1:8100" },
        "operator": { "listen": "127.0.0.1:8200", "token_file": "token" },
        "platform": { "address": "http://127.0.0.1:7000" },
    })
}

fn faults(settings: &Value) -> String {
    let faults = Settings::parse(&settings.to_string()).expect_err("faults");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[test]
fn good_settings_are_taken() {
    assert!(Settings::parse(&good().to_string()).is_ok());
}

#[test]
fn every_fault_is_listed_at_once() {
    let mut settings = good();
    settings["instance"] = json!("Huron 1");
    settings["peer"]["listen"] = json!("10.0.0.1:8100");
    settings["platform"]["address"] = json!("10.0.0.9:7000");
    settings["membership"] = json!({ "heartbeat_ms": 2_000, "suspect_ms": 3_000 });
    settings["stop_limit_ms"] = json!(1_000);
    settings["log"] = json!({ "level": "loud" });
    insta::assert_snapshot!(faults(&settings), @r"
    instance: must be 1 to 63 lower-case letters, digits or hyphens
    stop_limit_ms: must be over caller.lookup_ms, or callers with a stale address are cut off
    peer.tls: is needed where peer.listen is not a loopback address
    platform.address: must begin with http://
    membership.suspect_ms: must be at least three times membership.heartbeat_ms
    log.level: must be error, warn, info, debug or trace
    ");
}

#[test]
fn an_unknown_field_is_named_with_its_path() {
    let mut settings = good();
    settings["caller"]["conections"] = json!(5);
    assert!(faults(&settings).starts_with("caller.conections: unknown field `conections`"));
}

proptest! {
    #![proptest_config(Config {
        cases: 5_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(8),
        ..Config::default()
    })]

    /// No text brings the reader of settings down.
    #[test]
    fn any_text_is_read_or_refused(text in "\\PC{0,80}", cut in 0..400usize) {
        let _ = Settings::parse(&text);
        let mut good = good().to_string();
        good.truncate(cut);
        let _ = Settings::parse(&good);
    }
}
