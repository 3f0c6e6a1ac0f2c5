//! The loss of an availability zone, and of all VMs but one, under load.

use std::sync::Arc;

use chestnutlug::oracle::{ReportedOutcome, ReportedWork};
use chestnutlug::port::vm_list::ListedVm;

use super::callers::{Callers, Form, Wish};
use super::cell::{Cell, SHARDS, unix_us};
use super::fault::{Open, Trial, owner, pause};
use super::layout::Layout;

/// How many urgent jobs run while the zone is lost.
const PROBES: usize = 12;

/// Three zones; each shard and each service has a machine in each of them.
const THREE_ZONES: Layout = Layout {
    vms: 3,
    workers: 6,
    backends: 6,
    zones: 3,
    relayed: false,
};

/// Lets the platform list all VMs but those of `lost`.
async fn list_vms(cell: &Cell, lost: Option<usize>) {
    let layout = cell.layout;
    let listed = (0..layout.vms).filter(|vm| Some(vm % layout.zones) != lost);
    let listed: Vec<ListedVm> = listed
        .map(|vm| ListedVm {
            name: format!("vm-{vm}"),
            leaving: false,
        })
        .collect();
    cell.list_vms(&listed).await;
}

/// Ends all processes of `zone` at once; the platform's list tells it later.
async fn end_zone(cell: &mut Cell, zone: usize) {
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
    cell.balance();
    list_vms(cell, Some(zone)).await;
}

/// Urgent jobs that run while the zone is lost.
struct Probes {
    callers: Arc<Callers>,
    jobs: Vec<(Wish, String)>,
}

impl Probes {
    /// Submits jobs, of which every other may run only once, and waits until all run.
    async fn submit(cell: &Cell) -> Self {
        let callers = Arc::new(Callers::new(cell.balancer.clone()));
        let vm = cell.vms[0].addresses[0];
        let mut jobs = Vec::new();
        for i in 0..PROBES {
            let wish = probe(i);
            let id = callers.submit_to(vm, &wish, &wish.name).await.unwrap();
            jobs.push((wish, id));
        }
        while jobs
            .iter()
            .any(|(w, _)| cell.started_on(&w.name).is_empty())
        {
            pause(20).await;
        }
        Self { callers, jobs }
    }

    /// Those that run in `zone`.
    fn in_zone(&self, cell: &Cell, zone: usize) -> Vec<&Wish> {
        let here = |wish: &&Wish| {
            let workers = cell.started_on(&wish.name);
            workers
                .iter()
                .all(|worker| worker % cell.layout.zones == zone)
        };
        self.jobs
            .iter()
            .map(|(wish, _)| wish)
            .filter(here)
            .collect()
    }

    /// What their callers are told in the end.
    async fn ends(&self) -> Vec<ReportedWork> {
        let mut claims = Vec::new();
        for (wish, id) in &self.jobs {
            claims.push(ReportedWork {
                work: wish.name.clone(),
                tasks: 1,
                idempotent: wish.idempotent,
                outcome: self.callers.end_of(id).await,
            });
        }
        claims
    }
}

fn probe(i: usize) -> Wish {
    Wish {
        name: format!("job-urgent-{i}"),
        idempotent: i.is_multiple_of(2),
        urgent: true,
        form: Form::Job {
            tasks: 1,
            all_at_once: false,
            cpu_milli: 500,
            run_ms: 3_000,
        },
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn work_goes_on_in_the_other_zones() {
    let mut trial = Trial::of(THREE_ZONES).await;
    list_vms(&trial.cell, None).await;
    let lag = r#"{"list_lag_ms": 2000}"#;
    trial.cell.platform_switches(lag).await;
    let probes = Probes::submit(&trial.cell).await;
    let zone = (0..THREE_ZONES.zones)
        .max_by_key(|zone| probes.in_zone(&trial.cell, *zone).len())
        .unwrap();
    let hit = probes.in_zone(&trial.cell, zone);
    let (again, once): (Vec<&Wish>, Vec<&Wish>) = hit.into_iter().partition(|w| w.idempotent);
    assert!(!again.is_empty() && !once.is_empty(), "jobs run there");
    let epochs = epochs(&trial.cell).await;
    let at = unix_us();
    end_zone(&mut trial.cell, zone).await;
    let claims = probes.ends().await;
    for claim in &claims {
        let expected = match once.iter().any(|wish| wish.name == claim.work) {
            true => ReportedOutcome::Unknown,
            false => ReportedOutcome::Finished,
        };
        assert_eq!(claim.outcome, expected, "{}", claim.work);
    }
    for wish in &again {
        let on = trial.cell.started_on(&wish.name);
        let elsewhere = |worker: &usize| worker % THREE_ZONES.zones != zone;
        assert!(on.iter().any(elsewhere), "{} ran on {on:?}", wish.name);
    }
    for wish in &once {
        assert_eq!(trial.cell.started_on(&wish.name).len(), 1, "{}", wish.name);
    }
    println!("{} ran again, {} ended as unknown", again.len(), once.len());
    print_next_starts(&trial.cell, &epochs, at);
    let trial = trial.also(claims);
    trial.end("zone lost", Open::RequestsAndOnceJobs).await;
}

async fn epochs(cell: &Cell) -> Vec<u64> {
    let mut epochs = Vec::new();
    for shard in SHARDS {
        epochs.push(cell.owner(shard).await.map_or(0, |(_, epoch)| epoch));
    }
    epochs
}

/// Prints how long after `at` each shard that has a new owner started a task under it.
fn print_next_starts(cell: &Cell, epochs: &[u64], at: u64) {
    for (i, shard) in SHARDS.iter().enumerate() {
        let starts = cell.starts(i);
        let later = starts.iter().filter(|(_, epoch)| *epoch > epochs[i]);
        if let Some(first) = later.map(|(start, _)| start).min() {
            println!(
                "{shard}: next start after {} ms",
                first.saturating_sub(at) / 1_000
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_vm_carries_on_alone() {
    let mut trial = Trial::of(Layout::from_env()).await;
    let kept = (owner(&trial.cell).await + 1) % trial.cell.layout.vms;
    let epochs = epochs(&trial.cell).await;
    let at = unix_us();
    for vm in (0..trial.cell.layout.vms).filter(|vm| *vm != kept) {
        trial.cell.vms[vm].kill();
    }
    trial.cell.balance();
    pause(4_000).await;
    print_next_starts(&trial.cell, &epochs, at);
    for shard in SHARDS {
        let (vm, _) = trial.cell.owner(shard).await.unwrap();
        assert_eq!(vm, kept, "the owner of {shard}");
    }
    trial.end("all VMs killed but one", Open::Requests).await;
}
