//! A worker's control interface.
//!
//! A worker runs what it is told, whether it fits or not. It keeps the highest epoch that was
//! presented to it and the highest command number under that epoch, and refuses anything older:
//! a paused owner that wakes up cannot start or renew anything. Its tasks run under one lease,
//! renewed by each accepted call; when the lease lapses the worker stops them and reports them as
//! cancelled.
//!
//! Each start of the worker's process draws a new boot number. Commands name the boot that they
//! are meant for and are refused by any other, so that a repeated call never starts an attempt
//! twice, also across a restart of the worker.
//!
//! A call that commands or renews also names the time, on the worker's own clock, after which it
//! is refused: a call that was held up on its way neither starts nor renews anything that its
//! sender has given up since. The sender knows the worker's clock from the answers; no clock is
//! compared between machines.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::BoxFuture;
use crate::model::{Outcome, Resources, TaskId, WorkerInfo};

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkerCommand {
    /// Starts an attempt of a task.
    Start {
        /// The task.
        task: TaskId,
        /// The attempt, from 1.
        attempt: u32,
        /// What the task is allowed.
        resources: Resources,
        /// Handed to the task unchanged.
        payload: String,
    },
    /// Ends a running attempt; it is reported as cancelled.
    Stop {
        /// The task.
        task: TaskId,
    },
    /// Writes a checkpoint, then ends the attempt; it is reported as cancelled.
    Checkpoint {
        /// The task.
        task: TaskId,
    },
    /// Holds a task to what it was allowed.
    Throttle {
        /// The task.
        task: TaskId,
        /// What the task is allowed from now on.
        resources: Resources,
    },
}

/// One call to a worker: presents the epoch, renews the lease, commands and acknowledges.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The owner's epoch of the shard.
    pub epoch: u64,
    /// The boot that the call is meant for; 0 in a call that neither commands nor renews.
    pub boot: u64,
    /// The number of the first command, from 1 within an epoch.
    pub first_command: u64,
    /// Commands, numbered in order.
    pub commands: Vec<WorkerCommand>,
    /// Ends that the owner has recorded and the worker may forget.
    pub acknowledged: Vec<(TaskId, u32)>,
    /// How long the tasks may go on without another call, in milliseconds; 0 renews nothing.
    pub lease_ms: u64,
    /// How long the worker may hold the answer back while nothing ends, in milliseconds.
    pub wait_ms: u64,
    /// The reading of the worker's clock after which the call is refused, in milliseconds; 0 for
    /// none.
    pub deadline_ms: u64,
}

/// A running attempt as the worker reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunningAttempt {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: u32,
    /// What it used of late; the report lags.
    pub usage: Resources,
}

/// An ended attempt that was not yet acknowledged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedAttempt {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// What the task returned.
    pub result: String,
}

/// The worker's answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SyncResponse {
    /// The boot of the worker's process; never 0.
    pub boot: u64,
    /// Grows with each answer of this boot, so that an answer that was overtaken is recognised.
    pub sequence: u64,
    /// The highest command number that was taken under this epoch.
    pub last_command: u64,
    /// All attempts that run.
    pub running: Vec<RunningAttempt>,
    /// All ended attempts that were not acknowledged.
    pub ended: Vec<EndedAttempt>,
    /// Whether the worker is being taken away.
    pub leaving: bool,
    /// The worker's monotonic clock when it answered, in milliseconds.
    pub clock_ms: u64,
}

/// Why a worker did not do what was asked.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum WorkerError {
    /// A newer epoch was presented to the worker; nothing was done.
    #[error("fenced by epoch {epoch}")]
    Fenced {
        /// The epoch that the worker holds.
        epoch: u64,
    },
    /// The call did not reach the worker, or no answer came.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// The worker was started again since `boot` was read; no command was taken.
    #[error("the worker's boot is now {boot}")]
    OtherBoot {
        /// The worker's boot.
        boot: u64,
    },
    /// The worker refused; nothing was done.
    #[error("refused: {0}")]
    Refused(String),
}

/// The workers' control interface.
pub trait WorkerClient: Send + Sync + 'static {
    /// Presents the epoch, renews, commands and reads the state of `worker`.
    ///
    /// A call without commands may be held back by the worker while one with commands goes past
    /// it on another connection; at most one call of each sort is under way at a time. A repeated
    /// call with the same command numbers takes no command twice.
    ///
    /// # Errors
    ///
    /// See [`WorkerError`]; after [`WorkerError::Unreachable`] the commands may have been taken.
    fn sync<'a>(
        &'a self,
        worker: &'a WorkerInfo,
        call: &'a SyncRequest,
    ) -> BoxFuture<'a, Result<SyncResponse, WorkerError>>;
}

/// Shared access to workers.
pub type SharedWorkerClient = Arc<dyn WorkerClient>;
