//! Calls, responses and owners that are delayed until they are out of date.

use super::regress::{Case, run_cases};
use crate::support::job;
use crate::support::script::{Step, full_worker_job};
use crate::support::simulation::Fault;

#[test]
fn a_delayed_call_starts_nothing() {
    use Step::{Fault as F, Wait};
    run_cases(&[Case {
        name: "start delayed at the worker until after its lease",
        workers: 2,
        steps: vec![
            F(Fault::HangWorker(0, true)),
            F(Fault::HangWorker(1, true)),
            full_worker_job(1, true, 6_000),
            Wait(150),
            F(Fault::HangWorker(1, false)),
            Wait(6_000),
            F(Fault::HangWorker(0, false)),
        ],
        accepted: &[1],
    }]);
}

/// After 500 ms the first owner reaches only worker 0. The owners after it reach only worker 1.
fn forced_takeover(name: &'static str, after_ms: u64, first: &[Fault], then: &[Step]) -> Case {
    use Step::{Fault as F, Wait};
    let mut steps = vec![
        full_worker_job(1, true, 14_000),
        Wait(500),
        F(Fault::DropCallsOfOwner(1)),
    ];
    steps.extend(first.iter().copied().map(F));
    steps.extend([
        Wait(after_ms),
        F(Fault::DropCallsOfNextOwner(0)),
        F(Fault::ForceTakeover),
    ]);
    steps.extend_from_slice(then);
    steps.push(Wait(11_000));
    Case {
        name,
        workers: 2,
        steps,
        accepted: &[1],
    }
}

#[test]
fn a_fenced_owner_with_nothing_to_record_stops() {
    use Step::{Fault as F, Wait};
    let third = [
        Wait(100),
        F(Fault::DropCallsOfNextOwner(0)),
        F(Fault::KillOwner),
    ];
    let isolated = [Fault::IsolateOwner];
    let cases = (0..16).flat_map(|i| {
        let after_ms = 1_000 + i * 100;
        [
            forced_takeover("one takeover", after_ms, &[], &[]),
            forced_takeover("two takeovers", after_ms, &[], &third),
            forced_takeover("isolated", after_ms, &isolated, &[]),
            forced_takeover("isolated, two takeovers", after_ms, &isolated, &third),
        ]
    });
    run_cases(&cases.collect::<Vec<_>>());
}

#[test]
fn a_duplicate_call_starts_nothing_after_a_restart() {
    use Step::{Fault as F, Wait};
    let case = |after_ms| Case {
        name: "worker restarted between the call and its duplicate",
        workers: 1,
        steps: vec![
            F(Fault::DuplicateCalls(0, true)),
            full_worker_job(1, false, 300),
            Wait(after_ms),
            F(Fault::RestartWorker(0)),
            Wait(1_000),
        ],
        accepted: &[1],
    };
    run_cases(&(10..80).step_by(5).map(case).collect::<Vec<_>>());
}

#[test]
fn a_call_that_is_sent_after_a_pause_starts_nothing() {
    use Step::{Fault as F, Wait};
    run_cases(&[Case {
        name: "owner paused between the decision and the call",
        workers: 2,
        steps: vec![
            F(Fault::PauseOwnerAtCall(12_000)),
            full_worker_job(1, true, 6_000),
            Wait(50),
            F(Fault::DropCallsOfNextOwner(0)),
            F(Fault::ForceTakeover),
            Wait(14_000),
        ],
        accepted: &[1],
    }]);
}

/// A delayed call with a command renews the lease once more after its sender counted it as failed.
#[test]
fn a_lease_renewed_by_a_delayed_call_expires_before_the_task_runs_elsewhere() {
    use Step::{Fault as F, Wait};
    let case = |offset| Case {
        name: "responses lost, calls delayed",
        workers: 2,
        steps: vec![
            Step::Submit(1, job(1, 1, true, 14_000, "r")),
            Wait(500),
            F(Fault::DropResponses(0, true)),
            F(Fault::DelayCalls(0, 242)),
            Wait(offset),
            Step::Submit(2, job(1, 1, true, 14_000, "r")),
            Wait(10),
            Step::Submit(3, job(1, 1, true, 14_000, "r")),
            Wait(5_000),
        ],
        accepted: &[1, 2, 3],
    };
    run_cases(&(0..75).map(|i| case(i * 10)).collect::<Vec<_>>());
}

/// A response of a worker's previous process arrives after one of its current process.
#[test]
fn a_stale_response_changes_nothing() {
    use Step::{Fault as F, Wait};
    let case = |offset| Case {
        name: "worker restarted between two responses",
        workers: 2,
        steps: vec![
            Step::Submit(1, job(1, 3, true, 5_000, "r")),
            Wait(40),
            Step::Submit(2, job(1, 4, true, 5_000, "r")),
            Wait(40),
            Step::Submit(3, job(1, 3, true, 5_000, "r")),
            Wait(offset),
            F(Fault::DelayCalls(0, 80)),
            Step::Submit(4, job(1, 1, true, 5_000, "r")),
            Wait(98),
            F(Fault::RestartWorker(0)),
            F(Fault::DelayCalls(0, 0)),
            Wait(2_000),
        ],
        accepted: &[1, 2, 3, 4],
    };
    run_cases(&(0..60).map(|i| case(i * 10)).collect::<Vec<_>>());
}
