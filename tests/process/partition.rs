//! Network partitions in one or both directions under load, checked by the oracle.

use nix::sys::signal::Signal;

use super::cell::{Cell, SERVICES, SHARDS};
use super::fault::{AllowedUnfinished, FaultTest, first_shard_owner, sleep_ms};
use super::layout::RELAYED;
use super::load::Load;
use super::relay::LinkState;

/// The links that a partition affects.
#[derive(Clone, Copy, Debug)]
enum Link {
    /// Between the owner of the first shard and the platform.
    Platform,
    /// Between the owner of the first shard and its workers.
    Workers,
    /// From the other VMs to the owner of the first shard.
    Vm,
}

impl Link {
    /// How long the partition lasts, in milliseconds: longer than the VM's lease and the tasks' lease.
    fn partition_ms(self) -> u64 {
        match self {
            Self::Platform => 4_000,
            Self::Workers => 3_500,
            Self::Vm => 2_500,
        }
    }
}

/// A temporary network partition.
struct Partition {
    name: &'static str,
    link: Link,
    upstream: LinkState,
    downstream: LinkState,
    allowed: AllowedUnfinished,
}

impl Partition {
    fn set_link_state(&self, cell: &Cell, vm: usize, upstream: LinkState, downstream: LinkState) {
        let workers = (0..cell.layout.workers).step_by(SHARDS.len());
        match self.link {
            Link::Platform => cell.links.platform[vm].set_link_state(upstream, downstream),
            Link::Vm => cell.links.vms[vm].set_link_state(upstream, downstream),
            Link::Workers => {
                workers.for_each(|i| cell.links.workers[i].set_link_state(upstream, downstream))
            }
        }
    }

    /// Interrupts the links, restores them and checks the invariants.
    async fn run(&self) {
        let test = FaultTest::start_with(RELAYED).await;
        let vm = first_shard_owner(&test.cell).await;
        self.set_link_state(&test.cell, vm, self.upstream, self.downstream);
        sleep_ms(self.link.partition_ms()).await;
        self.set_link_state(&test.cell, vm, LinkState::Open, LinkState::Open);
        sleep_ms(1_500).await;
        test.cell.await_ready().await;
        test.finish_and_check(self.name, self.allowed).await;
    }
}

async fn run(partitions: &[Partition]) {
    for partition in partitions {
        partition.run().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_is_isolated_from_the_platform() {
    let partition = |name, upstream, downstream| Partition {
        name,
        link: Link::Platform,
        upstream,
        downstream,
        allowed: AllowedUnfinished::None,
    };
    run(&[
        partition(
            "owner and platform, both directions",
            LinkState::Dropping,
            LinkState::Dropping,
        ),
        partition(
            "requests to the platform delayed",
            LinkState::Stalled,
            LinkState::Open,
        ),
        partition(
            "responses of the platform lost",
            LinkState::Open,
            LinkState::Dropping,
        ),
    ])
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_owner_is_isolated_from_the_platform() {
    let test = FaultTest::start_with(RELAYED).await;
    let flood = Load::flood(&test.cell, 100);
    sleep_ms(500).await;
    let service = format!("service:{}", SERVICES[0]);
    let (vm, _) = test.cell.owner(&service).await.unwrap();
    test.cell.links.platform[vm].set_link_state(LinkState::Stalled, LinkState::Stalled);
    sleep_ms(Link::Platform.partition_ms()).await;
    test.cell.links.platform[vm].set_link_state(LinkState::Open, LinkState::Open);
    sleep_ms(1_500).await;
    let flood_reports = flood.finish().await;
    assert!(
        flood_reports.len() > 150,
        "only {} requests in the flood",
        flood_reports.len()
    );
    let test = test.with_reports(flood_reports);
    test.finish_and_check("service owner and platform", AllowedUnfinished::None)
        .await;
}

/// An owner is frozen past its lease, so that another VM takes over, and resumes without access to
/// the platform's table, so that it does not see the higher epoch.
#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_owner_is_fenced_by_the_workers() {
    let test = FaultTest::start_with(RELAYED).await;
    let (vm, epoch) = test.cell.owner(SHARDS[0]).await.unwrap();
    test.cell.vms[vm].signal(Signal::SIGSTOP);
    test.cell.remove_from_load_balancer(vm);
    test.cell.links.platform[vm].set_link_state(LinkState::Stalled, LinkState::Stalled);
    sleep_ms(4_000).await;
    test.cell.vms[vm].signal(Signal::SIGCONT);
    sleep_ms(2_000).await;
    let fenced = test.cell.fenced_requests(0, epoch);
    println!("{fenced} requests of the old epoch were rejected as fenced");
    assert!(
        fenced > 0,
        "the workers reject requests of the fenced owner"
    );
    let starts = test.cell.task_starts(0);
    assert!(
        starts.iter().any(|(_, start_epoch)| *start_epoch > epoch),
        "a new owner starts tasks"
    );
    test.cell.links.platform[vm].set_link_state(LinkState::Open, LinkState::Open);
    sleep_ms(1_500).await;
    test.finish_and_check("isolated owner fenced", AllowedUnfinished::Requests)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_is_cut_off_from_its_workers() {
    let partition = |name, upstream, downstream| Partition {
        name,
        link: Link::Workers,
        upstream,
        downstream,
        allowed: AllowedUnfinished::NonIdempotentJobs,
    };
    run(&[
        partition(
            "requests to workers lost",
            LinkState::Dropping,
            LinkState::Open,
        ),
        partition(
            "requests to workers delayed",
            LinkState::Stalled,
            LinkState::Open,
        ),
        partition(
            "responses of workers lost",
            LinkState::Open,
            LinkState::Dropping,
        ),
    ])
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_is_cut_off_from_other_vms() {
    let partition = |name, upstream, downstream| Partition {
        name,
        link: Link::Vm,
        upstream,
        downstream,
        allowed: AllowedUnfinished::None,
    };
    run(&[
        partition(
            "other VMs and owner, both directions",
            LinkState::Dropping,
            LinkState::Dropping,
        ),
        partition(
            "requests of other VMs delayed",
            LinkState::Stalled,
            LinkState::Open,
        ),
        partition(
            "replies of the owner lost",
            LinkState::Open,
            LinkState::Dropping,
        ),
    ])
    .await;
}
