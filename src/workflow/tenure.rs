//! How long an owner may act without a write that takes effect.
//!
//! Another process can replace an owner whose record in the store does not change. Until its tenure
//! ends, an owner may grant leases, start and stop runs, and acknowledge ended runs; after that it
//! only reads. Its successor waits for the end of the tenure, and then for the leases granted in it,
//! before it takes the runs of unresponsive workers as ended.

use std::time::Duration;

use crate::model::{Time, WorkerName};

/// How long an owner may act after it sent the last write that took effect. It is longer than an
/// ordinary takeover, so that leases outlast an outage of the store for all VMs.
pub(super) const TENURE: Duration = Duration::from_secs(3);

/// The margin for clocks that run at different rates, in percent; the platform guarantees at most 2.
const CLOCK_MARGIN_PERCENT: u32 = 5;

/// The right of an owner to act, by the owner's own monotonic clock.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use chestnutlug::model::Time;
/// use chestnutlug::workflow::Tenure;
///
/// let claimed_at = Time::from_millis(1_000);
/// let mut tenure = Tenure::begin(claimed_at);
/// assert!(tenure.permits(claimed_at));
/// let later = claimed_at + Duration::from_secs(60);
/// assert!(!tenure.permits(later));
/// tenure.renew(later);
/// assert!(tenure.permits(later));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    ends_at: Time,
    /// Writes that were sent before this time do not renew the tenure.
    revoked_at: Option<Time>,
}

impl Tenure {
    /// The tenure of an owner that sent its claim at `sent_at`.
    pub fn begin(sent_at: Time) -> Self {
        Self {
            ends_at: sent_at + TENURE,
            revoked_at: None,
        }
    }

    /// Renews the tenure after a write took effect. `sent_at` is when the first try was sent that may
    /// have taken effect.
    pub fn renew(&mut self, sent_at: Time) {
        if self.revoked_at.is_some_and(|at| sent_at < at) {
            return;
        }
        self.revoked_at = None;
        self.ends_at = self.ends_at.max(sent_at + TENURE);
    }

    /// Ends the tenure, because another owner may act from now on: the release of the shard is being
    /// sent, or a worker knows a later owner. A write that is sent afterwards renews the tenure.
    pub fn revoke(&mut self, now: Time) {
        self.revoked_at = Some(now);
    }

    /// Whether the owner may act.
    pub fn permits(&self, now: Time) -> bool {
        now < self.ends_at()
    }

    /// When the tenure ends.
    pub fn ends_at(&self) -> Time {
        let revoked_at = self.revoked_at.unwrap_or(Time(u64::MAX));
        self.ends_at.min(revoked_at)
    }
}

/// The workers on which the leases of an owner may last up to the platform's maximum, because it does
/// not know which process took them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum LongLeases {
    /// Any worker: the record of the owner does not tell.
    #[default]
    AnyWorker,
    /// These workers only.
    Workers(Vec<WorkerName>),
}

impl LongLeases {
    /// Whether a lease on the worker may be long.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::model::WorkerName;
    /// use chestnutlug::workflow::LongLeases;
    ///
    /// let (w1, w2) = (WorkerName::new("w1"), WorkerName::new("w2"));
    /// let leases = LongLeases::Workers(vec![w1.clone()]);
    /// assert!(leases.include(&w1) && !leases.include(&w2));
    /// assert!(LongLeases::AnyWorker.include(&w2));
    /// ```
    pub fn include(&self, worker: &WorkerName) -> bool {
        match self {
            Self::AnyWorker => true,
            Self::Workers(workers) => workers.contains(worker),
        }
    }
}

/// What a new owner knows of the leases that earlier owners granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Predecessor {
    /// When the tenure of the last owner has ended.
    pub ends_at: Time,
    /// Where its leases may be long.
    pub long_leases: LongLeases,
}

/// When the tenure of an owner has ended whose record has not changed since `unchanged_since`, by the
/// clock of the process that observes the record.
pub fn predecessor_ends_at(unchanged_since: Time) -> Time {
    unchanged_since + with_clock_margin(TENURE)
}

/// The time in which `duration` has certainly passed on another clock.
pub(super) fn with_clock_margin(duration: Duration) -> Duration {
    duration + duration * CLOCK_MARGIN_PERCENT / 100
}
