//! Tests the adaptive limit on concurrent requests.

use std::time::Duration;

use chestnutlug::decide::admission::{ConcurrencyLimiter, ConcurrencyLimits};
use chestnutlug::error::Certainty;
use chestnutlug::model::Time;

const LIMITS: ConcurrencyLimits = ConcurrencyLimits {
    min: 4,
    max: 64,
    initial: 16,
    target_delay: Duration::from_millis(20),
    cooldown: Duration::from_millis(100),
};

#[test]
fn admits_up_to_the_limit_and_refuses_with_retry_after() {
    let mut limiter = ConcurrencyLimiter::new(LIMITS);
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
        /// Number of requests in progress.
        in_progress: u32,
        limit: std::ops::RangeInclusive<u32>,
    }
    let cases = [
        Case {
            name: "low delay at the limit increases it",
            delay: Duration::from_millis(1),
            in_progress: 16,
            limit: 30..=64,
        },
        Case {
            name: "low delay far below the limit keeps it",
            delay: Duration::from_millis(1),
            in_progress: 2,
            limit: 16..=16,
        },
        Case {
            name: "high delay decreases it to the minimum",
            delay: Duration::from_millis(200),
            in_progress: 4,
            limit: 4..=4,
        },
    ];
    for case in cases {
        let mut limiter = ConcurrencyLimiter::new(LIMITS);
        for _ in 0..case.in_progress {
            limiter.admit().unwrap();
        }
        for ms in 0..10_000 {
            limiter.release(Some(case.delay), Time::from_millis(ms));
            let _ = limiter.admit();
            if case.in_progress == 16 {
                while limiter.admit().is_ok() {}
            }
        }
        let limit = limiter.limit();
        assert!(case.limit.contains(&limit), "{}: {limit}", case.name);
    }
}

#[test]
fn a_burst_of_slow_requests_decreases_the_limit_once() {
    let mut limiter = ConcurrencyLimiter::new(LIMITS);
    limiter.admit().unwrap();
    for _ in 0..100 {
        limiter.release(Some(Duration::from_secs(1)), Time::from_millis(1));
    }
    assert_eq!(limiter.limit(), 14, "one decrease within the cooldown");
}
