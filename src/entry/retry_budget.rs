//! Retry budget, so that retries do not multiply an overload.

/// Deposit for a first attempt, in thousandths of a retry.
const DEPOSIT_MILLI: u32 = 100;

/// Cost of a retry, in thousandths of a retry.
const RETRY_MILLI: u32 = 1_000;

/// Maximum of the budget, in thousandths of a retry.
const MAX_MILLI: u32 = 50_000;

/// Initial budget, in thousandths of a retry.
const INITIAL_MILLI: u32 = 10_000;

/// Allows about one retry per ten first attempts.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    balance_milli: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance_milli: INITIAL_MILLI,
        }
    }
}

impl RetryBudget {
    /// Adds to the budget for a first attempt.
    pub(super) fn deposit(&mut self) {
        self.balance_milli = (self.balance_milli + DEPOSIT_MILLI).min(MAX_MILLI);
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    pub(super) fn try_withdraw(&mut self) -> bool {
        let Some(left) = self.balance_milli.checked_sub(RETRY_MILLI) else {
            return false;
        };
        self.balance_milli = left;
        true
    }
}
