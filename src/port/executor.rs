//! The interface of workers that run the tasks of workflows under leases.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::BoxFuture;
use crate::model::{Resources, ServiceName, WorkerName, ZoneName};
use crate::workflow::TaskId;

/// A worker as it describes itself in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerListing {
    /// The name of the worker.
    pub name: WorkerName,
    /// The address for requests.
    pub address: SocketAddr,
    /// The service that the worker belongs to.
    pub service: ServiceName,
    /// The availability zone.
    pub zone: ZoneName,
    /// The labels, including the rack.
    pub labels: Vec<String>,
    /// The rack.
    pub rack: Option<String>,
    /// The total capacity.
    pub capacity: Resources,
    /// Whether the worker is draining: it is about to be removed and gets no new tasks.
    pub draining: bool,
    /// When the worker process started, in milliseconds since the Unix epoch. It identifies the
    /// process.
    pub boot: u64,
}

/// The worker that a request is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerTarget {
    /// The name of the worker.
    pub name: WorkerName,
    /// The address for requests.
    pub address: SocketAddr,
    /// The fencing token of the sender.
    pub fencing_token: u64,
}

/// Polls a worker for its active and ended runs, and may renew its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// The sequence number up to which the worker may forget its ended runs.
    pub acknowledged: u64,
    /// The end of the lease of all runs on the worker, in milliseconds of the worker's clock;
    /// `None` does not renew the lease.
    pub lease_until_ms: Option<u64>,
    /// How long the worker may wait for a run to end before it responds, in milliseconds.
    pub wait_ms: u32,
}

impl PollRequest {
    /// A poll that changes nothing on the worker: it neither renews the lease nor acknowledges ended
    /// runs, and it does not wait.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::port::executor::PollRequest;
    ///
    /// let poll = PollRequest { acknowledged: 7, lease_until_ms: Some(5_000), wait_ms: 2_000 };
    /// assert_eq!(poll.read_only().lease_until_ms, None);
    /// ```
    #[must_use]
    pub fn read_only(self) -> Self {
        Self {
            acknowledged: 0,
            lease_until_ms: None,
            wait_ms: 0,
        }
    }
}

/// Starts a run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRequest {
    /// The task.
    pub task: TaskId,
    /// The number of the run, which is higher than that of each earlier run of the task.
    pub run: u32,
    /// The payload that is passed to the task.
    pub payload: std::sync::Arc<str>,
    /// The end of the lease of all runs on the worker, in milliseconds of the worker's clock. The
    /// worker rejects a request that arrives later.
    pub lease_until_ms: u64,
    /// The checkpoint from which to resume.
    pub checkpoint: Option<String>,
    /// The token of the permit, if the queue requires one.
    pub permit: Option<String>,
}

/// A run that is active on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveRun {
    /// The task; `None` if the reported name is not a valid task id.
    pub task: Option<TaskId>,
    /// The number of the run.
    pub run: u32,
    /// The latest checkpoint.
    pub checkpoint: Option<String>,
    /// The progress of the task, in percent.
    pub progress_percent: u32,
}

/// The way in which a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunEnd {
    /// The task is done.
    Done,
    /// The task or the worker failed.
    Failed,
    /// The run was stopped by a stop request.
    Stopped,
    /// The lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
}

/// A run that has ended on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// The sequence number among the ended runs of the worker process.
    pub sequence: u64,
    /// The task; `None` if the reported name is not a valid task id.
    pub task: Option<TaskId>,
    /// The number of the run.
    pub run: u32,
    /// The way in which the run ended.
    pub end: RunEnd,
    /// The latest checkpoint.
    pub checkpoint: Option<String>,
}

/// The response of a worker to a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollResponse {
    /// The start time of the process that responded, which identifies it.
    pub boot: u64,
    /// The clock of the worker, in milliseconds.
    pub clock_ms: u64,
    /// The active runs.
    pub running: Vec<ActiveRun>,
    /// The runs that have ended since the acknowledged sequence number, the earliest first.
    pub ended: Vec<EndedRun>,
}

impl PollResponse {
    /// Whether the worker names the run as active or ended.
    pub fn names_run(&self, task: TaskId, run: u32) -> bool {
        let mut active = self.running.iter();
        let mut ended = self.ended.iter();
        active.any(|active| active.task == Some(task) && active.run == run)
            || ended.any(|ended| ended.task == Some(task) && ended.run == run)
    }
}

/// Why a worker rejected a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rejection {
    /// The worker knows a higher fencing token.
    Fenced,
    /// A run of the task with the same or a higher number runs or has ended on the worker.
    Outdated,
    /// The lease in the request had expired on the worker's clock.
    Late,
    /// The worker lacks free capacity.
    NoRoom,
    /// The permit is not valid.
    NoPermit,
    /// Another process responds at the address.
    OtherBoot,
    /// The worker is overloaded or failing, and the request had no effect.
    Busy,
    /// The worker could not read the request.
    Malformed,
}

/// Why a request to a worker failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExecutorError {
    /// The request was not sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The worker rejected the request.
    #[error("rejected: {0:?}")]
    Rejected(Rejection),
    /// No response arrived; the request may have taken effect, or may still do so.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// The requests to workers.
pub trait Executors: Send + Sync + 'static {
    /// Polls a worker for its active and ended runs.
    ///
    /// # Errors
    ///
    /// See [`ExecutorError`]. After [`ExecutorError::NoAnswer`] the lease may have been renewed.
    fn poll<'a>(
        &'a self,
        target: &'a WorkerTarget,
        request: &'a PollRequest,
    ) -> BoxFuture<'a, Result<PollResponse, ExecutorError>>;

    /// Starts a run and returns the worker's clock in milliseconds.
    ///
    /// # Errors
    ///
    /// See [`ExecutorError`].
    fn start<'a>(
        &'a self,
        target: &'a WorkerTarget,
        request: &'a StartRequest,
    ) -> BoxFuture<'a, Result<u64, ExecutorError>>;

    /// Stops a run, including one whose start request has not arrived yet, and returns the worker's
    /// clock in milliseconds.
    ///
    /// # Errors
    ///
    /// See [`ExecutorError`].
    fn stop<'a>(
        &'a self,
        target: &'a WorkerTarget,
        task: TaskId,
        run: u32,
    ) -> BoxFuture<'a, Result<u64, ExecutorError>>;
}

/// A permit for one step on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// The worker.
    pub worker: WorkerName,
    /// The token that a start request must carry.
    pub token: String,
}

/// The permits granted for a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permits {
    /// A permit for each requested worker that may run the step.
    pub granted: Vec<Permit>,
    /// How long the permits are valid after the response, in milliseconds.
    pub valid_ms: u64,
}

/// Why a permit request failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[error("no permits: {0}")]
pub struct PermitError(pub String);
