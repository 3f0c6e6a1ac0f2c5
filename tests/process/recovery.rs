//! How long recovery takes. `CHESTNUTLUG_RECOVERY_ROUNDS`, `CHESTNUTLUG_OUTAGE_S` and
//! `CHESTNUTLUG_CELL_VMS` make longer and larger measurements; each test prints its figures.

use std::time::{Duration, Instant};

use chestnutlug::oracle::ReportedOutcome;
use nix::sys::signal::Signal;

use super::cell::{Cell, SHARDS, unix_us};
use super::layout::{Layout, number};
use super::load::Load;

/// The longest recovery that is accepted on a busy machine.
const LIMIT: Duration = Duration::from_secs(10);

async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Waits until a task starts in `shard` under a later epoch than `epoch`; returns how long after
/// `since_us` that was.
async fn next_start(cell: &Cell, shard: usize, epoch: u64, since_us: u64) -> Duration {
    let begin = Instant::now();
    loop {
        let starts = cell.starts(shard);
        let later = starts.iter().filter(|(_, of)| *of > epoch);
        if let Some(at) = later.map(|(at, _)| *at).min() {
            return Duration::from_micros(at.saturating_sub(since_us));
        }
        assert!(begin.elapsed() < LIMIT, "nothing started under a new owner");
        pause(20).await;
    }
}

fn report(name: &str, mut times: Vec<Duration>) {
    times.sort();
    let median = times[times.len() / 2];
    let worst = times[times.len() - 1];
    println!(
        "{name}: {} rounds, median {median:?}, worst {worst:?}",
        times.len()
    );
    assert!(worst < LIMIT, "{name}: {times:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn after_an_owner_is_killed() {
    let mut cell = Cell::of(Layout::from_env()).await;
    let load = Load::start(&cell);
    let mut times = Vec::new();
    for _ in 0..number("CHESTNUTLUG_RECOVERY_ROUNDS", 2_u64) {
        pause(1_000).await;
        let (vm, epoch) = cell.owner(SHARDS[0]).await.unwrap();
        let at = unix_us();
        cell.vms[vm].kill();
        cell.balance();
        times.push(next_start(&cell, 0, epoch, at).await);
        cell.start_vm(vm);
        cell.await_ready().await;
    }
    let claims = load.finish().await;
    let verdict = cell.judge(&claims, true);
    assert_eq!(verdict.violations(), 0, "{:#?}", verdict.findings);
    report("owner killed to next start in its shard", times);
}

#[tokio::test(flavor = "multi_thread")]
async fn after_an_owner_is_frozen() {
    let mut cell = Cell::of(Layout::from_env()).await;
    let load = Load::start(&cell);
    let mut times = Vec::new();
    for _ in 0..number("CHESTNUTLUG_RECOVERY_ROUNDS", 2_u64) {
        pause(1_000).await;
        let (vm, epoch) = cell.owner(SHARDS[0]).await.unwrap();
        let at = unix_us();
        cell.vms[vm].signal(Signal::SIGSTOP);
        cell.unbalance(vm);
        times.push(next_start(&cell, 0, epoch, at).await);
        cell.vms[vm].signal(Signal::SIGCONT);
        cell.balance();
        cell.await_ready().await;
    }
    let claims = load.finish().await;
    let verdict = cell.judge(&claims, true);
    assert_eq!(verdict.violations(), 0, "{:#?}", verdict.findings);
    report("owner frozen to next start in its shard", times);
}

#[tokio::test(flavor = "multi_thread")]
async fn after_the_table_was_down() {
    let cell = Cell::of(Layout::from_env()).await;
    let load = Load::start(&cell);
    pause(1_000).await;
    let down = unix_us();
    cell.platform_switches(r#"{"outage": true}"#).await;
    pause(number("CHESTNUTLUG_OUTAGE_S", 5_u64) * 1_000).await;
    let back = unix_us();
    cell.platform_switches(r#"{"outage": false}"#).await;
    pause(3_000).await;
    let claims = load.finish().await;
    let starts: Vec<u64> = (0..SHARDS.len())
        .flat_map(|shard| cell.starts(shard))
        .map(|(at, _)| at)
        .collect();
    let first = starts.iter().filter(|at| **at >= back).min();
    let caught_up = Duration::from_micros(first.expect("work goes on") - back);
    let verdict = cell.judge(&claims, true);
    let during = |at: &&u64| (down..back).contains(*at);
    let begun = cell.requests_begun();
    println!(
        "table down for {:?}: {} requests begun and {} tasks started meanwhile; {} of {} finished, \
         {} refused as not run; first start {caught_up:?} after the table was back",
        Duration::from_micros(back - down),
        begun.iter().filter(during).count(),
        starts.iter().filter(during).count(),
        verdict.finished,
        verdict.submitted,
        verdict.refused,
    );
    assert_eq!(verdict.violations(), 0, "{:#?}", verdict.findings);
    assert!(begun.iter().any(|at| during(&at)), "requests go on");
    let odd: Vec<_> = claims
        .iter()
        .filter(|claim| {
            !matches!(
                claim.outcome,
                ReportedOutcome::Finished | ReportedOutcome::NotRun
            )
        })
        .collect();
    assert!(odd.is_empty(), "{odd:#?}");
    assert!(caught_up < LIMIT);
}
