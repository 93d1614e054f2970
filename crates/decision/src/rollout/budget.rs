//! Requests that an instance may send to a version that may be bad.

/// Share of the operators' exposure that instances use. Requests that never reach a
/// target count here, but not for the operators.
pub(crate) const EXPOSURE_PART: f64 = 0.8;
/// Share of the operators' slack that instances use at the start of a roll-out, all of
/// them together.
const SLACK_PART: f64 = 0.5;

/// Budget of one instance in one roll-out.
///
/// Every request earns a share of a request to the new version, and every attempt
/// there costs one. As each instance keeps to its own budget, all of them keep to the
/// sum without a message between them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Budget {
    tokens: f64,
}

impl Budget {
    /// Returns the budget at the start of a roll-out of an instance that shares the
    /// slack with others. `draw` is a number from 0 to 1.
    pub(crate) fn new(slack: f64, instances: usize, draw: f64) -> Budget {
        let share = slack * SLACK_PART / instances.max(1) as f64;
        Budget {
            tokens: share.min(1.0) * draw,
        }
    }

    /// Counts a request of the service.
    pub(crate) fn earn(&mut self, share: f64) {
        self.tokens += share * EXPOSURE_PART;
    }

    /// Takes back what a request earned that did not reach a target.
    pub(crate) fn forfeit(&mut self, share: f64) {
        self.tokens -= share * EXPOSURE_PART;
    }

    /// Returns whether an attempt may go to the new version.
    pub(crate) fn allows(self) -> bool {
        self.tokens >= 1.0
    }

    /// Counts an attempt at the new version.
    pub(crate) fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}
