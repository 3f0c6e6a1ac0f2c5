//! Checks the invariants of a run from the workers' journals, the table and the replies to callers.

use std::collections::BTreeMap;
use std::time::Duration;

use chestnutlug::model::{JobId, Outcome, Time};
use chestnutlug::port::worker::{SyncRequest, WorkerCommand};
use chestnutlug::shard::rows::{GangRow, JobRow, decode, job_key};
use chestnutlug::standin::worker::JournalEvent;

use super::simulation::{CellSimulation, Progress, shard_name};

impl CellSimulation {
    /// Reports start commands for a part that are sent before the whole gang is recorded.
    pub fn check_start_commands(&mut self, sync: &SyncRequest) {
        for command in &sync.commands {
            let WorkerCommand::Start { task, .. } = command else {
                continue;
            };
            let is_own_job = self.jobs.contains_key(&task.job.number);
            let is_named = self.named_parts().contains(&task.job);
            let row = self.rows.get(&job_key(&task.job));
            let row = row.and_then(|row| decode::<JobRow>(&row.value).ok());
            let has_ended = row.is_none_or(|row| row.outcome.is_some());
            self.reached.insert(Progress::Running);
            if !is_own_job && !is_named && !has_ended {
                self.violations
                    .push(format!("{task} was started before its gang was recorded"));
            }
        }
    }

    /// The parts that gang rows name.
    fn named_parts(&self) -> Vec<JobId> {
        let rows = self.rows.scan("gang/");
        let rows = rows
            .iter()
            .map(|row| decode::<GangRow>(&row.value).expect("a readable row"));
        rows.flat_map(|row| row.parts.into_iter().map(|part| part.job))
            .collect()
    }

    /// The row of a job.
    pub fn job_row(&self, number: u64) -> Option<JobRow> {
        let id = JobId::new(&shard_name(self.jobs[&number].home), number);
        let row = self.rows.get(&job_key(&id))?;
        decode(&row.value).ok()
    }

    pub fn outcome(&self, number: u64) -> Option<Outcome> {
        self.job_row(number)?.outcome
    }

    /// Runs until all accepted jobs have ended, for at most `ms` milliseconds, and 2 s longer.
    pub fn run_until_ended(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        let numbers: Vec<u64> = self.jobs.keys().copied().collect();
        self.run_ms(500);
        let has_ended = |simulation: &Self, n: &u64| {
            !simulation.jobs[n].accepted || simulation.outcome(*n).is_some()
        };
        while self.now < end && !numbers.iter().all(|n| has_ended(self, n)) {
            self.run_ms(500);
        }
        self.run_ms(2_000);
    }

    /// Returns a message for each violation of an invariant.
    pub fn find_violations(&mut self) -> Vec<String> {
        let mut violations = std::mem::take(&mut self.violations);
        for worker in &mut self.workers {
            worker.tick(self.now);
        }
        self.check_journals(&mut violations);
        for (number, job) in &self.jobs {
            let outcome = self.outcome(*number);
            if job.accepted && outcome.is_none() {
                let owner = self.current_owner(&shard_name(job.home));
                let id = JobId::new(&shard_name(job.home), *number);
                let decisions = owner.and_then(|o| self.owners[o].shard.decisions(&id));
                violations.push(format!("job {number:x} has no end: {decisions:?}"));
            }
            if !job.cancel_requested && outcome == Some(Outcome::Cancelled) {
                violations.push(format!("job {number:x} ended as cancelled"));
            }
        }
        violations
    }

    fn check_journals(&self, violations: &mut Vec<String>) {
        let mut running: BTreeMap<String, Time> = BTreeMap::new();
        let mut entries: Vec<_> = self.workers.iter().flat_map(|w| w.journal()).collect();
        entries.sort_by_key(|entry| entry.time_us);
        let mut held: BTreeMap<String, u32> = BTreeMap::new();
        for entry in entries {
            let Some(task) = &entry.task else {
                continue;
            };
            let held = held.entry(entry.worker.to_string()).or_default();
            match entry.event {
                JournalEvent::Started => {
                    *held += entry.resources.cpu_milli;
                    if running.insert(task.clone(), Time(entry.time_us)).is_some() {
                        violations.push(format!("{task} runs twice at {}", entry.time_us));
                    }
                    let cancelled = self.cancelled_at(entry.work.as_deref());
                    if cancelled.is_some_and(|at| at.0 < entry.time_us) {
                        violations.push(format!("{task} started after its cancellation"));
                    }
                }
                event if event.ends_attempt() => {
                    *held -= entry.resources.cpu_milli;
                    running.remove(task);
                }
                _ => {}
            }
            if *held > entry.capacity.cpu_milli {
                violations.push(format!("{} holds {held}", entry.worker));
            }
        }
    }

    fn cancelled_at(&self, work: Option<&str>) -> Option<Time> {
        let number = work?.parse().ok()?;
        self.jobs.get(&number)?.cancelled
    }
}
