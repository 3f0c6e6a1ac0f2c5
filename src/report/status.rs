//! What the operators' listener answers, as JSON.

use crate::model::{KindName, ShardName, TeamName, Urgency, VmName, WorkerName, ZoneName};

/// The most jobs that one answer lists.
pub const MAX_LISTED_JOBS: usize = 1_000;

common! { record
/// A cell as one VM sees it.
#[derive(Default)]
#[serde(default)]
pub struct CellStatus {
    /// The VM that answers.
    pub seen_by: Option<VmName>,
    /// The VMs.
    pub vms: Vec<VmStatus>,
    /// The shards.
    pub shards: Vec<ShardStatus>,
    /// Workers that are set aside.
    pub set_aside: Vec<SetAsideStatus>,
    /// Jobs that wait, with the reason, at most [`MAX_LISTED_JOBS`].
    pub waiting: Vec<JobSummary>,
    /// How many jobs wait in all.
    pub waiting_jobs: u64,
}}

common! { record
/// A VM.
pub struct VmStatus {
    /// The VM.
    pub vm: VmName,
    /// Its availability zone, where it is known.
    #[serde(default)]
    pub zone: Option<ZoneName>,
    /// The process on it.
    pub incarnation: u64,
    /// Whether it answers the VM that was asked; one whose lease lapsed is not listed.
    pub live: bool,
    /// The configuration version in force on it.
    pub config_version: u64,
    /// How long ago the table last answered it, in milliseconds.
    #[serde(default)]
    pub table_contact_ms: Option<u64>,
    /// How many shards it owns.
    pub shards: u32,
}}

common! { record
/// A shard.
pub struct ShardStatus {
    /// The shard.
    pub shard: ShardName,
    /// Its owner; `None` while it has none.
    pub owner: Option<VmName>,
    /// The epoch of the ownership.
    pub epoch: u64,
    /// Its workers, or backend servers.
    #[serde(default)]
    pub machines: u32,
    /// Those that do not answer.
    #[serde(default)]
    pub unreachable: u32,
    /// Tasks or requests that wait.
    pub queued: u64,
    /// Tasks that run, or slots that are held.
    pub running: u64,
    /// Free processors, in thousandths of a core.
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
    /// Why.
    pub reason: String,
    /// When it is tried again, in milliseconds from now.
    #[serde(default)]
    pub retry_in_ms: Option<u64>,
}}

common! { record
/// A job in a list.
pub struct JobSummary {
    /// The job.
    pub id: String,
    /// The team.
    pub team: TeamName,
    /// The kind.
    pub kind: KindName,
    /// How long it may wait.
    #[serde(default)]
    pub urgency: Urgency,
    /// How long ago it was accepted, in milliseconds.
    pub age_ms: u64,
    /// Tasks that wait.
    pub queued: u32,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that ended.
    pub ended: u32,
    /// Why it waits, while it does.
    #[serde(default)]
    pub waiting_for: Option<String>,
}}

common! { record
/// Jobs.
#[derive(Default)]
pub struct JobList {
    /// The jobs, the oldest first, at most [`MAX_LISTED_JOBS`].
    pub jobs: Vec<JobSummary>,
    /// How many there are in all.
    pub total: u64,
}}

common! { record
/// The decisions taken on a job, in order.
pub struct JobDecisions {
    /// The job.
    pub job: String,
    /// The decisions.
    pub decisions: Vec<String>,
}}

common! { record
/// Why a call was not answered as asked, as `application/problem+json`.
pub struct OperatorProblem {
    /// The status of the answer.
    pub status: u16,
    /// A stable word that names the cause, such as `unauthorized`.
    pub title: String,
    /// The cause in a sentence.
    pub detail: String,
}}
