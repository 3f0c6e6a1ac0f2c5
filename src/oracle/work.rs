//! Checks the runs of each piece of work against the outcome that its caller received.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::{CheckOptions, Observations, ReportedOutcome, ReportedWork, Verdict};
use crate::model::Outcome;
use crate::standin::{backend, worker};

/// A run of a task or a request.
#[derive(Clone, Debug)]
struct Run {
    machine: String,
    /// The id of the task; empty for a request.
    task: String,
    attempt: u32,
    started_us: u64,
    /// `u64::MAX` if no end was observed.
    ended_us: u64,
    succeeded: bool,
    /// When the result was acknowledged, in microseconds since the Unix epoch.
    acknowledged_us: Option<u64>,
}

/// The runs of one piece of work by task index.
type Runs = BTreeMap<u32, Vec<Run>>;

/// Checks the runs of all work against the reported outcomes.
pub fn check_work(observations: Observations<'_>, options: CheckOptions, verdict: &mut Verdict) {
    let mut runs = task_runs(observations);
    add_request_runs(observations.backends, &mut runs);
    let no_runs = Runs::new();
    for reported in observations.reported {
        count_outcome(reported, verdict);
        let runs = runs.get(reported.work.as_str()).unwrap_or(&no_runs);
        check_outcome(reported, runs, options, verdict);
    }
    for (work, runs) in &runs {
        for (index, runs) in runs {
            let overlapping = count_overlaps(runs, options.clock_tolerance_us);
            for _ in 0..overlapping {
                verdict.record(
                    |v| &mut v.overlapping,
                    || format!("{work}/{index} ran twice at the same time: {runs:?}"),
                );
            }
        }
    }
}

fn count_outcome(reported: &ReportedWork, verdict: &mut Verdict) {
    verdict.submitted += 1;
    match reported.outcome {
        ReportedOutcome::Finished => verdict.finished += 1,
        ReportedOutcome::NotRun => verdict.refused += 1,
        ReportedOutcome::Unknown | ReportedOutcome::NoResponse => verdict.unknown += 1,
        ReportedOutcome::Garbled => verdict.record(
            |v| &mut v.garbled,
            || {
                format!(
                    "{} got a response that is truncated or belongs to another caller",
                    reported.work
                )
            },
        ),
        ReportedOutcome::Failed | ReportedOutcome::Cancelled | ReportedOutcome::Accepted => {}
    }
}

fn check_outcome(
    reported: &ReportedWork,
    runs: &Runs,
    options: CheckOptions,
    verdict: &mut Verdict,
) {
    let work = &reported.work;
    if reported.outcome == ReportedOutcome::NotRun && !runs.is_empty() {
        verdict.record(
            |v| &mut v.not_run_but_ran,
            || format!("{work} was reported as not run, but ran: {runs:?}"),
        );
    }
    if reported.outcome == ReportedOutcome::Accepted {
        verdict.record(
            |v| &mut v.lost,
            || format!("{work} was accepted and has no final outcome: {runs:?}"),
        );
    }
    for index in 0..reported.tasks {
        let runs = runs.get(&index).map_or(&[][..], Vec::as_slice);
        check_task(reported, index, runs, options, verdict);
    }
}

fn check_task(
    reported: &ReportedWork,
    index: u32,
    runs: &[Run],
    options: CheckOptions,
    verdict: &mut Verdict,
) {
    let work = &reported.work;
    let succeeded = runs.iter().any(|run| run.succeeded);
    if reported.outcome == ReportedOutcome::Finished && !succeeded {
        verdict.record(
            |v| &mut v.lost,
            || format!("{work}/{index} was reported as done, but did not succeed: {runs:?}"),
        );
    }
    if reported.outcome == ReportedOutcome::Cancelled
        && runs.iter().any(|run| run.ended_us == u64::MAX)
    {
        verdict.record(
            |v| &mut v.ran_on,
            || format!("{work}/{index} was reported as cancelled, but is running: {runs:?}"),
        );
    }
    if !reported.idempotent && runs.len() > 1 {
        verdict.record(
            |v| &mut v.non_idempotent_repeated,
            || format!("{work}/{index} is not idempotent and was started more than once: {runs:?}"),
        );
    }
    if is_repeated(runs, options) {
        verdict.record(
            |v| &mut v.doubled,
            || format!("{work}/{index} ran again after success or as another job: {runs:?}"),
        );
    }
}

/// Whether a task was run again after it had succeeded, or the same work was accepted as two jobs.
fn is_repeated(runs: &[Run], options: CheckOptions) -> bool {
    let task_ids: HashSet<&str> = runs.iter().map(|run| run.task.as_str()).collect();
    if task_ids.len() > 1 {
        return true;
    }
    let succeeded = runs.iter().filter(|run| run.succeeded);
    if !options.faults_injected {
        return succeeded.count() > 1;
    }
    let acked = succeeded.filter_map(|run| run.acknowledged_us).min();
    let Some(acked) = acked else { return false };
    let latest_start_us = acked.saturating_add(options.clock_tolerance_us);
    runs.iter().any(|run| run.started_us > latest_start_us)
}

/// Counts the runs of a task that started while an earlier run had not ended. Runs of requests are
/// ignored.
fn count_overlaps(runs: &[Run], clock_tolerance_us: u64) -> usize {
    let tasks = runs.iter().filter(|run| !run.task.is_empty());
    let mut ordered: Vec<&Run> = tasks.collect();
    ordered.sort_by_key(|run| run.started_us);
    let mut busy_until_us = 0;
    let mut count = 0;
    for run in ordered {
        let free_at_us = u64::saturating_sub(busy_until_us, clock_tolerance_us);
        count += usize::from(run.started_us < free_at_us);
        busy_until_us = busy_until_us.max(run.ended_us);
    }
    count
}

/// Collects the runs of tasks by work. Tasks without `work` in their payload are listed under the
/// id of their job.
fn task_runs(observations: Observations<'_>) -> HashMap<String, Runs> {
    let mut runs: HashMap<String, Runs> = HashMap::new();
    for entry in observations.workers {
        if entry.event == worker::JournalEvent::Booted {
            let all = runs.values_mut().flat_map(BTreeMap::values_mut).flatten();
            let on_worker = all.filter(|run| run.machine == entry.worker.as_str());
            on_worker.for_each(|run| run.ended_us = run.ended_us.min(entry.time_us));
            continue;
        }
        let Some(task) = &entry.task else { continue };
        let (job, index) = task.rsplit_once('/').unwrap_or((task, "0"));
        let work = entry.work.clone().unwrap_or_else(|| job.to_owned());
        let index = index.parse().unwrap_or(0);
        let runs = runs.entry(work).or_default().entry(index).or_default();
        apply_entry(runs, entry, task);
    }
    end_runs_of_killed_workers(observations, &mut runs);
    runs
}

fn apply_entry(runs: &mut Vec<Run>, entry: &worker::JournalEntry, task: &str) {
    let machine = entry.worker.as_str();
    if entry.event == worker::JournalEvent::Started {
        runs.push(Run {
            machine: machine.to_owned(),
            task: task.to_owned(),
            attempt: entry.attempt,
            started_us: entry.time_us,
            ended_us: u64::MAX,
            succeeded: false,
            acknowledged_us: None,
        });
        return;
    }
    let is_same_attempt =
        |run: &&mut Run| run.machine == machine && run.task == task && run.attempt == entry.attempt;
    let mut matching = runs.iter_mut().filter(is_same_attempt);
    if entry.event == worker::JournalEvent::Acknowledged {
        if let Some(run) = matching.find(|run| run.acknowledged_us.is_none()) {
            run.acknowledged_us = Some(entry.time_us);
        }
    } else if entry.event.ends_attempt()
        && let Some(run) = matching.find(|run| run.ended_us == u64::MAX)
    {
        run.ended_us = entry.time_us;
        run.succeeded = entry.outcome == Some(Outcome::Succeeded);
    }
}

fn end_runs_of_killed_workers(observations: Observations<'_>, runs: &mut HashMap<String, Runs>) {
    for (worker, at_us) in observations.killed_workers {
        let all = runs.values_mut().flat_map(BTreeMap::values_mut).flatten();
        let killed = all.filter(|run| run.machine == worker.as_str() && run.started_us <= *at_us);
        killed.for_each(|run| run.ended_us = run.ended_us.min(*at_us));
    }
}

fn add_request_runs(entries: &[backend::JournalEntry], runs: &mut HashMap<String, Runs>) {
    for entry in entries {
        let Some(request) = &entry.request else {
            continue;
        };
        let runs = runs
            .entry(request.clone())
            .or_default()
            .entry(0)
            .or_default();
        let machine = entry.backend.as_str();
        match entry.event {
            backend::JournalEvent::Begin => runs.push(Run {
                machine: machine.to_owned(),
                task: String::new(),
                attempt: 0,
                started_us: entry.time_us,
                ended_us: u64::MAX,
                succeeded: false,
                acknowledged_us: None,
            }),
            backend::JournalEvent::End | backend::JournalEvent::Cut => {
                let mut on_machine = runs.iter_mut().filter(|run| run.machine == machine);
                if let Some(run) = on_machine.find(|run| run.ended_us == u64::MAX) {
                    run.ended_us = entry.time_us;
                    run.succeeded = entry.event == backend::JournalEvent::End;
                }
            }
            backend::JournalEvent::Connected | backend::JournalEvent::Leaving => {}
        }
    }
}
