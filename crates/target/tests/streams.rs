//! Tests of the reader of server-sent events.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use target::SseReader;

fn config() -> Config {
    Config {
        cases: 20_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(6),
        ..Config::default()
    }
}

#[test]
fn only_data_fields_are_read() {
    let mut reader = SseReader::default();
    let text =
        ": hello\r\nevent: token\r\nid: 4\r\ndata: {\"a\":1}\r\n\r\ndata:two\ndata: lines\n\n";
    let events = reader.push(text.as_bytes()).expect("events");
    assert_eq!(events, ["{\"a\":1}", "two\nlines"]);
}

#[test]
fn an_oversized_event_is_an_error() {
    let mut reader = SseReader::default();
    let chunk = vec![b'x'; 600_000];
    assert!(reader.push(&chunk).is_ok());
    assert!(reader.push(&chunk).is_err());
}

proptest! {
    #![proptest_config(config())]

    /// A stream yields the same events however it is split into pieces.
    #[test]
    fn events_do_not_depend_on_how_the_stream_is_split(
        events in proptest::collection::vec("[a-z {}\":]{1,20}", 1..6),
        cuts in proptest::collection::vec(1..30usize, 0..20),
    ) {
        let framed: Vec<String> = events.iter().map(|e| format!("data: {e}\n\n")).collect();
        let text = framed.concat();
        let mut rest = text.as_bytes();
        let mut reader = SseReader::default();
        let mut found = Vec::new();
        for cut in cuts {
            let (piece, left) = rest.split_at(cut.min(rest.len()));
            found.extend(reader.push(piece).expect("events"));
            rest = left;
        }
        found.extend(reader.push(rest).expect("events"));
        prop_assert_eq!(found, events);
    }

    /// The reader accepts or rejects any bytes without a panic.
    #[test]
    fn any_bytes_are_read_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = SseReader::default().push(&bytes);
    }
}
