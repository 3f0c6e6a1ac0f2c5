//! Tests the building blocks of the scheduler, each against a naive oracle or a table of cases.

mod decide_support;

use std::collections::BTreeMap;
use std::time::Duration;

use chestnutlug::decide::backoff::{RetryBudget, backoff};
use chestnutlug::decide::health::WorkerHealth;
use chestnutlug::decide::index::FreeCapacityIndex;
use chestnutlug::decide::rate::EventRate;
use chestnutlug::decide::usage::UsageEstimator;
use chestnutlug::decide::{Action, JobKey, Policy, TeamLimits, WorkerKey};
use chestnutlug::model::{Resources, Time, Urgency};
use decide_support::{at, cores, decide, scheduler, spec, team};
use quickcheck::{Arbitrary, Gen, QuickCheck, Testable};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

const SEED: u64 = 0xc0de;

fn check(property: impl Testable) {
    let gen_ = Gen::from_size_and_seed(100, SEED);
    QuickCheck::new().rng(gen_).tests(300).quickcheck(property);
}

#[derive(Clone, Copy, Debug)]
struct Size(Resources);

impl Arbitrary for Size {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(Resources {
            cpu_milli: u32::from(u8::arbitrary(g)) * 50,
            memory_mib: u32::from(u8::arbitrary(g)) * 50,
            accelerators: u32::from(u8::arbitrary(g) % 8 / 6),
        })
    }
}

#[test]
fn index_finds_a_fit_whenever_a_scan_does() {
    fn property(sets: Vec<(u8, Option<Size>)>, needs: Vec<Size>) -> bool {
        let mut keys = SlotMap::<WorkerKey, ()>::with_key();
        let keys: Vec<_> = (0..10).map(|_| keys.insert(())).collect();
        let mut index = FreeCapacityIndex::default();
        let mut naive = BTreeMap::new();
        for (worker, size) in sets {
            let key = keys[usize::from(worker) % keys.len()];
            match size {
                Some(Size(free)) => {
                    index.set(key, free);
                    naive.insert(key, free);
                }
                None => {
                    index.remove(key);
                    naive.remove(&key);
                }
            }
        }
        let total = naive
            .values()
            .fold(Resources::default(), |sum, free| sum.plus(free));
        let max_cpu_milli = naive.values().map(|free| free.cpu_milli).max().unwrap_or(0);
        let sums_match = index.total() == total && index.max_cpu_milli() == max_cpu_milli;
        let all_found = needs.iter().all(|Size(need)| match index.best_fit(need) {
            Some(key) => need.fits_in(&naive[&key]),
            None => !naive.values().any(|free| need.fits_in(free)),
        });
        sums_match && all_found && index.len() == naive.len()
    }
    check(property as fn(Vec<(u8, Option<Size>)>, Vec<Size>) -> bool);
}

#[test]
fn estimated_reservations_are_between_declared_and_observed_usage() {
    fn property(seen: Vec<(Size, Size)>, declared: Size) -> bool {
        let mut estimator = UsageEstimator::default();
        let mut peak = Resources::default();
        for (Size(used), Size(declared)) in &seen {
            estimator.record_usage(used, declared);
            peak = Resources::max(&peak, used);
        }
        let need = estimator.reservation(&declared.0);
        let bound = |declared: u32, peak: u32| declared.max(peak + peak / 16 + 1);
        declared.0.fits_in(&need)
            && need.cpu_milli <= bound(declared.0.cpu_milli, peak.cpu_milli)
            && need.memory_mib <= bound(declared.0.memory_mib, peak.memory_mib)
    }
    check(property as fn(Vec<(Size, Size)>, Size) -> bool);
}

#[test]
fn old_usage_samples_expire() {
    let mut estimator = UsageEstimator::default();
    for _ in 0..2_000 {
        estimator.record_usage(&cores(8), &cores(1));
    }
    assert!(estimator.reservation(&cores(1)).cpu_milli >= 7_000);
    for _ in 0..2_000 {
        estimator.record_usage(&cores(1), &cores(1));
    }
    assert_eq!(estimator.reservation(&cores(1)), cores(1));
}

#[test]
fn backoff_grows_within_its_bounds() {
    fn property(failures: u8, base_ms: u16, seed: u64) -> bool {
        let base = Duration::from_millis(u64::from(base_ms) + 1);
        let max = Duration::from_secs(30);
        let wait = backoff(
            failures.into(),
            base,
            max,
            &mut SmallRng::seed_from_u64(seed),
        );
        let doubled = 2f64.powi(i32::from(failures.max(1)) - 1) * base.as_secs_f64();
        let whole = doubled.min(base.as_secs_f64() * 65_536.0).min(30.0);
        let seconds = wait.as_secs_f64();
        (whole / 2.0 - 1e-6..=whole + 1e-6).contains(&seconds)
    }
    check(property as fn(u8, u16, u64) -> bool);
}

#[test]
fn retries_stay_within_the_budget() {
    fn property(burst: u8, permille: u16, ops: Vec<bool>) -> bool {
        let (burst, permille) = (u32::from(burst), u32::from(permille % 1_000));
        let mut budget = RetryBudget::new(burst, permille);
        let (mut starts, mut retries) = (0_u64, 0_u64);
        for is_start in ops {
            if is_start {
                budget.deposit();
                starts += 1;
            } else {
                retries += u64::from(budget.try_withdraw());
            }
        }
        retries * 1_000 <= u64::from(burst) * 1_000 + starts * u64::from(permille)
    }
    check(property as fn(u8, u16, Vec<bool>) -> bool);
}

#[test]
fn waiting_time_follows_the_event_rate() {
    fn property(per_second: u8, events: u16) -> bool {
        let (rate, events) = (
            u64::from(per_second % 50) + 1,
            u64::from(events % 1_000) + 1,
        );
        let mut rate_estimate = EventRate::default();
        for ms in (0..200_000).step_by(1_000) {
            rate_estimate.record(rate as u32, at(ms));
        }
        let wait_ms = rate_estimate.wait_ms(events, at(200_000));
        let exact = (events * 1_000 / rate).clamp(100, 60_000);
        wait_ms.abs_diff(exact) <= exact / 10 + 1
    }
    check(property as fn(u8, u16) -> bool);
}

#[test]
fn failures_count_once_per_job() {
    fn property(jobs: Vec<u8>) -> bool {
        let mut keys = SlotMap::<JobKey, ()>::with_key();
        let keys: Vec<_> = (0..4).map(|_| keys.insert(())).collect();
        let mut health = WorkerHealth::default();
        let mut seen = Vec::new();
        jobs.iter().all(|job| {
            let job = usize::from(job % 4);
            if !seen.contains(&job) {
                seen.push(job);
            }
            health.record_failure(keys[job]) == seen.len()
        })
    }
    check(property as fn(Vec<u8>) -> bool);
}

/// Assigns `capacity` units one by one to the team with the lowest amount per weight that still
/// wants one.
fn water_fill(wants: &[u32], weights: &[u32], capacity: u32) -> Vec<u32> {
    let mut assigned = vec![0; wants.len()];
    for _ in 0..capacity {
        let wanting = (0..wants.len()).filter(|&i| assigned[i] < wants[i]);
        let next = wanting.min_by(|&a, &b| {
            let level = |i: usize| f64::from(assigned[i]) / f64::from(weights[i]);
            level(a).total_cmp(&level(b))
        });
        match next {
            Some(next) => assigned[next] += 1,
            None => break,
        }
    }
    assigned
}

#[test]
fn teams_get_max_min_fair_shares() {
    fn property(wants: (u8, u8, u8), weights: (u8, u8, u8)) -> bool {
        let wants = [wants.0, wants.1, wants.2].map(|want| u32::from(want % 60));
        let weights = [weights.0, weights.1, weights.2].map(|weight| u32::from(weight % 3) + 1);
        let (mut policy, _) = scheduler(3, cores(16));
        let mut jobs = BTreeMap::new();
        for (i, &want) in wants.iter().enumerate() {
            let name = format!("t{i}");
            let limits = TeamLimits {
                weight: weights[i],
                ..team()
            };
            policy.set_team(&name.as_str().into(), &limits, at(0));
            for _ in 0..want {
                let job = spec(&name, "compile", Urgency::Normal, 1, cores(1));
                jobs.insert(policy.submit(&job, at(0)).unwrap(), i);
            }
        }
        let mut assigned = [0_u32; 3];
        for action in decide(&mut policy, at(0)) {
            if let Action::Place { job, .. } = action {
                assigned[jobs[&job]] += 1;
            }
        }
        let fair = water_fill(&wants, &weights, 48);
        let close = |i: usize| assigned[i].abs_diff(fair[i]) <= 2;
        assigned.iter().sum::<u32>() == fair.iter().sum::<u32>() && (0..3).all(close)
    }
    check(property as fn((u8, u8, u8), (u8, u8, u8)) -> bool);
}

#[test]
fn mass_cancellations_start_nothing_and_are_cheap() {
    let (mut policy, _) = scheduler(1, cores(4));
    let job = |urgency| spec("t1", "compile", urgency, 1, cores(4));
    let first = policy.submit(&job(Urgency::Urgent), at(0)).unwrap();
    assert_eq!(decide(&mut policy, at(0)).len(), 1);
    let submit = |_| policy.submit(&job(Urgency::Normal), at(1)).unwrap();
    let jobs: Vec<_> = (0..80_000).map(submit).collect();
    for &job in &jobs[1..] {
        assert!(policy.cancel(job, at(2)).is_empty());
        policy.remove_job(job, at(2));
    }
    assert_eq!(policy.load().queued, 1);
    assert_eq!(policy.cancel(first, at(3)).len(), 1);
    let end = chestnutlug::decide::AttemptEnd::Reported(chestnutlug::model::Outcome::Cancelled);
    policy.attempt_ended(first, 0, 1, end, at(4));
    let actions = decide(&mut policy, Time::from_millis(5));
    assert!(
        matches!(actions[..], [Action::Place { job, .. }] if job == jobs[0]),
        "{actions:?}"
    );
}
