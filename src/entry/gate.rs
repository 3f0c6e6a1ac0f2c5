//! Admission of requests and the count of those in progress.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::decide::admission::{ConcurrencyLimiter, ConcurrencyLimits};
use crate::error::Refusal;
use crate::model::Time;

/// One of so many requests measures the VM's own delay.
const SAMPLED: usize = 8;

/// How often a planned stop looks whether requests are in progress.
const STOP_POLL: Duration = Duration::from_millis(5);

/// Where a listener stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// It takes work.
    Serving,
    /// It finishes what is in progress.
    Stopping,
    /// It closes connections that are idle.
    Closing,
}

/// Admits requests, counts them, and tells where the listener stands.
pub(super) struct Gate {
    limiter: Mutex<ConcurrencyLimiter>,
    started: Instant,
    phase: watch::Sender<Phase>,
    in_progress: AtomicUsize,
    admitted: AtomicUsize,
}

impl Gate {
    pub(super) fn new(bounds: ConcurrencyLimits) -> Arc<Self> {
        Arc::new(Self {
            limiter: Mutex::new(ConcurrencyLimiter::new(bounds)),
            started: Instant::now(),
            phase: watch::Sender::new(Phase::Serving),
            in_progress: AtomicUsize::new(0),
            admitted: AtomicUsize::new(0),
        })
    }

    pub(super) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    pub(super) fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Waits until the listener has reached `phase`.
    pub(super) async fn reached(&self, phase: Phase) {
        let mut rx = self.phase.subscribe();
        // The sender lives as long as this borrow.
        let _ = rx.wait_for(|current| *current >= phase).await;
    }

    /// The requests in progress.
    pub(super) fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Acquire)
    }

    /// The present limit on requests at once.
    pub(super) fn limit(&self) -> u32 {
        self.limiter().limit()
    }

    /// Waits until no request is in progress.
    pub(super) async fn emptied(&self) {
        while self.in_progress() > 0 {
            tokio::time::sleep(STOP_POLL).await;
        }
    }

    /// Takes a request in that mostly waits, past the limit; dropping what is returned ends it.
    pub(super) fn admit_wait(self: &Arc<Self>) -> Result<Admitted, Refusal> {
        self.check_serving()?;
        Ok(self.begin(false))
    }

    /// Takes a request in; dropping what is returned ends it.
    pub(super) async fn admit(self: &Arc<Self>) -> Result<Admitted, Refusal> {
        self.check_serving()?;
        self.limiter().admit()?;
        let mut admitted = self.begin(true);
        if self
            .admitted
            .fetch_add(1, Ordering::Relaxed)
            .is_multiple_of(SAMPLED)
        {
            // The time until this task runs again is what the VM's own load adds to a request.
            let begun = Instant::now();
            tokio::task::yield_now().await;
            admitted.delay = Some(begun.elapsed());
        }
        Ok(admitted)
    }

    fn check_serving(&self) -> Result<(), Refusal> {
        if self.phase() == Phase::Serving {
            return Ok(());
        }
        let refusal = Refusal::not_run("stopping", "this VM is being stopped");
        Err(refusal.retry_after(1_000))
    }

    fn begin(self: &Arc<Self>, limited: bool) -> Admitted {
        self.in_progress.fetch_add(1, Ordering::AcqRel);
        Admitted {
            gate: self.clone(),
            limited,
            delay: None,
        }
    }

    fn limiter(&self) -> MutexGuard<'_, ConcurrencyLimiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request in progress.
pub(super) struct Admitted {
    gate: Arc<Gate>,
    /// Whether the limit counts it.
    limited: bool,
    /// The delay that the VM itself added, where it was sampled.
    delay: Option<Duration>,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        if self.limited {
            let now = Time::default() + self.gate.started.elapsed();
            self.gate.limiter().release(self.delay, now);
        }
        self.gate.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}
