//! Workflow specifications as submitted by callers: steps of one or more tasks.

use std::fmt;
use std::str::FromStr;

use super::account::AccountPolicy;
use super::policy::QueuePolicy;
use super::record::{self, MAX_ACTIVE_BYTES, MAX_RECORD_BYTES, RecordCodecError};
use crate::model::{AccountName, Resources};

/// Hexadecimal digits in the text form of a workflow id.
const ID_DIGITS: usize = 16;

common! { value
/// The id of a workflow, chosen by its caller.
///
/// # Examples
///
/// ```
/// use chestnutlug::workflow::WorkflowId;
///
/// let id: WorkflowId = "00c0ffee00c0ffee".parse().unwrap();
/// assert_eq!(id.to_string(), "00c0ffee00c0ffee");
/// assert!("C0FFEE".parse::<WorkflowId>().is_err());
/// ```
pub struct WorkflowId(pub u64);
}

impl fmt::Display for WorkflowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The error of parsing a workflow id or a task id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a workflow id or task id")]
pub struct ParseIdError;

impl FromStr for WorkflowId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let is_digit = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != ID_DIGITS || !text.bytes().all(is_digit) {
            return Err(ParseIdError);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseIdError)
    }
}

common! { value
/// The id of a step in one occurrence of a workflow.
pub struct StepId {
    /// The workflow.
    pub workflow: WorkflowId,
    /// The index of the occurrence; 0 for a workflow that does not recur.
    pub occurrence: u32,
    /// The index of the step within the workflow.
    pub step: u32,
}}

impl StepId {
    /// The id of the task `index` of this step.
    pub fn task(self, index: u32) -> TaskId {
        TaskId { step: self, index }
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.workflow, self.occurrence, self.step)
    }
}

common! { value
/// The id of a task of a step.
///
/// # Examples
///
/// ```
/// use chestnutlug::workflow::TaskId;
///
/// let task: TaskId = "00c0ffee00c0ffee.0.1.17".parse().unwrap();
/// assert_eq!((task.step.step, task.index), (1, 17));
/// assert_eq!(task.to_string(), "00c0ffee00c0ffee.0.1.17");
/// ```
pub struct TaskId {
    /// The step that the task belongs to.
    pub step: StepId,
    /// The index of the task within the step.
    pub index: u32,
}}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let mut parts = text.split('.');
        let workflow = parts.next().ok_or(ParseIdError)?.parse()?;
        let mut number = || -> Result<u32, ParseIdError> {
            let part = parts.next().ok_or(ParseIdError)?;
            part.parse().map_err(|_| ParseIdError)
        };
        let (occurrence, step, index) = (number()?, number()?, number()?);
        if parts.next().is_some() {
            return Err(ParseIdError);
        }
        let step = StepId {
            workflow,
            occurrence,
            step,
        };
        Ok(step.task(index))
    }
}

common! { record
/// A step: identical tasks that may start once the steps that they depend on are done.
#[derive(Default)]
pub struct StepSpec {
    /// The number of tasks.
    pub tasks: u32,
    /// The resources that each task needs on its worker.
    pub need: Resources,
    /// The caller's estimate of a task's run time, in milliseconds.
    pub estimate_ms: u32,
    /// The indexes of earlier steps that must be done first.
    #[serde(rename = "after")]
    pub depends_on: Vec<u32>,
    /// Whether the tasks write checkpoints.
    #[serde(rename = "saves_progress")]
    pub checkpointable: bool,
    /// Whether the tasks form a gang: they run all at once or not at all.
    pub gang: bool,
    /// Whether the tasks run faster when all of them are on one rack.
    pub same_rack: bool,
    /// A label that the workers must have.
    pub required_label: Option<String>,
    /// The rack that holds the data.
    pub data_rack: Option<String>,
    /// The maximum number of tasks on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether several copies of a task may run at once.
    #[serde(rename = "copies_allowed")]
    pub speculative: bool,
    /// Whether the tasks run until the workflow is cancelled.
    #[serde(rename = "endless")]
    pub long_running: bool,
    /// Whether the tasks use only processor time that other tasks leave idle. They reserve no
    /// processors on their workers.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// The maximum number of long-running tasks that may be unavailable at once because of the
    /// scheduler.
    #[serde(rename = "may_be_away")]
    pub max_unavailable: u32,
}}

impl StepSpec {
    /// The processors of all tasks, in thousandths of a core.
    pub(super) fn size(&self) -> u64 {
        u64::from(self.tasks) * u64::from(self.need.cpu_milli)
    }

    /// The resources that are reserved on a worker for one task.
    pub fn reserved(&self) -> Resources {
        if self.best_effort {
            return Resources {
                cpu_milli: 0,
                ..self.need
            };
        }
        self.need
    }
}

common! { value
/// The schedule of a recurring workflow.
pub struct Recurrence {
    /// The number of occurrences.
    #[serde(rename = "times")]
    pub count: u32,
    /// When the first occurrence is due, in milliseconds since the Unix epoch.
    pub first_unix_ms: u64,
    /// The time between two occurrences, in milliseconds.
    pub interval_ms: u64,
}}

common! { record
/// A workflow as submitted.
pub struct WorkflowSpec {
    /// The policy of the workflow's queue at submission. It applies while the current configuration
    /// does not contain the queue.
    pub queue: QueuePolicy,
    /// The payload that is passed to each task.
    pub payload: String,
    /// The steps; each depends on earlier ones only.
    pub steps: Vec<StepSpec>,
    /// The schedule of a recurring workflow.
    pub recurrence: Option<Recurrence>,
    /// The client account that submitted the workflow. Records of format 2 lack this last field.
    pub account: Option<AccountName>,
}}

/// Why a workflow specification is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// The workflow has no steps.
    #[error("the workflow has no steps")]
    NoSteps,
    /// A step has no tasks.
    #[error("step {0} has no tasks")]
    NoTasks(usize),
    /// A step depends on itself or on a later step.
    #[error("step {step} waits for step {depends_on}, which is not an earlier one")]
    InvalidDependency {
        /// The step.
        step: usize,
        /// The step that it depends on.
        depends_on: u32,
    },
    /// The workflow has more than [`MAX_TASKS`] tasks.
    #[error("the workflow has {0} tasks in all occurrences; at most {MAX_TASKS} are allowed")]
    TooManyTasks(u64),
    /// The record of the workflow would exceed [`MAX_RECORD_BYTES`].
    #[error("the record of the workflow takes {0} bytes; at most {MAX_RECORD_BYTES} are allowed")]
    TooLarge(usize),
    /// The workflow cannot be encoded.
    #[error(transparent)]
    Codec(#[from] RecordCodecError),
}

/// Why a workflow can never run under the limit of its account.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{what} of step {step} needs {need} {unit}, but the account {account} may have at most {limit} \
     running; this can never run"
)]
pub struct LimitError {
    /// The step.
    pub step: usize,
    /// What has to run at once: a task or a gang.
    pub what: &'static str,
    /// What it needs.
    pub need: u64,
    /// The unit of the need and of the limit.
    pub unit: &'static str,
    /// The account.
    pub account: AccountName,
    /// What the account may have running.
    pub limit: u32,
}

/// The maximum number of tasks in all steps and occurrences of a workflow, all of which are kept in
/// memory.
pub const MAX_TASKS: u64 = 100_000;

impl WorkflowSpec {
    /// Validates the steps: their number of tasks, their dependencies and the size of the record.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.steps.is_empty() {
            return Err(SpecError::NoSteps);
        }
        for (step, spec) in self.steps.iter().enumerate() {
            if spec.tasks == 0 {
                return Err(SpecError::NoTasks(step));
            }
            if let Some(&depends_on) = spec
                .depends_on
                .iter()
                .find(|index| **index as usize >= step)
            {
                return Err(SpecError::InvalidDependency { step, depends_on });
            }
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        let tasks = tasks.saturating_mul(u64::from(self.occurrences()));
        if tasks > MAX_TASKS {
            return Err(SpecError::TooManyTasks(tasks));
        }
        let bytes = record::encoded_len(self)? + MAX_ACTIVE_BYTES;
        if bytes > MAX_RECORD_BYTES {
            return Err(SpecError::TooLarge(bytes));
        }
        Ok(())
    }

    /// Checks that each step can run under the limit of the account: one of its tasks, or all of them if
    /// they are a gang. What counts is what a task reserves on its worker.
    ///
    /// # Errors
    ///
    /// Returns the first step and dimension that exceeds the limit.
    pub fn check_limit(&self, account: &AccountPolicy) -> Result<(), LimitError> {
        for (step, spec) in self.steps.iter().enumerate() {
            let (what, tasks) = match spec.gang {
                true => ("the gang", u64::from(spec.tasks)),
                false => ("a task", 1),
            };
            let (need, limit) = (spec.reserved(), account.limit);
            let dimensions = [
                (need.cpu_milli, limit.cpu_milli, "thousandths of a core"),
                (need.memory_mib, limit.memory_mib, "MiB of memory"),
                (need.accelerators, limit.accelerators, "accelerators"),
            ];
            for (need, limit, unit) in dimensions {
                let need = u64::from(need) * tasks;
                if limit > 0 && need > u64::from(limit) {
                    let account = account.name.clone();
                    return Err(LimitError {
                        step,
                        what,
                        need,
                        unit,
                        account,
                        limit,
                    });
                }
            }
        }
        Ok(())
    }

    /// The number of occurrences; 1 for a workflow that does not recur.
    pub fn occurrences(&self) -> u32 {
        self.recurrence.map_or(1, |recurrence| recurrence.count)
    }

    /// The estimated run time of the critical path, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        self.critical_path_by(|spec| u64::from(spec.estimate_ms))
    }

    /// The run time of the critical path if the tasks of a step take `run_ms`, in milliseconds.
    pub(super) fn critical_path_by(&self, run_ms: impl Fn(&StepSpec) -> u64) -> u64 {
        let mut ends_ms: Vec<u64> = Vec::with_capacity(self.steps.len());
        for spec in &self.steps {
            let dependencies = spec
                .depends_on
                .iter()
                .filter_map(|index| ends_ms.get(*index as usize));
            let start_ms = dependencies.copied().max().unwrap_or(0);
            ends_ms.push(start_ms + run_ms(spec));
        }
        ends_ms.into_iter().max().unwrap_or(0)
    }

    /// The time that the steps after `step` take on the longest path from it, in milliseconds.
    pub(super) fn path_after(&self, step: u32, run_ms: impl Fn(&StepSpec) -> u64) -> u64 {
        let mut paths_ms = vec![0; self.steps.len()];
        // Steps depend on earlier ones only.
        for (index, spec) in self.steps.iter().enumerate().rev() {
            let path_ms = paths_ms[index] + run_ms(spec);
            for dependency in &spec.depends_on {
                if let Some(before_ms) = paths_ms.get_mut(*dependency as usize) {
                    *before_ms = path_ms.max(*before_ms);
                }
            }
        }
        paths_ms.get(step as usize).copied().unwrap_or(0)
    }
}
