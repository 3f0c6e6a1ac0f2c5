//! Whether the owner's transactions succeed, and since when they fail.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use super::fenced_writer::StoreObserver;
use crate::node::clock::Clock;
use crate::port::record_store::StoreError;

/// Records whether the owner's transactions succeed.
#[derive(Debug)]
pub(super) struct StoreHealth {
    clock: Clock,
    failing: AtomicBool,
    failing_since_ms: AtomicU64,
}

impl StoreHealth {
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            clock,
            failing: AtomicBool::new(false),
            failing_since_ms: AtomicU64::new(0),
        }
    }

    fn now_ms(&self) -> u64 {
        self.clock.now().0 / 1_000
    }

    /// For how long transactions have failed, in milliseconds; `None` if the last one succeeded.
    pub(super) fn failing_for_ms(&self) -> Option<u64> {
        let since_ms = self.failing_since_ms.load(Ordering::Relaxed);
        let failing = self.failing.load(Ordering::Relaxed);
        failing.then(|| self.now_ms().saturating_sub(since_ms))
    }
}

impl StoreObserver for StoreHealth {
    fn on_failure(&self, error: &StoreError) {
        if !self.failing.swap(true, Ordering::Relaxed) {
            self.failing_since_ms
                .store(self.now_ms(), Ordering::Relaxed);
            tracing::warn!(%error, "a transaction of the shard owner fails; it is retried");
        }
    }

    fn on_success(&self) {
        if let Some(ms) = self.failing_for_ms() {
            tracing::info!(
                after_ms = ms,
                "transactions of the shard owner succeed again"
            );
            self.failing.store(false, Ordering::Relaxed);
        }
    }
}
