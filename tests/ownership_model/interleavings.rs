//! The interleavings that are explored, and the checks after each of them.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use chestnutlug::model::Time;
use shuttle::scheduler::{DfsScheduler, RandomScheduler, Scheduler};
use shuttle::{Config, Runner, thread};

use crate::cell::{Cell, Owner};
use crate::support::oracle::ObservedJob;

/// Fewer interleavings than this would mean that the threads no longer run concurrently.
const MIN_INTERLEAVINGS: usize = 500;

const RANDOM_RUNS: usize = 500;

const SEED: u64 = 1;

const START: Time = Time::from_millis(1_000);

#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    idempotent: bool,
    restarts_worker: bool,
    loses_response: bool,
    /// The number of interleaved rounds of each owner.
    rounds: usize,
}

/// One run: the first owner accepts a job, and the second owner claims the shard at any time. A
/// third owner then runs the job to its end, and the oracle checks the result.
fn run(case: Case) {
    let cell = Cell::new();
    let mut first = Owner::claim(&cell, 1, START).expect("nobody else claims yet");
    let mut threads = Vec::new();
    if case.restarts_worker {
        let cell = cell.clone();
        threads.push(thread::spawn(move || cell.restart_worker(START)));
    }
    if case.loses_response {
        let cell = cell.clone();
        threads.push(thread::spawn(move || cell.lose_next_response()));
    }
    let accepted = Arc::new(Mutex::new(false));
    let accepted_by_first = accepted.clone();
    threads.push(thread::spawn(move || {
        first.submit(case.idempotent);
        first.run(case.rounds);
        *accepted_by_first.lock().unwrap() = first.accepted();
    }));
    let shared = cell.clone();
    threads.push(thread::spawn(move || {
        if let Some(mut second) = Owner::claim(&shared, 2, START) {
            second.run(case.rounds);
        }
    }));
    for thread in threads {
        thread.join().unwrap();
    }
    let mut last = Owner::claim(&cell, 3, START).expect("nobody else claims any more");
    let end = last.run_to_end();
    let expected = ObservedJob {
        idempotent: case.idempotent,
        tasks: 1,
        result: "r".to_owned(),
        accepted: *accepted.lock().unwrap(),
        ..ObservedJob::default()
    };
    let violations = cell.check_oracle(&expected, end);
    assert!(violations.is_empty(), "{}: {violations:?}", case.name);
}

/// Explores the interleavings of `scheduler`; returns their number.
fn explore(scheduler: impl Scheduler + 'static, case: Case) -> usize {
    let interleavings = Arc::new(AtomicUsize::new(0));
    let count = interleavings.clone();
    Runner::new(scheduler, Config::new()).run(move || {
        count.fetch_add(1, Ordering::SeqCst);
        run(case);
    });
    interleavings.load(Ordering::SeqCst)
}

const CASES: [Case; 6] = [
    Case {
        name: "two owners",
        idempotent: true,
        restarts_worker: false,
        loses_response: false,
        rounds: 2,
    },
    Case {
        name: "two owners, not idempotent",
        idempotent: false,
        restarts_worker: false,
        loses_response: false,
        rounds: 2,
    },
    Case {
        name: "a worker restarts",
        idempotent: true,
        restarts_worker: true,
        loses_response: false,
        rounds: 1,
    },
    Case {
        name: "a worker restarts, not idempotent",
        idempotent: false,
        restarts_worker: true,
        loses_response: false,
        rounds: 1,
    },
    Case {
        name: "a response is lost",
        idempotent: true,
        restarts_worker: false,
        loses_response: true,
        rounds: 1,
    },
    Case {
        name: "a response is lost, not idempotent",
        idempotent: false,
        restarts_worker: false,
        loses_response: true,
        rounds: 1,
    },
];

/// Environment variable that also enables the exhaustive exploration of the cases with a third
/// thread, which takes minutes.
const EXHAUSTIVE: &str = "CHESTNUTLUG_EXHAUSTIVE";

#[test]
fn every_interleaving_of_two_owners() {
    for case in CASES {
        let has_two_threads = !case.restarts_worker && !case.loses_response;
        if !has_two_threads && std::env::var_os(EXHAUSTIVE).is_none() {
            continue;
        }
        let interleavings = explore(DfsScheduler::new(None, false), case);
        println!("{}: {interleavings} interleavings", case.name);
        assert!(
            interleavings > MIN_INTERLEAVINGS,
            "{}: {interleavings}",
            case.name
        );
    }
}

#[test]
fn random_interleavings_with_faults() {
    let all = [true, false].map(|idempotent| Case {
        name: "all faults",
        idempotent,
        restarts_worker: true,
        loses_response: true,
        rounds: 4,
    });
    for case in CASES.into_iter().chain(all) {
        let scheduler = RandomScheduler::new_from_seed(SEED, RANDOM_RUNS);
        assert_eq!(explore(scheduler, case), RANDOM_RUNS, "{}", case.name);
    }
}
