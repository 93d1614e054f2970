//! Parsing and validation of settings.

use briargap::Settings;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde_json::{Value, json};

fn valid_settings() -> Value {
    json!({
        "instance": "huron-1",
        "domain": "huron-shore",
        "caller": { "listen": "127.0.0.1:8000" },
        "peer": { "listen": "127.0.0.1:8100" },
        "operator": { "listen": "127.0.0.1:8200", "token_file": "token" },
        "platform": { "address": "http://127.0.0.1:7000" },
    })
}

fn fault_lines(settings: &Value) -> String {
    let faults = Settings::parse(&settings.to_string()).expect_err("faults");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[test]
fn valid_settings_are_accepted() {
    assert!(Settings::parse(&valid_settings().to_string()).is_ok());
}

#[test]
fn all_faults_are_reported_at_once() {
    let mut settings = valid_settings();
    settings["instance"] = json!("Huron 1");
    settings["peer"]["listen"] = json!("10.0.0.1:8100");
    settings["platform"]["address"] = json!("10.0.0.9:7000");
    settings["membership"] = json!({ "heartbeat_ms": 2_000, "suspect_ms": 3_000 });
    settings["stop_limit_ms"] = json!(1_000);
    settings["log"] = json!({ "level": "loud" });
    insta::assert_snapshot!(fault_lines(&settings), @r"
    instance: must be 1 to 63 lower-case letters, digits or hyphens
    stop_limit_ms: must be over caller.lookup_ms, or callers with a stale address are cut off
    peer.tls: is needed where peer.listen is not a loopback address
    platform.address: must begin with http://
    membership.suspect_ms: must be at least three times membership.heartbeat_ms
    log.level: must be error, warn, info, debug or trace
    ");
}

#[test]
fn an_unknown_field_is_reported_with_its_path() {
    let mut settings = valid_settings();
    settings["caller"]["conections"] = json!(5);
    assert!(fault_lines(&settings).starts_with("caller.conections: unknown field `conections`"));
}

proptest! {
    #![proptest_config(Config {
        cases: 5_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(8),
        ..Config::default()
    })]

    /// Parsing arbitrary text or truncated settings never panics.
    #[test]
    fn parsing_never_panics(text in "\\PC{0,80}", cut in 0..400usize) {
        let _ = Settings::parse(&text);
        let mut truncated = valid_settings().to_string();
        truncated.truncate(cut);
        let _ = Settings::parse(&truncated);
    }
}
