//! Changes the capacity of a worker while tasks run, and counts the placed tasks.

mod decide_support;

use chestnutlug::decide::{Action, Policy};
use chestnutlug::model::Urgency;
use decide_support::{at, cores, decide, scheduler, spec};

struct Case {
    name: &'static str,
    before: u32,
    after: u32,
    /// Number of one-core tasks placed before and after the change, on two workers.
    placed: [usize; 2],
}

#[test]
fn changed_capacity_applies_to_later_placements() {
    let cases = [
        Case {
            name: "grows",
            before: 4,
            after: 6,
            placed: [8, 2],
        },
        Case {
            name: "shrinks below what runs",
            before: 4,
            after: 2,
            placed: [8, 0],
        },
        Case {
            name: "stays",
            before: 4,
            after: 4,
            placed: [8, 0],
        },
    ];
    for case in cases {
        let (mut policy, workers) = scheduler(2, cores(case.before));
        let job = spec("t0", "check", Urgency::Normal, 30, cores(1));
        policy.submit(&job, at(0)).unwrap();
        let count = |actions: Vec<Action>| {
            let placed = actions.iter().filter(|s| matches!(s, Action::Place { .. }));
            placed.count()
        };
        let first = count(decide(&mut policy, at(0)));
        policy.set_worker_capacity(workers[0], cores(case.after), at(10));
        let second = count(decide(&mut policy, at(20)));
        assert_eq!([first, second], case.placed, "{}", case.name);
        let none = spec("t0", "check", Urgency::Normal, 1, cores(7));
        assert!(policy.submit(&none, at(30)).is_err(), "{}", case.name);
    }
}
