//! Seeds of runs that failed before, kept as regression cases.

/// Seeds and the causes of their failures; each failed in a run of 0.3 minutes.
pub(super) const SEEDS: [(u64, &str); 5] = [
    (
        102,
        "soak: a kill was recorded only after it took effect, so the requests it cut counted as lost",
    ),
    (
        117,
        "soak: two concurrent runs had the same port, so callers of one reached the other",
    ),
    (
        134,
        "soak: an instance could not start, because another run had its port",
    ),
    (
        127,
        "gateway: an instance sent another attempt after a pause, though the key had been revoked",
    ),
    (
        146,
        "soak: a kill was recorded only after it took effect, so the requests it cut counted as lost",
    ),
];
