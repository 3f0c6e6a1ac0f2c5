//! The JSON responses of the operators' listener.

use crate::model::{KindName, ShardName, TeamName, Urgency, VmName, WorkerName, ZoneName};

/// The maximum number of jobs in one response.
pub const MAX_LISTED_JOBS: usize = 1_000;

common! { record
/// The status of a cell, as known to one VM.
#[derive(Default)]
#[serde(default)]
pub struct CellStatus {
    /// The VM that responds.
    pub seen_by: Option<VmName>,
    /// The VMs.
    pub vms: Vec<VmStatus>,
    /// The shards.
    pub shards: Vec<ShardStatus>,
    /// Workers that are set aside.
    pub set_aside: Vec<SetAsideStatus>,
    /// Up to [`MAX_LISTED_JOBS`] jobs that wait, with the reason.
    pub waiting: Vec<JobSummary>,
    /// The number of all jobs that wait.
    pub waiting_jobs: u64,
}}

common! { record
/// The status of a VM.
pub struct VmStatus {
    /// The VM.
    pub vm: VmName,
    /// Its availability zone, if known.
    #[serde(default)]
    pub zone: Option<ZoneName>,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// Whether it responded to the VM that gathered the status. A VM whose lease has expired is not
    /// listed.
    pub live: bool,
    /// The configuration version in force on it.
    pub config_version: u64,
    /// The time since the table last responded to it, in milliseconds.
    #[serde(default)]
    pub table_contact_ms: Option<u64>,
    /// The number of shards that it owns.
    pub shards: u32,
}}

common! { record
/// The status of a shard.
pub struct ShardStatus {
    /// The shard.
    pub shard: ShardName,
    /// Its owner; `None` if it has none.
    pub owner: Option<VmName>,
    /// The owner's epoch.
    pub epoch: u64,
    /// The number of its workers or backend servers.
    #[serde(default)]
    pub machines: u32,
    /// The number of those that are unreachable.
    #[serde(default)]
    pub unreachable: u32,
    /// The number of tasks or requests that wait.
    pub queued: u64,
    /// The number of tasks that run, or of slots that are held.
    pub running: u64,
    /// Free processor capacity, in thousandths of a core.
    #[serde(default)]
    pub free_cpu_milli: u64,
}}

common! { record
/// A worker that is set aside.
pub struct SetAsideStatus {
    /// The worker.
    pub worker: WorkerName,
    /// Its shard.
    pub shard: ShardName,
    /// Why it is set aside.
    pub reason: String,
    /// The time until it is tried again, in milliseconds.
    #[serde(default)]
    pub retry_in_ms: Option<u64>,
}}

common! { record
/// An entry of a list of jobs.
pub struct JobSummary {
    /// The job's id.
    pub id: String,
    /// The team.
    pub team: TeamName,
    /// The kind.
    pub kind: KindName,
    /// How long it may wait.
    #[serde(default)]
    pub urgency: Urgency,
    /// The time since it was accepted, in milliseconds.
    pub age_ms: u64,
    /// The number of tasks that wait.
    pub queued: u32,
    /// The number of tasks that run.
    pub running: u32,
    /// The number of tasks that have ended.
    pub ended: u32,
    /// What it waits for; `None` if it does not wait.
    #[serde(default)]
    pub waiting_for: Option<String>,
}}

common! { record
/// The jobs that have not ended.
#[derive(Default)]
pub struct JobList {
    /// Up to [`MAX_LISTED_JOBS`] of the jobs, oldest first.
    pub jobs: Vec<JobSummary>,
    /// The number of all of them.
    pub total: u64,
}}

common! { record
/// The scheduling decisions on a job.
pub struct JobDecisions {
    /// The job's id.
    pub job: String,
    /// The decisions, in order.
    pub decisions: Vec<String>,
}}

common! { record
/// The `application/problem+json` body of a response to a refused request.
pub struct OperatorProblem {
    /// The HTTP status.
    pub status: u16,
    /// A stable code of the cause, such as `unauthorized`.
    pub title: String,
    /// The cause, in a sentence.
    pub detail: String,
}}
