//! Copies of the store's tables, and what is told of them.

use decision::{ApplyOutcome, TableCopy, TableRow, TableUpdate};
use std::time::Duration;

fn row(key: &str, version: u64, value: Option<&str>) -> TableRow {
    TableRow {
        key: key.into(),
        version,
        value: value.map(|v| v.as_bytes().to_vec()),
    }
}

fn news(since: Option<u64>, version: u64, rows: Vec<TableRow>) -> TableUpdate {
    TableUpdate {
        since,
        version,
        rows,
    }
}

#[test]
fn a_feed_takes_changes_in_any_order_and_never_goes_back() {
    let mut feed = TableCopy::default();
    assert_eq!(
        feed.apply(news(Some(3), 4, vec![])),
        ApplyOutcome::Gap,
        "nothing is known yet"
    );
    let all = vec![row("a", 2, Some("x")), row("b", 3, Some("y"))];
    assert!(matches!(
        feed.apply(news(None, 4, all)),
        ApplyOutcome::Changed(rows) if rows.len() == 2
    ));
    assert_eq!(feed.apply(news(Some(6), 7, vec![])), ApplyOutcome::Gap);
    let changed = feed.apply(news(Some(4), 8, vec![row("a", 8, None)]));
    assert_eq!(changed, ApplyOutcome::Changed(vec![row("a", 8, None)]));
    assert_eq!(
        feed.apply(news(None, 6, vec![row("a", 2, Some("x"))])),
        ApplyOutcome::Stale,
        "a list from before the removal"
    );
    let again = feed.apply(news(Some(4), 9, vec![row("b", 3, Some("y"))]));
    assert_eq!(again, ApplyOutcome::Changed(Vec::new()));
    assert_eq!(feed.version(), Some(9));
}

#[test]
fn a_list_that_lacks_a_row_removes_it() {
    let mut feed = TableCopy::default();
    feed.apply(news(None, 2, vec![row("a", 1, Some("x"))]));
    let changed = feed.apply(news(None, 5, vec![row("b", 4, Some("y"))]));
    let ApplyOutcome::Changed(rows) = changed else {
        panic!("{changed:?}");
    };
    assert_eq!(rows, [row("a", 1, None), row("b", 4, Some("y"))]);
}

#[test]
fn only_a_copy_that_holds_all_changes_is_proved_new() {
    let mut feed = TableCopy::default();
    let second = Duration::from_secs(1);
    assert!(!feed.verify(4, 4, second), "nothing is known yet");
    feed.apply(news(None, 4, vec![row("a", 2, Some("x"))]));
    assert!(feed.verify(9, 3, second), "other tables have changed");
    assert_eq!(feed.version(), Some(9));
    assert!(!feed.verify(12, 11, second * 2), "a change is missing");
    assert!(!feed.verify(8, 3, second * 2), "an older copy");
    assert_eq!(feed.verified_at(), Some(second));
}

#[test]
fn an_instance_that_missed_news_is_told_of_what_changed_since() {
    let all = || {
        news(
            None,
            3,
            vec![row("a", 1, Some("x")), row("b", 3, Some("y"))],
        )
    };
    let (mut ahead, mut behind) = (TableCopy::default(), TableCopy::default());
    ahead.apply(all());
    behind.apply(all());
    ahead.apply(news(Some(3), 4, vec![row("a", 4, None)]));
    ahead.apply(news(Some(4), 5, vec![row("c", 5, Some("z"))]));
    ahead.apply(news(Some(5), 6, vec![row("b", 6, None)]));
    ahead.apply(news(Some(6), 7, vec![row("b", 7, Some("again"))]));
    let missed = ahead.updates_since(behind.version()).expect("known");
    assert_eq!(missed.since, Some(3));
    assert_eq!(missed.rows.len(), 3, "{missed:?}");
    behind.apply(missed);
    assert_eq!(behind.updates_since(None), ahead.updates_since(None));
    // What was removed before the list came is not known.
    assert_eq!(ahead.updates_since(Some(2)).expect("known").since, None);
    // A list that lacks rows doesn't tell when they went.
    ahead.apply(news(None, 9, vec![row("c", 5, Some("z"))]));
    assert_eq!(ahead.updates_since(Some(8)).expect("known").since, None);
    assert_eq!(ahead.updates_since(Some(9)).expect("known").rows, []);
    // Removed rows are remembered up to a number.
    for version in 10..2_000 {
        ahead.apply(news(
            Some(version - 1),
            version,
            vec![row("t", version, None)],
        ));
    }
    assert_eq!(ahead.updates_since(Some(500)).expect("known").since, None);
    assert_eq!(
        ahead.updates_since(Some(1_500)).expect("known").since,
        Some(1_500)
    );
}
