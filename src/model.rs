//! The values that every layer shares: names, resources, jobs and their states.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Declares a name type: a string newtype that displays as its text.
macro_rules! name {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Wraps `name`.
            pub fn new(name: impl AsRef<str>) -> Self {
                Self(name.as_ref().into())
            }

            /// The name as text.
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

name!(
    /// An entry VM of the system.
    VmName
);
name!(
    /// A worker: a machine that runs tasks.
    WorkerName
);
name!(
    /// A backend server: a machine that answers requests of a service.
    BackendName
);
name!(
    /// A service whose requests backend servers answer.
    ServiceName
);
name!(
    /// A team: the client account that pays for work.
    TeamName
);
name!(
    /// A kind of work, such as a rebuild or a preview.
    KindName
);
name!(
    /// An availability zone.
    ZoneName
);
name!(
    /// A rack.
    RackName
);
name!(
    /// A queue that takes workflows.
    QueueName
);
name!(
    /// A shard: a set of workers, or the backend servers of a service, with one owner at a time.
    ShardName
);

common! { value
/// An amount of processors, memory and accelerators.
///
/// # Examples
///
/// ```
/// use chestnutlug::model::Resources;
///
/// let whole = Resources { cpu_milli: 16_000, memory_mib: 65_536, accelerators: 0 };
/// let part = Resources { cpu_milli: 500, memory_mib: 1_024, accelerators: 0 };
/// assert!(part.fits_in(&whole));
/// assert_eq!(whole.minus(&part).cpu_milli, 15_500);
/// ```
#[derive(Default)]
#[serde(default)]
pub struct Resources {
    /// Processors, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}}

impl Resources {
    /// Whether every dimension is within `room`.
    pub fn fits_in(&self, room: &Self) -> bool {
        self.cpu_milli <= room.cpu_milli
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// The sum, dimension by dimension, saturating.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference, dimension by dimension, never below zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The larger of both, dimension by dimension.
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }
}

common! { value
/// How long work may wait.
#[derive(Default)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Someone waits for the answer now.
    Urgent,
    /// Wanted soon.
    #[default]
    Normal,
    /// Wanted by the end of a long interval.
    Patient,
}}

common! { value
/// How long a task is meant to run.
#[derive(Default)]
#[serde(rename_all = "snake_case")]
pub enum Lifetime {
    /// Runs to its end.
    #[default]
    Batch,
    /// Runs until it is stopped, and is restarted when it fails.
    Service,
}}

common! { record
/// A job as its caller describes it.
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The team that pays.
    pub team: TeamName,
    /// The kind of work.
    pub kind: KindName,
    /// How long it may wait.
    #[serde(default)]
    pub urgency: Urgency,
    /// Whether the tasks run to an end or go on as a service.
    #[serde(default)]
    pub lifetime: Lifetime,
    /// Whether a task may run again after an attempt with an unknown end.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether all tasks must start at once or none.
    #[serde(default)]
    pub all_at_once: bool,
    /// How many tasks the job has.
    #[serde(default = "one")]
    pub tasks: u32,
    /// What each task declares to need.
    pub resources: Resources,
    /// How long a task is expected to run, in milliseconds.
    #[serde(default)]
    pub expected_ms: u64,
    /// Handed to the worker unchanged; opaque to the system.
    #[serde(default)]
    pub payload: String,
}}

fn one() -> u32 {
    1
}

impl JobSpec {
    /// The expected run time of a task.
    pub fn expected_run_time(&self) -> Duration {
        Duration::from_millis(self.expected_ms)
    }
}

/// A job's name, unique in the cell; it carries the shard that keeps the job.
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
    /// The shard that keeps the job.
    pub shard: ShardName,
    /// The number within the shard, drawn at random.
    pub number: u64,
}

impl JobId {
    /// Names job `number` of `shard`.
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

/// A text that is not a job's name.
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
/// One task of a job.
#[derive(Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The index within the job, from 0.
    pub index: u32,
}}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

common! { value
/// How an attempt or a job ended.
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran and succeeded.
    Succeeded,
    /// It ran and failed.
    Failed,
    /// It was cancelled, and no attempt is running.
    Cancelled,
    /// It was sent, and whether it ran cannot be known.
    Unknown,
}}

common! { value
/// Why a job ended that was neither cancelled by its caller nor ended by itself.
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// A task was stopped because the team's balance paid it no longer.
    BalanceSpent,
}}

common! { value
/// Where a task stands.
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Waits for a worker.
    Queued,
    /// A placement is recorded; the task runs or is about to.
    Placed,
    /// Ended.
    Ended(Outcome),
}}

common! { record
/// A job's state as a caller sees it.
pub struct JobView {
    /// The job.
    pub id: String,
    /// The outcome, once every task has ended.
    pub outcome: Option<Outcome>,
    /// Why it ended that way, where we ended it.
    pub reason: Option<EndReason>,
    /// Tasks that wait.
    pub queued: u32,
    /// Tasks that are placed or running.
    pub running: u32,
    /// Tasks that ended.
    pub ended: u32,
    /// Why the job waits, while it does.
    pub waiting_for: Option<String>,
    /// The results of the ended tasks, by index.
    pub results: Vec<String>,
}}

common! { record
/// A worker as the configuration describes it.
pub struct WorkerInfo {
    /// The worker.
    pub name: WorkerName,
    /// Its rack.
    pub rack: RackName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// What it holds.
    pub capacity: Resources,
    /// `IP:port` of its control interface.
    pub address: std::net::SocketAddr,
}}

common! { record
/// A backend server as the configuration describes it.
pub struct BackendInfo {
    /// The backend server.
    pub name: BackendName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// `IP:port` where it takes requests.
    pub address: std::net::SocketAddr,
    /// Requests that it may work on at once.
    pub slots: u32,
    /// Connections that it accepts from all VMs together.
    pub connections: u32,
}}

common! { value
/// A reading of this process's monotonic clock, in microseconds since an arbitrary start.
///
/// Readings of different processes are never compared.
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
    /// A reading of `ms` milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// The time that passed from `earlier` to this reading; zero where `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<Duration> for Time {
    type Output = Self;

    fn add(self, by: Duration) -> Self {
        let micros = u64::try_from(by.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}
