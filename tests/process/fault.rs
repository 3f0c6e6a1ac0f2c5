//! Faults under a steady load of jobs and requests, checked by the oracle.

use std::time::Duration;

use chestnutlug::oracle::{ReportedOutcome, ReportedWork};
use chestnutlug::port::vm_list::ListedVm;
use nix::sys::signal::Signal;

use super::cell::{Cell, SERVICES, SHARDS};
use super::layout::{Layout, env_number};
use super::load::Load;

/// The work that may end without success under a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowedUnfinished {
    /// Nothing.
    None,
    /// Requests with an unknown outcome, because their VM or backend server ended while they were in
    /// flight.
    Requests,
    /// Jobs that are not idempotent and have an unknown outcome, because their worker was lost.
    NonIdempotentJobs,
    /// Both of the above.
    RequestsAndNonIdempotentJobs,
    /// Requests with an unknown outcome, and jobs that are not idempotent and failed.
    RequestsAndFailedJobs,
}

impl AllowedUnfinished {
    fn allows(self, report: &ReportedWork) -> bool {
        let outcome_unknown = matches!(
            report.outcome,
            ReportedOutcome::NoResponse | ReportedOutcome::Unknown
        );
        let is_request = report.work.starts_with("request");
        match self {
            Self::None => false,
            Self::Requests => outcome_unknown && is_request,
            Self::NonIdempotentJobs => outcome_unknown && !is_request && !report.idempotent,
            Self::RequestsAndFailedJobs => {
                (outcome_unknown && is_request)
                    || (report.outcome == ReportedOutcome::Failed && !report.idempotent)
            }
            Self::RequestsAndNonIdempotentJobs => {
                outcome_unknown && (is_request || !report.idempotent)
            }
        }
    }
}

/// A test that injects faults into a cell under load.
pub struct FaultTest {
    pub cell: Cell,
    load: Load,
    reports: Vec<ReportedWork>,
}

impl FaultTest {
    pub async fn start() -> Self {
        Self::start_with(Layout::default()).await
    }

    pub async fn start_with(layout: Layout) -> Self {
        let cell = Cell::start_with(layout).await;
        let load = Load::start(&cell);
        sleep_ms(1_000).await;
        Self {
            cell,
            load,
            reports: Vec::new(),
        }
    }

    /// Adds reports of other callers to those that are checked.
    pub fn with_reports(mut self, reports: Vec<ReportedWork>) -> Self {
        self.reports.extend(reports);
        self
    }

    /// Stops the load and checks the invariants. All work must succeed except what `allowed` permits.
    pub async fn finish_and_check(self, name: &str, allowed: AllowedUnfinished) {
        sleep_ms(1_000).await;
        let mut reports = self.load.finish().await;
        reports.extend(self.reports);
        let verdict = self.cell.check_invariants(&reports, true);
        let unfinished: Vec<_> = reports
            .iter()
            .filter(|report| report.outcome != ReportedOutcome::Finished && !allowed.allows(report))
            .collect();
        println!(
            "{name}: {} submitted, {} finished, {} not run, {} unknown, {} violations",
            verdict.submitted,
            verdict.finished,
            verdict.refused,
            verdict.unknown,
            verdict.violations()
        );
        if verdict.violations() > 0 || !unfinished.is_empty() {
            let kept_dir = self.cell.keep();
            let findings = &verdict.findings;
            panic!(
                "{name}: {findings:#?}, unfinished {unfinished:#?}, see {}",
                kept_dir.display()
            );
        }
        assert!(
            verdict.finished > 100,
            "{name}: more than 100 work items must finish"
        );
    }
}

pub async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Waits until the first shard has an owner and returns its VM.
pub async fn first_shard_owner(cell: &Cell) -> usize {
    loop {
        if let Some((vm, _)) = cell.owner(SHARDS[0]).await {
            return vm;
        }
        sleep_ms(50).await;
    }
}

/// Freezes a VM for `ms` milliseconds, which must exceed its lease, and resumes it.
async fn freeze(cell: &mut Cell, vm: usize, ms: u64) {
    cell.vms[vm].signal(Signal::SIGSTOP);
    cell.remove_from_load_balancer(vm);
    sleep_ms(ms).await;
    cell.vms[vm].signal(Signal::SIGCONT);
    cell.update_load_balancer();
}

pub async fn kill_and_restart(cell: &mut Cell, vm: usize) {
    cell.vms[vm].kill();
    cell.update_load_balancer();
    sleep_ms(2_500).await;
    cell.start_vm(vm);
    cell.await_ready().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_is_killed_and_replaced() {
    let mut test = FaultTest::start().await;
    let vm = first_shard_owner(&test.cell).await;
    kill_and_restart(&mut test.cell, vm).await;
    test.finish_and_check("owner killed", AllowedUnfinished::Requests)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_owners_are_killed_one_while_the_other_is_replaced() {
    let mut test = FaultTest::start().await;
    let first = first_shard_owner(&test.cell).await;
    test.cell.vms[first].kill();
    test.cell.update_load_balancer();
    sleep_ms(1_800).await;
    let second = (first + 1) % test.cell.layout.vms;
    kill_and_restart(&mut test.cell, second).await;
    test.cell.start_vm(first);
    test.cell.await_ready().await;
    test.finish_and_check("two owners killed", AllowedUnfinished::Requests)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_is_frozen_past_its_lease_and_resumed() {
    let mut test = FaultTest::start().await;
    for _ in 0..2 {
        let vm = first_shard_owner(&test.cell).await;
        freeze(&mut test.cell, vm, 4_000).await;
        sleep_ms(1_000).await;
    }
    test.finish_and_check("owner frozen", AllowedUnfinished::Requests)
        .await;
}

/// Switches of the platform that are set temporarily.
struct PlatformFault {
    name: &'static str,
    set: &'static str,
    reset: &'static str,
    duration_ms: u64,
}

#[tokio::test(flavor = "multi_thread")]
async fn the_platform_fails_temporarily() {
    let faults = [
        PlatformFault {
            name: "responses lost after the operation took effect",
            set: r#"{"lose_answers": 0.3}"#,
            reset: r#"{"lose_answers": 0}"#,
            duration_ms: 3_000,
        },
        PlatformFault {
            name: "table slow",
            set: r#"{"latency_ms": 150}"#,
            reset: r#"{"latency_ms": 0}"#,
            duration_ms: 3_000,
        },
        PlatformFault {
            name: "table down",
            set: r#"{"outage": true}"#,
            reset: r#"{"outage": false}"#,
            duration_ms: 4_000,
        },
        PlatformFault {
            name: "platform hangs, then handles all pending requests",
            set: r#"{"hang": true}"#,
            reset: r#"{"hang": false}"#,
            duration_ms: 4_000,
        },
        PlatformFault {
            name: "object store and VM list down",
            set: r#"{"objects_outage": true, "list_outage": true}"#,
            reset: r#"{"objects_outage": false, "list_outage": false}"#,
            duration_ms: 2_000,
        },
        PlatformFault {
            name: "write rate limited",
            set: r#"{"writes_per_s": 15}"#,
            reset: r#"{"writes_per_s": null}"#,
            duration_ms: 3_000,
        },
    ];
    let test = FaultTest::start().await;
    for fault in faults {
        println!("{}", fault.name);
        test.cell.set_platform_switches(fault.set).await;
        sleep_ms(fault.duration_ms).await;
        test.cell.set_platform_switches(fault.reset).await;
        sleep_ms(1_000).await;
    }
    test.finish_and_check("platform", AllowedUnfinished::None)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_is_killed_while_the_table_is_down() {
    let mut test = FaultTest::start().await;
    test.cell.set_platform_switches(r#"{"outage": true}"#).await;
    sleep_ms(2_000).await;
    test.cell.vms[0].kill();
    test.cell.update_load_balancer();
    sleep_ms(2_000).await;
    let lossy = r#"{"outage": false, "lose_answers": 0.3}"#;
    test.cell.set_platform_switches(lossy).await;
    sleep_ms(2_000).await;
    test.cell
        .set_platform_switches(r#"{"lose_answers": 0}"#)
        .await;
    test.cell.start_vm(0);
    test.cell.await_ready().await;
    test.finish_and_check("owner killed in an outage", AllowedUnfinished::Requests)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_is_frozen_while_responses_are_lost() {
    let mut test = FaultTest::start().await;
    test.cell
        .set_platform_switches(r#"{"lose_answers": 0.3}"#)
        .await;
    let vm = first_shard_owner(&test.cell).await;
    freeze(&mut test.cell, vm, 4_000).await;
    sleep_ms(2_000).await;
    test.cell
        .set_platform_switches(r#"{"lose_answers": 0}"#)
        .await;
    test.finish_and_check("owner frozen, responses lost", AllowedUnfinished::Requests)
        .await;
}

/// Switches of one worker that are set temporarily.
struct WorkerFault {
    name: &'static str,
    set: &'static str,
    reset: &'static str,
}

#[tokio::test(flavor = "multi_thread")]
async fn a_worker_fails_temporarily() {
    let faults = [
        WorkerFault {
            name: "refuses",
            set: r#"{"refuse": true}"#,
            reset: r#"{"refuse": false}"#,
        },
        WorkerFault {
            name: "hangs for less than its lease, then handles all pending requests",
            set: r#"{"hang": true}"#,
            reset: r#"{"hang": false}"#,
        },
        WorkerFault {
            name: "loses responses",
            set: r#"{"lose_next": 20}"#,
            reset: r#"{"lose_next": 0}"#,
        },
        WorkerFault {
            name: "is slow",
            set: r#"{"latency_ms": 200}"#,
            reset: r#"{"latency_ms": 0}"#,
        },
        WorkerFault {
            name: "is draining",
            set: r#"{"leaving": true}"#,
            reset: r#"{"leaving": false}"#,
        },
    ];
    let test = FaultTest::start().await;
    for fault in faults {
        println!("{}", fault.name);
        test.cell.set_worker_switches(0, fault.set).await;
        sleep_ms(1_200).await;
        test.cell.set_worker_switches(0, fault.reset).await;
        sleep_ms(1_000).await;
    }
    test.finish_and_check("worker", AllowedUnfinished::NonIdempotentJobs)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_worker_restarts_and_another_is_killed() {
    let mut test = FaultTest::start().await;
    test.cell
        .set_worker_switches(1, r#"{"restart": true}"#)
        .await;
    sleep_ms(1_000).await;
    test.cell.kill_worker(0);
    sleep_ms(3_000).await;
    test.finish_and_check("worker killed", AllowedUnfinished::NonIdempotentJobs)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_backend_server_gets_no_new_requests() {
    let test = FaultTest::start().await;
    let unannounced = r#"{"leaving": true, "tells_leaving": false}"#;
    test.cell.set_backend_switches(0, unannounced).await;
    let listed: Vec<ListedVm> = (0..test.cell.layout.backends)
        .map(|i| ListedVm {
            name: format!("b-{i}"),
            leaving: i == 0,
        })
        .collect();
    test.cell
        .set_platform_switches(r#"{"list_lag_ms": 2000}"#)
        .await;
    test.cell.set_vm_list(&listed).await;
    test.cell
        .set_backend_switches(1, r#"{"leaving": true}"#)
        .await;
    sleep_ms(8_000).await;
    test.finish_and_check("backend servers draining", AllowedUnfinished::None)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn backend_servers_are_killed() {
    let mut test = FaultTest::start().await;
    test.cell.backends[0].kill();
    test.cell.backends[1].kill();
    sleep_ms(3_000).await;
    test.finish_and_check("backend servers killed", AllowedUnfinished::Requests)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_vms_are_replaced_one_after_the_other() {
    let mut test = FaultTest::start_with(Layout {
        vms: env_number("CHESTNUTLUG_CELL_VMS", 7),
        ..Layout::default()
    })
    .await;
    for vm in 0..test.cell.layout.vms {
        test.cell.remove_from_load_balancer(vm);
        let code = test.cell.stop_vm(vm).await;
        assert_eq!(code, Some(0), "vm-{vm} stops cleanly");
        test.cell.start_vm(vm);
        test.cell.await_ready().await;
    }
    test.finish_and_check("rolling replacement", AllowedUnfinished::None)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_a_vm_that_callers_still_use() {
    let mut test = FaultTest::start().await;
    let code = test.cell.stop_vm(0).await;
    assert_eq!(code, Some(0), "vm-0 stops cleanly");
    test.finish_and_check("planned stop", AllowedUnfinished::None)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flood_of_requests_stays_within_slots_while_owners_die() {
    let mut test = FaultTest::start().await;
    let flood = Load::flood(&test.cell, 100);
    for service in SERVICES {
        sleep_ms(1_000).await;
        let shard = format!("service:{service}");
        if let Some((vm, _)) = test.cell.owner(&shard).await {
            kill_and_restart(&mut test.cell, vm).await;
        }
    }
    let flood_reports = flood.finish().await;
    assert!(
        flood_reports.len() > 150,
        "only {} requests in the flood",
        flood_reports.len()
    );
    test.with_reports(flood_reports)
        .finish_and_check("flood", AllowedUnfinished::Requests)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_is_killed_while_its_commits_are_in_flight() {
    let mut test = FaultTest::start().await;
    for _ in 0..2 {
        test.cell
            .set_platform_switches(r#"{"latency_ms": 400}"#)
            .await;
        sleep_ms(600).await;
        let vm = first_shard_owner(&test.cell).await;
        test.cell.vms[vm].kill();
        test.cell.update_load_balancer();
        test.cell
            .set_platform_switches(r#"{"latency_ms": 0}"#)
            .await;
        sleep_ms(2_500).await;
        test.cell.start_vm(vm);
        test.cell.await_ready().await;
    }
    test.finish_and_check(
        "owner killed, commits in flight",
        AllowedUnfinished::Requests,
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn start_requests_arrive_after_their_owner_is_replaced() {
    let mut test = FaultTest::start().await;
    let vm = first_shard_owner(&test.cell).await;
    let workers = (0..test.cell.layout.workers).step_by(SHARDS.len());
    for worker in workers.clone() {
        let slow = r#"{"latency_ms": 8000}"#;
        test.cell.set_worker_switches(worker, slow).await;
    }
    sleep_ms(300).await;
    test.cell.vms[vm].kill();
    test.cell.update_load_balancer();
    for worker in workers {
        let fast = r#"{"latency_ms": 0}"#;
        test.cell.set_worker_switches(worker, fast).await;
    }
    sleep_ms(5_000).await;
    test.cell.start_vm(vm);
    test.cell.await_ready().await;
    test.finish_and_check("start requests delayed", AllowedUnfinished::Requests)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_is_killed_while_a_failing_worker_is_set_aside() {
    let mut test = FaultTest::start_with(Layout {
        workers: 12,
        ..Layout::default()
    })
    .await;
    test.cell
        .set_worker_switches(0, r#"{"fail_all": true}"#)
        .await;
    sleep_ms(2_000).await;
    let (vm, epoch) = test.cell.owner(SHARDS[0]).await.unwrap();
    kill_and_restart(&mut test.cell, vm).await;
    sleep_ms(4_000).await;
    let count_under_new_owner = |starts: Vec<(u64, u64)>| {
        starts
            .iter()
            .filter(|(_, start_epoch)| *start_epoch > epoch)
            .count()
    };
    let starts = count_under_new_owner(test.cell.task_starts(0));
    let failing = count_under_new_owner(test.cell.task_starts_on(0));
    println!("{failing} of {starts} starts under the new owner on the failing worker");
    assert!(
        failing > 0,
        "the new owner must detect the failing worker itself"
    );
    assert!(failing * 10 < starts, "the failing worker is set aside");
    test.finish_and_check(
        "owner killed, failing worker",
        AllowedUnfinished::RequestsAndFailedJobs,
    )
    .await;
}
