//! Calls to the store while many targets are replaced one after the other.

use decision::ReadPolicy;
use std::time::Duration;

/// Time that a call takes besides its wait for changes.
const CALL: Duration = Duration::from_millis(4);

const TARGETS: ReadPolicy = ReadPolicy {
    table: "servers",
    readers: 2,
    poll_wait: Duration::from_millis(1_400),
    batch_time: Duration::from_millis(200),
    max_age: Duration::from_millis(1_850),
    read_at_start: false,
};

/// What following a feed costs one reader, and how late it is.
#[derive(Debug, Default)]
struct Followed {
    calls: usize,
    /// Longest time from a change until the reader had it.
    delay: Duration,
    /// Longest time from one proof that the copy is new to the next.
    gap: Duration,
}

/// Follows a feed whose changes happen at `changes`, for `duration`.
fn follow(policy: &ReadPolicy, changes: &[Duration], duration: Duration) -> Followed {
    let mut followed = Followed::default();
    let (mut now, mut wait) = (Duration::ZERO, policy.poll_wait);
    let (mut proved, mut known) = (Duration::ZERO, 0);
    while now < duration {
        followed.calls += 1;
        let next = changes.get(known).copied().unwrap_or(Duration::MAX);
        let answered = next.max(now).min(now + wait) + CALL;
        let until = changes.partition_point(|at| *at + CALL <= answered);
        for change in &changes[known..until] {
            followed.delay = followed.delay.max(answered.saturating_sub(*change));
        }
        let (pause, next_wait) = policy.next_poll(until > known);
        followed.gap = followed.gap.max(answered.saturating_sub(proved));
        (proved, known, wait) = (answered, until, next_wait);
        now = answered + pause;
    }
    followed
}

/// Returns the times of changes that come at equal intervals.
fn every(interval: Duration, duration: Duration) -> Vec<Duration> {
    let count = duration.as_millis() / interval.as_millis();
    (1..=count as u32).map(|n| interval * n).collect()
}

#[test]
fn a_release_costs_a_reader_few_calls_a_second() {
    let duration = Duration::from_secs(20);
    // 48 targets, each of which is marked, removed, entered and warmed up.
    let changes = every(Duration::from_millis(100), duration);
    let followed = follow(&TARGETS, &changes, duration);
    assert!(followed.calls <= 20 * 5, "{followed:?}");
    assert!(followed.delay <= Duration::from_millis(210), "{followed:?}");
}

#[test]
fn a_pause_after_changes_makes_no_copy_older() {
    let duration = Duration::from_secs(60);
    for interval in [1, 50, 190, 210, 700, 1_390, 1_410, 5_000] {
        let changes = every(Duration::from_millis(interval), duration);
        let followed = follow(&TARGETS, &changes, duration);
        let limit = TARGETS.poll_wait + CALL;
        assert!(followed.gap <= limit, "{interval} ms: {followed:?}");
        let polls = 60_000 / 1_400 + 2;
        let most = polls.max(60 * 5).min(polls + changes.len());
        assert!(followed.calls <= most, "{interval} ms: {followed:?}");
    }
}
