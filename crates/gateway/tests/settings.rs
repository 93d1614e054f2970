//! Settings on the operators' platform: faults name the field and the reason.

use gateway::Settings;
use serde_json::{Value, json};

fn good() -> Value {
    json!({
        "instance": "edge-1", "domain": "one",
        "listen": {
            "callers": "10.0.0.1:1", "ready": "10.0.0.1:2", "directory": "10.0.0.1:3",
            "control": "10.0.0.1:4", "peers": "10.0.0.1:5",
        },
        "store": {"address": "10.0.0.9:1"},
        "bounds": {
            "key_age_ms": 5000, "grace_s": 8, "lookup_s": 5, "retry_ratio": 0.2,
            "retry_slack": 113, "cold_excess": 1.5, "cold_slack": 5, "load_multiple": 2,
        },
        "machine": {"cores": 0.17, "descriptors": 2870},
    })
}

fn fault(change: impl FnOnce(&mut Value)) -> String {
    let mut settings = good();
    change(&mut settings);
    let faults = Settings::parse(&settings.to_string()).expect_err("a fault");
    let texts: Vec<String> = faults.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

#[test]
fn good_settings_are_taken_and_fields_of_later_versions_left_out() {
    let mut settings = good();
    settings["later"] = json!({"x": 1});
    settings["bounds"]["later_ms"] = json!(7);
    let parsed = Settings::parse(&settings.to_string()).expect("no fault");
    assert_eq!(parsed.bounds.grace.as_secs(), 8);
    assert!(parsed.seeds.is_empty());
}

#[test]
fn faults_name_the_field_and_the_reason() {
    let cases = [
        (
            fault(|s| s["listen"]["ready"] = json!("nowhere")),
            "listen.ready: invalid socket address",
        ),
        (
            fault(|s| {
                s["bounds"]
                    .as_object_mut()
                    .expect("a table")
                    .remove("grace_s");
            }),
            "bounds: missing field `grace_s`",
        ),
        (
            fault(|s| s["bounds"]["key_age_ms"] = json!("soon")),
            "bounds.key_age_ms: invalid type",
        ),
        (
            fault(|s| s["bounds"]["lookup_s"] = json!(0)),
            "bounds.lookup_s: must be at least 1",
        ),
        (
            fault(|s| s["machine"]["descriptors"] = json!(10)),
            "machine.descriptors: must be at least 256",
        ),
        (
            fault(|s| s["listen"]["peers"] = json!("10.0.0.1:1")),
            "listen.peers: must differ from listen.callers",
        ),
        (
            fault(|s| s["log_level"] = json!("loud")),
            "log_level: must be error",
        ),
    ];
    for (seen, wanted) in cases {
        assert!(seen.contains(wanted), "{seen} has no {wanted}");
    }
}

#[test]
fn every_fault_is_listed() {
    let seen = fault(|s| {
        s["instance"] = json!("");
        s["machine"]["cores"] = json!(0);
    });
    assert!(
        seen.contains("instance") && seen.contains("machine.cores"),
        "{seen}"
    );
}
