//! The `briargap` command as a process: the operators' client and the last log lines.

use std::process::{Command, Output};

/// State dump of an instance on the operators' platform.
const STATE: &str = r#"{
    "instance": "edge-1", "phase": "Serving", "hub": true, "requests": 3,
    "live": [{"id": "edge-1"}, {"id": "edge-2"}],
    "router": {
        "version": 7, "age_ms": 120, "evacuated": [],
        "targets": [{
            "target": "i-1", "service": "pool", "stage": "Ready", "own": 1, "others": 4,
            "cold_ms": 0, "aside_ms": 0
        }]
    }
}"#;

/// Runs `briargap state` against a server that responds once, with `body`.
fn run_state_command(body: &'static str) -> Output {
    let server = tiny_http::Server::http("127.0.0.1:0").expect("a free port");
    let address = server.server_addr().to_string();
    let serving = std::thread::spawn(move || {
        let request = server.recv().expect("a request");
        assert_eq!(request.url(), "/state");
        request
            .respond(tiny_http::Response::from_string(body))
            .expect("answered");
    });
    let output = Command::new(env!("CARGO_BIN_EXE_briargap"))
        .args(["state", "--control", &address])
        .output()
        .expect("the command runs");
    serving.join().expect("no panic");
    output
}

#[test]
fn state_of_a_platform_instance_needs_no_token() {
    let output = run_state_command(STATE);
    assert!(output.status.success());
    let text = String::from_utf8_lossy(&output.stdout);
    insta::assert_snapshot!(text, @r"
    INSTANCE        edge-1
    PHASE           Serving
    HUB             true
    LIVE INSTANCES  2
    REQUESTS        3
    CONFIGURATION   7
    AGE MS          120
    DOMAINS OUT     []

    SERVICE         TARGET   STAGE  OWN  OTHERS  COLD MS  ASIDE MS
    pool            i-1      Ready  1    4       0        0
    ");
}

#[test]
fn a_response_that_is_not_json_is_reported_with_its_peer() {
    let output = run_state_command("not json");
    assert_eq!(output.status.code(), Some(4));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.starts_with("state at 127.0.0.1:"), "{text}");
}

#[test]
fn a_call_without_a_token_names_the_missing_option() {
    let output = Command::new(env!("CARGO_BIN_EXE_briargap"))
        .env_remove("BRIARGAP_TOKEN_FILE")
        .arg("services")
        .output()
        .expect("the command runs");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(
        text.trim(),
        "the call needs --token-file or BRIARGAP_TOKEN_FILE"
    );
}

/// Guards against losing the error that ends a process: log lines are written by
/// another thread, which an exit would otherwise stop before the last line. The
/// start fails here because the `ready` address is in use.
#[test]
fn the_last_log_line_is_written_before_exit() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let in_use = listener.local_addr().expect("an address").to_string();
    let settings = serde_json::json!({
        "instance": "i1", "domain": "one",
        "listen": {
            "callers": "127.0.0.1:0", "ready": in_use, "directory": "127.0.0.1:0",
            "control": "127.0.0.1:0", "peers": "127.0.0.2:0",
        },
        "store": { "address": "127.0.0.1:1" },
        "bounds": {
            "key_age_ms": 5000, "grace_s": 8, "lookup_s": 5, "retry_ratio": 0.2,
            "retry_slack": 100.0, "cold_excess": 1.5, "cold_slack": 5.0, "load_multiple": 2.0,
        },
        "machine": { "cores": 0.5, "descriptors": 2000 },
    });
    let path = std::env::temp_dir().join(format!("briargap-last-line-{}", std::process::id()));
    std::fs::write(&path, settings.to_string()).expect("settings");
    for _ in 0..50 {
        let output = Command::new(env!("CARGO_BIN_EXE_briargap"))
            .args(["serve", "--settings"])
            .arg(&path)
            .output()
            .expect("the command runs");
        assert_eq!(output.status.code(), Some(1));
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(text.contains("listen for checks on"), "{text:?}");
    }
    std::fs::remove_file(&path).expect("removed");
}
