//! The stored records of workflows.

use std::collections::BTreeMap;
use std::ops::Range;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize};

use super::spec::WorkflowSpec;
use crate::model::{AccountName, WorkerName};

/// The format version of the records.
const FORMAT: u8 = 3;

/// The earlier format that is still read. It lacks the last field of a workflow's specification, the account.
const FORMAT_WITHOUT_ACCOUNT: u8 = 2;

/// The maximum size of an encoded record. Its base64 text fits in a row of 64 KiB.
pub const MAX_RECORD_BYTES: usize = 48 * 1024;

/// The bytes that the record of an active workflow has at most beside its specification: the variant,
/// and the time with its tag.
pub(super) const MAX_ACTIVE_BYTES: usize = 12;

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
    Active {
        /// The workflow as submitted.
        spec: WorkflowSpec,
        /// When its owner accepted it, in milliseconds since 1970. Records of earlier programs end before
        /// this field, and earlier programs ignore it.
        #[serde(deserialize_with = "none_at_end")]
        accepted_unix_ms: Option<u64>,
    },
    /// The workflow has ended in this state. It has no account.
    Ended(WorkflowState),
    /// The workflow of an account has ended in this state.
    EndedOf(WorkflowState, AccountName),
}

impl WorkflowRecord {
    /// The account of the workflow.
    pub fn account(&self) -> Option<&AccountName> {
        match self {
            Self::Active { spec, .. } => spec.account.as_ref(),
            Self::Ended(_) => None,
            Self::EndedOf(_, account) => Some(account),
        }
    }

    /// The state and the account of the workflow if it has ended.
    pub fn ended(&self) -> Option<WorkflowStatus> {
        let state = match self {
            Self::Active { .. } => return None,
            Self::Ended(state) | Self::EndedOf(state, _) => *state,
        };
        let account = self.account().cloned();
        Some(WorkflowStatus { state, account })
    }
}

/// Reads the last field of a record; `None` if the record ends before it. [`decode`] cannot append the
/// missing byte, because it would read an owner record without its last field as one with an empty list.
fn none_at_end<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<u64>, D::Error> {
    Ok(Option::deserialize(deserializer).unwrap_or(None))
}

/// The state of a workflow, and its account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkflowStatus {
    /// The state.
    pub state: WorkflowState,
    /// The account; `None` for a workflow without one.
    pub account: Option<AccountName>,
}

impl WorkflowStatus {
    /// The record of a workflow that has ended with this status.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::model::AccountName;
    /// use chestnutlug::workflow::record::{WorkflowState, WorkflowStatus};
    ///
    /// let account = Some(AccountName::new("parlour"));
    /// let status = WorkflowStatus { state: WorkflowState::Complete, account };
    /// assert_eq!(status.ended_record().ended(), Some(status));
    /// ```
    pub fn ended_record(&self) -> WorkflowRecord {
        match &self.account {
            None => WorkflowRecord::Ended(self.state),
            Some(account) => WorkflowRecord::EndedOf(self.state, account.clone()),
        }
    }
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

    /// The progress of the tasks in `range` only.
    #[must_use]
    pub fn of_tasks(&self, range: &Range<u32>) -> Self {
        let mut progress = Self::default();
        let done = range.clone().filter(|index| self.is_done(*index));
        done.for_each(|index| progress.set_done(index));
        let failures = self.failures.iter();
        let failures = failures.filter(|task| range.contains(&task.index));
        progress.failures = failures.cloned().collect();
        let in_range = |run: &&PlacedRun| range.contains(&run.index);
        progress.placed = self.placed.iter().filter(in_range).cloned().collect();
        progress.crashes = self.crashes.iter().filter(in_range).cloned().collect();
        progress
    }

    /// Adds the progress of other tasks of the same step.
    pub fn merge(&mut self, other: Self) {
        let words = self.done.len().max(other.done.len());
        self.done.resize(words, 0);
        for (word, other) in self.done.iter_mut().zip(other.done) {
            *word |= other;
        }
        self.failures.extend(other.failures);
        self.placed.extend(other.placed);
        self.crashes.extend(other.crashes);
    }

    /// The indexes of the tasks that have any progress, some of them several times.
    pub fn indexes(&self) -> impl Iterator<Item = u32> + '_ {
        let bits = u32::try_from(self.done.len() * 64).unwrap_or(u32::MAX);
        let done = (0..bits).filter(|index| self.is_done(*index));
        let runs = self.placed.iter().chain(&self.crashes);
        let failed = self.failures.iter().map(|task| task.index);
        done.chain(failed).chain(runs.map(|run| run.index))
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

    /// Removes the crashes of a worker process that turned out to be alive; returns the indexes of
    /// the tasks that were blamed for them.
    pub fn remove_crashes(&mut self, worker: &WorkerName, boot: u64) -> Vec<u32> {
        let is_of_process = |crash: &mut PlacedRun| crash.worker == *worker && crash.boot == boot;
        let removed = self.crashes.extract_if(.., is_of_process);
        removed.map(|crash| crash.index).collect()
    }
}

/// The progress of a workflow, or of the tasks in one of its parts. It has records of its own, one
/// for each part, since it changes much more often than the specification.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkflowProgress {
    /// Whether the caller cancelled the workflow.
    pub cancelled: bool,
    /// Whether a task failed as often as the queue allows.
    pub failed: bool,
    /// The steps whose progress is not empty, by occurrence and step.
    pub steps: Vec<((u32, u32), StepProgress)>,
}

impl WorkflowProgress {
    /// The progress of all tasks, from that of the tasks in each part.
    pub fn merge(parts: impl IntoIterator<Item = Self>) -> Self {
        let mut merged = Self::default();
        let mut steps: BTreeMap<(u32, u32), StepProgress> = BTreeMap::new();
        for part in parts {
            merged.cancelled |= part.cancelled;
            merged.failed |= part.failed;
            for (key, step) in part.steps {
                steps.entry(key).or_default().merge(step);
            }
        }
        merged.steps = steps.into_iter().collect();
        merged
    }

    /// The progress of a step, if it has any. The steps must be in order, see [`Self::merge`].
    pub fn step(&self, key: (u32, u32)) -> Option<&StepProgress> {
        let position = self.steps.binary_search_by_key(&key, |(known, _)| *known);
        Some(&self.steps[position.ok()?].1)
    }
}

/// The error of encoding or decoding a record.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordCodecError {
    /// The record has another format version.
    #[error(
        "the record has format {0}; this build reads formats {FORMAT_WITHOUT_ACCOUNT} and {FORMAT}"
    )]
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

/// The size of the encoded record in bytes.
///
/// # Errors
///
/// Returns an error if the value cannot be serialized.
///
/// # Examples
///
/// ```
/// use chestnutlug::workflow::record::{WorkflowProgress, encode, encoded_len};
///
/// let record = WorkflowProgress::default();
/// assert_eq!(encoded_len(&record).unwrap(), encode(&record).unwrap().len());
/// ```
pub fn encoded_len<T: Serialize>(record: &T) -> Result<usize, RecordCodecError> {
    let malformed = |error: postcard::Error| RecordCodecError::Malformed(error.to_string());
    let size = postcard::ser_flavors::Size::default();
    postcard::serialize_with_flavor(&(FORMAT, record), size).map_err(malformed)
}

/// The size that a record of `len` bytes takes in a transaction: its base64 text and its key.
///
/// # Examples
///
/// ```
/// use chestnutlug::workflow::record::text_len;
///
/// assert!(text_len(300) > 400);
/// ```
pub fn text_len(len: usize) -> usize {
    /// The table, the partition and the key of a row, with their names.
    const KEY_BYTES: usize = 200;
    len.div_ceil(3) * 4 + KEY_BYTES
}

/// Decodes a record.
///
/// # Errors
///
/// See [`RecordCodecError`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RecordCodecError> {
    let malformed = |error: postcard::Error| RecordCodecError::Malformed(error.to_string());
    let (format, rest) = postcard::take_from_bytes::<u8>(bytes).map_err(malformed)?;
    match format {
        FORMAT => postcard::from_bytes(rest).map_err(malformed),
        FORMAT_WITHOUT_ACCOUNT => {
            // A zero byte encodes `None`, and bytes after the end of a value are ignored.
            let with_account = [rest, &[0]].concat();
            postcard::from_bytes(&with_account).map_err(malformed)
        }
        _ => Err(RecordCodecError::Format(format)),
    }
}
