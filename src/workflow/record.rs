//! The stored records of workflows.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::spec::WorkflowSpec;
use crate::model::WorkerName;

/// The format version of the records; records of another version are rejected.
const FORMAT: u8 = 2;

/// The state of a workflow as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WorkflowState {
    /// Accepted; no task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks are done.
    Complete,
    /// A task failed as often as the queue allows.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

impl WorkflowState {
    /// Whether no task of the workflow will run any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Complete | Self::Failed | Self::Cancelled)
    }
}

/// The record of a workflow: the specification while it is active, only the final state afterwards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkflowRecord {
    /// The workflow has not ended.
    Active(WorkflowSpec),
    /// The workflow has ended in this state.
    Ended(WorkflowState),
}

/// The progress of a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// The tasks that are done, as a bitmap; the lowest bit of the first word is task 0.
    pub done: Vec<u64>,
    /// The failures of tasks.
    pub failures: Vec<TaskFailures>,
    /// The runs that may be on workers. A start request is sent only after its run is committed
    /// here.
    pub placed: Vec<PlacedRun>,
    /// The runs that are blamed for a crash of their worker.
    pub crashes: Vec<PlacedRun>,
}

/// A run that may be on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedRun {
    /// The index of the task.
    pub index: u32,
    /// The number of the run.
    pub run: u32,
    /// The worker.
    pub worker: WorkerName,
    /// The process of the worker, see [`WorkerListing::boot`].
    ///
    /// [`WorkerListing::boot`]: crate::port::executor::WorkerListing::boot
    pub boot: u64,
}

/// The failed runs of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskFailures {
    /// The index of the task.
    pub index: u32,
    /// The numbers of the failed runs. The numbers keep a run from being counted twice: workers
    /// list an ended run until it is acknowledged, and each member of a gang is listed separately.
    pub runs: Vec<u32>,
}

impl StepProgress {
    /// Whether the task is done.
    pub fn is_done(&self, index: u32) -> bool {
        let word = self.done.get(index as usize / 64).copied().unwrap_or(0);
        word >> (index % 64) & 1 == 1
    }

    /// Marks the task as done.
    pub fn set_done(&mut self, index: u32) {
        let word = index as usize / 64;
        if self.done.len() <= word {
            self.done.resize(word + 1, 0);
        }
        self.done[word] |= 1 << (index % 64);
    }

    /// Adds the failed `run` of the task and returns how often the task has failed so far, or
    /// `None` if the run was counted before.
    pub fn add_failure(&mut self, index: u32, run: u32) -> Option<u32> {
        let position = self.failures.iter().position(|task| task.index == index);
        let position = position.unwrap_or_else(|| {
            let runs = Vec::new();
            self.failures.push(TaskFailures { index, runs });
            self.failures.len() - 1
        });
        let runs = &mut self.failures[position].runs;
        if runs.contains(&run) {
            return None;
        }
        runs.push(run);
        u32::try_from(runs.len()).ok()
    }

    /// Adds a run that is blamed for a crash of its worker and returns how many workers have crashed
    /// under its task so far, or `None` if the run was counted before.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::model::WorkerName;
    /// use chestnutlug::workflow::record::{PlacedRun, StepProgress};
    ///
    /// let run = PlacedRun { index: 4, run: 1, worker: WorkerName::new("w1"), boot: 7 };
    /// let mut progress = StepProgress::default();
    /// assert_eq!(progress.add_crash(run.clone()), Some(1));
    /// assert_eq!(progress.add_crash(run), None);
    /// assert_eq!(progress.crashes_of(4).count(), 1);
    /// ```
    pub fn add_crash(&mut self, run: PlacedRun) -> Option<usize> {
        let index = run.index;
        if self.crashes_of(index).any(|crash| crash.run == run.run) {
            return None;
        }
        self.crashes.push(run);
        Some(self.crashes_of(index).count())
    }

    /// The crashes of workers that are blamed on the task.
    pub fn crashes_of(&self, index: u32) -> impl Iterator<Item = &PlacedRun> {
        self.crashes
            .iter()
            .filter(move |crash| crash.index == index)
    }

    /// Removes the crashes of a worker process that turned out to be alive; returns whether there
    /// were any.
    pub fn remove_crashes(&mut self, worker: &WorkerName, boot: u64) -> bool {
        let before = self.crashes.len();
        self.crashes
            .retain(|crash| crash.worker != *worker || crash.boot != boot);
        self.crashes.len() < before
    }
}

/// The progress of a workflow. It has a record of its own, since it changes much more often than
/// the specification.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkflowProgress {
    /// Whether the caller cancelled the workflow.
    pub cancelled: bool,
    /// Whether a task failed as often as the queue allows.
    pub failed: bool,
    /// The steps whose progress is not empty, by occurrence and step.
    pub steps: Vec<((u32, u32), StepProgress)>,
}

/// The error of encoding or decoding a record.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordCodecError {
    /// The record has another format version.
    #[error("the record has format {0}; this build reads format {FORMAT}")]
    Format(u8),
    /// The record cannot be encoded or decoded.
    #[error("the record cannot be read: {0}")]
    Malformed(String),
}

/// Encodes a record.
///
/// # Errors
///
/// Returns an error if the value cannot be serialized.
///
/// # Examples
///
/// ```
/// use chestnutlug::workflow::record::{WorkflowRecord, WorkflowState, decode, encode};
///
/// let record = WorkflowRecord::Ended(WorkflowState::Complete);
/// let bytes = encode(&record).unwrap();
/// assert_eq!(decode::<WorkflowRecord>(&bytes), Ok(record));
/// assert!(decode::<WorkflowRecord>(b"").is_err());
/// ```
pub fn encode<T: Serialize>(record: &T) -> Result<Vec<u8>, RecordCodecError> {
    let malformed = |error: postcard::Error| RecordCodecError::Malformed(error.to_string());
    postcard::to_stdvec(&(FORMAT, record)).map_err(malformed)
}

/// Decodes a record.
///
/// # Errors
///
/// See [`RecordCodecError`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RecordCodecError> {
    let malformed = |error: postcard::Error| RecordCodecError::Malformed(error.to_string());
    let (format, rest) = postcard::take_from_bytes::<u8>(bytes).map_err(malformed)?;
    if format != FORMAT {
        return Err(RecordCodecError::Format(format));
    }
    postcard::from_bytes(rest).map_err(malformed)
}
