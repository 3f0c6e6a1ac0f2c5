//! Admission of requests, and the count of requests in progress.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::decide::admission::{ConcurrencyLimiter, ConcurrencyLimits};
use crate::error::Refusal;
use crate::model::Time;

/// One of this many admitted requests measures the delay that the VM itself adds.
const DELAY_SAMPLE_INTERVAL: usize = 8;

/// Interval at which a planned stop checks whether requests are in progress.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The phase of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ServerPhase {
    /// Accepts work.
    Serving,
    /// Refuses new work and finishes the requests in progress.
    Stopping,
    /// Closes idle connections.
    Closing,
}

/// Admits requests, counts those in progress, and holds the server's phase.
pub(super) struct AdmissionController {
    limiter: Mutex<ConcurrencyLimiter>,
    started_at: Instant,
    phase: watch::Sender<ServerPhase>,
    in_progress: AtomicUsize,
    admitted: AtomicUsize,
}

impl AdmissionController {
    pub(super) fn new(limits: ConcurrencyLimits) -> Arc<Self> {
        Arc::new(Self {
            limiter: Mutex::new(ConcurrencyLimiter::new(limits)),
            started_at: Instant::now(),
            phase: watch::Sender::new(ServerPhase::Serving),
            in_progress: AtomicUsize::new(0),
            admitted: AtomicUsize::new(0),
        })
    }

    pub(super) fn phase(&self) -> ServerPhase {
        *self.phase.borrow()
    }

    pub(super) fn set_phase(&self, phase: ServerPhase) {
        self.phase.send_replace(phase);
    }

    /// Waits until the server has reached `phase`.
    pub(super) async fn wait_for_phase(&self, phase: ServerPhase) {
        let mut rx = self.phase.subscribe();
        // This fails only once the sender is dropped, and `self` keeps the sender.
        let _ = rx.wait_for(|current| *current >= phase).await;
    }

    /// Returns the number of requests in progress.
    pub(super) fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Returns the current limit on concurrent requests.
    pub(super) fn limit(&self) -> u32 {
        self.limiter().limit()
    }

    /// Waits until no request is in progress.
    pub(super) async fn wait_until_idle(&self) {
        while self.in_progress() > 0 {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    }

    /// Admits a request that mostly waits, outside the concurrency limit. The request is in progress
    /// until the guard is dropped.
    pub(super) fn admit_unlimited(self: &Arc<Self>) -> Result<RequestGuard, Refusal> {
        self.check_serving()?;
        Ok(self.begin(false))
    }

    /// Admits a request within the concurrency limit. The request is in progress until the guard is
    /// dropped.
    pub(super) async fn admit(self: &Arc<Self>) -> Result<RequestGuard, Refusal> {
        self.check_serving()?;
        self.limiter().admit()?;
        let mut guard = self.begin(true);
        if self
            .admitted
            .fetch_add(1, Ordering::Relaxed)
            .is_multiple_of(DELAY_SAMPLE_INTERVAL)
        {
            // The time until this task runs again is the delay that the VM's own load adds to a
            // request.
            let yielded_at = Instant::now();
            tokio::task::yield_now().await;
            guard.delay = Some(yielded_at.elapsed());
        }
        Ok(guard)
    }

    fn check_serving(&self) -> Result<(), Refusal> {
        if self.phase() == ServerPhase::Serving {
            return Ok(());
        }
        let refusal = Refusal::not_run("stopping", "this VM is being stopped");
        Err(refusal.retry_after(1_000))
    }

    fn begin(self: &Arc<Self>, limited: bool) -> RequestGuard {
        self.in_progress.fetch_add(1, Ordering::AcqRel);
        RequestGuard {
            controller: self.clone(),
            limited,
            delay: None,
        }
    }

    fn limiter(&self) -> MutexGuard<'_, ConcurrencyLimiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps a request in progress until it is dropped.
pub(super) struct RequestGuard {
    controller: Arc<AdmissionController>,
    /// Whether the request counts towards the concurrency limit.
    limited: bool,
    /// The delay that the VM itself added, if it was measured.
    delay: Option<Duration>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if self.limited {
            let now = Time::default() + self.controller.started_at.elapsed();
            self.controller.limiter().release(self.delay, now);
        }
        self.controller.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}
