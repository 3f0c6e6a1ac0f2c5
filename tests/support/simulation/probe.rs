//! The progress of the jobs in a simulation.

use chestnutlug::shard::rows::{JobRow, decode, jobs_prefix, tasks_prefix};
use chestnutlug::shard::worker_session::WorkerChannel;
use chestnutlug::standin::worker::JournalEvent;

use super::super::shard_name;
use super::ShardSimulation;

/// A step in the life cycle of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    Accepted,
    Recorded,
    Granted,
    StartSent,
    Running,
    Answered,
    EndRecorded,
    Acknowledged,
}

impl ShardSimulation {
    /// Runs until some job has reached `progress`. Panics if none does within 5 s.
    pub fn run_until(&mut self, progress: Progress) {
        for _ in 0..5_000 {
            if self.has_reached(progress) {
                return;
            }
            self.run_ms(1);
        }
        panic!("no job reached {progress:?} within 5 s");
    }

    fn has_reached(&self, progress: Progress) -> bool {
        let has_event = |event| self.count(event) > 0;
        let has_outcome =
            |value: &[u8]| decode::<JobRow>(value).is_ok_and(|row| row.outcome.is_some());
        let mut calls = self.owners.iter().flat_map(|owner| owner.calls.values());
        match progress {
            Progress::Accepted => !self.jobs.is_empty(),
            Progress::Recorded => !self.rows.scan(&jobs_prefix(&shard_name())).is_empty(),
            Progress::Granted => !self.rows.scan(&tasks_prefix(&shard_name())).is_empty(),
            Progress::StartSent => calls.any(|(_, channel)| *channel == WorkerChannel::Commands),
            Progress::Running => has_event(JournalEvent::Started),
            Progress::Answered => has_event(JournalEvent::Ended),
            Progress::EndRecorded => {
                let rows = self.rows.scan(&jobs_prefix(&shard_name()));
                rows.iter().any(|row| has_outcome(&row.value))
            }
            Progress::Acknowledged => has_event(JournalEvent::Acknowledged),
        }
    }

    fn count(&self, event: JournalEvent) -> usize {
        let entries = self.workers.iter().flat_map(|w| w.worker.journal());
        entries.filter(|e| e.event == event).count()
    }

    /// The number of attempts that all workers together started.
    pub fn starts(&self) -> usize {
        self.count(JournalEvent::Started)
    }
}
