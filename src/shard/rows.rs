//! The rows of shards, jobs and tasks in the platform's table: their contents, encoding and keys.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::model::{
    EndReason, JobId, JobSpec, Outcome, Resources, ShardName, TaskId, TaskState, VmName, WorkerName,
};

/// The version of the row encoding.
const ENCODING: u8 = 1;

/// Why a row cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RowError {
    /// The row has an encoding version that this build does not know.
    #[error("unknown encoding {0}")]
    Encoding(u8),
    /// The bytes are not a row of the expected type.
    #[error("malformed row: {0}")]
    Malformed(String),
    /// The key is not one of the expected kind of row.
    #[error("unexpected key {0}")]
    Key(String),
}

common! { record
/// Identifies the owner of a shard: a process on a VM.
#[derive(Eq, Hash)]
pub struct OwnerRef {
    /// The VM.
    pub vm: VmName,
    /// The process on the VM.
    pub incarnation: u64,
}}

common! { record
/// `c/shard/NAME`: the owner of a shard. Each transaction of the owner rewrites this row.
#[derive(Eq)]
pub struct ShardRow {
    /// The owner; `None` after a release.
    pub owner: Option<OwnerRef>,
    /// The epoch; grows by one with each claim.
    pub epoch: u64,
    /// The number of the last transaction of the owner.
    pub txn: u64,
    /// How many earlier owners may still renew leases, at workers that no newer owner has called
    /// yet.
    #[serde(rename = "unsettled")]
    pub unfenced_owners: u32,
}}

common! { record
/// `job/SHARD/ID`: an accepted job.
pub struct JobRow {
    /// The job as its caller described it.
    pub spec: JobSpec,
    /// The idempotency key that the job was submitted with.
    pub key: Option<IdempotencyKey>,
    /// Whether a cancellation is recorded.
    pub cancelled: bool,
    /// The outcome, once every task has ended.
    pub outcome: Option<Outcome>,
    /// The reason for the outcome, where the system ended the job.
    pub reason: Option<EndReason>,
    /// The results of the tasks by index, once every task has ended.
    pub results: Vec<String>,
}}

common! { record
/// `task/SHARD/ID/INDEX`: a task of an open job that was placed at least once.
pub struct TaskRow {
    /// The state of the task.
    pub state: TaskState,
    /// The number of the last attempt, from 1.
    pub attempt: u32,
    /// The worker of the last attempt.
    pub worker: WorkerName,
    /// The boot of the worker process that the attempt is meant for.
    pub boot: u64,
    /// The resources reserved for the attempt.
    pub reserved: Resources,
    /// The result of the task, once it has ended.
    pub result: String,
}}

common! { record
/// `gang/SHARD/ID`: a cross-shard gang, in addition to its job row.
#[derive(Eq)]
pub struct GangRow {
    /// The parts in the order of their tasks; empty until all of them are placed.
    pub parts: Vec<PartRef>,
}}

common! { record
/// Refers to a part of a cross-shard gang: a job of its own in its shard.
#[derive(Eq)]
pub struct PartRef {
    /// The part's job id.
    pub job: JobId,
    /// The number of the gang's tasks that belong to the part.
    pub tasks: u32,
}}

common! { record
/// An idempotency key of a submission.
#[derive(Eq)]
pub struct IdempotencyKey {
    /// The key of the idempotency key's row in the table.
    pub row: String,
    /// A digest of the job's description.
    pub digest: u64,
}}

common! { record
/// `key/TEAM/KEY`: the job that was submitted with an idempotency key.
#[derive(Eq)]
pub struct IdempotencyKeyRow {
    /// The job.
    pub job: JobId,
    /// A digest of the job's description.
    pub digest: u64,
}}

/// Encodes a row.
///
/// # Examples
///
/// ```
/// use chestnutlug::shard::rows::{ShardRow, decode, encode};
///
/// let row = ShardRow { owner: None, epoch: 3, txn: 9, unfenced_owners: 0 };
/// assert_eq!(decode::<ShardRow>(&encode(&row)), Ok(row));
/// assert!(decode::<ShardRow>(&[99]).is_err());
/// ```
pub fn encode<T: Serialize>(row: &T) -> Vec<u8> {
    let buf = vec![ENCODING];
    postcard::to_extend(row, buf).expect("row types always serialize")
}

/// Decodes a row.
///
/// # Errors
///
/// Returns [`RowError`] if the bytes are not a row of this type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RowError> {
    let (&encoding, rest) = bytes
        .split_first()
        .ok_or_else(|| RowError::Malformed("empty".to_owned()))?;
    if encoding != ENCODING {
        return Err(RowError::Encoding(encoding));
    }
    postcard::from_bytes(rest).map_err(|e| RowError::Malformed(e.to_string()))
}

/// The common key prefix of the rows of VMs and shards, which every VM reads with each heartbeat.
/// It is short because it is transferred with each row that is read.
pub const CELL_PREFIX: &str = "c/";

/// The key prefix of VM rows.
pub const VM_PREFIX: &str = "c/vm/";

/// The key prefix of shard rows.
pub const SHARD_PREFIX: &str = "c/shard/";

/// The key of a shard's row.
pub fn shard_key(shard: &ShardName) -> String {
    format!("{SHARD_PREFIX}{shard}")
}

/// The key of a VM's heartbeat row.
pub fn vm_key(vm: &VmName) -> String {
    format!("{VM_PREFIX}{vm}")
}

/// The key of a shard's epoch row. Only a claim writes it, so that the row's version is the epoch.
pub fn epoch_key(shard: &ShardName) -> String {
    format!("epoch/{shard}")
}

/// The key prefix of a shard's gang rows.
pub fn gangs_prefix(shard: &ShardName) -> String {
    format!("gang/{shard}/")
}

/// The key of a gang's row.
pub fn gang_key(job: &JobId) -> String {
    format!("gang/{}/{:016x}", job.shard, job.number)
}

/// The key prefix of a shard's job rows.
pub fn jobs_prefix(shard: &ShardName) -> String {
    format!("job/{shard}/")
}

/// The key prefix of a shard's task rows.
pub fn tasks_prefix(shard: &ShardName) -> String {
    format!("task/{shard}/")
}

/// The key of a job's row.
pub fn job_key(job: &JobId) -> String {
    format!("job/{}/{:016x}", job.shard, job.number)
}

/// The key of a task's row.
pub fn task_key(task: &TaskId) -> String {
    format!(
        "task/{}/{:016x}/{:08}",
        task.job.shard, task.job.number, task.index
    )
}

/// Parses the job's number from the key of a job or gang row.
///
/// # Errors
///
/// Returns [`RowError::Key`] if the key does not end in a job number.
pub fn parse_job_key(key: &str) -> Result<u64, RowError> {
    let digits = key.rsplit('/').next();
    digits
        .and_then(|digits| u64::from_str_radix(digits, 16).ok())
        .ok_or_else(|| RowError::Key(key.to_owned()))
}

/// Parses the job's number and the task's index from the key of a task row.
///
/// # Errors
///
/// Returns [`RowError::Key`] if the key is not that of a task row.
///
/// # Examples
///
/// ```
/// use chestnutlug::shard::rows::parse_task_key;
///
/// assert_eq!(parse_task_key("task/s/000000000000002a/00000003"), Ok((42, 3)));
/// assert!(parse_task_key("task/s").is_err());
/// ```
pub fn parse_task_key(key: &str) -> Result<(u64, u32), RowError> {
    let malformed = || RowError::Key(key.to_owned());
    let mut parts = key.rsplit('/');
    let index = parts.next().ok_or_else(malformed)?;
    let number = parts.next().ok_or_else(malformed)?;
    let index = index.parse().map_err(|_| malformed())?;
    let number = u64::from_str_radix(number, 16).map_err(|_| malformed())?;
    Ok((number, index))
}
