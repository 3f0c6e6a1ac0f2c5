//! What became of each piece of work, beside what its caller was told.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::{CheckOptions, Observations, ReportedOutcome, ReportedWork, Verdict};
use crate::model::Outcome;
use crate::standin::{backend, worker};

/// One run of a task or of a request.
#[derive(Clone, Debug)]
struct Run {
    machine: String,
    /// The task as the system names it; empty for a request.
    task: String,
    attempt: u32,
    began_us: u64,
    /// `u64::MAX` where no end was seen.
    ended_us: u64,
    succeeded: bool,
    /// When the end was acknowledged, in microseconds since the Unix epoch.
    acknowledged_us: Option<u64>,
}

/// The runs of one piece of work, by the index of its task.
type Runs = BTreeMap<u32, Vec<Run>>;

/// Compares what callers were told with what ran.
pub fn judge_work(evidence: Observations<'_>, rules: CheckOptions, verdict: &mut Verdict) {
    let mut runs = task_runs(evidence);
    add_request_runs(evidence.backends, &mut runs);
    let none = Runs::new();
    for claim in evidence.reported {
        count_told(claim, verdict);
        let runs = runs.get(claim.work.as_str()).unwrap_or(&none);
        judge_claim(claim, runs, rules, verdict);
    }
    for (work, runs) in &runs {
        for (index, runs) in runs {
            let overlapping = overlaps(runs, rules.clock_tolerance_us);
            for _ in 0..overlapping {
                verdict.found(
                    |v| &mut v.overlapping,
                    || format!("{work}/{index} ran in two places at once: {runs:?}"),
                );
            }
        }
    }
}

fn count_told(claim: &ReportedWork, verdict: &mut Verdict) {
    verdict.submitted += 1;
    match claim.outcome {
        ReportedOutcome::Finished => verdict.finished += 1,
        ReportedOutcome::NotRun => verdict.refused += 1,
        ReportedOutcome::Unknown | ReportedOutcome::NoResponse => verdict.unknown += 1,
        ReportedOutcome::Garbled => verdict.found(
            |v| &mut v.garbled,
            || {
                format!(
                    "{} got an answer that is not whole or not its own",
                    claim.work
                )
            },
        ),
        ReportedOutcome::Failed | ReportedOutcome::Cancelled | ReportedOutcome::Accepted => {}
    }
}

fn judge_claim(claim: &ReportedWork, runs: &Runs, rules: CheckOptions, verdict: &mut Verdict) {
    let work = &claim.work;
    if claim.outcome == ReportedOutcome::NotRun && !runs.is_empty() {
        verdict.found(
            |v| &mut v.not_run_but_ran,
            || format!("{work} was told not to have run: {runs:?}"),
        );
    }
    if claim.outcome == ReportedOutcome::Accepted {
        verdict.found(
            |v| &mut v.lost,
            || format!("{work} was accepted and has no end: {runs:?}"),
        );
    }
    for index in 0..claim.tasks {
        let runs = runs.get(&index).map_or(&[][..], Vec::as_slice);
        judge_task(claim, index, runs, rules, verdict);
    }
}

fn judge_task(
    claim: &ReportedWork,
    index: u32,
    runs: &[Run],
    rules: CheckOptions,
    verdict: &mut Verdict,
) {
    let work = &claim.work;
    let done = runs.iter().any(|run| run.succeeded);
    if claim.outcome == ReportedOutcome::Finished && !done {
        verdict.found(
            |v| &mut v.lost,
            || format!("{work}/{index} was told to be done and is not: {runs:?}"),
        );
    }
    if claim.outcome == ReportedOutcome::Cancelled
        && runs.iter().any(|run| run.ended_us == u64::MAX)
    {
        verdict.found(
            |v| &mut v.ran_on,
            || format!("{work}/{index} was told to be cancelled and runs: {runs:?}"),
        );
    }
    if !claim.idempotent && runs.len() > 1 {
        verdict.found(
            |v| &mut v.non_idempotent_repeated,
            || format!("{work}/{index} is not idempotent: {runs:?}"),
        );
    }
    if doubled(runs, rules) {
        verdict.found(
            |v| &mut v.doubled,
            || format!("{work}/{index} was done again: {runs:?}"),
        );
    }
}

/// Whether work was done again after it was done, or was taken for two pieces of work.
fn doubled(runs: &[Run], rules: CheckOptions) -> bool {
    let names: HashSet<&str> = runs.iter().map(|run| run.task.as_str()).collect();
    if names.len() > 1 {
        return true;
    }
    let done = runs.iter().filter(|run| run.succeeded);
    if !rules.faults_injected {
        return done.count() > 1;
    }
    let known = done.filter_map(|run| run.acknowledged_us).min();
    let Some(known) = known else { return false };
    let after = known.saturating_add(rules.clock_tolerance_us);
    runs.iter().any(|run| run.began_us > after)
}

/// How many runs of a task began while an earlier one went on; requests are no tasks.
fn overlaps(runs: &[Run], clock_tolerance_us: u64) -> usize {
    let tasks = runs.iter().filter(|run| !run.task.is_empty());
    let mut ordered: Vec<&Run> = tasks.collect();
    ordered.sort_by_key(|run| run.began_us);
    let mut busy_until = 0;
    let mut count = 0;
    for run in ordered {
        let free_at = u64::saturating_sub(busy_until, clock_tolerance_us);
        count += usize::from(run.began_us < free_at);
        busy_until = busy_until.max(run.ended_us);
    }
    count
}

/// Reads the runs of tasks; tasks whose payload names no work go under their job's name.
fn task_runs(evidence: Observations<'_>) -> HashMap<String, Runs> {
    let mut runs: HashMap<String, Runs> = HashMap::new();
    for entry in evidence.workers {
        if entry.event == worker::JournalEvent::Booted {
            let open = runs.values_mut().flat_map(BTreeMap::values_mut).flatten();
            let open = open.filter(|run| run.machine == entry.worker.as_str());
            open.for_each(|run| run.ended_us = run.ended_us.min(entry.time_us));
            continue;
        }
        let Some(task) = &entry.task else { continue };
        let (job, index) = task.rsplit_once('/').unwrap_or((task, "0"));
        let work = entry.work.clone().unwrap_or_else(|| job.to_owned());
        let index = index.parse().unwrap_or(0);
        let runs = runs.entry(work).or_default().entry(index).or_default();
        apply(runs, entry, task);
    }
    end_killed(evidence, &mut runs);
    runs
}

fn apply(runs: &mut Vec<Run>, entry: &worker::JournalEntry, task: &str) {
    let machine = entry.worker.as_str();
    if entry.event == worker::JournalEvent::Started {
        runs.push(Run {
            machine: machine.to_owned(),
            task: task.to_owned(),
            attempt: entry.attempt,
            began_us: entry.time_us,
            ended_us: u64::MAX,
            succeeded: false,
            acknowledged_us: None,
        });
        return;
    }
    let own =
        |run: &&mut Run| run.machine == machine && run.task == task && run.attempt == entry.attempt;
    let mut own = runs.iter_mut().filter(own);
    if entry.event == worker::JournalEvent::Acknowledged {
        if let Some(run) = own.find(|run| run.acknowledged_us.is_none()) {
            run.acknowledged_us = Some(entry.time_us);
        }
    } else if entry.event.ends_attempt()
        && let Some(run) = own.find(|run| run.ended_us == u64::MAX)
    {
        run.ended_us = entry.time_us;
        run.succeeded = entry.outcome == Some(Outcome::Succeeded);
    }
}

fn end_killed(evidence: Observations<'_>, runs: &mut HashMap<String, Runs>) {
    for (worker, at_us) in evidence.killed_workers {
        let all = runs.values_mut().flat_map(BTreeMap::values_mut).flatten();
        let open = all.filter(|run| run.machine == worker.as_str() && run.began_us <= *at_us);
        open.for_each(|run| run.ended_us = run.ended_us.min(*at_us));
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
                began_us: entry.time_us,
                ended_us: u64::MAX,
                succeeded: false,
                acknowledged_us: None,
            }),
            backend::JournalEvent::End | backend::JournalEvent::Cut => {
                let mut own = runs.iter_mut().filter(|run| run.machine == machine);
                if let Some(run) = own.find(|run| run.ended_us == u64::MAX) {
                    run.ended_us = entry.time_us;
                    run.succeeded = entry.event == backend::JournalEvent::End;
                }
            }
            backend::JournalEvent::Connected | backend::JournalEvent::Leaving => {}
        }
    }
}
