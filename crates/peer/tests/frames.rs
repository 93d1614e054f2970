//! Decoding of the mesh's frames, including those of newer versions and invalid
//! ones.

use ciborium::Value;
use decision::Message;
use peer::{Frame, decode, encode};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn config() -> Config {
    Config {
        cases: 20_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..Config::default()
    }
}

fn to_cbor(value: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("CBOR");
    bytes
}

#[test]
fn an_unknown_kind_of_message_is_skipped() {
    let body = Value::Map(vec![(Value::from("i"), Value::from(1))]);
    let newer = Value::Map(vec![(Value::from("something-new"), body)]);
    let frame = decode("peer", &to_cbor(&newer)).expect("well-formed");
    assert_eq!(frame, Frame::Unknown);
}

#[test]
fn an_unknown_field_is_skipped() {
    let body = Value::Map(vec![
        (Value::from("n"), Value::from(7)),
        (Value::from("f"), Value::from(9)),
        (Value::from("new"), Value::from("field")),
    ]);
    let beat = Value::Map(vec![(Value::from("b"), body)]);
    let frame = decode("peer", &to_cbor(&beat)).expect("well-formed");
    let expected = Message::Heartbeat {
        incarnation: 7,
        fingerprint: 9,
        updates: Vec::new(),
    };
    assert_eq!(frame, Frame::Message(Box::new(expected)));
}

#[test]
fn an_invalid_frame_is_an_error_with_the_peers_name() {
    for bytes in [&b"\xff\xff"[..], b"", b"\x01"] {
        let error = decode("huron-1", bytes).expect_err("not a message");
        assert!(error.to_string().contains("huron-1"));
    }
}

proptest! {
    #![proptest_config(config())]

    /// The decoder accepts or rejects any bytes without a panic.
    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode("peer", &bytes);
    }

    /// The decoder accepts or rejects a corrupt or truncated frame without a panic.
    #[test]
    fn a_damaged_frame_is_decoded_or_rejected(cut in 0..60usize, at in 0..60usize, byte in any::<u8>()) {
        let message = Message::Cancel { service: "assistant".into(), request: 77 };
        let mut bytes = encode(&message);
        let at = at % bytes.len();
        bytes[at] = byte;
        bytes.truncate(bytes.len().saturating_sub(cut));
        let _ = decode("peer", &bytes);
    }
}
