//! The control interface of workers that run the tasks of jobs.
//!
//! A worker executes commands without checking its capacity. It stores the highest epoch that it
//! has seen and the highest command number under that epoch. It refuses requests with an older
//! epoch and skips commands that it has already accepted, so that an owner that resumes after a
//! pause cannot start or renew anything. All tasks of a worker run under one lease, which each
//! accepted request with a lease renews. When the lease expires, the worker stops the tasks and
//! reports them as cancelled.
//!
//! Each start of the worker process draws a new boot number. Requests with commands name the boot
//! number that they are for, and other processes refuse them. So a repeated request never starts an
//! attempt twice, even across a restart of the worker.
//!
//! A request with commands or a lease also has a deadline on the worker's own clock, after which it
//! is refused. So a delayed request neither starts nor renews anything that its sender has
//! abandoned in the meantime. The sender knows the worker's clock from the responses; the clocks of
//! different machines are never compared.

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
        /// The number of the attempt, from 1.
        attempt: u32,
        /// The resources that the task may use.
        resources: Resources,
        /// The payload, which is passed to the task unchanged.
        payload: String,
    },
    /// Stops a running attempt, which is then reported as cancelled.
    Stop {
        /// The task.
        task: TaskId,
    },
    /// Writes a checkpoint and stops the attempt, which is then reported as cancelled.
    Checkpoint {
        /// The task.
        task: TaskId,
    },
    /// Limits the resources of a running task.
    Throttle {
        /// The task.
        task: TaskId,
        /// The resources that the task may use from now on.
        resources: Resources,
    },
}

/// A request to a worker, which presents the epoch, renews the lease, and carries commands and
/// acknowledgements.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The shard epoch of the sender, which owns the shard.
    pub epoch: u64,
    /// The boot number that the request is for; 0 if it has neither commands nor a lease.
    pub boot: u64,
    /// The number of the first command, from 1 within an epoch.
    pub first_command: u64,
    /// The commands, numbered consecutively.
    pub commands: Vec<WorkerCommand>,
    /// The ended attempts that the owner has recorded and the worker may forget.
    pub acknowledged: Vec<(TaskId, u32)>,
    /// The lease: how long the tasks may continue without another renewal, in milliseconds; 0 does
    /// not renew it.
    pub lease_ms: u64,
    /// How long the worker may wait for an attempt to end before it responds, in milliseconds.
    pub wait_ms: u64,
    /// The deadline after which the request is refused, in milliseconds of the worker's clock; 0
    /// for none.
    pub deadline_ms: u64,
}

/// An attempt that runs on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunningAttempt {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt.
    pub attempt: u32,
    /// The recent resource usage, which the worker reports with a lag.
    pub usage: Resources,
}

/// An ended attempt that has not been acknowledged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedAttempt {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt.
    pub attempt: u32,
    /// The outcome.
    pub outcome: Outcome,
    /// The result that the task returned.
    pub result: String,
}

/// The response of a worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SyncResponse {
    /// The boot number of the worker process; never 0.
    pub boot: u64,
    /// The sequence number, which increases with each response under this boot number, so that
    /// stale responses are recognised.
    pub sequence: u64,
    /// The highest command number that was accepted under this epoch.
    pub last_command: u64,
    /// All running attempts.
    pub running: Vec<RunningAttempt>,
    /// All ended attempts that have not been acknowledged.
    pub ended: Vec<EndedAttempt>,
    /// Whether the worker is being removed.
    pub leaving: bool,
    /// The worker's monotonic clock at the time of the response, in milliseconds.
    pub clock_ms: u64,
}

/// Why a request to a worker failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum WorkerError {
    /// The worker has seen a newer epoch; the request had no effect.
    #[error("fenced by epoch {epoch}")]
    Fenced {
        /// The highest epoch that the worker has seen.
        epoch: u64,
    },
    /// The request did not reach the worker, or no valid response arrived. The outcome is unknown.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// The worker was restarted after the sender learned its boot number; no command was accepted.
    #[error("the worker's boot is now {boot}")]
    OtherBoot {
        /// The current boot number of the worker.
        boot: u64,
    },
    /// The worker refused the request, which had no effect.
    #[error("refused: {0}")]
    Refused(String),
}

/// Sends requests to workers.
pub trait WorkerClient: Send + Sync + 'static {
    /// Sends a request to `worker` and returns its state.
    ///
    /// While the worker holds a long poll, a request with commands may overtake it on another
    /// connection; at most one request of each kind is in flight. A repeated request with the same
    /// command numbers executes no command twice.
    ///
    /// # Errors
    ///
    /// See [`WorkerError`]. After [`WorkerError::Unreachable`], the commands may have been
    /// accepted.
    fn sync<'a>(
        &'a self,
        worker: &'a WorkerInfo,
        request: &'a SyncRequest,
    ) -> BoxFuture<'a, Result<SyncResponse, WorkerError>>;
}

/// Shared access to a worker client.
pub type SharedWorkerClient = Arc<dyn WorkerClient>;
