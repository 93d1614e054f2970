//! Seeds that once failed, with their causes.

/// Seeds of runs of 0.3 minutes, and why each failed.
pub(super) const CASES: [(u64, &str); 5] = [
    (
        102,
        "soak: a kill was noted after it had struck, so that what it cut counted as lost",
    ),
    (
        117,
        "soak: two runs side by side had the same port; callers of one spoke to the other",
    ),
    (
        134,
        "soak: an instance could not start, because another run had its port",
    ),
    (
        127,
        "gateway: an instance that had been paused sent a further attempt by a key that was gone",
    ),
    (
        146,
        "soak: a kill was noted after it had struck, so that what it cut counted as lost",
    ),
];
