//! The interleavings that are tried, and what must hold after each.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use chestnutlug::model::Time;
use shuttle::scheduler::{DfsScheduler, RandomScheduler, Scheduler};
use shuttle::{Config, Runner, thread};

use crate::cell::{Cell, Owner};
use crate::support::oracle::ObservedJob;

/// Fewer interleavings than this would mean that threads no longer meet.
const LEAST_TRIED: usize = 500;

const RANDOM_RUNS: usize = 500;

const SEED: u64 = 1;

const BEGIN: Time = Time::from_millis(1_000);

#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    idempotent: bool,
    restarts: bool,
    loses_answer: bool,
    /// Rounds of each owner that are interleaved.
    rounds: usize,
}

/// One run: the first owner takes a job and the second claims the shard at any moment.
fn run(case: Case) {
    let cell = Cell::new();
    let mut first = Owner::claim(&cell, 1, BEGIN).expect("nobody else claims yet");
    let mut threads = Vec::new();
    if case.restarts {
        let cell = cell.clone();
        threads.push(thread::spawn(move || cell.restart_worker(BEGIN)));
    }
    if case.loses_answer {
        let cell = cell.clone();
        threads.push(thread::spawn(move || cell.lose_an_answer()));
    }
    let accepted = Arc::new(Mutex::new(false));
    let told = accepted.clone();
    threads.push(thread::spawn(move || {
        first.submit(case.idempotent);
        first.run(case.rounds);
        *told.lock().unwrap() = first.accepted();
    }));
    let shared = cell.clone();
    threads.push(thread::spawn(move || {
        if let Some(mut second) = Owner::claim(&shared, 2, BEGIN) {
            second.run(case.rounds);
        }
    }));
    for thread in threads {
        thread.join().unwrap();
    }
    let mut last = Owner::claim(&cell, 3, BEGIN).expect("nobody else claims any more");
    let end = last.run_out();
    let told = ObservedJob {
        idempotent: case.idempotent,
        tasks: 1,
        result: "r".to_owned(),
        accepted: *accepted.lock().unwrap(),
        ..ObservedJob::default()
    };
    let wrong = cell.judge(&told, end);
    assert!(wrong.is_empty(), "{}: {wrong:?}", case.name);
}

/// Tries the interleavings that `scheduler` gives; returns how many there were.
fn explore(scheduler: impl Scheduler + 'static, case: Case) -> usize {
    let tried = Arc::new(AtomicUsize::new(0));
    let count = tried.clone();
    Runner::new(scheduler, Config::new()).run(move || {
        count.fetch_add(1, Ordering::SeqCst);
        run(case);
    });
    tried.load(Ordering::SeqCst)
}

const CASES: [Case; 6] = [
    Case {
        name: "two owners",
        idempotent: true,
        restarts: false,
        loses_answer: false,
        rounds: 2,
    },
    Case {
        name: "two owners, at most once",
        idempotent: false,
        restarts: false,
        loses_answer: false,
        rounds: 2,
    },
    Case {
        name: "a worker restarts",
        idempotent: true,
        restarts: true,
        loses_answer: false,
        rounds: 1,
    },
    Case {
        name: "a worker restarts, at most once",
        idempotent: false,
        restarts: true,
        loses_answer: false,
        rounds: 1,
    },
    Case {
        name: "an answer is lost",
        idempotent: true,
        restarts: false,
        loses_answer: true,
        rounds: 1,
    },
    Case {
        name: "an answer is lost, at most once",
        idempotent: false,
        restarts: false,
        loses_answer: true,
        rounds: 1,
    },
];

/// Set to try every interleaving of the cases with a third thread too, which takes minutes.
const EXHAUSTIVE: &str = "CHESTNUTLUG_EXHAUSTIVE";

#[test]
fn every_interleaving_of_two_owners() {
    for case in CASES {
        let two = !case.restarts && !case.loses_answer;
        if !two && std::env::var_os(EXHAUSTIVE).is_none() {
            continue;
        }
        let tried = explore(DfsScheduler::new(None, false), case);
        println!("{}: {tried} interleavings", case.name);
        assert!(tried > LEAST_TRIED, "{}: {tried}", case.name);
    }
}

#[test]
fn random_interleavings_with_faults() {
    let all = [true, false].map(|idempotent| Case {
        name: "all faults",
        idempotent,
        restarts: true,
        loses_answer: true,
        rounds: 4,
    });
    for case in CASES.into_iter().chain(all) {
        let scheduler = RandomScheduler::new_from_seed(SEED, RANDOM_RUNS);
        assert_eq!(explore(scheduler, case), RANDOM_RUNS, "{}", case.name);
    }
}
