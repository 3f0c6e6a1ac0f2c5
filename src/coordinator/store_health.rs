//! How the store serves the owner.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use super::fenced_writer::StoreObserver;
use crate::node::clock::Clock;
use crate::port::record_store::StoreError;

/// How the store serves the owner.
#[derive(Debug)]
pub(super) struct StoreHealth {
    clock: Clock,
    failing: AtomicBool,
    since_ms: AtomicU64,
}

impl StoreHealth {
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            clock,
            failing: AtomicBool::new(false),
            since_ms: AtomicU64::new(0),
        }
    }

    fn now_ms(&self) -> u64 {
        self.clock.now().0 / 1_000
    }

    /// How long the store has failed, in milliseconds.
    pub(super) fn failing_ms(&self) -> Option<u64> {
        let since = self.since_ms.load(Ordering::Relaxed);
        let failing = self.failing.load(Ordering::Relaxed);
        failing.then(|| self.now_ms().saturating_sub(since))
    }
}

impl StoreObserver for StoreHealth {
    fn failed(&self, error: &StoreError) {
        if !self.failing.swap(true, Ordering::Relaxed) {
            self.since_ms.store(self.now_ms(), Ordering::Relaxed);
            tracing::warn!(%error, "the owner's transaction has no result and is repeated");
        }
    }

    fn succeeded(&self) {
        if let Some(ms) = self.failing_ms() {
            tracing::info!(after_ms = ms, "the store records again");
            self.failing.store(false, Ordering::Relaxed);
        }
    }
}
