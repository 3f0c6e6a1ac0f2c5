//! Concurrent submissions with one idempotency key, and concurrent edits of the configuration.

use std::net::SocketAddr;
use std::time::Duration;

use chestnutlug::adapter::object_store::HttpObjectStore;
use chestnutlug::adapter::table::HttpTable;
use chestnutlug::config::ConfigStore;
use chestnutlug::oracle::{ReportedOutcome, ReportedWork};

use super::callers::{Callers, WorkItem, WorkSpec};
use super::cell::Cell;
use super::process::Process;

const ROUNDS: usize = 20;

/// How many times two operators apply concurrently.
const EDIT_ROUNDS: u64 = 5;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The exit code of `config apply` if another operator has applied a newer version.
const CONFLICT: Option<i32> = Some(3);

fn job_item(name: String) -> WorkItem {
    WorkItem {
        name,
        idempotent: false,
        urgent: false,
        spec: WorkSpec::Job {
            tasks: 2,
            all_at_once: false,
            cpu_milli: 100,
            run_ms: 20,
        },
    }
}

fn report(item: &WorkItem, outcome: ReportedOutcome) -> ReportedWork {
    ReportedWork {
        work: item.name.clone(),
        tasks: 2,
        idempotent: false,
        outcome,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_key_at_several_vms_at_once_runs_one_job() {
    let cell = Cell::start().await;
    let vms = cell.load_balancer.read().unwrap().clone();
    let callers = Callers::new(cell.load_balancer.clone());
    let mut reports = Vec::new();
    for round in 0..ROUNDS {
        reports.push(submit_same_body(&callers, &vms, round).await);
        reports.extend(submit_different_bodies(&callers, &vms, round).await);
    }
    let verdict = cell.check_invariants(&reports, false);
    assert_eq!(verdict.violations(), 0, "{:#?}", verdict.findings);
    assert_eq!(verdict.finished, 2 * ROUNDS as u64);
    assert_eq!(verdict.refused, (vms.len() - 1) as u64 * ROUNDS as u64);
}

async fn submit_same_body(callers: &Callers, vms: &[SocketAddr], round: usize) -> ReportedWork {
    let item = job_item(format!("job-same-{round}"));
    let key = &item.name;
    let (a, b, c) = tokio::join!(
        callers.submit_to(vms[0], &item, key),
        callers.submit_to(vms[1], &item, key),
        callers.submit_to(vms[2], &item, key),
    );
    let id = a.unwrap();
    assert_eq!((b.as_ref(), c.as_ref()), (Ok(&id), Ok(&id)), "{key}");
    let outcome = callers.await_end(&id).await;
    for vm in vms {
        let view = callers.state(*vm, &id, 1_000).await.unwrap();
        assert_eq!(view.results, [key.clone(), key.clone()], "{vm}");
    }
    report(&item, outcome)
}

async fn submit_different_bodies(
    callers: &Callers,
    vms: &[SocketAddr],
    round: usize,
) -> Vec<ReportedWork> {
    let items: Vec<WorkItem> = (0..vms.len())
        .map(|i| job_item(format!("job-other-{round}-{i}")))
        .collect();
    let key = &format!("other-{round}");
    let (a, b, c) = tokio::join!(
        callers.submit_to(vms[0], &items[0], key),
        callers.submit_to(vms[1], &items[1], key),
        callers.submit_to(vms[2], &items[2], key),
    );
    let mut reports = Vec::new();
    for (item, submitted) in items.iter().zip([a, b, c]) {
        let outcome = match submitted {
            Ok(id) => callers.await_end(&id).await,
            Err(outcome) => outcome,
        };
        reports.push(report(item, outcome));
    }
    reports
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_config_applies_on_one_base_lose_no_edit() {
    let cell = Cell::start().await;
    cell.set_platform_switches(r#"{"latency_ms": 30}"#).await;
    let mut version = 1;
    let mut expected = vec!["parlours".to_owned()];
    for round in 0..EDIT_ROUNDS {
        let mut edits = ["ana", "ben"].map(|author| format!("{author}-{round}"));
        let applies = edits.each_ref().map(|team| {
            let teams = [&expected[..], std::slice::from_ref(team)].concat();
            apply(&cell, &teams, version)
        });
        let [ana, ben] = applies;
        let exit_codes = [ana.await.unwrap(), ben.await.unwrap()];
        match exit_codes {
            [Some(0), CONFLICT] => {}
            [CONFLICT, Some(0)] => edits.reverse(),
            _ => panic!("one of two concurrent applies must succeed, not {exit_codes:?}"),
        }
        let [winner, loser] = edits;
        expected.push(winner);
        version += 1;
        assert_eq!(teams_in_force(&cell, version).await, sorted(&expected));
        expected.push(loser);
        let exit_code = apply(&cell, &expected, version).await.unwrap();
        assert_eq!(exit_code, Some(0), "an apply on the version in force");
        version += 1;
        assert_eq!(teams_in_force(&cell, version).await, sorted(&expected));
    }
}

fn sorted(teams: &[String]) -> Vec<String> {
    let mut teams = teams.to_vec();
    teams.sort();
    teams
}

/// Applies the cell's configuration with `teams` in a separate process; returns its exit code.
fn apply(cell: &Cell, teams: &[String], base: u64) -> tokio::task::JoinHandle<Option<i32>> {
    let config_dir = cell.write_config_with_teams(teams);
    let platform = cell.platform.addresses[0].to_string();
    tokio::task::spawn_blocking(move || {
        let (config_dir, base) = (config_dir.to_str().unwrap(), base.to_string());
        let args = ["config", "apply", config_dir, "--platform", &platform];
        Process::run(&[&args[..], &["--base", &base, "--author", "test"]].concat())
    })
}

/// Checks that `version` is in force and returns the names of its teams.
async fn teams_in_force(cell: &Cell, version: u64) -> Vec<String> {
    let address = cell.platform.addresses[0];
    let (table, objects) = (
        HttpTable::new(address, CALL_TIMEOUT),
        HttpObjectStore::new(address, CALL_TIMEOUT),
    );
    let store = ConfigStore {
        table: &table,
        objects: &objects,
    };
    let current = store.current_version().await.unwrap().unwrap();
    assert_eq!(current.row.version, version);
    let cfg = store.config(version).await.unwrap();
    let names: Vec<String> = cfg.team.keys().map(ToString::to_string).collect();
    sorted(&names)
}
