//! The interfaces through which the listeners use the rest of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::error::Refusal;
use crate::model::{JobId, JobSpec, JobView, ShardName, VmName};
use crate::port::BoxFuture;
use crate::report::{BurnReport, CellStatus, JobList};

/// Submits, reads and cancels jobs of any shard of the cell.
pub trait JobService: Send + Sync + 'static {
    /// Records a job durably and returns its id. If the team has used the idempotency `key`
    /// before, returns the id of the job that was submitted with it.
    ///
    /// # Errors
    ///
    /// Returns a refusal; its certainty tells whether the job may run nevertheless.
    fn submit(&self, spec: JobSpec, key: Option<String>) -> BoxFuture<'_, Result<JobId, Refusal>>;

    /// Reads a job's state after waiting up to `wait` for the job to end; `None` if there is no
    /// such job.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the state cannot be read now.
    fn job<'a>(
        &'a self,
        job: &'a JobId,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<JobView>, Refusal>>;

    /// Cancels a job and returns its state; `None` if there is no such job.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the cancellation is not recorded.
    fn cancel<'a>(&'a self, job: &'a JobId) -> BoxFuture<'a, Result<Option<JobView>, Refusal>>;
}

/// The owner of a shard, as known to this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerInfo {
    /// The VM.
    pub vm: VmName,
    /// The process on the VM.
    pub incarnation: u64,
    /// The address for requests of other VMs.
    pub address: SocketAddr,
    /// The epoch of the ownership.
    pub epoch: u64,
    /// Whether the owner is this node.
    pub local: bool,
}

/// A live VM, as known to this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmInfo {
    /// The VM.
    pub vm: VmName,
    /// The process on the VM.
    pub incarnation: u64,
    /// The address for requests of other VMs.
    pub address: SocketAddr,
}

/// The shard owners and live VMs known to this node. May lag behind the table.
pub trait ShardDirectory: Send + Sync + 'static {
    /// The owner of `shard`; `None` while the shard has none.
    fn owner_of(&self, shard: &ShardName) -> Option<OwnerInfo>;

    /// All VMs whose leases have not expired, including this one.
    fn live_vms(&self) -> Vec<VmInfo>;
}

/// The requests of operators: the state of the cell, and the log level of this node.
pub trait OperatorService: Send + Sync + 'static {
    /// The status of the cell, as known to this node.
    fn status(&self) -> BoxFuture<'_, CellStatus>;

    /// Up to `limit` jobs that have not ended, oldest first.
    fn jobs(&self, limit: usize) -> BoxFuture<'_, JobList>;

    /// The scheduling decisions on a job, in order; `None` if there is no such job.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the decisions cannot be read now.
    fn explain<'a>(&'a self, job: &'a JobId)
    -> BoxFuture<'a, Result<Option<Vec<String>>, Refusal>>;

    /// The error-budget burn of the cell's service-level objectives.
    fn burn(&self) -> BoxFuture<'_, BurnReport>;

    /// Sets the log level of this process, in the syntax of `RUST_LOG`.
    ///
    /// # Errors
    ///
    /// Returns an error if the level cannot be parsed.
    fn set_log_level(&self, level: &str) -> crate::error::Result<()>;
}

/// A shared [`OperatorService`].
pub type SharedOperatorService = Arc<dyn OperatorService>;
