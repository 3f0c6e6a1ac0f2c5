//! A simple oracle over the workers' journals, the table and what callers were told.

use std::collections::BTreeMap;
use std::time::Duration;

use chestnutlug::model::{JobId, Outcome, Time};
use chestnutlug::port::worker::{Command, SyncCall};
use chestnutlug::shard::rows::{GangRow, JobRow, decode, job_key};
use chestnutlug::standin::worker::Event;

use super::cell::{Cell, Step, shard_name};

impl Cell {
    /// A start of a part comes only after the whole job is recorded with that part.
    pub fn check_starts(&mut self, sync: &SyncCall) {
        for command in &sync.commands {
            let Command::Start { task, .. } = command else {
                continue;
            };
            let known = self.told.contains_key(&task.job.number);
            let named = self.named_parts().contains(&task.job);
            let row = self.rows.get(&job_key(&task.job));
            let row = row.and_then(|row| decode::<JobRow>(&row.value).ok());
            let ended = row.is_none_or(|row| row.outcome.is_some());
            self.reached.insert(Step::Running);
            if !known && !named && !ended {
                self.wrong
                    .push(format!("{task} started without its whole job"));
            }
        }
    }

    /// The parts that rows of jobs over several shards name.
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
        let id = JobId::new(&shard_name(self.told[&number].home), number);
        let row = self.rows.get(&job_key(&id))?;
        decode(&row.value).ok()
    }

    pub fn outcome(&self, number: u64) -> Option<Outcome> {
        self.job_row(number)?.outcome
    }

    /// Runs until all accepted jobs have ended, for at most `ms`.
    pub fn settle_ms(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        let numbers: Vec<u64> = self.told.keys().copied().collect();
        self.run_ms(500);
        let has_ended = |cell: &Self, n: &u64| !cell.told[n].accepted || cell.outcome(*n).is_some();
        while self.now < end && !numbers.iter().all(|n| has_ended(self, n)) {
            self.run_ms(500);
        }
        self.run_ms(2_000);
    }

    /// Everything that is wrong.
    pub fn judge(&mut self) -> Vec<String> {
        let mut wrong = std::mem::take(&mut self.wrong);
        for worker in &mut self.workers {
            worker.tick(self.now);
        }
        self.check_journals(&mut wrong);
        for (number, told) in &self.told {
            let outcome = self.outcome(*number);
            if told.accepted && outcome.is_none() {
                let owner = self.current(&shard_name(told.home));
                let id = JobId::new(&shard_name(told.home), *number);
                let why = owner.and_then(|o| self.owners[o].shard.decisions(&id));
                wrong.push(format!("job {number:x} has no end: {why:?}"));
            }
            if !told.cancel_asked && outcome == Some(Outcome::Cancelled) {
                wrong.push(format!("job {number:x} ended as cancelled"));
            }
        }
        wrong
    }

    fn check_journals(&self, wrong: &mut Vec<String>) {
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
                Event::Started => {
                    *held += entry.resources.cpu_milli;
                    if running.insert(task.clone(), Time(entry.time_us)).is_some() {
                        wrong.push(format!("{task} runs twice at {}", entry.time_us));
                    }
                    let cancelled = self.cancelled_at(entry.work.as_deref());
                    if cancelled.is_some_and(|at| at.0 < entry.time_us) {
                        wrong.push(format!("{task} started after its cancellation"));
                    }
                }
                event if event.ends_attempt() => {
                    *held -= entry.resources.cpu_milli;
                    running.remove(task);
                }
                _ => {}
            }
            if *held > entry.capacity.cpu_milli {
                wrong.push(format!("{} holds {held}", entry.worker));
            }
        }
    }

    fn cancelled_at(&self, work: Option<&str>) -> Option<Time> {
        let number = work?.parse().ok()?;
        self.told.get(&number)?.cancelled
    }
}
