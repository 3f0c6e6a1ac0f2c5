//! Workers that run the tasks of workflows under leases.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::BoxFuture;
use crate::model::{Resources, ServiceName, WorkerName, ZoneName};
use crate::workflow::TaskId;

/// A worker as it describes itself to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerListing {
    /// The worker.
    pub name: WorkerName,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its labels, the rack among them.
    pub labels: Vec<String>,
    /// Its rack.
    pub rack: Option<String>,
    /// What it holds.
    pub capacity: Resources,
    /// Whether it is about to leave.
    pub draining: bool,
    /// When its process started, in milliseconds since 1970; it names the process.
    pub boot: u64,
}

/// The process of a worker that an order is meant for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerTarget {
    /// The worker.
    pub name: WorkerName,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The fencing token of the sender.
    pub fencing_token: u64,
}

/// Asks a worker what runs on it and what has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// The worker may forget ends up to this number.
    pub acknowledged: u64,
    /// Until when everything that runs there may go on, on the worker's clock in milliseconds.
    pub lease_until_ms: Option<u64>,
    /// How long the worker may wait for an end before it answers, in milliseconds.
    pub wait_ms: u32,
}

/// Starts one run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRequest {
    /// The task.
    pub task: TaskId,
    /// The number of the run; higher than that of each earlier run of the task.
    pub run: u32,
    /// What the task is told.
    pub payload: std::sync::Arc<str>,
    /// Until when everything on the worker may go on, on the worker's clock in milliseconds; an
    /// order that arrives later is not carried out.
    pub lease_until_ms: u64,
    /// Where an earlier run left off.
    pub checkpoint: Option<String>,
    /// Proof that the worker may run the step, where the queue asks for one.
    pub permit: Option<String>,
}

/// A run that a worker lists as running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveRun {
    /// The task; `None` where the name is not one that this scheduler gives.
    pub task: Option<TaskId>,
    /// The number of the run.
    pub run: u32,
    /// The newest checkpoint, if there is one.
    pub checkpoint: Option<String>,
    /// How far it is, in percent.
    pub progress_percent: u32,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunEnd {
    /// The task is done.
    Done,
    /// The task or the worker failed.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
}

/// A run that a worker lists as ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// The number of the end in this life of the worker.
    pub sequence: u64,
    /// The task; `None` where the name is not one that this scheduler gives.
    pub task: Option<TaskId>,
    /// The number of the run.
    pub run: u32,
    /// How it ended.
    pub end: RunEnd,
    /// The newest checkpoint, if there is one.
    pub checkpoint: Option<String>,
}

/// What a worker answers to a look.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollResponse {
    /// The process that answered.
    pub boot: u64,
    /// Its clock, in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<ActiveRun>,
    /// What has ended since the acknowledged number, the earliest first.
    pub ended: Vec<EndedRun>,
}

/// Why a worker did not do as it was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rejection {
    /// It has seen a higher fencing token.
    Fenced,
    /// A run of the task that is not lower runs or ended there.
    Outdated,
    /// The lease in the order was over on its clock.
    Late,
    /// It has no room.
    NoRoom,
    /// The permit does not hold.
    NoPermit,
    /// Another process answers there now.
    OtherBoot,
    /// It is overloaded or failing, and has done nothing.
    Busy,
    /// It could not read the order.
    Malformed,
}

/// Why an order has no result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExecutorError {
    /// The order did not leave this process.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The worker did not carry it out.
    #[error("rejected: {0:?}")]
    Rejected(Rejection),
    /// No answer came; the order may be carried out, also later.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// The orders that workers understand.
pub trait Executors: Send + Sync + 'static {
    /// Asks what runs and what has ended; answered with the worker's lists.
    ///
    /// # Errors
    ///
    /// See [`ExecutorError`]; a lease may be in force after [`ExecutorError::NoAnswer`].
    fn poll<'a>(
        &'a self,
        target: &'a WorkerTarget,
        request: &'a PollRequest,
    ) -> BoxFuture<'a, Result<PollResponse, ExecutorError>>;

    /// Starts a run; answered with the worker's clock in milliseconds.
    ///
    /// # Errors
    ///
    /// See [`ExecutorError`].
    fn start<'a>(
        &'a self,
        target: &'a WorkerTarget,
        request: &'a StartRequest,
    ) -> BoxFuture<'a, Result<u64, ExecutorError>>;

    /// Stops a run, also one whose start has not arrived yet.
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
    /// What a start has to carry.
    pub token: String,
}

/// The permits that a question about a step brought.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permits {
    /// One for each worker that may run the step, of those asked about.
    pub granted: Vec<Permit>,
    /// How long they hold from the answer, in milliseconds.
    pub valid_ms: u64,
}

/// Why a question about permits has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[error("no permits: {0}")]
pub struct PermitError(pub String);
