//! History of the changes in a worker's list of running attempts, by the responses that reported
//! them.

use std::collections::VecDeque;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::adapter::running_list::{
    AttemptKey, DeltaSyncResponse, ListVersion, RunningList, RunningListDelta,
};
use crate::model::Resources;
use crate::port::worker::{RunningAttempt, SyncResponse};

/// Maximum number of removed attempts that are remembered.
const MAX_REMOVED: usize = 256;

#[derive(Debug)]
struct ListedAttempt {
    usage: Resources,
    /// Sequence of the response in which the attempt started or changed.
    changed_in: u64,
}

#[derive(Debug)]
struct RemovedAttempt {
    attempt: AttemptKey,
    /// Sequence of the first response without the attempt.
    removed_in: u64,
}

/// Changes of the list during one boot of the worker's process.
#[derive(Debug, Default)]
pub(super) struct ListHistory {
    boot: u64,
    listed: FxHashMap<AttemptKey, ListedAttempt>,
    removed: VecDeque<RemovedAttempt>,
    /// All changes after the response with this sequence are remembered.
    complete_since: u64,
}

impl ListHistory {
    /// Records a response; responses must come in the order of their sequence.
    pub(super) fn record(&mut self, response: &SyncResponse) {
        if self.boot != response.boot {
            *self = Self {
                boot: response.boot,
                complete_since: response.sequence.saturating_sub(1),
                ..Self::default()
            };
        }
        self.record_removed(response);
        for running in &response.running {
            self.record_running(running, response.sequence);
        }
    }

    fn record_running(&mut self, running: &RunningAttempt, changed_in: u64) {
        let usage = running.usage;
        let listed = self.listed.entry(AttemptKey::from(running));
        let listed = listed.or_insert(ListedAttempt { usage, changed_in });
        if listed.usage != usage {
            *listed = ListedAttempt { usage, changed_in };
        }
    }

    fn record_removed(&mut self, response: &SyncResponse) {
        let running: FxHashSet<AttemptKey> =
            response.running.iter().map(AttemptKey::from).collect();
        let removed_in = response.sequence;
        let removed = self.listed.extract_if(|id, _| !running.contains(id));
        self.removed
            .extend(removed.map(|(attempt, _)| RemovedAttempt {
                attempt,
                removed_in,
            }));
        while self.removed.len() > MAX_REMOVED {
            let oldest = self.removed.pop_front();
            self.complete_since = oldest.map_or(self.complete_since, |removed| removed.removed_in);
        }
    }

    /// Replaces the list in `sync_response` by its changes since `base`, or leaves it whole if the
    /// history does not reach back that far.
    pub(super) fn delta_response(
        &self,
        base: ListVersion,
        mut sync_response: SyncResponse,
    ) -> DeltaSyncResponse {
        let running = std::mem::take(&mut sync_response.running);
        let list = match self.covers(base, &sync_response, running.len()) {
            true => RunningList::Delta(self.delta(base, &sync_response, running)),
            false => RunningList::Snapshot(running),
        };
        DeltaSyncResponse {
            response: sync_response,
            list,
        }
    }

    fn covers(&self, base: ListVersion, response: &SyncResponse, running: usize) -> bool {
        let same_boot = base.boot == self.boot && response.boot == self.boot;
        let in_range = (self.complete_since..=response.sequence).contains(&base.sequence);
        // An attempt that was started twice has one key, so a delta cannot describe it.
        let distinct = self.listed.len() == running;
        same_boot && base.sequence > 0 && in_range && distinct
    }

    fn delta(
        &self,
        base: ListVersion,
        response: &SyncResponse,
        running: Vec<RunningAttempt>,
    ) -> RunningListDelta {
        let count = running.len() as u32;
        let is_new = |running: &RunningAttempt| {
            let listed = self.listed.get(&AttemptKey::from(running));
            listed.is_none_or(|listed| listed.changed_in > base.sequence)
        };
        let range = base.sequence + 1..=response.sequence;
        let removed = self
            .removed
            .iter()
            .filter(|removed| range.contains(&removed.removed_in));
        RunningListDelta {
            changed: running.into_iter().filter(is_new).collect(),
            removed: removed.map(|removed| removed.attempt.clone()).collect(),
            running_count: count,
        }
    }
}
