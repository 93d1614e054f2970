//! Copies of the store's tables: applying updates, proofs of freshness, and updates
//! for other instances.

use decision::{ApplyOutcome, TableCopy, TableRow, TableUpdate};
use std::time::Duration;

fn row(key: &str, version: u64, value: Option<&str>) -> TableRow {
    TableRow {
        key: key.into(),
        version,
        value: value.map(|v| v.as_bytes().to_vec()),
    }
}

fn update(since: Option<u64>, version: u64, rows: Vec<TableRow>) -> TableUpdate {
    TableUpdate {
        since,
        version,
        rows,
    }
}

#[test]
fn a_copy_ignores_stale_updates_and_reports_gaps() {
    let mut copy = TableCopy::default();
    assert_eq!(
        copy.apply(update(Some(3), 4, vec![])),
        ApplyOutcome::Gap,
        "the copy is empty"
    );
    let all = vec![row("a", 2, Some("x")), row("b", 3, Some("y"))];
    assert!(matches!(
        copy.apply(update(None, 4, all)),
        ApplyOutcome::Changed(rows) if rows.len() == 2
    ));
    assert_eq!(copy.apply(update(Some(6), 7, vec![])), ApplyOutcome::Gap);
    let changed = copy.apply(update(Some(4), 8, vec![row("a", 8, None)]));
    assert_eq!(changed, ApplyOutcome::Changed(vec![row("a", 8, None)]));
    assert_eq!(
        copy.apply(update(None, 6, vec![row("a", 2, Some("x"))])),
        ApplyOutcome::Stale,
        "a complete list from before the removal"
    );
    let again = copy.apply(update(Some(4), 9, vec![row("b", 3, Some("y"))]));
    assert_eq!(again, ApplyOutcome::Changed(Vec::new()));
    assert_eq!(copy.version(), Some(9));
}

#[test]
fn a_complete_list_removes_the_rows_that_it_lacks() {
    let mut copy = TableCopy::default();
    copy.apply(update(None, 2, vec![row("a", 1, Some("x"))]));
    let changed = copy.apply(update(None, 5, vec![row("b", 4, Some("y"))]));
    let ApplyOutcome::Changed(rows) = changed else {
        panic!("{changed:?}");
    };
    assert_eq!(rows, [row("a", 1, None), row("b", 4, Some("y"))]);
}

#[test]
fn only_a_copy_with_all_changes_is_verified() {
    let mut copy = TableCopy::default();
    let second = Duration::from_secs(1);
    assert!(!copy.verify(4, 4, second), "the copy is empty");
    copy.apply(update(None, 4, vec![row("a", 2, Some("x"))]));
    assert!(copy.verify(9, 3, second), "only other tables have changed");
    assert_eq!(copy.version(), Some(9));
    assert!(!copy.verify(12, 11, second * 2), "a change is missing");
    assert!(!copy.verify(8, 3, second * 2), "an older version");
    assert_eq!(copy.verified_at(), Some(second));
}

#[test]
fn updates_since_a_version_have_its_changes_and_removals() {
    let all = || {
        update(
            None,
            3,
            vec![row("a", 1, Some("x")), row("b", 3, Some("y"))],
        )
    };
    let (mut ahead, mut behind) = (TableCopy::default(), TableCopy::default());
    ahead.apply(all());
    behind.apply(all());
    ahead.apply(update(Some(3), 4, vec![row("a", 4, None)]));
    ahead.apply(update(Some(4), 5, vec![row("c", 5, Some("z"))]));
    ahead.apply(update(Some(5), 6, vec![row("b", 6, None)]));
    ahead.apply(update(Some(6), 7, vec![row("b", 7, Some("again"))]));
    let missed = ahead.updates_since(behind.version()).expect("known");
    assert_eq!(missed.since, Some(3));
    assert_eq!(missed.rows.len(), 3, "{missed:?}");
    behind.apply(missed);
    assert_eq!(behind.updates_since(None), ahead.updates_since(None));
    // Removals from before the first complete list are not known.
    assert_eq!(ahead.updates_since(Some(2)).expect("known").since, None);
    // A complete list doesn't say when the rows that it lacks were removed.
    ahead.apply(update(None, 9, vec![row("c", 5, Some("z"))]));
    assert_eq!(ahead.updates_since(Some(8)).expect("known").since, None);
    assert_eq!(ahead.updates_since(Some(9)).expect("known").rows, []);
    // The number of removals that are remembered is limited.
    for version in 10..2_000 {
        ahead.apply(update(
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
