//! Failure of an availability zone and of all VMs but one, under load.

use std::sync::Arc;

use chestnutlug::oracle::{ReportedOutcome, ReportedWork};
use chestnutlug::port::vm_list::ListedVm;

use super::callers::{Callers, WorkItem, WorkSpec};
use super::cell::{Cell, SHARDS, unix_us};
use super::fault::{AllowedUnfinished, FaultTest, first_shard_owner, sleep_ms};
use super::layout::Layout;

/// The number of urgent jobs that run when the zone fails.
const URGENT_JOBS: usize = 12;

/// Three zones; each shard has a worker and each service a backend server in each of them.
const THREE_ZONES: Layout = Layout {
    vms: 3,
    workers: 6,
    backends: 6,
    zones: 3,
    relayed: false,
};

/// Sets the platform's list to all VMs except those of zone `lost`.
async fn set_vm_list_without_zone(cell: &Cell, lost: Option<usize>) {
    let layout = cell.layout;
    let listed = (0..layout.vms).filter(|vm| Some(vm % layout.zones) != lost);
    let listed: Vec<ListedVm> = listed
        .map(|vm| ListedVm {
            name: format!("vm-{vm}"),
            leaving: false,
        })
        .collect();
    cell.set_vm_list(&listed).await;
}

/// Kills all processes of `zone` and removes its VMs from the platform's list, which shows the change
/// with a delay.
async fn kill_zone(cell: &mut Cell, zone: usize) {
    let layout = cell.layout;
    for vm in layout.in_zone(zone, layout.vms) {
        cell.vms[vm].kill();
    }
    for worker in layout.in_zone(zone, layout.workers) {
        cell.kill_worker(worker);
    }
    for backend in layout.in_zone(zone, layout.backends) {
        cell.backends[backend].kill();
    }
    cell.update_load_balancer();
    set_vm_list_without_zone(cell, Some(zone)).await;
}

/// Urgent jobs that run when the zone fails.
struct UrgentJobs {
    callers: Arc<Callers>,
    jobs: Vec<(WorkItem, String)>,
}

impl UrgentJobs {
    /// Submits the jobs, of which every other is not idempotent, and waits until all have started.
    async fn submit(cell: &Cell) -> Self {
        let callers = Arc::new(Callers::new(cell.load_balancer.clone()));
        let vm = cell.vms[0].addresses[0];
        let mut jobs = Vec::new();
        for i in 0..URGENT_JOBS {
            let item = urgent_job(i);
            let id = callers.submit_to(vm, &item, &item.name).await.unwrap();
            jobs.push((item, id));
        }
        while jobs
            .iter()
            .any(|(w, _)| cell.workers_that_started(&w.name).is_empty())
        {
            sleep_ms(20).await;
        }
        Self { callers, jobs }
    }

    /// The jobs that have started in `zone` only.
    fn in_zone(&self, cell: &Cell, zone: usize) -> Vec<&WorkItem> {
        let is_in_zone = |item: &&WorkItem| {
            let workers = cell.workers_that_started(&item.name);
            workers
                .iter()
                .all(|worker| worker % cell.layout.zones == zone)
        };
        self.jobs
            .iter()
            .map(|(item, _)| item)
            .filter(is_in_zone)
            .collect()
    }

    /// Waits until all jobs have ended and returns their reported outcomes.
    async fn await_ends(&self) -> Vec<ReportedWork> {
        let mut reports = Vec::new();
        for (item, id) in &self.jobs {
            reports.push(ReportedWork {
                work: item.name.clone(),
                tasks: 1,
                idempotent: item.idempotent,
                outcome: self.callers.await_end(id).await,
            });
        }
        reports
    }
}

fn urgent_job(i: usize) -> WorkItem {
    WorkItem {
        name: format!("job-urgent-{i}"),
        idempotent: i.is_multiple_of(2),
        urgent: true,
        spec: WorkSpec::Job {
            tasks: 1,
            all_at_once: false,
            cpu_milli: 500,
            run_ms: 3_000,
        },
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn work_goes_on_in_the_other_zones() {
    let mut test = FaultTest::start_with(THREE_ZONES).await;
    set_vm_list_without_zone(&test.cell, None).await;
    let lag = r#"{"list_lag_ms": 2000}"#;
    test.cell.set_platform_switches(lag).await;
    let urgent_jobs = UrgentJobs::submit(&test.cell).await;
    let zone = (0..THREE_ZONES.zones)
        .max_by_key(|zone| urgent_jobs.in_zone(&test.cell, *zone).len())
        .unwrap();
    let affected = urgent_jobs.in_zone(&test.cell, zone);
    let (idempotent, non_idempotent): (Vec<&WorkItem>, Vec<&WorkItem>) =
        affected.into_iter().partition(|w| w.idempotent);
    assert!(
        !idempotent.is_empty() && !non_idempotent.is_empty(),
        "idempotent and non-idempotent jobs run in the zone"
    );
    let epochs = epochs(&test.cell).await;
    let since_us = unix_us();
    kill_zone(&mut test.cell, zone).await;
    let reports = urgent_jobs.await_ends().await;
    for report in &reports {
        let expected = match non_idempotent.iter().any(|item| item.name == report.work) {
            true => ReportedOutcome::Unknown,
            false => ReportedOutcome::Finished,
        };
        assert_eq!(report.outcome, expected, "{}", report.work);
    }
    for item in &idempotent {
        let workers = test.cell.workers_that_started(&item.name);
        let elsewhere = |worker: &usize| worker % THREE_ZONES.zones != zone;
        assert!(
            workers.iter().any(elsewhere),
            "{} ran on {workers:?}",
            item.name
        );
    }
    for item in &non_idempotent {
        assert_eq!(
            test.cell.workers_that_started(&item.name).len(),
            1,
            "{}",
            item.name
        );
    }
    println!(
        "{} jobs ran again, {} jobs ended with an unknown outcome",
        idempotent.len(),
        non_idempotent.len()
    );
    print_next_starts(&test.cell, &epochs, since_us);
    let test = test.with_reports(reports);
    test.finish_and_check(
        "zone failed",
        AllowedUnfinished::RequestsAndNonIdempotentJobs,
    )
    .await;
}

async fn epochs(cell: &Cell) -> Vec<u64> {
    let mut epochs = Vec::new();
    for shard in SHARDS {
        epochs.push(cell.owner(shard).await.map_or(0, |(_, epoch)| epoch));
    }
    epochs
}

/// Prints the time from `since_us` to the first task start under a new owner, for each shard that has
/// one.
fn print_next_starts(cell: &Cell, epochs: &[u64], since_us: u64) {
    for (i, shard) in SHARDS.iter().enumerate() {
        let starts = cell.task_starts(i);
        let later = starts.iter().filter(|(_, epoch)| *epoch > epochs[i]);
        if let Some(first) = later.map(|(start, _)| start).min() {
            println!(
                "{shard}: next start after {} ms",
                first.saturating_sub(since_us) / 1_000
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_last_running_vm_owns_all_shards() {
    let mut test = FaultTest::start_with(Layout::from_env()).await;
    let remaining = (first_shard_owner(&test.cell).await + 1) % test.cell.layout.vms;
    let epochs = epochs(&test.cell).await;
    let since_us = unix_us();
    for vm in (0..test.cell.layout.vms).filter(|vm| *vm != remaining) {
        test.cell.vms[vm].kill();
    }
    test.cell.update_load_balancer();
    sleep_ms(4_000).await;
    print_next_starts(&test.cell, &epochs, since_us);
    for shard in SHARDS {
        let (vm, _) = test.cell.owner(shard).await.unwrap();
        assert_eq!(vm, remaining, "the owner of {shard}");
    }
    test.finish_and_check("all VMs killed but one", AllowedUnfinished::Requests)
        .await;
}
