//! What changed in a worker's list of running attempts, by the answers that showed it.

use std::collections::VecDeque;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::adapter::running_list::{
    AttemptKey, DeltaSyncResponse, ListVersion, RunningList, RunningListDelta,
};
use crate::model::Resources;
use crate::port::worker::{RunningAttempt, SyncResponse};

/// How many attempts that run no more are remembered.
const MAX_GONE: usize = 256;

#[derive(Debug)]
struct Listed {
    usage: Resources,
    since: u64,
}

#[derive(Debug)]
struct Gone {
    attempt: AttemptKey,
    since: u64,
}

/// What changed when, for the boot of one worker's process.
#[derive(Debug, Default)]
pub(super) struct Changes {
    boot: u64,
    listed: FxHashMap<AttemptKey, Listed>,
    gone: VecDeque<Gone>,
    /// The newest answer whose changes are not all remembered.
    forgotten: u64,
}

impl Changes {
    /// Takes note of an answer; they come in the order of their sequence.
    pub(super) fn note(&mut self, answer: &SyncResponse) {
        if self.boot != answer.boot {
            *self = Self {
                boot: answer.boot,
                forgotten: answer.sequence.saturating_sub(1),
                ..Self::default()
            };
        }
        self.note_gone(answer);
        for running in &answer.running {
            self.note_running(running, answer.sequence);
        }
    }

    fn note_running(&mut self, running: &RunningAttempt, since: u64) {
        let usage = running.usage;
        let listed = self.listed.entry(AttemptKey::from(running));
        let listed = listed.or_insert(Listed { usage, since });
        if listed.usage != usage {
            *listed = Listed { usage, since };
        }
    }

    fn note_gone(&mut self, answer: &SyncResponse) {
        let running: FxHashSet<AttemptKey> = answer.running.iter().map(AttemptKey::from).collect();
        let since = answer.sequence;
        let gone = self.listed.extract_if(|id, _| !running.contains(id));
        self.gone
            .extend(gone.map(|(attempt, _)| Gone { attempt, since }));
        while self.gone.len() > MAX_GONE {
            let dropped = self.gone.pop_front();
            self.forgotten = dropped.map_or(self.forgotten, |gone| gone.since);
        }
    }

    /// The answer with its list as changes since what the caller holds, where they are remembered.
    pub(super) fn list(&self, known: ListVersion, mut answer: SyncResponse) -> DeltaSyncResponse {
        let running = std::mem::take(&mut answer.running);
        let list = match self.is_remembered(known, &answer, running.len()) {
            true => RunningList::Delta(self.since(known, &answer, running)),
            false => RunningList::Snapshot(running),
        };
        DeltaSyncResponse {
            response: answer,
            list,
        }
    }

    fn is_remembered(&self, known: ListVersion, answer: &SyncResponse, running: usize) -> bool {
        let one_boot = known.boot == self.boot && answer.boot == self.boot;
        let in_range = (self.forgotten..=answer.sequence).contains(&known.sequence);
        // An attempt that was started twice cannot be told apart by its name.
        let distinct = self.listed.len() == running;
        one_boot && known.sequence > 0 && in_range && distinct
    }

    fn since(
        &self,
        known: ListVersion,
        answer: &SyncResponse,
        running: Vec<RunningAttempt>,
    ) -> RunningListDelta {
        let count = running.len() as u32;
        let is_new = |running: &RunningAttempt| {
            let listed = self.listed.get(&AttemptKey::from(running));
            listed.is_none_or(|listed| listed.since > known.sequence)
        };
        let span = known.sequence + 1..=answer.sequence;
        let gone = self.gone.iter().filter(|gone| span.contains(&gone.since));
        RunningListDelta {
            changed: running.into_iter().filter(is_new).collect(),
            removed: gone.map(|gone| gone.attempt.clone()).collect(),
            running_count: count,
        }
    }
}
