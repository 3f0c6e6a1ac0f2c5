//! A worker's list of running attempts on the wire: whole, or what changed since an answer that the
//! caller holds.
//!
//! The caller names the last answer whose list it holds. The worker answers with the attempts that
//! changed since, each as it is now, and those that are gone; or with the whole list where it was
//! started again or no longer remembers that far back. Each answer counts from what its own call
//! named, so that answers may be lost or overtake each other.

use std::collections::HashSet;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::model::TaskId;
use crate::port::worker::{RunningAttempt, SyncResponse};

common! { value
/// The answer whose list a caller holds.
#[derive(Default)]
pub struct ListVersion {
    /// The boot of the worker's process; 0 where no list is held.
    pub boot: u64,
    /// The answer's sequence.
    pub sequence: u64,
}}

common! { record
/// One attempt of a task.
#[derive(Eq, Hash)]
pub struct AttemptKey {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: u32,
}}

impl From<&RunningAttempt> for AttemptKey {
    fn from(running: &RunningAttempt) -> Self {
        Self {
            task: running.task.clone(),
            attempt: running.attempt,
        }
    }
}

/// A call, with what the caller holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeltaSyncRequest<R> {
    /// The answer whose list the caller holds.
    #[serde(rename = "known")]
    pub base: ListVersion,
    /// The call.
    #[serde(rename = "call")]
    pub request: R,
}

common! { record
/// What changed in a list.
pub struct RunningListDelta {
    /// Attempts that began or changed, as they are now.
    pub changed: Vec<RunningAttempt>,
    /// Attempts that run no more.
    #[serde(rename = "gone")]
    pub removed: Vec<AttemptKey>,
    /// How many attempts run.
    #[serde(rename = "running")]
    pub running_count: u32,
}}

common! { record
/// The running attempts.
pub enum RunningList {
    /// All of them.
    #[serde(rename = "Whole")]
    Snapshot(Vec<RunningAttempt>),
    /// What changed since the answer that the call named.
    #[serde(rename = "Changes")]
    Delta(RunningListDelta),
}}

common! { record
/// An answer whose list goes apart.
pub struct DeltaSyncResponse {
    /// The answer, without running attempts.
    #[serde(rename = "answer")]
    pub response: SyncResponse,
    /// The running attempts.
    pub list: RunningList,
}}

/// The changes do not lead from the held list to the worker's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the list has {held} attempts where the worker runs {running}")]
pub struct ListMismatch {
    /// Attempts after the changes.
    pub held: usize,
    /// Attempts that the worker runs.
    pub running: usize,
}

/// A list that a caller holds.
///
/// # Examples
///
/// ```
/// use chestnutlug::adapter::running_list::{CachedRunningList, ListVersion, DeltaSyncResponse, RunningList};
/// use chestnutlug::port::worker::SyncResponse;
///
/// let answer = SyncResponse { boot: 7, sequence: 1, ..SyncResponse::default() };
/// let list = RunningList::Snapshot(Vec::new());
/// let whole = DeltaSyncResponse { response: answer, list };
/// let answer = CachedRunningList::default().complete(whole).unwrap();
/// assert_eq!(CachedRunningList::from_response(&answer).version(), ListVersion { boot: 7, sequence: 1 });
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CachedRunningList {
    version: ListVersion,
    running: Vec<RunningAttempt>,
}

impl CachedRunningList {
    /// The list of a complete answer.
    pub fn from_response(answer: &SyncResponse) -> Self {
        Self {
            version: ListVersion {
                boot: answer.boot,
                sequence: answer.sequence,
            },
            running: answer.running.clone(),
        }
    }

    /// The answer that the list was in.
    pub fn version(&self) -> ListVersion {
        self.version
    }

    /// Whether an answer of the same boot came after this list's, or of another boot.
    pub fn is_older_than(&self, answer: &SyncResponse) -> bool {
        self.version.boot != answer.boot || self.version.sequence < answer.sequence
    }

    /// Completes the answer to a call that named this list.
    ///
    /// # Errors
    ///
    /// Returns a mismatch where the worker counts other attempts than the changes lead to.
    pub fn complete(&self, listed: DeltaSyncResponse) -> Result<SyncResponse, ListMismatch> {
        let running = match listed.list {
            RunningList::Snapshot(running) => running,
            RunningList::Delta(changes) => self.changed(changes)?,
        };
        Ok(SyncResponse {
            running,
            ..listed.response
        })
    }

    fn changed(&self, changes: RunningListDelta) -> Result<Vec<RunningAttempt>, ListMismatch> {
        let gone: HashSet<AttemptKey> = changes.removed.into_iter().collect();
        let changed = changes.changed.into_iter();
        let mut changed: FxHashMap<AttemptKey, RunningAttempt> = changed
            .map(|running| (AttemptKey::from(&running), running))
            .collect();
        let mut list = Vec::with_capacity(changes.running_count as usize);
        for held in &self.running {
            let id = AttemptKey::from(held);
            match changed.remove(&id) {
                Some(newer) => list.push(newer),
                None if gone.contains(&id) => {}
                None => list.push(held.clone()),
            }
        }
        list.extend(changed.into_values());
        let (held, running) = (list.len(), changes.running_count as usize);
        match held == running {
            true => Ok(list),
            false => Err(ListMismatch { held, running }),
        }
    }
}
