//! Runs the policy benchmarks at small sizes, and checks the output of their commands.

use assert_cmd::Command;
use chestnutlug::bench::policy::{Case, Params, Report, run_case};
use chestnutlug::bench::simulation::{SimulationParams, simulate};
use chestnutlug::bench::workload::{Flood, WorkloadParams, generate};
use chestnutlug::decide::fifo::Fifo;
use chestnutlug::decide::priority::Priority;
use chestnutlug::decide::scheduler::Scheduler;
use serde_json::Value;

const PARAMS: Params = Params {
    workers: 10,
    teams: 6,
    seed: 7,
};

struct Bound {
    case: Case,
    /// Condition on the report of the scheduler.
    is_met: fn(&Report) -> bool,
}

#[test]
fn scheduler_meets_the_bounds_of_each_case() {
    let cases = [
        Bound {
            case: Case::Load70,
            is_met: |r| r.policies["chestnutlug"].urgent_p99_s < 2.7,
        },
        Bound {
            case: Case::Load95,
            is_met: |r| r.policies["chestnutlug"].urgent_p99_s < 2.7,
        },
        Bound {
            case: Case::FloodPatient,
            is_met: |r| r.policies["chestnutlug"].preview_p99_ratio.unwrap() <= 2.0,
        },
        Bound {
            case: Case::Packing,
            is_met: |r| r.policies["chestnutlug"].packing >= 0.9,
        },
        Bound {
            case: Case::BadWorkers,
            is_met: |r| {
                let kept = |name: &str| r.policies[name].useful_share.unwrap();
                kept("chestnutlug") >= 0.85 && kept("chestnutlug") > kept("fifo")
            },
        },
        Bound {
            case: Case::WrongSizes,
            is_met: |r| r.policies["fifo"].overcommitted > 0,
        },
    ];
    for bound in cases {
        let report = run_case(bound.case, &PARAMS);
        assert_eq!(
            report.policies["chestnutlug"].overcommitted, 0,
            "{}",
            bound.case
        );
        assert!((bound.is_met)(&report), "{}: {report:#?}", bound.case);
    }
}

#[test]
fn wrong_declarations_never_overcommit_workers() {
    for seed in 1..=6 {
        let demand = WorkloadParams {
            teams: 12,
            cores: 320,
            load_percent: 70,
            until_ms: 600_000,
            misdeclared: true,
            seed,
        };
        let setup = SimulationParams {
            workers: 20,
            teams: 12,
            failing_worker_stride: 0,
            measure_from_ms: 0,
            end_ms: 600_000,
        };
        let count = simulate(&mut Scheduler::new(1), &mut generate(&demand, None), &setup);
        assert_eq!(count.overcommitted, 0, "seed {seed}");
    }
}

#[test]
fn same_seed_gives_the_same_report() {
    let demand = WorkloadParams {
        teams: 6,
        cores: 160,
        load_percent: 90,
        until_ms: 120_000,
        misdeclared: true,
        seed: 3,
    };
    let setup = SimulationParams {
        workers: 10,
        teams: 6,
        failing_worker_stride: 5,
        measure_from_ms: 0,
        end_ms: 120_000,
    };
    let report = || {
        let count = simulate(&mut Scheduler::new(1), &mut generate(&demand, None), &setup);
        format!("{count:?}")
    };
    assert_eq!(report(), report());
}

#[test]
fn flood_does_not_change_the_other_arrivals() {
    let demand = WorkloadParams {
        teams: 6,
        cores: 160,
        load_percent: 70,
        until_ms: 120_000,
        misdeclared: false,
        seed: 3,
    };
    let flood = Flood {
        kind: "swap",
        one_team: false,
        from_ms: 10_000,
        to_ms: 60_000,
        capacity_multiple: 10,
    };
    let plain: Vec<_> = generate(&demand, None)
        .map(|arrival| (arrival.at_ms, arrival.spec))
        .collect();
    let flooded = generate(&demand, Some(&flood));
    let others = flooded.filter(|arrival| !arrival.flood);
    let others: Vec<_> = others
        .map(|arrival| (arrival.at_ms, arrival.spec))
        .collect();
    assert_eq!(plain, others);
    let cores = |arrivals: &mut dyn Iterator<Item = chestnutlug::bench::workload::Arrival>| {
        let cost = arrivals.map(|arrival| {
            f64::from(arrival.actual_resources.cpu_milli) * arrival.actual_run_ms as f64
        });
        cost.sum::<f64>() / 50_000.0 / 1_000.0
    };
    let flood = cores(&mut generate(&demand, Some(&flood)).filter(|arrival| arrival.flood));
    assert!((1_550.0..1_650.0).contains(&flood), "{flood} cores");
}

#[test]
fn baselines_keep_their_order() {
    let demand = WorkloadParams {
        teams: 6,
        cores: 160,
        load_percent: 200,
        until_ms: 120_000,
        misdeclared: false,
        seed: 3,
    };
    let setup = SimulationParams {
        workers: 10,
        teams: 6,
        failing_worker_stride: 0,
        measure_from_ms: 60_000,
        end_ms: 120_000,
    };
    let wait = |policy: &mut dyn chestnutlug::decide::Policy, kind: &str| {
        let count = simulate(policy, &mut generate(&demand, None), &setup);
        count.kinds[kind].waiting_ms.value_at_quantile(0.5)
    };
    assert!(wait(&mut Priority::default(), "preview") < 1_000);
    assert!(wait(&mut Fifo::default(), "preview") > 1_000);
}

struct CommandCase {
    args: &'static [&'static str],
    fields: &'static [&'static str],
}

#[test]
fn commands_print_one_json_object() {
    let cases = [
        CommandCase {
            args: &[
                "decide",
                "--workers",
                "2",
                "--running",
                "10",
                "--teams",
                "2",
            ],
            fields: &["/placements_per_s", "/p99_us"],
        },
        CommandCase {
            args: &[
                "policy",
                "--case",
                "load-70",
                "--workers",
                "2",
                "--teams",
                "2",
            ],
            fields: &[
                "/policies/chestnutlug/overcommitted",
                "/policies/chestnutlug/urgent_p99_s",
                "/policies/fifo/packing",
                "/policies/priority/waiting/rebuild/p99_s",
            ],
        },
        CommandCase {
            args: &[
                "policy",
                "--case",
                "bad-workers",
                "--workers",
                "2",
                "--teams",
                "2",
            ],
            fields: &["/policies/chestnutlug/useful_share"],
        },
        CommandCase {
            args: &[
                "policy",
                "--case",
                "flood-patient",
                "--workers",
                "2",
                "--teams",
                "2",
            ],
            fields: &[
                "/policies/chestnutlug/kept_share_min",
                "/policies/priority/preview_p99_ratio",
            ],
        },
    ];
    for case in cases {
        let mut command = Command::cargo_bin("chestnutlug").unwrap();
        let run = command
            .arg("bench")
            .args(case.args)
            .args(["--format", "json"]);
        let out = run.assert().success().get_output().stdout.clone();
        let report: Value = serde_json::from_slice(&out).unwrap();
        for field in case.fields {
            let value = report.pointer(field);
            assert!(
                value.is_some_and(Value::is_number),
                "{:?}: {field}",
                case.args
            );
        }
    }
}

#[test]
fn unknown_case_is_refused_with_a_list_of_cases() {
    let mut command = Command::cargo_bin("chestnutlug").unwrap();
    let run = command.args(["bench", "policy", "--case", "load-80"]);
    let out = run.assert().failure().code(2).get_output().stderr.clone();
    let text = String::from_utf8(out).unwrap();
    assert!(
        Case::ALL.iter().all(|case| text.contains(case.name())),
        "{text}"
    );
}
