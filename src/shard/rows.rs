//! The rows that a shard's owner keeps in the platform's table.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::model::{
    EndReason, JobId, JobSpec, Outcome, Resources, ShardName, TaskId, TaskState, VmName, WorkerName,
};

/// The version of the rows' encoding.
const ENCODING: u8 = 1;

/// A row that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RowError {
    /// The row was written by a version of the program that this one does not know.
    #[error("unknown encoding {0}")]
    Encoding(u8),
    /// The row is damaged.
    #[error("malformed row: {0}")]
    Malformed(String),
    /// The row's key does not belong to the shard.
    #[error("unexpected key {0}")]
    Key(String),
}

common! { record
/// The owner of a shard: a process on a VM.
#[derive(Eq, Hash)]
pub struct OwnerRef {
    /// The VM.
    pub vm: VmName,
    /// The process on it.
    pub incarnation: u64,
}}

common! { record
/// `c/shard/NAME`: who owns the shard. Each transaction of the owner rewrites it.
#[derive(Eq)]
pub struct ShardRow {
    /// The owner; `None` after it gave the shard up.
    pub owner: Option<OwnerRef>,
    /// Grows by one with each change of the owner.
    pub epoch: u64,
    /// The last transaction that the owner wrote.
    pub txn: u64,
    /// How many earlier owners may still renew leases at workers that have not heard of a newer
    /// one.
    #[serde(rename = "unsettled")]
    pub unfenced_owners: u32,
}}

common! { record
/// `job/SHARD/ID`: a job that was accepted.
pub struct JobRow {
    /// The job as its caller described it.
    pub spec: JobSpec,
    /// The idempotency key that the job was submitted with.
    pub key: Option<IdempotencyKey>,
    /// Whether a cancellation was confirmed.
    pub cancelled: bool,
    /// The outcome, once every task has ended.
    pub outcome: Option<Outcome>,
    /// Why it ended that way, where we ended it.
    pub reason: Option<EndReason>,
    /// The results of the tasks by index, once every task has ended.
    pub results: Vec<String>,
}}

common! { record
/// `task/SHARD/ID/INDEX`: a task that was placed at least once.
pub struct TaskRow {
    /// Where the task stands.
    pub state: TaskState,
    /// The attempt, from 1.
    pub attempt: u32,
    /// The worker of the attempt.
    pub worker: WorkerName,
    /// The worker's boot for which the attempt was meant.
    pub boot: u64,
    /// What the attempt holds there.
    pub reserved: Resources,
    /// What the task returned, once it has ended.
    pub result: String,
}}

common! { record
/// `gang/SHARD/ID`: an all-at-once job whose tasks run in several shards.
#[derive(Eq)]
pub struct GangRow {
    /// The parts, in the order of their tasks; none until all are placed.
    pub parts: Vec<PartRef>,
}}

common! { record
/// A part of an all-at-once job: a job of its own in its shard.
#[derive(Eq)]
pub struct PartRef {
    /// The part's name.
    pub job: JobId,
    /// How many tasks of the whole job it has.
    pub tasks: u32,
}}

common! { record
/// An idempotency key as a submission uses it.
#[derive(Eq)]
pub struct IdempotencyKey {
    /// The key's row in the table.
    pub row: String,
    /// A digest of the job's description.
    pub digest: u64,
}}

common! { record
/// `key/TEAM/KEY`: the job of an idempotency key.
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
    postcard::to_extend(row, buf).expect("rows are plain data")
}

/// Decodes a row.
///
/// # Errors
///
/// Returns [`RowError`] where the bytes are not a row of this type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RowError> {
    let (&encoding, rest) = bytes
        .split_first()
        .ok_or_else(|| RowError::Malformed("empty".to_owned()))?;
    if encoding != ENCODING {
        return Err(RowError::Encoding(encoding));
    }
    postcard::from_bytes(rest).map_err(|e| RowError::Malformed(e.to_string()))
}

/// The start of the keys that every VM reads with each heartbeat: the rows of VMs and of shards. It
/// is short since it goes over the network with each row that is read.
pub const CELL_PREFIX: &str = "c/";

/// The start of the keys of VMs' rows.
pub const VM_PREFIX: &str = "c/vm/";

/// The start of the keys of shards' rows.
pub const SHARD_PREFIX: &str = "c/shard/";

/// The key of a shard's row.
pub fn shard_key(shard: &ShardName) -> String {
    format!("{SHARD_PREFIX}{shard}")
}

/// The key of a VM's heartbeat row.
pub fn vm_key(vm: &VmName) -> String {
    format!("{VM_PREFIX}{vm}")
}

/// The key of the row that each new owner of a shard rewrites, and nobody else: its version is the
/// epoch.
pub fn epoch_key(shard: &ShardName) -> String {
    format!("epoch/{shard}")
}

/// The prefix of a shard's rows of jobs over several shards.
pub fn gangs_prefix(shard: &ShardName) -> String {
    format!("gang/{shard}/")
}

/// The key of the row of a job over several shards.
pub fn gang_key(job: &JobId) -> String {
    format!("gang/{}/{:016x}", job.shard, job.number)
}

/// The prefix of a shard's job rows.
pub fn jobs_prefix(shard: &ShardName) -> String {
    format!("job/{shard}/")
}

/// The prefix of a shard's task rows.
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

/// Reads a job's number from the key of its row.
///
/// # Errors
///
/// Returns [`RowError::Key`] where the key is not one of a job.
pub fn parse_job_key(key: &str) -> Result<u64, RowError> {
    let digits = key.rsplit('/').next();
    digits
        .and_then(|digits| u64::from_str_radix(digits, 16).ok())
        .ok_or_else(|| RowError::Key(key.to_owned()))
}

/// Reads a job's number and a task's index from the key of the task's row.
///
/// # Errors
///
/// Returns [`RowError::Key`] where the key is not one of a task.
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
