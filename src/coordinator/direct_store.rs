//! Direct access to the store, which is suspended while calls fail.
//!
//! A VM that is cut off from the store loses requests without an answer, so that each direct call takes
//! its whole timeout. While access is suspended, separate small reads find out whether it works again.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use super::{layout, reader};
use crate::port::record_store::{SharedRecordStore, StoreCall, StoreError, StoreReply};

/// The interval between two probes while access is suspended.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// The timeout of a probe. The store responds to a read within 4 ms, and up to sixty times slower during
/// a disturbance.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Calls the store without relays, and knows whether that works.
pub struct DirectStore {
    store: SharedRecordStore,
    suspended: AtomicBool,
}

impl DirectStore {
    /// Makes calls through `store`.
    pub fn new(store: SharedRecordStore) -> Arc<Self> {
        Arc::new(Self {
            store,
            suspended: AtomicBool::new(false),
        })
    }

    /// Whether calls have failed and no probe has succeeded since.
    pub fn is_suspended(&self) -> bool {
        self.suspended.load(Ordering::Relaxed)
    }

    /// Calls the store. A failure suspends access until a probe succeeds.
    ///
    /// # Errors
    ///
    /// Returns the store's error.
    pub async fn call(
        self: &Arc<Self>,
        call: &StoreCall,
        timeout: Duration,
    ) -> Result<StoreReply, StoreError> {
        let result = self.store.call(call, timeout).await;
        // A read of a feed also fails when the store truncates its history, which does not affect other
        // calls.
        if let Err(error @ (StoreError::NotDone(_) | StoreError::Unknown(_))) = &result
            && !matches!(call, StoreCall::Changes { .. })
        {
            self.suspend(error);
        }
        result
    }

    fn suspend(self: &Arc<Self>, error: &StoreError) {
        if !self.suspended.swap(true, Ordering::Relaxed) {
            tracing::warn!(reason = %error,
                "direct access to the store fails; relaying calls through other VMs");
            tokio::spawn(probe(Arc::downgrade(self)));
        }
    }
}

/// Reads from the store until it responds, and then ends the suspension. Probes overlap, so that one
/// without an answer does not delay the next one.
async fn probe(direct: Weak<DirectStore>) {
    let mut ticks = tokio::time::interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks.tick().await;
    let mut probes = JoinSet::new();
    loop {
        let responds = tokio::select! {
            _ = ticks.tick() => {
                let Some(direct) = direct.upgrade() else {
                    return;
                };
                let store = direct.store.clone();
                probes.spawn(async move {
                    let call = reader::read_call(&layout::shards_key());
                    let result = store.call(&call, PROBE_TIMEOUT).await;
                    matches!(result, Ok(_) | Err(StoreError::Rejected(_)))
                });
                false
            }
            Some(result) = probes.join_next() => result.unwrap_or(false),
        };
        if responds && let Some(direct) = direct.upgrade() {
            direct.suspended.store(false, Ordering::Relaxed);
            tracing::info!("direct access to the store works again");
            return;
        }
    }
}
