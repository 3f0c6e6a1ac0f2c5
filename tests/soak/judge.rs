//! What callers and workers see, and whether it keeps the promises.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How long after its acknowledgement a cancellation may still be overtaken by a start: the
/// platform's bound for cancellations.
const CANCEL_BOUND: Duration = Duration::from_secs(3);

/// A step of a job.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    pub tasks: u32,
    /// Thousandths of a core.
    pub cpu: u32,
    pub ms: u64,
}

/// A job: its steps run one after the other.
#[derive(Clone, Debug, Default)]
pub struct Job {
    pub steps: Vec<Step>,
    /// Tries that ended with an answer that says that it never runs.
    refusals: u32,
    /// Tries that ended otherwise, or are under way.
    others: u32,
    pub accepted: bool,
    cancelled: Option<Instant>,
    may_be_cancelled: bool,
    started: bool,
    done: HashMap<String, Done>,
    shown_complete: bool,
}

/// The end of a task that was done.
#[derive(Clone, Copy, Debug)]
struct Done {
    worker: usize,
    acknowledged: bool,
    /// Whether the worker lost it before it was acknowledged.
    lost: bool,
    /// Whether the task was started again since.
    again: bool,
}

/// What a run takes of its worker, and what it does.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    pub cpu: u32,
    pub ms: u64,
}

#[derive(Debug, Default)]
struct Seen {
    jobs: HashMap<String, Job>,
    /// Tasks that run, with their workers.
    running: HashMap<String, usize>,
    starts: u64,
    findings: Vec<String>,
    began: Option<Instant>,
}

/// Judges.
#[derive(Debug, Default)]
pub struct Judge {
    seen: Mutex<Seen>,
}

/// How much was seen.
pub struct Counts {
    jobs: usize,
    accepted: usize,
    complete: usize,
    starts: u64,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            jobs,
            accepted,
            complete,
            starts,
        } = self;
        write!(
            f,
            "{jobs} jobs, {accepted} accepted, {complete} complete, {starts} starts"
        )
    }
}

/// A task's name split into its job, step and index.
fn parts(task: &str) -> Option<(&str, usize, u32)> {
    let mut parts = task.split('.');
    let job = parts.next()?;
    let step = parts.nth(1)?.parse().ok()?;
    Some((job, step, parts.next()?.parse().ok()?))
}

impl Seen {
    fn find(&mut self, finding: String) {
        let at = self.began.get_or_insert_with(Instant::now).elapsed();
        self.findings
            .push(format!("at {} ms: {finding}", at.as_millis()));
    }
}

impl Judge {
    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn findings(&self) -> Vec<String> {
        self.lock().findings.clone()
    }

    pub fn find(&self, finding: String) {
        self.lock().find(finding);
    }

    pub fn counts(&self) -> Counts {
        let seen = self.lock();
        Counts {
            jobs: seen.jobs.len(),
            accepted: seen.jobs.values().filter(|job| job.accepted).count(),
            complete: seen.jobs.values().filter(|job| job.shown_complete).count(),
            starts: seen.starts,
        }
    }

    /// A caller tries to hand the job in.
    pub fn submits(&self, id: &str, steps: &[Step]) {
        let mut seen = self.lock();
        seen.began.get_or_insert_with(Instant::now);
        let job = seen.jobs.entry(id.to_owned()).or_default();
        job.steps = steps.to_vec();
        job.others += 1;
    }

    pub fn accepted(&self, id: &str) {
        if let Some(job) = self.lock().jobs.get_mut(id) {
            job.accepted = true;
        }
    }

    /// A try was answered with a refusal that says that the job never runs.
    pub fn refused(&self, id: &str) {
        let mut seen = self.lock();
        let Some(job) = seen.jobs.get_mut(id) else {
            return;
        };
        job.others -= 1;
        job.refusals += 1;
        if job.others == 0 && job.started {
            seen.find(format!("{id} was refused and had started"));
        }
    }

    pub fn cancelled(&self, id: &str) {
        if let Some(job) = self.lock().jobs.get_mut(id) {
            job.cancelled.get_or_insert_with(Instant::now);
        }
    }

    /// It is open whether a cancellation of the job takes effect, so nothing of it is judged later.
    pub fn forget(&self, id: &str) {
        if let Some(job) = self.lock().jobs.get_mut(id) {
            job.accepted = false;
            job.may_be_cancelled = true;
        }
    }

    /// A caller was shown this state.
    pub fn shown(&self, id: &str, state: &str) {
        let mut seen = self.lock();
        let Some(job) = seen.jobs.get_mut(id) else {
            return;
        };
        let tasks: u32 = job.steps.iter().map(|step| step.tasks).sum();
        let done = job.done.len();
        let cancelled = job.cancelled.is_some() || job.may_be_cancelled;
        match state {
            "complete" => {
                job.shown_complete = true;
                if done < tasks as usize {
                    seen.find(format!(
                        "{id} is shown as complete with {done} of {tasks} done"
                    ));
                }
            }
            "canceled" if !cancelled => seen.find(format!("{id} is shown as cancelled")),
            "failed" => seen.find(format!("{id} is shown as failed")),
            _ => {}
        }
    }

    /// What the task does; `None` for one that no caller handed in.
    pub fn work(&self, task: &str) -> Option<Work> {
        let (job, step, _) = parts(task)?;
        let seen = self.lock();
        let step = seen.jobs.get(job)?.steps.get(step)?;
        Some(Work {
            cpu: step.cpu,
            ms: step.ms,
        })
    }

    /// A worker begins a run.
    pub fn starts(&self, worker: usize, task: &str, run: u64) {
        let mut seen = self.lock();
        seen.starts += 1;
        let here = format!("{task} run {run} starts on worker {worker}");
        let Some((id, step, _)) = parts(task) else {
            return seen.find(format!("{here}, which is no task's name"));
        };
        if let Some(other) = seen.running.insert(task.to_owned(), worker) {
            seen.find(format!("{here} while it runs on worker {other}"));
        }
        let Some(job) = seen.jobs.get_mut(id) else {
            return seen.find(format!("{here}, which no caller handed in"));
        };
        job.started = true;
        let mut wrong = Vec::new();
        if let Some(done) = job.done.get_mut(task) {
            done.again = true;
            if done.acknowledged && !done.lost {
                wrong.push("after its end was acknowledged");
            }
        }
        if job.others == 0 {
            wrong.push("though each try was refused");
        }
        if job.cancelled.is_some_and(|at| at.elapsed() > CANCEL_BOUND) {
            wrong.push("long after its cancellation");
        }
        let before: u32 = job.steps.iter().take(step).map(|step| step.tasks).sum();
        let done = job.done.keys().filter_map(|task| parts(task));
        let done = done.filter(|(_, earlier, _)| *earlier < step).count();
        if done < before as usize {
            wrong.push("before the steps that it waits for");
        }
        for wrong in wrong {
            seen.find(format!("{here} {wrong}"));
        }
    }

    /// A run is over; `done` where it succeeded.
    pub fn ends(&self, worker: usize, task: &str, done: bool) {
        let mut seen = self.lock();
        if seen.running.get(task) == Some(&worker) {
            seen.running.remove(task);
        }
        let Some((id, ..)) = parts(task).filter(|_| done) else {
            return;
        };
        if let Some(job) = seen.jobs.get_mut(id) {
            let end = Done {
                worker,
                acknowledged: false,
                lost: false,
                again: false,
            };
            job.done.entry(task.to_owned()).or_insert(end);
        }
    }

    /// The owner has taken note of the end of a task that was done.
    pub fn acknowledged(&self, worker: usize, task: &str) {
        let mut seen = self.lock();
        let Some((id, ..)) = parts(task) else {
            return;
        };
        let job = seen.jobs.get_mut(id);
        let Some(done) = job.and_then(|job| job.done.get_mut(task)) else {
            return;
        };
        if done.worker != worker || done.lost {
            return;
        }
        done.acknowledged = true;
        if done.again {
            seen.find(format!("{task} was started again though its end counts"));
        }
    }

    /// A worker lost what it knew. An owner may have heard of an end that was not acknowledged, or not,
    /// so the task may be taken as done and may start again.
    pub fn forgets(&self, worker: usize) {
        let mut seen = self.lock();
        seen.running.retain(|_, on| *on != worker);
        let ends = seen.jobs.values_mut().flat_map(|job| job.done.values_mut());
        for done in ends.filter(|done| done.worker == worker && !done.acknowledged) {
            done.lost = true;
        }
    }

    /// Whether a worker has begun a run of the job.
    pub fn has_started(&self, id: &str) -> bool {
        let seen = self.lock();
        seen.jobs.get(id).is_some_and(|job| job.started)
    }

    /// Accepted jobs that callers have not seen end, by name.
    pub fn open(&self) -> Vec<String> {
        let seen = self.lock();
        let open = seen
            .jobs
            .iter()
            .filter(|(_, job)| job.accepted && job.cancelled.is_none() && !job.shown_complete);
        open.map(|(id, _)| id.clone()).collect()
    }
}
