//! Scripts that once broke an invariant.

use chestnutlug::model::JobId;
use chestnutlug::shard::rows::{IdempotencyKeyRow, encode};

use crate::support::job;
use crate::support::mode::TableMode;
use crate::support::script::{POLICIES, SETTLE_MS, Step, play, whole};
use crate::support::world::probe::Progress;
use crate::support::world::{Fault, World};

pub struct Case {
    pub name: &'static str,
    pub workers: usize,
    pub steps: Vec<Step>,
    /// Jobs that have to be accepted.
    pub accepted: &'static [u64],
}

pub fn run(cases: &[Case]) {
    let mut wrong = Vec::new();
    for case in cases {
        for (policy_name, policy) in POLICIES {
            let mut world = play(case.workers, policy, &case.steps);
            let refused = case.accepted.iter().filter(|n| !world.jobs[n].accepted);
            let refused: Vec<String> = refused.map(|n| format!("job {n} not accepted")).collect();
            for what in world.judge().into_iter().chain(refused) {
                wrong.push(format!("{} ({policy_name}): {what}", case.name));
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn takes_work_again_after_an_outage() {
    use Step::{Fault as F, Run};
    run(&[Case {
        name: "idle shard, one refused submission",
        workers: 1,
        steps: vec![
            F(Fault::Table(TableMode::Down)),
            whole(1, true, 100),
            Run(3_000),
            F(Fault::Table(TableMode::Up)),
            Run(1_000),
            whole(2, true, 100),
        ],
        accepted: &[2],
    }]);
}

#[test]
fn starts_nothing_that_was_given_up() {
    use Step::{Fault as F, Run};
    run(&[Case {
        name: "start lost, worker back after its lease",
        workers: 2,
        steps: vec![
            F(Fault::CutTo(0, true)),
            F(Fault::CutTo(1, true)),
            whole(1, true, 6_000),
            Run(150),
            F(Fault::CutTo(1, false)),
            Run(6_000),
            F(Fault::CutTo(0, false)),
        ],
        accepted: &[1],
    }]);
}

#[test]
fn cancelled_work_stays_cancelled_over_a_takeover() {
    use Step::{Cancel, Fault as F, Run};
    run(&[Case {
        name: "start lost, cancelled, owner killed",
        workers: 1,
        steps: vec![
            F(Fault::CutTo(0, true)),
            whole(1, true, 500),
            Run(50),
            Cancel(1),
            Run(50),
            F(Fault::KillOwner),
            F(Fault::CutTo(0, false)),
        ],
        accepted: &[1],
    }]);
}

#[test]
fn cancelled_work_is_not_sent_to_a_worker_that_comes_back() {
    use Step::{Cancel, Fault as F, Run};
    let case = |name, cut| Case {
        name,
        workers: 1,
        steps: vec![
            F(cut),
            whole(1, true, 500),
            Run(600),
            Cancel(1),
            Run(900),
            F(Fault::CutTo(0, false)),
            F(Fault::CutBack(0, false)),
        ],
        accepted: &[1],
    };
    run(&[
        case("start lost", Fault::CutTo(0, true)),
        case("answer to the start lost", Fault::CutBack(0, true)),
    ]);
}

#[test]
fn a_cancellation_of_ended_work_is_answered_once_the_end_is_recorded() {
    use Step::{Cancel, Fault as F, Run};
    run(&[Case {
        name: "ended, the record under way, cancelled, owner killed, worker restarted",
        workers: 1,
        steps: vec![
            whole(1, true, 500),
            Run(300),
            F(Fault::Table(TableMode::DelaysEffects(3_000))),
            Run(260),
            Cancel(1),
            Run(600),
            F(Fault::KillOwner),
            F(Fault::RestartWorker(0)),
        ],
        accepted: &[1],
    }]);
}

#[test]
fn ends_are_recorded_before_the_worker_forgets_them() {
    use Step::{Fault as F, Run};
    let case = |cut_ms| Case {
        name: "lease lapsed, worker back, table slow, owner killed",
        workers: 1,
        steps: vec![
            whole(1, false, 9_000),
            Run(500),
            F(Fault::CutTo(0, true)),
            Run(cut_ms),
            F(Fault::Table(TableMode::DelaysEffects(5_000))),
            F(Fault::CutTo(0, false)),
            Run(600),
            F(Fault::KillOwner),
        ],
        accepted: &[1],
    };
    run(&[case(2_150), case(2_250), case(2_350), case(2_450)]);
}

#[test]
fn waits_for_unheard_workers_after_a_takeover() {
    use Step::{Fault as F, Run};
    run(&[
        Case {
            name: "second attempt ahead of its row at a worker that does not answer",
            workers: 2,
            steps: vec![
                whole(1, true, 4_000),
                Run(500),
                F(Fault::Table(TableMode::Down)),
                whole(9, true, 100),
                Run(100),
                F(Fault::KillWorker(0, 3_500)),
                Run(3_700),
                F(Fault::KillOwner),
                F(Fault::Table(TableMode::Up)),
                F(Fault::CutTo(1, true)),
                Run(1_500),
            ],
            accepted: &[1],
        },
        Case {
            name: "first attempt ahead of its row at a worker that does not answer",
            workers: 2,
            steps: vec![
                whole(1, false, 1_500),
                whole(2, false, 1_500),
                whole(3, true, 4_000),
                Run(300),
                F(Fault::Table(TableMode::Down)),
                Run(3_500),
                F(Fault::KillOwner),
                F(Fault::Table(TableMode::Up)),
                F(Fault::CutTo(0, true)),
                Run(1_500),
            ],
            accepted: &[1, 2, 3],
        },
    ]);
}

#[test]
fn a_task_is_queued_once_after_a_takeover() {
    use Step::{Fault as F, Run};
    let mut gang = job(3, 4, true, 9_578, "r");
    gang.all_at_once = true;
    run(&[Case {
        name: "a part of a gang held back, another part lost",
        workers: 3,
        steps: vec![
            Step::Submit(3, gang),
            whole(4, true, 3_251),
            Run(584),
            F(Fault::RestartWorker(1)),
            Run(1_593),
            F(Fault::KillOwner),
            F(Fault::Refuse(0, true)),
            Run(3_509),
        ],
        accepted: &[3, 4],
    }]);
}

#[test]
fn no_rows_are_left_of_a_job_with_many_tasks() {
    let mut wrong = Vec::new();
    for after_ms in 0..12 {
        for (name, policy) in POLICIES {
            let mut world = World::new(3, policy);
            world.submit(1, &job(400, 1, true, 5, "r"));
            world.run_until(Progress::EndRecorded);
            world.run_ms(after_ms);
            world.fault(Fault::KillOwner);
            world.settle(SETTLE_MS);
            let found = world.judge().into_iter();
            wrong.extend(found.map(|what| format!("{after_ms} ms ({name}): {what}")));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn refused_work_is_not_run_by_a_later_owner() {
    use Step::{Fault as F, Run};
    let case = |name, mode| Case {
        name,
        workers: 1,
        steps: vec![
            F(Fault::Table(mode)),
            whole(1, true, 100),
            whole(2, false, 100),
            Run(1_500),
            F(Fault::Table(TableMode::Up)),
            Run(1_000),
            F(Fault::KillOwner),
            Run(1_000),
            whole(3, true, 100),
        ],
        accepted: &[3],
    };
    run(&[
        case("refused", TableMode::Down),
        case("answers lost", TableMode::LosesAnswers(500)),
    ]);
}

#[test]
fn a_key_that_another_shard_recorded_first_runs_nothing_here() {
    for (name, policy) in POLICIES {
        let mut world = World::new(1, policy);
        let row = IdempotencyKeyRow {
            job: JobId::new(&"other".into(), 7),
            digest: 5,
        };
        world.rows.put("key/t/5", &encode(&row));
        world.submit_keyed(1, Some(5), &job(1, 1, true, 100, "r"));
        world.submit(2, &job(1, 1, true, 100, "r"));
        world.settle(3_000);
        assert_eq!(world.judge(), ["job 7 was accepted and is lost"], "{name}");
        assert_eq!(world.starts(), 1, "{name}");
        assert!(
            !world.jobs[&1].accepted && world.jobs[&2].accepted,
            "{name}"
        );
    }
}

#[test]
fn a_success_ahead_of_its_row_counts_after_a_takeover() {
    use Step::{Fault as F, Run};
    let steps = [
        whole(1, false, 1_500),
        whole(2, true, 800),
        Run(300),
        F(Fault::Table(TableMode::Down)),
        Run(3_500),
        F(Fault::KillOwner),
        F(Fault::Table(TableMode::Up)),
        Run(1_500),
    ];
    for (policy_name, policy) in POLICIES {
        let mut world = play(1, policy, &steps);
        let wrong = world.judge();
        assert!(wrong.is_empty(), "{policy_name}: {}", wrong.join("\n"));
        assert_eq!(world.starts(), 2, "{policy_name}: work was done again");
    }
}

/// A key that another shard recorded first is an answer of the table, not its silence.
#[test]
fn work_is_taken_after_a_key_was_found_at_another_shard() {
    let (_, policy) = POLICIES[0];
    let mut world = World::new(1, policy);
    let row = IdempotencyKeyRow {
        job: JobId::new(&"other".into(), 7),
        digest: 5,
    };
    world.rows.put("key/t/5", &encode(&row));
    world.submit_keyed(1, Some(5), &job(1, 1, true, 100, "r"));
    world.run_ms(1_200);
    world.submit(2, &job(1, 1, true, 100, "r"));
    world.run_ms(500);
    assert!(world.jobs[&2].accepted && !world.jobs[&2].not_run);
}
