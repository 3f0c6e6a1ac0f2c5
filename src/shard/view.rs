//! What the owner of a shard tells others about it.

use super::Shard;
use super::job::Job;
use super::worker_session::Reachability;
use crate::message::ShardDigest;
use crate::model::{JobId, Time, WorkerInfo};
use crate::report::SetAside;

impl Shard {
    /// What the owner tells others about the shard.
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

    /// The decisions taken on a job, in order.
    pub fn decisions(&self, job: &JobId) -> Option<&[String]> {
        self.jobs.get(&job.number).map(Job::decisions)
    }

    /// The workers with whether each answers.
    pub fn worker_reachability(&self) -> impl Iterator<Item = (&WorkerInfo, Reachability)> {
        self.sessions
            .iter()
            .map(|session| (&session.info, session.reachability))
    }

    /// The jobs that have not ended, with why each waits.
    pub fn open_jobs(&self, now: Time) -> impl Iterator<Item = (&Job, Option<String>)> {
        let open = self.jobs.values().filter(|job| job.outcome.is_none());
        open.map(move |job| (job, self.waiting_for(job, now)))
    }

    /// The workers that the policy has set aside.
    pub fn set_aside(&self, now: Time) -> Vec<SetAside> {
        let aside = self.policy.set_aside_workers(now).into_iter();
        let rows = aside.map(|aside| SetAside {
            worker: self.sessions[self.session_of[&aside.worker]]
                .info
                .name
                .clone(),
            shard: self.name.clone(),
            reason: aside.reason,
            retry_in_ms: aside
                .retry_at
                .map(|at| u64::try_from(at.since(now).as_millis()).unwrap_or(u64::MAX)),
        });
        rows.collect()
    }

    pub(super) fn waiting_for(&self, job: &Job, now: Time) -> Option<String> {
        if job.held {
            return Some("all workers to be heard by the shard's new owner".to_owned());
        }
        if let Some(span) = self.gangs.spans.get(&job.id.number) {
            return (job.open > 0).then(|| span.waits_for());
        }
        let mut reasons = job.keys.iter();
        reasons.find_map(|&key| self.policy.waiting_for(key, now))
    }
}
