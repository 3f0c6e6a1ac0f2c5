//! When a run counts as ended.
//!
//! A task starts again only with an [`Ended`], the proof that its earlier run has ended or will never
//! begin. Only this module makes one, from what the owner knows of the run and what it has observed.
//!
//! A worker may restart under its name at any time, and requests name the worker only. A start
//! request may therefore reach a later process than the one that its owner knows. That process knows
//! neither the fencing token nor the clock by which the lease was counted, so that the lease may last
//! up to the platform's maximum.

use std::fmt;
use std::time::Duration;

use crate::model::Time;

/// How long after a request was first sent it reaches its worker at most, unless the worker delays it: a
/// second on the network, after the delay with which a start is sent once more.
pub const MAX_DELIVERY: Duration = Duration::from_millis(1_150);

/// The state of a run on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The placement is not committed yet, and no start request has been sent.
    Assigned,
    /// The start request is in flight.
    Starting,
    /// The worker has confirmed the run; the time is when the response arrived.
    Running(Time),
    /// The start request got no response; the time is when this was noticed.
    OutcomeUnknown(Time),
    /// A stop request has been sent.
    Stopping {
        /// When the stop request was last sent.
        sent_at: Time,
        /// When the first response to it arrived; after that the run can no longer start on the
        /// process that responded.
        response_at: Option<Time>,
    },
}

/// What the owner knows of a run that it has placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownRun {
    /// The state of the run.
    pub state: RunState,
    /// The worker process that has the run, if a response has shown which one. The run may otherwise
    /// be on the process that it was sent to, on a later one, or on none.
    pub process: Option<u64>,
    /// When the start request was sent.
    pub sent_at: Time,
}

impl KnownRun {
    /// Whether the run began before the process that sent `list` responded, or never will. It is then on
    /// no later process.
    pub fn can_no_longer_start(&self, list: &RunList) -> bool {
        match self.state {
            RunState::Assigned | RunState::Starting | RunState::OutcomeUnknown(_) => false,
            RunState::Running(since) => since < list.polled_at,
            // The next process would not know of the stop request.
            RunState::Stopping { response_at, .. } => {
                let has_arrived =
                    self.process.is_some() || is_delivered(self.sent_at, list.polled_at);
                has_arrived && response_at.is_some_and(|at| at < list.polled_at)
            }
        }
    }
}

/// A list of runs by a worker process, which does not name the run in question as active or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunList {
    /// The process that responded.
    pub process: u64,
    /// When the poll was sent.
    pub polled_at: Time,
    /// Whether the list names all runs that have ended.
    pub is_complete: bool,
}

/// When the leases on a worker have certainly expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseEnds {
    /// On the known process, by whose clock the leases were counted.
    pub known_process: Time,
    /// On any process of the worker.
    pub any_process: Time,
}

/// What shows that a run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Evidence {
    /// The worker listed the end of the run.
    Reported,
    /// The start request was not sent.
    NotSent,
    /// The worker rejected the start request.
    Rejected,
    /// The worker does not list the run, which can no longer start there.
    Absent,
    /// The process that had the run has been replaced.
    ProcessReplaced,
    /// All leases that the run may have had have expired.
    LeaseExpired,
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Reported => "its worker listed its end",
            Self::NotSent => "its start was not sent",
            Self::Rejected => "its worker rejected its start",
            Self::Absent => "its worker does not list it",
            Self::ProcessReplaced => "its worker process was replaced",
            Self::LeaseExpired => "its lease has expired",
        })
    }
}

/// The proof that a run has ended, or will never begin.
///
/// # Examples
///
/// ```
/// use chestnutlug::model::Time;
/// use chestnutlug::workflow::ended::{Ended, KnownRun, RunList, RunState};
///
/// let at = Time::from_millis;
/// let run = KnownRun { state: RunState::Running(at(200)), process: Some(1), sent_at: at(150) };
/// let list = RunList { process: 1, polled_at: at(100), is_complete: true };
/// assert!(Ended::by_list(&run, &list).is_none(), "the poll may have reached the worker first");
/// let list = RunList { polled_at: at(300), ..list };
/// assert!(Ended::by_list(&run, &list).is_some());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct Ended(Evidence);

/// Whether a request that was sent at `sent_at` has arrived by `now`, if it ever does.
fn is_delivered(sent_at: Time, now: Time) -> bool {
    now.since(sent_at) >= MAX_DELIVERY
}

impl Ended {
    /// What shows that the run has ended.
    pub fn evidence(self) -> Evidence {
        self.0
    }

    /// The worker listed the end of the run.
    pub(super) fn reported() -> Self {
        Self(Evidence::Reported)
    }

    /// The worker rejected the start request, which is sent once.
    pub(super) fn rejected() -> Self {
        Self(Evidence::Rejected)
    }

    /// The start request was not sent, and will not be.
    pub(super) fn not_sent() -> Self {
        Self(Evidence::NotSent)
    }

    /// Decides whether a run has ended that a worker does not list. The process that responded is the
    /// known one or a later one.
    pub fn by_list(run: &KnownRun, list: &RunList) -> Option<Self> {
        if run.process.is_some_and(|process| process != list.process) {
            return Some(Self(Evidence::ProcessReplaced));
        }
        if run.state == RunState::Assigned {
            return Some(Self(Evidence::NotSent));
        }
        (run.can_no_longer_start(list) && list.is_complete).then_some(Self(Evidence::Absent))
    }

    /// Decides whether a run has ended that an earlier owner placed on `placed_on`, and that a worker
    /// does not list in its response to a later owner. From that response on, the process rejects
    /// requests of the earlier owner.
    pub fn by_fenced_list(placed_on: u64, list: &RunList) -> Option<Self> {
        if !list.is_complete || list.process < placed_on {
            return None;
        }
        Some(Self(if list.process > placed_on {
            Evidence::ProcessReplaced
        } else {
            Evidence::Absent
        }))
    }

    /// Decides whether a run on a worker that does not respond has ended.
    pub fn by_silence(run: &KnownRun, leases: &LeaseEnds, now: Time) -> Option<Self> {
        let expires_at = match (run.state, run.process) {
            (RunState::Assigned, _) => return Some(Self(Evidence::NotSent)),
            (_, Some(_)) => leases.known_process,
            (_, None) => leases.any_process,
        };
        Self::by_lease(expires_at, now)
    }

    /// Decides whether a run has ended all of whose leases expire at `expires_at` at the latest.
    pub fn by_lease(expires_at: Time, now: Time) -> Option<Self> {
        (now > expires_at).then_some(Self(Evidence::LeaseExpired))
    }
}
