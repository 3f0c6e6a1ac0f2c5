//! What the store keeps of a workflow.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::spec::WorkflowSpec;
use crate::model::WorkerName;

/// The format of the records; a record of another format is not read.
const FORMAT: u8 = 1;

/// How a workflow stands, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WorkflowState {
    /// Accepted; nothing of it has started.
    Queued,
    /// Some of it has started.
    Running,
    /// All tasks are done.
    Complete,
    /// A task failed as often as its queue allows.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

impl WorkflowState {
    /// Whether nothing of the workflow will run any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Complete | Self::Failed | Self::Cancelled)
    }
}

/// A workflow's row: the whole workflow while it is active, only its end afterwards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkflowRecord {
    /// It may still run.
    Active(WorkflowSpec),
    /// It has ended.
    Ended(WorkflowState),
}

/// What has happened to a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Tasks that are done: one bit each, the lowest first.
    pub done: Vec<u64>,
    /// Tasks that have failed.
    pub failures: Vec<TaskFailures>,
    /// Runs that may be on workers. A start is sent once this is recorded.
    pub placed: Vec<PlacedRun>,
}

/// A run that may be on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedRun {
    /// The task.
    pub index: u32,
    /// The run.
    pub run: u32,
    /// The worker.
    pub worker: WorkerName,
}

/// How often a task has failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskFailures {
    /// The task.
    pub index: u32,
    /// The runs that failed. None is counted twice, although workers list an end until they are told
    /// that it is recorded, and each member of a gang lists its own.
    pub runs: Vec<u32>,
}

impl StepProgress {
    /// Whether the task is done.
    pub fn is_done(&self, index: u32) -> bool {
        let word = self.done.get(index as usize / 64).copied().unwrap_or(0);
        word >> (index % 64) & 1 == 1
    }

    /// Notes that the task is done.
    pub fn set_done(&mut self, index: u32) {
        let word = index as usize / 64;
        if self.done.len() <= word {
            self.done.resize(word + 1, 0);
        }
        self.done[word] |= 1 << (index % 64);
    }

    /// Counts that `run` of the task has failed, and returns how often it has failed by now; `None`
    /// where that run was counted before.
    pub fn add_failure(&mut self, index: u32, run: u32) -> Option<u32> {
        let known = self.failures.iter().position(|known| known.index == index);
        let known = known.unwrap_or_else(|| {
            let runs = Vec::new();
            self.failures.push(TaskFailures { index, runs });
            self.failures.len() - 1
        });
        let runs = &mut self.failures[known].runs;
        if runs.contains(&run) {
            return None;
        }
        runs.push(run);
        u32::try_from(runs.len()).ok()
    }
}

/// What has happened to a workflow; kept in a row of its own, since it changes often.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkflowProgress {
    /// Whether its caller cancelled it.
    pub cancelled: bool,
    /// Whether a task failed as often as its queue allows.
    pub failed: bool,
    /// The steps with anything to tell, by occurrence and step.
    pub steps: Vec<((u32, u32), StepProgress)>,
}

/// A record that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordCodecError {
    /// Another build wrote it.
    #[error("the record has format {0}; this build reads format {FORMAT}")]
    Format(u8),
    /// The bytes are no record.
    #[error("the record cannot be read: {0}")]
    Malformed(String),
}

/// Encodes a record.
///
/// # Errors
///
/// Returns an error where the value cannot be serialised.
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
