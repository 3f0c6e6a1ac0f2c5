//! Read access to the state of a shard, for other VMs, callers and operators.

use super::Shard;
use super::job::Job;
use super::worker_session::Reachability;
use crate::message::ShardDigest;
use crate::model::{JobId, Time, WorkerInfo};
use crate::report::SetAsideStatus;

impl Shard {
    /// A summary of the shard for other VMs.
    pub fn digest(&self) -> ShardDigest {
        let load = self.policy.load();
        ShardDigest {
            shard: self.name.clone(),
            epoch: self.epoch(),
            queued: load.queued,
            running: load.placed,
            free_cpu_milli: u64::from(load.free.cpu_milli),
        }
    }

    /// The decisions taken on a job, in order; `None` where the shard has no such job.
    pub fn decisions(&self, job: &JobId) -> Option<&[String]> {
        self.jobs.get(&job.number).map(Job::decisions)
    }

    /// The workers of the shard, each with its reachability.
    pub fn worker_reachability(&self) -> impl Iterator<Item = (&WorkerInfo, Reachability)> {
        self.sessions
            .iter()
            .map(|session| (&session.info, session.reachability))
    }

    /// The jobs that have not ended, each with the reason why it waits.
    pub fn open_jobs(&self, now: Time) -> impl Iterator<Item = (&Job, Option<String>)> {
        let open = self.jobs.values().filter(|job| job.outcome.is_none());
        open.map(move |job| (job, self.waiting_for(job, now)))
    }

    /// The workers that the policy has set aside after failures.
    pub fn set_aside_workers(&self, now: Time) -> Vec<SetAsideStatus> {
        let set_aside = self.policy.set_aside_workers(now).into_iter();
        let workers = set_aside.map(|aside| SetAsideStatus {
            worker: self.sessions[self.worker_indices[&aside.worker]]
                .info
                .name
                .clone(),
            shard: self.name.clone(),
            reason: aside.reason,
            retry_in_ms: aside
                .retry_at
                .map(|at| u64::try_from(at.since(now).as_millis()).unwrap_or(u64::MAX)),
        });
        workers.collect()
    }

    pub(super) fn waiting_for(&self, job: &Job, now: Time) -> Option<String> {
        if job.deferred {
            return Some("all workers to be heard by the shard's new owner".to_owned());
        }
        if let Some(gang) = self.gangs.cross_shard.get(&job.id.number) {
            return (job.open_tasks > 0).then(|| gang.waiting_reason());
        }
        let mut reasons = job.policy_keys.iter();
        reasons.find_map(|&key| self.policy.waiting_for(key, now))
    }
}
