//! Work through each VM of a cell of separate processes.

use chestnutlug::model::Outcome;
use chestnutlug::oracle::ReportedOutcome;

use super::callers::{Callers, Form, Wish};
use super::cell::Cell;

/// A piece of work that is served through every VM.
struct Case {
    name: &'static str,
    idempotent: bool,
    form: Form,
}

fn cases() -> Vec<Case> {
    let job = |tasks, all_at_once, run_ms| Form::Job {
        tasks,
        all_at_once,
        cpu_milli: 500,
        run_ms,
    };
    let request = |sent_bytes, answer_bytes| Form::Request {
        work_ms: 5,
        sent_bytes,
        answer_bytes,
    };
    let case = |name, idempotent, form| Case {
        name,
        idempotent,
        form,
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
    let vms = cell.balancer.read().unwrap().clone();
    let callers = Callers::new(cell.balancer.clone());
    let mut claims = Vec::new();
    for (i, &vm) in vms.iter().enumerate() {
        for case in cases() {
            let wish = Wish {
                name: format!("{}-{i}", case.name),
                idempotent: case.idempotent,
                urgent: false,
                form: case.form,
            };
            let outcome = match &wish.form {
                Form::Job { .. } => {
                    let id = callers.submit_to(vm, &wish, &wish.name).await.unwrap();
                    let other = vms[(i + 1) % vms.len()];
                    let again = callers.submit_to(other, &wish, &wish.name).await;
                    assert_eq!(again.as_ref(), Ok(&id), "{}: same key", wish.name);
                    callers.end_of(&id).await
                }
                Form::Request { .. } => callers.request_to(vm, &wish).await,
            };
            assert_eq!(outcome, ReportedOutcome::Finished, "{}", wish.name);
            claims.push(chestnutlug::oracle::ReportedWork {
                tasks: match wish.form {
                    Form::Job { tasks, .. } => tasks,
                    Form::Request { .. } => 1,
                },
                work: wish.name,
                idempotent: wish.idempotent,
                outcome,
            });
        }
    }
    cancels_and_keys(&callers, &vms).await;
    for i in 0..cell.layout.vms {
        assert_eq!(cell.stop_vm(i).await, Some(0), "vm-{i} stops cleanly");
    }
    let verdict = cell.judge(&claims, false);
    assert_eq!(verdict.violations(), 0, "{:#?}", verdict.findings);
    assert_eq!(verdict.finished, verdict.submitted);
}

async fn cancels_and_keys(callers: &Callers, vms: &[std::net::SocketAddr]) {
    let long = |name: &str, run_ms| Wish {
        name: name.to_owned(),
        idempotent: true,
        urgent: false,
        form: Form::Job {
            tasks: 1,
            all_at_once: false,
            cpu_milli: 100,
            run_ms,
        },
    };
    let wish = long("cancelled", 60_000);
    let id = callers.submit_to(vms[0], &wish, "cancelled").await.unwrap();
    let reused = callers
        .submit_to(vms[1], &long("other", 5), "cancelled")
        .await;
    assert_eq!(
        reused,
        Err(ReportedOutcome::NotRun),
        "the key of another body"
    );
    assert!(callers.cancel(vms[1], &id).await.is_some());
    let view = callers.state(vms[2], &id, 5_000).await.unwrap();
    assert_eq!(view.outcome, Some(Outcome::Cancelled));
}
