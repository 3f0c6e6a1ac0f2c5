//! Measures how long recovery takes; each test prints its figures. `CHESTNUTLUG_RECOVERY_ROUNDS`,
//! `CHESTNUTLUG_OUTAGE_S` and `CHESTNUTLUG_CELL_VMS` set the number of rounds, the length of the outage
//! and the number of VMs.

use std::time::{Duration, Instant};

use chestnutlug::oracle::ReportedOutcome;
use nix::sys::signal::Signal;

use super::cell::{Cell, SHARDS, unix_us};
use super::layout::{Layout, env_number};
use super::load::Load;

/// The maximum recovery time, also on a busy machine.
const MAX_RECOVERY: Duration = Duration::from_secs(10);

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Waits until a task starts in `shard` under a higher epoch than `epoch` and returns the time from
/// `since_us` to this start.
async fn next_start(cell: &Cell, shard: usize, epoch: u64, since_us: u64) -> Duration {
    let begin = Instant::now();
    loop {
        let starts = cell.task_starts(shard);
        let later = starts
            .iter()
            .filter(|(_, start_epoch)| *start_epoch > epoch);
        if let Some(at) = later.map(|(at, _)| *at).min() {
            return Duration::from_micros(at.saturating_sub(since_us));
        }
        assert!(
            begin.elapsed() < MAX_RECOVERY,
            "no task has started under a new owner in time"
        );
        sleep_ms(20).await;
    }
}

fn print_and_check(name: &str, mut times: Vec<Duration>) {
    times.sort();
    let median = times[times.len() / 2];
    let worst = times[times.len() - 1];
    println!(
        "{name}: {} rounds, median {median:?}, worst {worst:?}",
        times.len()
    );
    assert!(worst < MAX_RECOVERY, "{name}: {times:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn after_an_owner_is_killed() {
    let mut cell = Cell::start_with(Layout::from_env()).await;
    let load = Load::start(&cell);
    let mut times = Vec::new();
    for _ in 0..env_number("CHESTNUTLUG_RECOVERY_ROUNDS", 2_u64) {
        sleep_ms(1_000).await;
        let (vm, epoch) = cell.owner(SHARDS[0]).await.unwrap();
        let at = unix_us();
        cell.vms[vm].kill();
        cell.update_load_balancer();
        times.push(next_start(&cell, 0, epoch, at).await);
        cell.start_vm(vm);
        cell.await_ready().await;
    }
    let reports = load.finish().await;
    let verdict = cell.check_invariants(&reports, true);
    assert_eq!(verdict.violations(), 0, "{:#?}", verdict.findings);
    print_and_check("owner killed to next start in its shard", times);
}

#[tokio::test(flavor = "multi_thread")]
async fn after_an_owner_is_frozen() {
    let mut cell = Cell::start_with(Layout::from_env()).await;
    let load = Load::start(&cell);
    let mut times = Vec::new();
    for _ in 0..env_number("CHESTNUTLUG_RECOVERY_ROUNDS", 2_u64) {
        sleep_ms(1_000).await;
        let (vm, epoch) = cell.owner(SHARDS[0]).await.unwrap();
        let at = unix_us();
        cell.vms[vm].signal(Signal::SIGSTOP);
        cell.remove_from_load_balancer(vm);
        times.push(next_start(&cell, 0, epoch, at).await);
        cell.vms[vm].signal(Signal::SIGCONT);
        cell.update_load_balancer();
        cell.await_ready().await;
    }
    let reports = load.finish().await;
    let verdict = cell.check_invariants(&reports, true);
    assert_eq!(verdict.violations(), 0, "{:#?}", verdict.findings);
    print_and_check("owner frozen to next start in its shard", times);
}

#[tokio::test(flavor = "multi_thread")]
async fn after_the_table_was_down() {
    let cell = Cell::start_with(Layout::from_env()).await;
    let load = Load::start(&cell);
    sleep_ms(1_000).await;
    let outage_began = unix_us();
    cell.set_platform_switches(r#"{"outage": true}"#).await;
    sleep_ms(env_number("CHESTNUTLUG_OUTAGE_S", 5_u64) * 1_000).await;
    let outage_ended = unix_us();
    cell.set_platform_switches(r#"{"outage": false}"#).await;
    sleep_ms(3_000).await;
    let reports = load.finish().await;
    let starts: Vec<u64> = (0..SHARDS.len())
        .flat_map(|shard| cell.task_starts(shard))
        .map(|(at, _)| at)
        .collect();
    let first = starts.iter().filter(|at| **at >= outage_ended).min();
    let recovery =
        Duration::from_micros(first.expect("tasks start after the outage") - outage_ended);
    let verdict = cell.check_invariants(&reports, true);
    let during = |at: &&u64| (outage_began..outage_ended).contains(*at);
    let request_begins = cell.request_begin_times();
    println!(
        "table down for {:?}: {} requests begun and {} tasks started meanwhile; {} of {} finished, \
         {} refused as not run; first start {recovery:?} after the table was back",
        Duration::from_micros(outage_ended - outage_began),
        request_begins.iter().filter(during).count(),
        starts.iter().filter(during).count(),
        verdict.finished,
        verdict.submitted,
        verdict.refused,
    );
    assert_eq!(verdict.violations(), 0, "{:#?}", verdict.findings);
    assert!(
        request_begins.iter().any(|at| during(&at)),
        "requests begin during the outage"
    );
    let unexpected: Vec<_> = reports
        .iter()
        .filter(|report| {
            !matches!(
                report.outcome,
                ReportedOutcome::Finished | ReportedOutcome::NotRun
            )
        })
        .collect();
    assert!(unexpected.is_empty(), "{unexpected:#?}");
    assert!(recovery < MAX_RECOVERY);
}
