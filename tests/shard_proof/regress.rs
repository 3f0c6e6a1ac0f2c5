//! Scripts that violated an invariant in earlier versions.

use chestnutlug::model::JobId;
use chestnutlug::shard::rows::{IdempotencyKeyRow, encode};

use crate::support::job;
use crate::support::mode::TableMode;
use crate::support::script::{POLICIES, RECOVERY_MS, Step, full_worker_job, run_script};
use crate::support::simulation::probe::Progress;
use crate::support::simulation::{Fault, ShardSimulation};

pub struct Case {
    pub name: &'static str,
    pub workers: usize,
    pub steps: Vec<Step>,
    /// The jobs that must have been accepted.
    pub accepted: &'static [u64],
}

pub fn run_cases(cases: &[Case]) {
    let mut violations = Vec::new();
    for case in cases {
        for (policy_name, policy) in POLICIES {
            let mut simulation = run_script(case.workers, policy, &case.steps);
            let refused = case
                .accepted
                .iter()
                .filter(|n| !simulation.jobs[n].accepted);
            let refused: Vec<String> = refused.map(|n| format!("job {n} not accepted")).collect();
            for what in simulation.find_violations().into_iter().chain(refused) {
                violations.push(format!("{} ({policy_name}): {what}", case.name));
            }
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

#[test]
fn accepts_jobs_again_after_an_outage() {
    use Step::{Fault as F, Wait};
    run_cases(&[Case {
        name: "idle shard, one refused submission",
        workers: 1,
        steps: vec![
            F(Fault::Table(TableMode::Down)),
            full_worker_job(1, true, 100),
            Wait(3_000),
            F(Fault::Table(TableMode::Up)),
            Wait(1_000),
            full_worker_job(2, true, 100),
        ],
        accepted: &[2],
    }]);
}

#[test]
fn start_commands_of_lost_attempts_are_not_sent() {
    use Step::{Fault as F, Wait};
    run_cases(&[Case {
        name: "start lost, worker reachable again after its lease expired",
        workers: 2,
        steps: vec![
            F(Fault::DropCalls(0, true)),
            F(Fault::DropCalls(1, true)),
            full_worker_job(1, true, 6_000),
            Wait(150),
            F(Fault::DropCalls(1, false)),
            Wait(6_000),
            F(Fault::DropCalls(0, false)),
        ],
        accepted: &[1],
    }]);
}

#[test]
fn cancelled_jobs_stay_cancelled_after_a_takeover() {
    use Step::{Cancel, Fault as F, Wait};
    run_cases(&[Case {
        name: "start lost, cancelled, owner killed",
        workers: 1,
        steps: vec![
            F(Fault::DropCalls(0, true)),
            full_worker_job(1, true, 500),
            Wait(50),
            Cancel(1),
            Wait(50),
            F(Fault::KillOwner),
            F(Fault::DropCalls(0, false)),
        ],
        accepted: &[1],
    }]);
}

#[test]
fn cancelled_tasks_are_not_started_once_a_worker_is_reachable_again() {
    use Step::{Cancel, Fault as F, Wait};
    let case = |name, fault| Case {
        name,
        workers: 1,
        steps: vec![
            F(fault),
            full_worker_job(1, true, 500),
            Wait(600),
            Cancel(1),
            Wait(900),
            F(Fault::DropCalls(0, false)),
            F(Fault::DropResponses(0, false)),
        ],
        accepted: &[1],
    };
    run_cases(&[
        case("start lost", Fault::DropCalls(0, true)),
        case("response to the start lost", Fault::DropResponses(0, true)),
    ]);
}

#[test]
fn the_reply_to_a_cancellation_of_ended_tasks_waits_until_the_outcome_is_recorded() {
    use Step::{Cancel, Fault as F, Wait};
    run_cases(&[Case {
        name: "ended, commit in flight, cancelled, owner killed, worker restarted",
        workers: 1,
        steps: vec![
            full_worker_job(1, true, 500),
            Wait(300),
            F(Fault::Table(TableMode::DelaysCommits(3_000))),
            Wait(260),
            Cancel(1),
            Wait(600),
            F(Fault::KillOwner),
            F(Fault::RestartWorker(0)),
        ],
        accepted: &[1],
    }]);
}

#[test]
fn ends_are_recorded_before_they_are_acknowledged() {
    use Step::{Fault as F, Wait};
    let case = |unreachable_ms| Case {
        name: "lease expired, worker reachable again, table slow, owner killed",
        workers: 1,
        steps: vec![
            full_worker_job(1, false, 9_000),
            Wait(500),
            F(Fault::DropCalls(0, true)),
            Wait(unreachable_ms),
            F(Fault::Table(TableMode::DelaysCommits(5_000))),
            F(Fault::DropCalls(0, false)),
            Wait(600),
            F(Fault::KillOwner),
        ],
        accepted: &[1],
    };
    run_cases(&[case(2_150), case(2_250), case(2_350), case(2_450)]);
}

#[test]
fn waits_for_unreachable_workers_after_a_takeover() {
    use Step::{Fault as F, Wait};
    run_cases(&[
        Case {
            name: "second attempt ahead of its row on an unreachable worker",
            workers: 2,
            steps: vec![
                full_worker_job(1, true, 4_000),
                Wait(500),
                F(Fault::Table(TableMode::Down)),
                full_worker_job(9, true, 100),
                Wait(100),
                F(Fault::KillWorker(0, 3_500)),
                Wait(3_700),
                F(Fault::KillOwner),
                F(Fault::Table(TableMode::Up)),
                F(Fault::DropCalls(1, true)),
                Wait(1_500),
            ],
            accepted: &[1],
        },
        Case {
            name: "first attempt ahead of its row on an unreachable worker",
            workers: 2,
            steps: vec![
                full_worker_job(1, false, 1_500),
                full_worker_job(2, false, 1_500),
                full_worker_job(3, true, 4_000),
                Wait(300),
                F(Fault::Table(TableMode::Down)),
                Wait(3_500),
                F(Fault::KillOwner),
                F(Fault::Table(TableMode::Up)),
                F(Fault::DropCalls(0, true)),
                Wait(1_500),
            ],
            accepted: &[1, 2, 3],
        },
    ]);
}

#[test]
fn a_task_is_queued_once_after_a_takeover() {
    use Step::{Fault as F, Wait};
    let mut gang = job(3, 4, true, 9_578, "r");
    gang.all_at_once = true;
    run_cases(&[Case {
        name: "one task of a gang deferred, another lost",
        workers: 3,
        steps: vec![
            Step::Submit(3, gang),
            full_worker_job(4, true, 3_251),
            Wait(584),
            F(Fault::RestartWorker(1)),
            Wait(1_593),
            F(Fault::KillOwner),
            F(Fault::RefuseCalls(0, true)),
            Wait(3_509),
        ],
        accepted: &[3, 4],
    }]);
}

#[test]
fn no_task_rows_remain_of_a_job_with_many_tasks() {
    let mut violations = Vec::new();
    for after_ms in 0..12 {
        for (name, policy) in POLICIES {
            let mut simulation = ShardSimulation::new(3, policy);
            simulation.submit(1, &job(400, 1, true, 5, "r"));
            simulation.run_until(Progress::EndRecorded);
            simulation.run_ms(after_ms);
            simulation.inject(Fault::KillOwner);
            simulation.clear_faults_and_run(RECOVERY_MS);
            let found = simulation.find_violations().into_iter();
            violations.extend(found.map(|what| format!("{after_ms} ms ({name}): {what}")));
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

#[test]
fn refused_jobs_are_not_run_by_a_later_owner() {
    use Step::{Fault as F, Wait};
    let case = |name, mode| Case {
        name,
        workers: 1,
        steps: vec![
            F(Fault::Table(mode)),
            full_worker_job(1, true, 100),
            full_worker_job(2, false, 100),
            Wait(1_500),
            F(Fault::Table(TableMode::Up)),
            Wait(1_000),
            F(Fault::KillOwner),
            Wait(1_000),
            full_worker_job(3, true, 100),
        ],
        accepted: &[3],
    };
    run_cases(&[
        case("refused", TableMode::Down),
        case("responses lost", TableMode::LosesResponses(500)),
    ]);
}

#[test]
fn a_job_is_dropped_if_another_shard_recorded_its_key_first() {
    for (name, policy) in POLICIES {
        let mut simulation = ShardSimulation::new(1, policy);
        let row = IdempotencyKeyRow {
            job: JobId::new(&"other".into(), 7),
            digest: 5,
        };
        simulation.rows.put("key/t/5", &encode(&row));
        simulation.submit_with_key(1, Some(5), &job(1, 1, true, 100, "r"));
        simulation.submit(2, &job(1, 1, true, 100, "r"));
        simulation.clear_faults_and_run(3_000);
        assert_eq!(
            simulation.find_violations(),
            ["job 7 was accepted and is lost"],
            "{name}"
        );
        assert_eq!(simulation.starts(), 1, "{name}");
        assert!(
            !simulation.jobs[&1].accepted && simulation.jobs[&2].accepted,
            "{name}"
        );
    }
}

#[test]
fn a_success_ahead_of_its_row_counts_after_a_takeover() {
    use Step::{Fault as F, Wait};
    let steps = [
        full_worker_job(1, false, 1_500),
        full_worker_job(2, true, 800),
        Wait(300),
        F(Fault::Table(TableMode::Down)),
        Wait(3_500),
        F(Fault::KillOwner),
        F(Fault::Table(TableMode::Up)),
        Wait(1_500),
    ];
    for (policy_name, policy) in POLICIES {
        let mut simulation = run_script(1, policy, &steps);
        let violations = simulation.find_violations();
        assert!(
            violations.is_empty(),
            "{policy_name}: {}",
            violations.join("\n")
        );
        assert_eq!(simulation.starts(), 2, "{policy_name}: a task ran again");
    }
}

/// A conflict on an idempotency key is a response of the table and must not count as an outage, in
/// which new jobs are refused.
#[test]
fn jobs_are_accepted_after_a_conflict_on_an_idempotency_key() {
    let (_, policy) = POLICIES[0];
    let mut simulation = ShardSimulation::new(1, policy);
    let row = IdempotencyKeyRow {
        job: JobId::new(&"other".into(), 7),
        digest: 5,
    };
    simulation.rows.put("key/t/5", &encode(&row));
    simulation.submit_with_key(1, Some(5), &job(1, 1, true, 100, "r"));
    simulation.run_ms(1_200);
    simulation.submit(2, &job(1, 1, true, 100, "r"));
    simulation.run_ms(500);
    assert!(simulation.jobs[&2].accepted && !simulation.jobs[&2].not_run);
}
