//! What the listeners ask of the rest of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::error::Refusal;
use crate::model::{JobId, JobSpec, JobView, ShardName, VmName};
use crate::port::BoxFuture;
use crate::report::{BurnReport, CellStatus, JobList};

/// Jobs, in whichever shard they are kept.
pub trait JobService: Send + Sync + 'static {
    /// Records a job durably and returns its name; with a `key` that the team used before, the
    /// name of the job of that time.
    ///
    /// # Errors
    ///
    /// Returns a refusal; its certainty says whether the job may run all the same.
    fn submit(&self, spec: JobSpec, key: Option<String>) -> BoxFuture<'_, Result<JobId, Refusal>>;

    /// Reads a job's state after waiting up to `wait` for its end; `None` where there is no such
    /// job.
    ///
    /// # Errors
    ///
    /// Returns a refusal where the state cannot be read now.
    fn job<'a>(
        &'a self,
        job: &'a JobId,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<JobView>, Refusal>>;

    /// Cancels a job and returns its state; `None` where there is no such job.
    ///
    /// # Errors
    ///
    /// Returns a refusal where the cancellation is not recorded.
    fn cancel<'a>(&'a self, job: &'a JobId) -> BoxFuture<'a, Result<Option<JobView>, Refusal>>;
}

/// The owner of a shard as this node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerInfo {
    /// The VM.
    pub vm: VmName,
    /// The process on it.
    pub incarnation: u64,
    /// Where it takes requests of other VMs.
    pub address: SocketAddr,
    /// The epoch of its ownership.
    pub epoch: u64,
    /// Whether it is this node.
    pub local: bool,
}

/// A VM that lives, as this node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmInfo {
    /// The VM.
    pub vm: VmName,
    /// The process on it.
    pub incarnation: u64,
    /// Where it takes requests of other VMs.
    pub address: SocketAddr,
}

/// Who owns what, as this node knows it; it may lag.
pub trait ShardDirectory: Send + Sync + 'static {
    /// The owner of `shard`; `None` while it has none.
    fn owner_of(&self, shard: &ShardName) -> Option<OwnerInfo>;

    /// All VMs whose leases have not lapsed, this one included.
    fn live_vms(&self) -> Vec<VmInfo>;
}

/// What operators see of the cell and change on this node.
pub trait OperatorService: Send + Sync + 'static {
    /// The cell as this node sees it.
    fn status(&self) -> BoxFuture<'_, CellStatus>;

    /// The jobs that have not ended, the oldest first, at most `limit`.
    fn jobs(&self, limit: usize) -> BoxFuture<'_, JobList>;

    /// The decisions taken on a job, in order; `None` where there is no such job.
    ///
    /// # Errors
    ///
    /// Returns a refusal where they cannot be read now.
    fn explain<'a>(&'a self, job: &'a JobId)
    -> BoxFuture<'a, Result<Option<Vec<String>>, Refusal>>;

    /// The service-level burn of the cell.
    fn burn(&self) -> BoxFuture<'_, BurnReport>;

    /// Sets the level of this process's logs, in the syntax of `RUST_LOG`.
    ///
    /// # Errors
    ///
    /// Returns an error where the level is not understood.
    fn set_log_level(&self, level: &str) -> crate::error::Result<()>;
}

/// A shared view.
pub type SharedOperatorService = Arc<dyn OperatorService>;
