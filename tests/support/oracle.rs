//! Checks the invariants of a run from the workers' journals, the replies to callers and the table.

use std::collections::BTreeMap;

use chestnutlug::standin::worker::{JournalEntry, JournalEvent};

/// A job as its callers and the table show it.
#[derive(Clone, Debug, Default)]
pub struct ObservedJob {
    pub idempotent: bool,
    pub tasks: u32,
    pub result: String,
    /// The idempotency key.
    pub key: Option<u64>,
    pub accepted: bool,
    /// Whether a submission was refused as not run.
    pub not_run: bool,
    /// When a cancellation was confirmed, in microseconds.
    pub cancelled_us: Option<u64>,
    /// The outcome and the results in the table at the end of the run.
    pub stored: Option<(String, Vec<String>)>,
}

#[derive(Debug)]
struct Interval {
    worker: String,
    from: u64,
    to: u64,
    cpu_milli: u32,
}

/// The name of a task of job `number` in the journals.
fn task_name(number: u64, index: u32) -> String {
    format!("s.{number:016x}/{index}")
}

/// Returns a message for each violation of an invariant.
pub fn find_violations(
    journals: &[&[JournalEntry]],
    jobs: &BTreeMap<u64, ObservedJob>,
    end_us: u64,
) -> Vec<String> {
    let runs = runs_by_task(journals, end_us);
    let mut violations = Vec::new();
    for (task, intervals) in &runs {
        check_no_overlap(task, intervals, &mut violations);
    }
    check_capacity(journals, &runs, &mut violations);
    check_keys(jobs, &runs, &mut violations);
    for (number, job) in jobs {
        check_job(*number, job, &runs, &mut violations);
    }
    violations
}

fn runs_by_task(journals: &[&[JournalEntry]], end_us: u64) -> BTreeMap<String, Vec<Interval>> {
    let mut runs: BTreeMap<String, Vec<Interval>> = BTreeMap::new();
    for entry in journals.iter().copied().flatten() {
        let Some(task) = &entry.task else {
            continue;
        };
        let intervals = runs.entry(task.clone()).or_default();
        let worker = entry.worker.to_string();
        match entry.event {
            JournalEvent::Started => intervals.push(Interval {
                worker,
                from: entry.time_us,
                to: end_us,
                cpu_milli: entry.resources.cpu_milli,
            }),
            JournalEvent::Ended | JournalEvent::Lapsed | JournalEvent::Killed => {
                let open = |i: &&mut Interval| i.worker == worker && i.to == end_us;
                if let Some(interval) = intervals.iter_mut().find(open) {
                    interval.to = entry.time_us;
                }
            }
            _ => {}
        }
    }
    runs
}

fn check_no_overlap(task: &str, intervals: &[Interval], violations: &mut Vec<String>) {
    let mut sorted: Vec<&Interval> = intervals.iter().collect();
    sorted.sort_by_key(|i| (i.from, i.to));
    for pair in sorted.windows(2) {
        if pair[1].from < pair[0].to {
            violations.push(format!("{task} ran twice at once: {pair:?}"));
        }
    }
}

fn check_capacity(
    journals: &[&[JournalEntry]],
    runs: &BTreeMap<String, Vec<Interval>>,
    violations: &mut Vec<String>,
) {
    for journal in journals {
        let Some(first) = journal.first() else {
            continue;
        };
        let name = first.worker.to_string();
        let runs_here = runs.values().flatten().filter(|i| i.worker == name);
        let mut changes: Vec<(u64, i64)> = Vec::new();
        for interval in runs_here.filter(|i| i.from < i.to) {
            changes.push((interval.from, i64::from(interval.cpu_milli)));
            changes.push((interval.to, -i64::from(interval.cpu_milli)));
        }
        changes.sort_unstable();
        let mut held = 0;
        for (at, change) in changes {
            held += change;
            if held > i64::from(first.capacity.cpu_milli) {
                violations.push(format!("{name} held {held} at {at}"));
                break;
            }
        }
    }
}

fn check_job(
    number: u64,
    job: &ObservedJob,
    runs: &BTreeMap<String, Vec<Interval>>,
    violations: &mut Vec<String>,
) {
    let name = |index| task_name(number, index);
    for task in (0..job.tasks).map(name) {
        let starts: Vec<u64> = runs
            .get(&task)
            .map_or(&[][..], Vec::as_slice)
            .iter()
            .map(|i| i.from)
            .collect();
        if !job.idempotent && starts.len() > 1 {
            violations.push(format!(
                "{task} is not idempotent and started at {starts:?}"
            ));
        }
        if job.not_run && !job.accepted && !starts.is_empty() {
            violations.push(format!("{task} was refused as not run and started"));
        }
        let late = job.cancelled_us.map(|at| starts.iter().any(|&s| s > at));
        if late == Some(true) {
            violations.push(format!(
                "{task} started after its cancellation was confirmed"
            ));
        }
    }
    match &job.stored {
        None if job.accepted => violations.push(format!("job {number:x} was accepted and is lost")),
        Some((outcome, results)) if outcome == "Succeeded" => {
            let is_complete = results.len() == job.tasks as usize;
            if !is_complete || results.iter().any(|result| *result != job.result) {
                violations.push(format!("job {number:x}: results {results:?}"));
            }
        }
        _ => {}
    }
}

/// Of the jobs that were submitted with the same idempotency key, at most one may run.
fn check_keys(
    jobs: &BTreeMap<u64, ObservedJob>,
    runs: &BTreeMap<String, Vec<Interval>>,
    violations: &mut Vec<String>,
) {
    let mut ran: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for (number, job) in jobs {
        let started = (0..job.tasks).any(|index| runs.contains_key(&task_name(*number, index)));
        if let Some(key) = job.key.filter(|_| started) {
            ran.entry(key).or_default().push(*number);
        }
    }
    let twice = ran.iter().filter(|(_, numbers)| numbers.len() > 1);
    violations.extend(twice.map(|(key, numbers)| format!("key {key}: jobs {numbers:?} ran")));
}
