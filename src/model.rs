//! The types that all layers share: names, resources, jobs and their states.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Declares a newtype of a string for the names of one kind of object.
macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Creates a name.
            pub fn new(name: impl AsRef<str>) -> Self {
                Self(name.as_ref().into())
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }
    };
}

name_type!(
    /// The name of an entry VM.
    VmName
);
name_type!(
    /// The name of a worker, a machine that runs tasks.
    WorkerName
);
name_type!(
    /// The name of a backend server, a machine that serves the requests to a service.
    BackendName
);
name_type!(
    /// The name of a service whose requests backend servers serve.
    ServiceName
);
name_type!(
    /// The name of a team, the client account that pays for work.
    TeamName
);
name_type!(
    /// The name of a kind of work, such as a rebuild or a preview.
    KindName
);
name_type!(
    /// The name of an availability zone.
    ZoneName
);
name_type!(
    /// The name of a rack.
    RackName
);
name_type!(
    /// The name of a queue of workflows.
    QueueName
);
name_type!(
    /// The name of a client account of workflows.
    AccountName
);
name_type!(
    /// The name of a shard, which is a set of workers, or the backend servers of a service, with
    /// one owner at a time.
    ShardName
);

common! { value
/// An amount of CPU, memory and accelerators.
///
/// # Examples
///
/// ```
/// use chestnutlug::model::Resources;
///
/// let capacity = Resources { cpu_milli: 16_000, memory_mib: 65_536, accelerators: 0 };
/// let task = Resources { cpu_milli: 500, memory_mib: 1_024, accelerators: 0 };
/// assert!(task.fits_in(&capacity));
/// assert_eq!(capacity.minus(&task).cpu_milli, 15_500);
/// ```
#[derive(Default)]
#[serde(default)]
pub struct Resources {
    /// CPU, in millicores.
    pub cpu_milli: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}}

impl Resources {
    /// Whether every dimension is at most that of `capacity`.
    pub fn fits_in(&self, capacity: &Self) -> bool {
        self.cpu_milli <= capacity.cpu_milli
            && self.memory_mib <= capacity.memory_mib
            && self.accelerators <= capacity.accelerators
    }

    /// Returns the saturating sum of each dimension.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the saturating difference of each dimension, which is never below zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the saturating product of each dimension with `factor`.
    pub fn times(&self, factor: u32) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_mul(factor),
            memory_mib: self.memory_mib.saturating_mul(factor),
            accelerators: self.accelerators.saturating_mul(factor),
        }
    }

    /// Returns `percent` of each dimension, rounded down.
    pub fn percent(&self, percent: u32) -> Self {
        let part = |value: u32| {
            let part = u64::from(value) * u64::from(percent) / 100;
            u32::try_from(part).unwrap_or(u32::MAX)
        };
        Self {
            cpu_milli: part(self.cpu_milli),
            memory_mib: part(self.memory_mib),
            accelerators: part(self.accelerators),
        }
    }

    /// Returns the minimum of each dimension.
    pub fn min(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mib: self.memory_mib.min(other.memory_mib),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns the maximum of each dimension.
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }
}

common! { value
/// The urgency of work, which determines how long it may wait.
#[derive(Default)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// A user is waiting for the result.
    Urgent,
    /// The result is needed soon.
    #[default]
    Normal,
    /// The result is needed only at the end of a long interval.
    Patient,
}}

common! { value
/// How long a task is expected to run.
#[derive(Default)]
#[serde(rename_all = "snake_case")]
pub enum Lifetime {
    /// The task runs to completion.
    #[default]
    Batch,
    /// The task runs until it is stopped, and is restarted when it fails.
    Service,
}}

common! { record
/// The specification of a job, as submitted by a caller.
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The team that pays for the job.
    pub team: TeamName,
    /// The kind of work.
    pub kind: KindName,
    /// The urgency of the job.
    #[serde(default)]
    pub urgency: Urgency,
    /// Whether the tasks run to completion or as a service.
    #[serde(default)]
    pub lifetime: Lifetime,
    /// Whether a task may run again after an attempt with an unknown outcome.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether the job is a gang, whose tasks start together or not at all.
    #[serde(default)]
    pub all_at_once: bool,
    /// Number of tasks.
    #[serde(default = "default_tasks")]
    pub tasks: u32,
    /// The declared resource requirements of each task.
    pub resources: Resources,
    /// The expected run time of a task, in milliseconds.
    #[serde(default)]
    pub expected_ms: u64,
    /// The payload, which is passed to the worker unchanged and not interpreted.
    #[serde(default)]
    pub payload: String,
}}

fn default_tasks() -> u32 {
    1
}

impl JobSpec {
    /// Returns the expected run time of a task.
    pub fn expected_run_time(&self) -> Duration {
        Duration::from_millis(self.expected_ms)
    }
}

/// The id of a job, which is unique in the cell and contains the shard of the job.
///
/// # Examples
///
/// ```
/// use chestnutlug::model::{JobId, ShardName};
///
/// let id = JobId::new(&ShardName::from("alfold-1"), 0x2a);
/// assert_eq!(id.to_string(), "alfold-1.000000000000002a");
/// assert_eq!("alfold-1.000000000000002a".parse::<JobId>().unwrap(), id);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId {
    /// The shard of the job.
    pub shard: ShardName,
    /// The number within the shard, drawn at random.
    pub number: u64,
}

impl JobId {
    /// Creates the id of job `number` in `shard`.
    pub fn new(shard: &ShardName, number: u64) -> Self {
        Self {
            shard: shard.clone(),
            number,
        }
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:016x}", self.shard, self.number)
    }
}

/// The error for a string that is not a valid job id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a job id: expected SHARD.NUMBER with sixteen hexadecimal digits")]
pub struct ParseJobIdError(String);

impl FromStr for JobId {
    type Err = ParseJobIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || ParseJobIdError(text.to_owned());
        let (shard, digits) = text.rsplit_once('.').ok_or_else(malformed)?;
        if shard.is_empty() || digits.len() != 16 {
            return Err(malformed());
        }
        let number = u64::from_str_radix(digits, 16).map_err(|_| malformed())?;
        Ok(Self::new(&ShardName::new(shard), number))
    }
}

common! { record
/// Identifies a task of a job.
#[derive(Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The index of the task within the job, from 0.
    pub index: u32,
}}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

common! { value
/// The outcome of an attempt or a job.
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The work ran and succeeded.
    Succeeded,
    /// The work ran and failed.
    Failed,
    /// The work was cancelled, and no attempt is running.
    Cancelled,
    /// The work was dispatched, and whether it ran is unknown.
    Unknown,
}}

common! { value
/// Why the scheduler ended a job that neither ended on its own nor was cancelled by its caller.
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// A task was stopped because the team's balance no longer covered it.
    BalanceSpent,
}}

common! { value
/// The state of a task.
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The task waits for a worker.
    Queued,
    /// The placement of the task is recorded; the task runs or is about to start.
    Placed,
    /// The task ended.
    Ended(Outcome),
}}

common! { record
/// The state of a job as callers see it.
pub struct JobView {
    /// The id of the job.
    pub id: String,
    /// The outcome, once all tasks have ended.
    pub outcome: Option<Outcome>,
    /// Why the scheduler ended the job, if it did.
    pub reason: Option<EndReason>,
    /// Number of queued tasks.
    pub queued: u32,
    /// Number of placed or running tasks.
    pub running: u32,
    /// Number of ended tasks.
    pub ended: u32,
    /// Why the job waits, if it does.
    pub waiting_for: Option<String>,
    /// The results of the ended tasks, ordered by task index.
    pub results: Vec<String>,
}}

common! { record
/// A worker as described in the configuration.
pub struct WorkerInfo {
    /// The name of the worker.
    pub name: WorkerName,
    /// The rack.
    pub rack: RackName,
    /// The availability zone.
    pub zone: ZoneName,
    /// The total capacity.
    pub capacity: Resources,
    /// `IP:port` of the control interface.
    pub address: std::net::SocketAddr,
}}

common! { record
/// A backend server as described in the configuration.
pub struct BackendInfo {
    /// The name of the backend server.
    pub name: BackendName,
    /// The availability zone.
    pub zone: ZoneName,
    /// `IP:port` for requests.
    pub address: std::net::SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of connections from all VMs together.
    pub connections: u32,
}}

common! { value
/// A time of the monotonic clock of this process, in microseconds since an arbitrary start.
///
/// Times of different processes must not be compared.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use chestnutlug::model::Time;
///
/// let start = Time::from_millis(5);
/// assert_eq!((start + Duration::from_millis(2)).since(start), Duration::from_millis(2));
/// assert_eq!(start.since(start + Duration::from_millis(2)), Duration::ZERO);
/// ```
#[derive(Default)]
pub struct Time(pub u64);
}

impl Time {
    /// Creates a time `ms` milliseconds after the start of the clock.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Returns the duration from `earlier` to this time, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The time `duration` earlier, or the start of the clock if that is later.
    pub fn saturating_sub(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl std::ops::Add<Duration> for Time {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}
