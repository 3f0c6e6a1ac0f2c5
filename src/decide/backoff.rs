//! Backoff with jitter, and a budget for retries.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

const MAX_DOUBLINGS: u32 = 16;

/// Returns the backoff before the next attempt: exponential, with a random half as jitter.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use chestnutlug::decide::backoff::backoff;
/// use rand::{SeedableRng, rngs::SmallRng};
///
/// let mut rng = SmallRng::seed_from_u64(1);
/// let (base, max) = (Duration::from_millis(200), Duration::from_secs(30));
/// let third = backoff(3, base, max, &mut rng);
/// assert!(third >= Duration::from_millis(400) && third <= Duration::from_millis(800));
/// assert!(backoff(60, base, max, &mut rng) <= max);
/// ```
pub fn backoff(failures: u32, base: Duration, max: Duration, rng: &mut SmallRng) -> Duration {
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    let max_delay = base.saturating_mul(1 << doublings).min(max);
    max_delay.mul_f64(rng.random_range(0.5..=1.0))
}

/// Retry budget that first attempts refill.
///
/// # Examples
///
/// ```
/// use chestnutlug::decide::backoff::RetryBudget;
///
/// let mut budget = RetryBudget::new(1, 500);
/// assert!(budget.try_withdraw());
/// assert!(!budget.try_withdraw());
/// budget.deposit();
/// budget.deposit();
/// assert!(budget.try_withdraw());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance_milli: u64,
    max_milli: u64,
    deposit_milli: u64,
}

impl RetryBudget {
    /// Creates a full budget of `burst` retries; each first attempt adds `permille` thousandths of
    /// a retry.
    pub fn new(burst: u32, permille: u32) -> Self {
        let max_milli = u64::from(burst) * 1_000;
        Self {
            balance_milli: max_milli,
            max_milli,
            deposit_milli: permille.into(),
        }
    }

    /// Adds to the budget for a first attempt.
    pub fn deposit(&mut self) {
        self.balance_milli = (self.balance_milli + self.deposit_milli).min(self.max_milli);
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    pub fn try_withdraw(&mut self) -> bool {
        let after = self.balance_milli.checked_sub(1_000);
        self.balance_milli = after.unwrap_or(self.balance_milli);
        after.is_some()
    }
}
