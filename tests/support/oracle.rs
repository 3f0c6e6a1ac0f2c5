//! Judges a run by the workers' journals and by what callers were told.

use std::collections::BTreeMap;

use chestnutlug::standin::worker::{Entry, Event};

/// What the callers of one job were told and what the table shows of it at the end.
#[derive(Clone, Debug, Default)]
pub struct ObservedJob {
    pub idempotent: bool,
    pub tasks: u32,
    pub result: String,
    /// The idempotency key.
    pub key: Option<u64>,
    pub accepted: bool,
    /// Refused as not run.
    pub not_run: bool,
    /// When a cancellation was confirmed, in microseconds.
    pub cancelled_us: Option<u64>,
    /// The outcome and the results that the table shows at the end.
    pub stored: Option<(String, Vec<String>)>,
}

#[derive(Debug)]
struct Interval {
    worker: String,
    from: u64,
    to: u64,
    cpu_milli: u32,
}

/// The name that the journals use for a task of job `number`.
fn task_name(number: u64, index: u32) -> String {
    format!("s.{number:016x}/{index}")
}

/// Everything that is wrong.
pub fn find_violations(
    journals: &[&[Entry]],
    jobs: &BTreeMap<u64, ObservedJob>,
    end_us: u64,
) -> Vec<String> {
    let runs = runs_by_task(journals, end_us);
    let mut wrong = Vec::new();
    for (task, intervals) in &runs {
        check_one_place(task, intervals, &mut wrong);
    }
    check_capacity(journals, &runs, &mut wrong);
    check_keys(jobs, &runs, &mut wrong);
    for (number, told) in jobs {
        check_job(*number, told, &runs, &mut wrong);
    }
    wrong
}

fn runs_by_task(journals: &[&[Entry]], end_us: u64) -> BTreeMap<String, Vec<Interval>> {
    let mut runs: BTreeMap<String, Vec<Interval>> = BTreeMap::new();
    for entry in journals.iter().copied().flatten() {
        let Some(task) = &entry.task else {
            continue;
        };
        let intervals = runs.entry(task.clone()).or_default();
        let worker = entry.worker.to_string();
        match entry.event {
            Event::Started => intervals.push(Interval {
                worker,
                from: entry.time_us,
                to: end_us,
                cpu_milli: entry.resources.cpu_milli,
            }),
            Event::Ended | Event::Lapsed | Event::Killed => {
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

fn check_one_place(task: &str, intervals: &[Interval], wrong: &mut Vec<String>) {
    let mut sorted: Vec<&Interval> = intervals.iter().collect();
    sorted.sort_by_key(|i| (i.from, i.to));
    for pair in sorted.windows(2) {
        if pair[1].from < pair[0].to {
            wrong.push(format!("{task} ran twice at once: {pair:?}"));
        }
    }
}

fn check_capacity(
    journals: &[&[Entry]],
    runs: &BTreeMap<String, Vec<Interval>>,
    wrong: &mut Vec<String>,
) {
    for journal in journals {
        let Some(first) = journal.first() else {
            continue;
        };
        let name = first.worker.to_string();
        let mine = runs.values().flatten().filter(|i| i.worker == name);
        let mut changes: Vec<(u64, i64)> = Vec::new();
        for interval in mine.filter(|i| i.from < i.to) {
            changes.push((interval.from, i64::from(interval.cpu_milli)));
            changes.push((interval.to, -i64::from(interval.cpu_milli)));
        }
        changes.sort_unstable();
        let mut held = 0;
        for (at, change) in changes {
            held += change;
            if held > i64::from(first.capacity.cpu_milli) {
                wrong.push(format!("{name} held {held} at {at}"));
                break;
            }
        }
    }
}

fn check_job(
    number: u64,
    told: &ObservedJob,
    runs: &BTreeMap<String, Vec<Interval>>,
    wrong: &mut Vec<String>,
) {
    let name = |index| task_name(number, index);
    for task in (0..told.tasks).map(name) {
        let starts: Vec<u64> = runs
            .get(&task)
            .map_or(&[][..], Vec::as_slice)
            .iter()
            .map(|i| i.from)
            .collect();
        if !told.idempotent && starts.len() > 1 {
            wrong.push(format!(
                "{task} is not idempotent and started at {starts:?}"
            ));
        }
        if told.not_run && !told.accepted && !starts.is_empty() {
            wrong.push(format!("{task} was refused as not run and started"));
        }
        let late = told.cancelled_us.map(|at| starts.iter().any(|&s| s > at));
        if late == Some(true) {
            wrong.push(format!(
                "{task} started after its cancellation was confirmed"
            ));
        }
    }
    match &told.stored {
        None if told.accepted => wrong.push(format!("job {number:x} was accepted and is lost")),
        Some((outcome, results)) if outcome == "Succeeded" => {
            let whole = results.len() == told.tasks as usize;
            if !whole || results.iter().any(|result| *result != told.result) {
                wrong.push(format!("job {number:x}: results {results:?}"));
            }
        }
        _ => {}
    }
}

/// Of the jobs that were submitted with one key, one runs.
fn check_keys(
    jobs: &BTreeMap<u64, ObservedJob>,
    runs: &BTreeMap<String, Vec<Interval>>,
    wrong: &mut Vec<String>,
) {
    let mut ran: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for (number, told) in jobs {
        let started = (0..told.tasks).any(|index| runs.contains_key(&task_name(*number, index)));
        if let Some(key) = told.key.filter(|_| started) {
            ran.entry(key).or_default().push(*number);
        }
    }
    let twice = ran.iter().filter(|(_, numbers)| numbers.len() > 1);
    wrong.extend(twice.map(|(key, numbers)| format!("key {key}: jobs {numbers:?} ran")));
}
