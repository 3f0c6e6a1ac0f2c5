//! Serves operators: collects the reports of all live VMs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::api::{OperatorService, ShardDirectory};
use super::burn::{self, LiveCounts};
use super::context::NodeContext;
use super::job_router::JobRouter;
use super::observer::NodeObserver;
use super::owner::ShardSummary;
use crate::error::{Refusal, Result};
use crate::log::LogHandle;
use crate::message::{Reply, Request};
use crate::model::{JobId, Time};
use crate::port::BoxFuture;
use crate::report::{
    BurnReport, CellStatus, JobList, JobSummary, MAX_LISTED_JOBS, SetAsideStatus, ShardStatus,
    VmStatus,
};
use crate::shard::worker_session::Reachability;

/// Timeout of the report of another VM.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// The report of one VM about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmReport {
    /// The VM.
    pub vm: VmStatus,
    /// The shards that it owns.
    pub shards: Vec<ShardStatus>,
    /// Workers of its shards that are set aside.
    pub set_aside: Vec<SetAsideStatus>,
    /// Up to [`MAX_LISTED_JOBS`] jobs of its shards that have not ended, oldest first.
    pub jobs: Vec<JobSummary>,
    /// The number of jobs of its shards that have not ended.
    pub open_jobs: u64,
    /// The number of these jobs that have queued tasks.
    pub waiting_jobs: u64,
    /// The burn counts of its process.
    pub burn: LiveCounts,
}

/// Serves operators on one node.
pub struct NodeOperatorService {
    context: Arc<NodeContext>,
    jobs: Arc<JobRouter>,
    observer: Arc<NodeObserver>,
    log: Option<LogHandle>,
}

impl NodeOperatorService {
    /// Creates the service of the node that `context` belongs to; `log` lets operators set the log
    /// level.
    pub fn new(
        context: Arc<NodeContext>,
        jobs: Arc<JobRouter>,
        observer: Arc<NodeObserver>,
        log: Option<LogHandle>,
    ) -> Self {
        Self {
            context,
            jobs,
            observer,
            log,
        }
    }

    /// The report of this VM about itself.
    pub async fn own_report(&self) -> VmReport {
        let now = self.context.clock.now();
        let digest = self.context.digest(now).await;
        let summaries = self.context.summaries().await;
        let mut jobs: Vec<JobSummary> = Vec::new();
        let mut set_aside = Vec::new();
        let mut shards: Vec<ShardStatus> = self.service_shards();
        for summary in summaries {
            shards.push(self.shard_status(&summary));
            jobs.extend(summary.jobs);
            set_aside.extend(summary.set_aside);
        }
        jobs.sort_by_key(|job| std::cmp::Reverse(job.age_ms));
        let open_jobs = jobs.len() as u64;
        let waiting_jobs = jobs.iter().filter(|job| job.queued > 0).count() as u64;
        jobs.truncate(MAX_LISTED_JOBS);
        VmReport {
            vm: VmStatus {
                vm: digest.vm,
                zone: Some(self.context.settings.zone.clone()),
                incarnation: digest.incarnation,
                live: true,
                config_version: digest.config_version,
                table_contact_ms: Some(digest.table_contact_ms),
                shards: u32::try_from(shards.len()).unwrap_or(u32::MAX),
            },
            shards,
            set_aside,
            jobs,
            open_jobs,
            waiting_jobs,
            burn: self.observer.live_counts(self.context.clock.unix_now()),
        }
    }

    fn shard_status(&self, summary: &ShardSummary) -> ShardStatus {
        let is_unreachable =
            |(_, reachability): &&(_, Reachability)| *reachability != Reachability::Reachable;
        let unreachable = summary.workers.iter().filter(is_unreachable).count();
        ShardStatus {
            shard: summary.digest.shard.clone(),
            owner: Some(self.context.me.vm.clone()),
            epoch: summary.digest.epoch,
            machines: u32::try_from(summary.workers.len()).unwrap_or(u32::MAX),
            unreachable: u32::try_from(unreachable).unwrap_or(u32::MAX),
            queued: summary.digest.queued,
            running: summary.digest.running,
            free_cpu_milli: summary.digest.free_cpu_milli,
        }
    }

    /// The shards of the services whose slots this VM grants.
    fn service_shards(&self) -> Vec<ShardStatus> {
        let cfg = self.context.config.config();
        let shards = cfg.service.keys().filter_map(|service| {
            let shard = crate::config::service_shard(service);
            let owner = self.context.directory.owner_of(&shard)?;
            owner.local.then(|| {
                let machines = cfg.backends_of(service).len();
                ShardStatus {
                    shard,
                    owner: Some(owner.vm.clone()),
                    epoch: owner.epoch,
                    machines: u32::try_from(machines).unwrap_or(u32::MAX),
                    unreachable: 0,
                    queued: self.context.slots.waiting_requests(service),
                    running: self.context.slots.granted_slots(service),
                    free_cpu_milli: 0,
                }
            })
        });
        shards.collect()
    }

    /// Collects the reports of all live VMs. A VM that does not report is shown as not live.
    async fn reports(&self) -> (Vec<VmReport>, Vec<VmStatus>) {
        let mut calls = tokio::task::JoinSet::new();
        for vm in self.context.directory.others(self.context.peer_address) {
            let peers = self.context.peers.clone();
            calls.spawn(async move {
                let called = peers.call(vm.address, &Request::Status, REPORT_TIMEOUT);
                (vm, called.await)
            });
        }
        let mut reports = vec![self.own_report().await];
        let mut unresponsive = Vec::new();
        while let Some(Ok((vm, called))) = calls.join_next().await {
            match called {
                Ok(Reply::Status(text)) if serde_json::from_str::<VmReport>(&text).is_ok() => {
                    reports.extend(serde_json::from_str::<VmReport>(&text));
                }
                _ => unresponsive.push(VmStatus {
                    vm: vm.vm,
                    zone: None,
                    incarnation: vm.incarnation,
                    live: false,
                    config_version: 0,
                    table_contact_ms: None,
                    shards: 0,
                }),
            }
        }
        (reports, unresponsive)
    }

    async fn collect_status(&self) -> CellStatus {
        let (reports, unresponsive) = self.reports().await;
        let mut status = CellStatus {
            seen_by: Some(self.context.me.vm.clone()),
            vms: unresponsive,
            ..CellStatus::default()
        };
        for report in reports {
            status.vms.push(report.vm);
            status.shards.extend(report.shards);
            status.set_aside.extend(report.set_aside);
            status.waiting_jobs += report.waiting_jobs;
            let waiting = report.jobs.into_iter().filter(|job| job.queued > 0);
            status.waiting.extend(waiting);
        }
        status.shards.extend(self.unowned_shards(&status.shards));
        status.vms.sort_by(|a, b| a.vm.cmp(&b.vm));
        status.shards.sort_by(|a, b| a.shard.cmp(&b.shard));
        status.waiting.truncate(MAX_LISTED_JOBS);
        status
    }

    /// The configured shards that no VM reports as owned.
    fn unowned_shards(&self, reported: &[ShardStatus]) -> Vec<ShardStatus> {
        let cfg = self.context.config.config();
        let workers = cfg.workers_by_shard();
        let mut machines: BTreeMap<_, usize> = BTreeMap::new();
        machines.extend(
            workers
                .into_iter()
                .map(|(name, workers)| (name, workers.len())),
        );
        machines.extend(cfg.service.keys().map(|service| {
            let backends = cfg.backends_of(service).len();
            (crate::config::service_shard(service), backends)
        }));
        let unowned = machines
            .into_iter()
            .filter(|(shard, _)| !reported.iter().any(|r| r.shard == *shard));
        let rows = unowned.map(|(shard, machines)| ShardStatus {
            shard,
            owner: None,
            epoch: 0,
            machines: u32::try_from(machines).unwrap_or(u32::MAX),
            unreachable: 0,
            queued: 0,
            running: 0,
            free_cpu_milli: 0,
        });
        rows.collect()
    }
}

impl OperatorService for NodeOperatorService {
    fn status(&self) -> BoxFuture<'_, CellStatus> {
        Box::pin(self.collect_status())
    }

    fn jobs(&self, limit: usize) -> BoxFuture<'_, JobList> {
        Box::pin(async move {
            let (reports, _) = self.reports().await;
            let total = reports.iter().map(|report| report.open_jobs).sum();
            let mut jobs: Vec<JobSummary> = reports.into_iter().flat_map(|r| r.jobs).collect();
            jobs.sort_by_key(|job| std::cmp::Reverse(job.age_ms));
            jobs.truncate(limit);
            JobList { jobs, total }
        })
    }

    fn explain<'a>(
        &'a self,
        job: &'a JobId,
    ) -> BoxFuture<'a, Result<Option<Vec<String>>, Refusal>> {
        Box::pin(self.jobs.explain(job))
    }

    fn burn(&self) -> BoxFuture<'_, BurnReport> {
        Box::pin(async move {
            let (reports, _) = self.reports().await;
            let live: Vec<LiveCounts> = reports.into_iter().map(|r| r.burn).collect();
            // The rows are read after the reports, so that they show which ledgers were folded in
            // the meantime.
            let rows = burn::read_burn_rows(self.context.table.as_ref()).await;
            let now = self.context.clock.unix_now();
            let cfg = self.context.config.config();
            burn::burn_report(&live, rows.as_deref().ok(), &cfg, now)
        })
    }

    fn set_log_level(&self, level: &str) -> Result<()> {
        match &self.log {
            Some(log) => log.set_level(level),
            None => Err(crate::error::Error::Other(
                "this process does not let its log level be set".to_owned(),
            )),
        }
    }
}

/// The time from `since` to `now`, in milliseconds.
pub fn age_ms(since: Time, now: Time) -> u64 {
    u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX)
}
