//! The encoding of a worker's list of running attempts, as a snapshot or as a delta to the list
//! that the client has cached.
//!
//! A request names the version of the cached list. The worker responds with the attempts that were
//! added or changed since that version and those that were removed. It responds with a snapshot if
//! it was restarted or no longer has the history since that version. Each delta is relative to the
//! version in its own request, so responses may be lost or arrive out of order.

use std::collections::HashSet;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::model::TaskId;
use crate::port::worker::{RunningAttempt, SyncResponse};

common! { value
/// The version of a list: the response that carried it.
#[derive(Default)]
pub struct ListVersion {
    /// The boot number of the worker process; 0 if no list is cached.
    pub boot: u64,
    /// The sequence number of the response.
    pub sequence: u64,
}}

common! { record
/// Identifies an attempt of a task.
#[derive(Eq, Hash)]
pub struct AttemptKey {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt.
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

/// A request with the version of the cached list, so that the response can be a delta.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeltaSyncRequest<R> {
    /// The version of the list that the client has cached.
    #[serde(rename = "known")]
    pub base: ListVersion,
    /// The request.
    #[serde(rename = "call")]
    pub request: R,
}

common! { record
/// The changes of a list since a version.
pub struct RunningListDelta {
    /// The attempts that were added or changed, in their current state.
    pub changed: Vec<RunningAttempt>,
    /// The attempts that no longer run.
    #[serde(rename = "gone")]
    pub removed: Vec<AttemptKey>,
    /// Number of running attempts after the changes.
    #[serde(rename = "running")]
    pub running_count: u32,
}}

common! { record
/// A list of running attempts.
pub enum RunningList {
    /// All running attempts.
    #[serde(rename = "Whole")]
    Snapshot(Vec<RunningAttempt>),
    /// The changes since the version that the request named.
    #[serde(rename = "Changes")]
    Delta(RunningListDelta),
}}

common! { record
/// A response whose list of running attempts may be a delta.
pub struct DeltaSyncResponse {
    /// The response, without running attempts.
    #[serde(rename = "answer")]
    pub response: SyncResponse,
    /// The running attempts.
    pub list: RunningList,
}}

/// A delta that does not turn the cached list into the worker's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the list has {patched} attempts where the worker runs {running}")]
pub struct ListMismatch {
    /// Number of attempts in the cached list after the changes.
    pub patched: usize,
    /// Number of attempts that the worker runs.
    pub running: usize,
}

/// The list of running attempts that a client has cached.
///
/// # Examples
///
/// ```
/// use chestnutlug::adapter::running_list::{
///     CachedRunningList, DeltaSyncResponse, ListVersion, RunningList,
/// };
/// use chestnutlug::port::worker::SyncResponse;
///
/// let response = SyncResponse { boot: 7, sequence: 1, ..SyncResponse::default() };
/// let snapshot = DeltaSyncResponse { response, list: RunningList::Snapshot(Vec::new()) };
/// let response = CachedRunningList::default().complete(snapshot).unwrap();
/// let cached = CachedRunningList::from_response(&response);
/// assert_eq!(cached.version(), ListVersion { boot: 7, sequence: 1 });
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CachedRunningList {
    version: ListVersion,
    running: Vec<RunningAttempt>,
}

impl CachedRunningList {
    /// Creates the list of a completed response.
    pub fn from_response(response: &SyncResponse) -> Self {
        Self {
            version: ListVersion {
                boot: response.boot,
                sequence: response.sequence,
            },
            running: response.running.clone(),
        }
    }

    /// Returns the version of the list.
    pub fn version(&self) -> ListVersion {
        self.version
    }

    /// Whether `response` has another boot number, or the same one and a higher sequence number
    /// than the list.
    pub fn is_older_than(&self, response: &SyncResponse) -> bool {
        self.version.boot != response.boot || self.version.sequence < response.sequence
    }

    /// Completes the response to a request that named the version of this list.
    ///
    /// # Errors
    ///
    /// Returns an error if the list after the changes has another length than the worker's list.
    pub fn complete(&self, delta: DeltaSyncResponse) -> Result<SyncResponse, ListMismatch> {
        let running = match delta.list {
            RunningList::Snapshot(running) => running,
            RunningList::Delta(changes) => self.patched(changes)?,
        };
        Ok(SyncResponse {
            running,
            ..delta.response
        })
    }

    fn patched(&self, changes: RunningListDelta) -> Result<Vec<RunningAttempt>, ListMismatch> {
        let removed: HashSet<AttemptKey> = changes.removed.into_iter().collect();
        let changed = changes.changed.into_iter();
        let mut changed: FxHashMap<AttemptKey, RunningAttempt> = changed
            .map(|running| (AttemptKey::from(&running), running))
            .collect();
        let mut list = Vec::with_capacity(changes.running_count as usize);
        for cached in &self.running {
            let key = AttemptKey::from(cached);
            match changed.remove(&key) {
                Some(newer) => list.push(newer),
                None if removed.contains(&key) => {}
                None => list.push(cached.clone()),
            }
        }
        list.extend(changed.into_values());
        let (patched, running) = (list.len(), changes.running_count as usize);
        match patched == running {
            true => Ok(list),
            false => Err(ListMismatch { patched, running }),
        }
    }
}
