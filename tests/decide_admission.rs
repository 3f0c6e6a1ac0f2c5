//! The limit on requests at once.

use std::time::Duration;

use chestnutlug::decide::admission::{ConcurrencyLimiter, ConcurrencyLimits};
use chestnutlug::error::Certainty;
use chestnutlug::model::Time;

const BOUNDS: ConcurrencyLimits = ConcurrencyLimits {
    min: 4,
    max: 64,
    initial: 16,
    target_delay: Duration::from_millis(20),
    cooldown: Duration::from_millis(100),
};

#[test]
fn admits_up_to_the_limit_and_refuses_with_a_hint() {
    let mut limiter = ConcurrencyLimiter::new(BOUNDS);
    for _ in 0..16 {
        limiter.admit().unwrap();
    }
    let refusal = limiter.admit().unwrap_err();
    assert_eq!(refusal.certainty, Certainty::NotRun);
    assert!(refusal.retry_after_ms.is_some());
    limiter.release(Some(Duration::ZERO), Time::from_millis(1));
    assert!(limiter.admit().is_ok());
}

#[test]
fn the_limit_follows_the_delay() {
    struct Case {
        name: &'static str,
        delay: Duration,
        /// How many requests stay in progress.
        load: u32,
        limit: std::ops::RangeInclusive<u32>,
    }
    let cases = [
        Case {
            name: "little delay at the limit grows it",
            delay: Duration::from_millis(1),
            load: 16,
            limit: 30..=64,
        },
        Case {
            name: "little delay far below the limit leaves it",
            delay: Duration::from_millis(1),
            load: 2,
            limit: 16..=16,
        },
        Case {
            name: "much delay shrinks it to the least",
            delay: Duration::from_millis(200),
            load: 4,
            limit: 4..=4,
        },
    ];
    for case in cases {
        let mut limiter = ConcurrencyLimiter::new(BOUNDS);
        for _ in 0..case.load {
            limiter.admit().unwrap();
        }
        for ms in 0..10_000 {
            limiter.release(Some(case.delay), Time::from_millis(ms));
            let _ = limiter.admit();
            if case.load == 16 {
                while limiter.admit().is_ok() {}
            }
        }
        let limit = limiter.limit();
        assert!(case.limit.contains(&limit), "{}: {limit}", case.name);
    }
}

#[test]
fn one_slow_spell_shrinks_the_limit_by_steps() {
    let mut limiter = ConcurrencyLimiter::new(BOUNDS);
    limiter.admit().unwrap();
    for _ in 0..100 {
        limiter.release(Some(Duration::from_secs(1)), Time::from_millis(1));
    }
    assert_eq!(
        limiter.limit(),
        14,
        "one reduction within the settling time"
    );
}
