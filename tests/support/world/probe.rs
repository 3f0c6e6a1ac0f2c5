//! How far the work in a world has come.

use chestnutlug::shard::rows::{JobRow, decode, jobs_prefix, tasks_prefix};
use chestnutlug::shard::worker_session::WorkerChannel;
use chestnutlug::standin::worker::Event as Noted;

use super::super::shard_name;
use super::World;

/// A step in the life of a job.
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

impl World {
    /// Lets time pass until some job has come to `progress`; panics where none does.
    pub fn run_until(&mut self, progress: Progress) {
        for _ in 0..5_000 {
            if self.has_reached(progress) {
                return;
            }
            self.run_ms(1);
        }
        panic!("no job came to {progress:?}");
    }

    fn has_reached(&self, progress: Progress) -> bool {
        let noted = |event| self.count(event) > 0;
        let outcome = |value: &[u8]| decode::<JobRow>(value).is_ok_and(|row| row.outcome.is_some());
        let mut calls = self.owners.iter().flat_map(|owner| owner.calls.values());
        match progress {
            Progress::Accepted => !self.jobs.is_empty(),
            Progress::Recorded => !self.rows.scan(&jobs_prefix(&shard_name())).is_empty(),
            Progress::Granted => !self.rows.scan(&tasks_prefix(&shard_name())).is_empty(),
            Progress::StartSent => calls.any(|(_, channel)| *channel == WorkerChannel::Commands),
            Progress::Running => noted(Noted::Started),
            Progress::Answered => noted(Noted::Ended),
            Progress::EndRecorded => {
                let rows = self.rows.scan(&jobs_prefix(&shard_name()));
                rows.iter().any(|row| outcome(&row.value))
            }
            Progress::Acknowledged => noted(Noted::Acknowledged),
        }
    }

    fn count(&self, event: Noted) -> usize {
        let entries = self.nodes.iter().flat_map(|n| n.worker.journal());
        entries.filter(|e| e.event == event).count()
    }

    /// How many attempts began at all workers together.
    pub fn starts(&self) -> usize {
        self.count(Noted::Started)
    }
}
