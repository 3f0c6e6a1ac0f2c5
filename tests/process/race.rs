//! Callers and operators that race each other.

use std::net::SocketAddr;
use std::time::Duration;

use chestnutlug::adapter::object_store::HttpObjectStore;
use chestnutlug::adapter::table::HttpTable;
use chestnutlug::config::ConfigStore;
use chestnutlug::oracle::{ReportedOutcome, ReportedWork};

use super::callers::{Callers, Form, Wish};
use super::cell::Cell;
use super::process::Process;

const ROUNDS: usize = 20;

/// How often two operators race.
const EDITS: u64 = 5;

const CALL_LIMIT: Duration = Duration::from_secs(2);

/// The exit code of `config apply` where another operator was first.
const CONFLICT: Option<i32> = Some(3);

fn wish(name: String) -> Wish {
    Wish {
        name,
        idempotent: false,
        urgent: false,
        form: Form::Job {
            tasks: 2,
            all_at_once: false,
            cpu_milli: 100,
            run_ms: 20,
        },
    }
}

fn claim(wish: &Wish, outcome: ReportedOutcome) -> ReportedWork {
    ReportedWork {
        work: wish.name.clone(),
        tasks: 2,
        idempotent: false,
        outcome,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_key_at_several_vms_at_once_runs_one_job() {
    let cell = Cell::start().await;
    let vms = cell.balancer.read().unwrap().clone();
    let callers = Callers::new(cell.balancer.clone());
    let mut claims = Vec::new();
    for round in 0..ROUNDS {
        claims.push(same_body(&callers, &vms, round).await);
        claims.extend(other_bodies(&callers, &vms, round).await);
    }
    let verdict = cell.judge(&claims, false);
    assert_eq!(verdict.violations(), 0, "{:#?}", verdict.findings);
    assert_eq!(verdict.finished, 2 * ROUNDS as u64);
    assert_eq!(verdict.refused, (vms.len() - 1) as u64 * ROUNDS as u64);
}

async fn same_body(callers: &Callers, vms: &[SocketAddr], round: usize) -> ReportedWork {
    let wish = wish(format!("job-same-{round}"));
    let key = &wish.name;
    let (a, b, c) = tokio::join!(
        callers.submit_to(vms[0], &wish, key),
        callers.submit_to(vms[1], &wish, key),
        callers.submit_to(vms[2], &wish, key),
    );
    let id = a.unwrap();
    assert_eq!((b.as_ref(), c.as_ref()), (Ok(&id), Ok(&id)), "{key}");
    let told = callers.end_of(&id).await;
    for vm in vms {
        let view = callers.state(*vm, &id, 1_000).await.unwrap();
        assert_eq!(view.results, [key.clone(), key.clone()], "{vm}");
    }
    claim(&wish, told)
}

async fn other_bodies(callers: &Callers, vms: &[SocketAddr], round: usize) -> Vec<ReportedWork> {
    let wishes: Vec<Wish> = (0..vms.len())
        .map(|i| wish(format!("job-other-{round}-{i}")))
        .collect();
    let key = &format!("other-{round}");
    let (a, b, c) = tokio::join!(
        callers.submit_to(vms[0], &wishes[0], key),
        callers.submit_to(vms[1], &wishes[1], key),
        callers.submit_to(vms[2], &wishes[2], key),
    );
    let mut claims = Vec::new();
    for (wish, submitted) in wishes.iter().zip([a, b, c]) {
        let told = match submitted {
            Ok(id) => callers.end_of(&id).await,
            Err(told) => told,
        };
        claims.push(claim(wish, told));
    }
    claims
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_who_apply_on_the_same_base_lose_nothing() {
    let cell = Cell::start().await;
    cell.platform_switches(r#"{"latency_ms": 30}"#).await;
    let mut version = 1;
    let mut expected = vec!["parlours".to_owned()];
    for round in 0..EDITS {
        let mut edits = ["ana", "ben"].map(|author| format!("{author}-{round}"));
        let both = edits.each_ref().map(|team| {
            let teams = [&expected[..], std::slice::from_ref(team)].concat();
            apply(&cell, &teams, version)
        });
        let [ana, ben] = both;
        let ends = [ana.await.unwrap(), ben.await.unwrap()];
        match ends {
            [Some(0), CONFLICT] => {}
            [CONFLICT, Some(0)] => edits.reverse(),
            _ => panic!("both operators ended with {ends:?}"),
        }
        let [won, lost] = edits;
        expected.push(won);
        version += 1;
        assert_eq!(teams_in_force(&cell, version).await, sorted(&expected));
        expected.push(lost);
        let end = apply(&cell, &expected, version).await.unwrap();
        assert_eq!(end, Some(0), "on the version in force");
        version += 1;
        assert_eq!(teams_in_force(&cell, version).await, sorted(&expected));
    }
}

fn sorted(teams: &[String]) -> Vec<String> {
    let mut teams = teams.to_vec();
    teams.sort();
    teams
}

/// Applies the cell's configuration with these teams beside it, in a process of its own.
fn apply(cell: &Cell, teams: &[String], base: u64) -> tokio::task::JoinHandle<Option<i32>> {
    let folder = cell.folder_with(teams);
    let platform = cell.platform.addresses[0].to_string();
    tokio::task::spawn_blocking(move || {
        let (folder, base) = (folder.to_str().unwrap(), base.to_string());
        let args = ["config", "apply", folder, "--platform", &platform];
        Process::run(&[&args[..], &["--base", &base, "--author", "test"]].concat())
    })
}

/// The teams of version `version`, which is in force, beside the cell's own.
async fn teams_in_force(cell: &Cell, version: u64) -> Vec<String> {
    let address = cell.platform.addresses[0];
    let (table, objects) = (
        HttpTable::new(address, CALL_LIMIT),
        HttpObjectStore::new(address, CALL_LIMIT),
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
