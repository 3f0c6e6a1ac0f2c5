//! Jobs and requests through each VM of a cell.

use chestnutlug::model::Outcome;
use chestnutlug::oracle::ReportedOutcome;

use super::callers::{Callers, WorkItem, WorkSpec};
use super::cell::Cell;

/// A job or request that is sent through each VM.
struct Case {
    name: &'static str,
    idempotent: bool,
    spec: WorkSpec,
}

fn cases() -> Vec<Case> {
    let job = |tasks, all_at_once, run_ms| WorkSpec::Job {
        tasks,
        all_at_once,
        cpu_milli: 500,
        run_ms,
    };
    let request = |request_bytes, response_bytes| WorkSpec::Request {
        work_ms: 5,
        request_bytes,
        response_bytes,
    };
    let case = |name, idempotent, spec| Case {
        name,
        idempotent,
        spec,
    };
    vec![
        case("job", true, job(1, false, 20)),
        case("once-job", false, job(1, false, 20)),
        case("tasks", true, job(6, false, 20)),
        case("gang", true, job(4, true, 50)),
        case("request", true, request(0, 0)),
        case("once-request", false, request(10, 10)),
        case("large-request", true, request(500_000, 2_000_000)),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn work_is_served_through_each_vm() {
    let mut cell = Cell::start().await;
    let vms = cell.load_balancer.read().unwrap().clone();
    let callers = Callers::new(cell.load_balancer.clone());
    let mut reports = Vec::new();
    for (i, &vm) in vms.iter().enumerate() {
        for case in cases() {
            let item = WorkItem {
                name: format!("{}-{i}", case.name),
                idempotent: case.idempotent,
                urgent: false,
                spec: case.spec,
            };
            let outcome = match &item.spec {
                WorkSpec::Job { .. } => {
                    let id = callers.submit_to(vm, &item, &item.name).await.unwrap();
                    let other = vms[(i + 1) % vms.len()];
                    let duplicate = callers.submit_to(other, &item, &item.name).await;
                    assert_eq!(
                        duplicate.as_ref(),
                        Ok(&id),
                        "{}: resubmission with the same key",
                        item.name
                    );
                    callers.await_end(&id).await
                }
                WorkSpec::Request { .. } => callers.request_to(vm, &item).await,
            };
            assert_eq!(outcome, ReportedOutcome::Finished, "{}", item.name);
            reports.push(chestnutlug::oracle::ReportedWork {
                tasks: match item.spec {
                    WorkSpec::Job { tasks, .. } => tasks,
                    WorkSpec::Request { .. } => 1,
                },
                work: item.name,
                idempotent: item.idempotent,
                outcome,
            });
        }
    }
    check_cancellation_and_key_reuse(&callers, &vms).await;
    for i in 0..cell.layout.vms {
        assert_eq!(cell.stop_vm(i).await, Some(0), "vm-{i} stops cleanly");
    }
    let verdict = cell.check_invariants(&reports, false);
    assert_eq!(verdict.violations(), 0, "{:#?}", verdict.findings);
    assert_eq!(verdict.finished, verdict.submitted);
}

async fn check_cancellation_and_key_reuse(callers: &Callers, vms: &[std::net::SocketAddr]) {
    let job_item = |name: &str, run_ms| WorkItem {
        name: name.to_owned(),
        idempotent: true,
        urgent: false,
        spec: WorkSpec::Job {
            tasks: 1,
            all_at_once: false,
            cpu_milli: 100,
            run_ms,
        },
    };
    let item = job_item("cancelled", 60_000);
    let id = callers.submit_to(vms[0], &item, "cancelled").await.unwrap();
    let reused = callers
        .submit_to(vms[1], &job_item("other", 5), "cancelled")
        .await;
    assert_eq!(
        reused,
        Err(ReportedOutcome::NotRun),
        "an idempotency key must not be reused with another body"
    );
    assert!(callers.cancel(vms[1], &id).await.is_some());
    let view = callers.state(vms[2], &id, 5_000).await.unwrap();
    assert_eq!(view.outcome, Some(Outcome::Cancelled));
}
