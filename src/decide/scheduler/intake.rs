//! Admission of jobs, queueing, and jobs that are restored from an earlier owner.

use super::super::index::fitting_tasks;
use super::super::{JobKey, RestoredTask};
use super::Scheduler;
use super::charge::multiply;
use super::state::{Job, KindId, QueueId, Task, TaskStatus, TeamId};
use crate::error::Refusal;
use crate::model::{JobSpec, Resources, Time, Urgency};

/// Maximum length of one queue, as a multiple of what it leaves free of the limit of its team or
/// kind.
const QUEUE_FACTOR: u64 = 8;

impl Scheduler {
    /// Refuses a job that can never run, whose team or kind is unknown, whose queue is full or
    /// whose team has spent its balance.
    pub(super) fn admit(&self, spec: &JobSpec, now: Time) -> Result<(), Refusal> {
        let team = self.known_team(spec)?;
        let kind = self.known_kind(spec)?;
        if spec.tasks == 0 {
            return Err(Refusal::not_run("no_tasks", "the job has no tasks"));
        }
        self.admit_size(spec)?;
        self.admit_quota(spec, team)?;
        if self.teams[team].limits.balance_core_ms == 0 && !self.teams[team].more_available {
            let reason = "the team's balance is spent";
            return Err(Refusal::not_run("balance_spent", reason));
        }
        self.admit_queue_length(spec, team, kind, now)
    }

    fn known_team(&self, spec: &JobSpec) -> Result<TeamId, Refusal> {
        let id = self.team_ids.get(&spec.team).copied();
        id.filter(|&id| self.teams[id].is_configured)
            .ok_or_else(|| Refusal::not_run("unknown_team", "the team is not known"))
    }

    fn known_kind(&self, spec: &JobSpec) -> Result<KindId, Refusal> {
        let id = self.kind_ids.get(&spec.kind).copied();
        id.filter(|&id| self.kinds[id].is_configured)
            .ok_or_else(|| Refusal::not_run("unknown_kind", "the kind is not known"))
    }

    fn admit_size(&self, spec: &JobSpec) -> Result<(), Refusal> {
        let need = &spec.resources;
        if self.workers_by_capacity.is_empty() {
            let reason = "the shard has no workers";
            return Err(Refusal::not_run("no_workers", reason).retry_after(1_000));
        }
        if !self
            .workers_by_capacity
            .keys()
            .any(|capacity| need.fits_in(capacity))
        {
            let nearest = self.nearest_fitting_size(need);
            let reason = format!("no worker holds such a task; {nearest} would fit");
            return Err(Refusal::not_run("never_fits", reason));
        }
        let max_tasks = self.total_fitting_tasks(need);
        if spec.all_at_once && u64::from(spec.tasks) > max_tasks {
            let reason = format!(
                "{max_tasks} such tasks at once would fit, not {}",
                spec.tasks
            );
            return Err(Refusal::not_run("never_fits", reason));
        }
        Ok(())
    }

    fn total_fitting_tasks(&self, need: &Resources) -> u64 {
        let fitting =
            |(size, &n): (&Resources, &u32)| u64::from(fitting_tasks(need, size)) * u64::from(n);
        self.workers_by_capacity.iter().map(fitting).sum()
    }

    /// Returns how much of `need` the best fitting worker can hold.
    fn nearest_fitting_size(&self, need: &Resources) -> String {
        let fitting_share = |capacity: &Resources| {
            let share = |need: u32, available: u32| match need {
                0 => 1.0,
                need => f64::from(need.min(available)) / f64::from(need),
            };
            share(need.cpu_milli, capacity.cpu_milli)
                * share(need.memory_mib, capacity.memory_mib)
                * share(need.accelerators, capacity.accelerators)
        };
        let nearest = self
            .workers_by_capacity
            .keys()
            .max_by(|a, b| fitting_share(a).total_cmp(&fitting_share(b)));
        let size = nearest.map_or_else(Resources::default, |limit| need.minus(&need.minus(limit)));
        format!(
            "{} thousandths of a core, {} MiB and {} accelerators",
            size.cpu_milli, size.memory_mib, size.accelerators
        )
    }

    fn admit_quota(&self, spec: &JobSpec, team: TeamId) -> Result<(), Refusal> {
        let quota = &self.teams[team].limits.quota;
        let at_once = if spec.all_at_once { spec.tasks } else { 1 };
        if multiply(&spec.resources, at_once).fits_in(quota) {
            return Ok(());
        }
        let max_tasks = fitting_tasks(&spec.resources, quota);
        let reason =
            format!("the team's quota holds {max_tasks} such tasks at once, not {at_once}");
        Err(Refusal::not_run("over_quota", reason))
    }

    /// Enforces the limits on queued tasks of teams and kinds. A single queue may fill a limit only
    /// up to [`QUEUE_FACTOR`] times what it leaves free, so that a flood of tasks leaves room for
    /// others.
    fn admit_queue_length(
        &self,
        spec: &JobSpec,
        team: TeamId,
        kind: KindId,
        now: Time,
    ) -> Result<(), Refusal> {
        let queue = self.queue_ids.get(&(team, kind, spec.urgency));
        let own = queue.map_or(0, |&queue| self.queues[queue].queued);
        let added = u64::from(spec.tasks);
        let excess = |queued: u64, max: u32| {
            let left = u64::from(max).saturating_sub(queued);
            let over = added.saturating_sub(left);
            over.max((own + added).saturating_sub(left * QUEUE_FACTOR))
        };
        let (team, kind) = (&self.teams[team], &self.kinds[kind]);
        let excess = excess(team.queued, team.limits.max_queued)
            .max(excess(kind.queued, kind.limits.max_queued));
        if excess == 0 {
            return Ok(());
        }
        let wait_ms = kind.start_rate.wait_ms(excess, now);
        let reason = format!("the queue is full by {excess} tasks");
        Err(Refusal::not_run("queue_full", reason).retry_after(wait_ms))
    }

    pub(super) fn enqueue(&mut self, spec: &JobSpec, now: Time) -> JobKey {
        let queued = Task {
            status: TaskStatus::Queued,
            failures: 0,
        };
        let job = self.insert_job(spec, vec![queued; spec.tasks as usize], 0, now);
        if spec.urgency == Urgency::Urgent {
            self.last_urgent_submit = Some(now);
        }
        self.add_queued(job, spec.tasks);
        self.push_to_queue(job, now);
        job
    }

    /// Queues a job ahead of the jobs of its queue that have waited for less time.
    pub(super) fn enqueue_since(&mut self, spec: &JobSpec, since: Time, now: Time) -> JobKey {
        let key = self.enqueue(spec, now);
        self.jobs[key].since = since;
        let id = self.jobs[key].queue;
        let jobs = &self.jobs;
        let queue = &mut self.queues[id];
        queue.jobs.retain(|&other| other != key);
        let is_earlier = |&other: &JobKey| jobs.get(other).is_none_or(|job| job.since <= since);
        let at = queue
            .jobs
            .iter()
            .take_while(|other| is_earlier(other))
            .count();
        queue.jobs.insert(at, key);
        self.reorder(id, now);
        key
    }

    fn insert_job(
        &mut self,
        spec: &JobSpec,
        tasks: Vec<Task>,
        first_unplaced: u32,
        now: Time,
    ) -> JobKey {
        let team = self.team_id(&spec.team);
        let kind = self.kind_id(&spec.kind);
        let queue = self.queue_id(team, kind, spec.urgency);
        self.jobs.insert(Job {
            spec: spec.clone(),
            queue,
            tasks,
            first_unplaced,
            requeued: Vec::new(),
            queued: 0,
            placed: 0,
            cancelled: false,
            in_queue: false,
            since: now,
            expired_holds: 0,
            failed_workers: Vec::new(),
        })
    }

    /// Adds `tasks` to the numbers of queued tasks.
    pub(super) fn add_queued(&mut self, key: JobKey, tasks: u32) {
        let job = &mut self.jobs[key];
        job.queued += tasks;
        let queue = &mut self.queues[job.queue];
        let tasks = u64::from(tasks);
        queue.queued += tasks;
        self.teams[queue.team].queued += tasks;
        self.kinds[queue.kind].queued += tasks;
        self.queued += tasks;
    }

    /// Subtracts `tasks` from the numbers of queued tasks.
    pub(super) fn remove_queued(&mut self, key: JobKey, tasks: u32) {
        let job = &mut self.jobs[key];
        job.queued -= tasks;
        let queue = &mut self.queues[job.queue];
        let tasks = u64::from(tasks);
        queue.queued -= tasks;
        self.teams[queue.team].queued -= tasks;
        self.kinds[queue.kind].queued -= tasks;
        self.queued -= tasks;
    }

    /// Appends a job to its queue, unless it is already there or has no ready tasks.
    pub(super) fn push_to_queue(&mut self, key: JobKey, now: Time) {
        let job = &mut self.jobs[key];
        if job.in_queue || job.ready_tasks() == 0 {
            return;
        }
        job.in_queue = true;
        let id = job.queue;
        let queue = &mut self.queues[id];
        queue.jobs.push_back(key);
        if queue.order_key.is_none() {
            self.reorder(id, now);
        }
    }

    pub(super) fn restore_job(
        &mut self,
        spec: &JobSpec,
        tasks: &[RestoredTask],
        now: Time,
    ) -> JobKey {
        let ended = Task {
            status: TaskStatus::Ended,
            failures: 0,
        };
        let job = self.insert_job(spec, vec![ended; tasks.len()], tasks.len() as u32, now);
        for (index, task) in (0..).zip(tasks) {
            self.restore_task(job, index, task, now);
        }
        self.push_to_queue(job, now);
        job
    }

    fn restore_task(&mut self, key: JobKey, index: u32, task: &RestoredTask, now: Time) {
        match *task {
            RestoredTask::Queued { attempts } => {
                self.add_queued(key, 1);
                let job = &mut self.jobs[key];
                job.tasks[index as usize] = Task {
                    status: TaskStatus::Queued,
                    failures: attempts,
                };
                job.requeued.push(index);
            }
            RestoredTask::Placed {
                worker,
                reserved,
                attempt,
            } => {
                self.jobs[key].tasks[index as usize].failures = attempt.saturating_sub(1);
                self.start_attempt(key, index, worker, reserved, now);
            }
            RestoredTask::Ended(_) => {}
        }
    }

    /// Removes the cancelled jobs from a queue once they are more than half of it.
    pub(super) fn compact(&mut self, id: QueueId) {
        let queue = &mut self.queues[id];
        if queue.cancelled_jobs * 2 <= queue.jobs.len() {
            return;
        }
        let jobs = &self.jobs;
        queue
            .jobs
            .retain(|&key| jobs.get(key).is_some_and(|job| !job.cancelled));
        queue.cancelled_jobs = 0;
    }
}
