//! Error-budget burn: windows, rates, budgets and the plot.

use std::time::Duration;

use chestnutlug::config::CellConfig;
use chestnutlug::model::Time;
use chestnutlug::report::{BURN_WINDOWS, BurnReport, MAX_SERIES, SloCount, SloTracker, burn_svg};
use quickcheck::{Arbitrary, Gen};

const CONFIG: &str = "\
[team.a]
balance_core_hours = 1
[team.b]
balance_core_hours = 1
[kind.swap]
[kind.other]
[objective.all]
kind = \"swap\"
waiting_ms = 1000
target = 0.9
[objective.own]
team = \"b\"
kind = \"swap\"
waiting_ms = 5000
target = 0.5
";

const MET: Duration = Duration::from_millis(1_000);
const MISSED: Duration = Duration::from_millis(6_000);

fn tracker() -> SloTracker {
    let mut tracker = SloTracker::default();
    tracker.set_objectives(&CellConfig::from_text(CONFIG).unwrap());
    tracker
}

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

struct Case {
    name: &'static str,
    /// Task starts: the time in seconds, how many met their objective, and how many missed it.
    starts: &'static [(u64, u64, u64)],
    now_s: u64,
    /// The expected burn rate over each window.
    rates: [Option<f64>; 4],
    remaining: Option<f64>,
    exhausted_in_s: Option<u64>,
}

#[test]
fn computes_burn_rates_budgets_and_projections() {
    let cases = [
        Case {
            name: "all met",
            starts: &[(0, 10, 0)],
            now_s: 60,
            rates: [Some(0.0); 4],
            remaining: Some(1.0),
            exhausted_in_s: None,
        },
        Case {
            name: "exactly the allowed fraction missed",
            starts: &[(0, 9, 1)],
            now_s: 60,
            rates: [Some(1.0); 4],
            remaining: Some(0.0),
            exhausted_in_s: Some(0),
        },
        Case {
            name: "misses an hour and a half ago",
            starts: &[(0, 0, 10), (5_400, 90, 0)],
            now_s: 5_430,
            rates: [Some(0.0), Some(0.0), Some(1.0), Some(1.0)],
            remaining: Some(0.0),
            exhausted_in_s: Some(0),
        },
        Case {
            name: "misses now, after hours without any",
            starts: &[(0, 950, 0), (20_000, 40, 10)],
            now_s: 20_010,
            rates: [Some(2.0), Some(2.0), Some(0.1), Some(0.1)],
            remaining: Some(0.9),
            // 0.9 of three days at a burn rate of 2.
            exhausted_in_s: Some(116_640),
        },
        Case {
            name: "no starts for a day",
            starts: &[(0, 10, 10)],
            now_s: 86_400,
            rates: [None, None, None, Some(5.0)],
            remaining: Some(-4.0),
            exhausted_in_s: Some(0),
        },
        Case {
            name: "all counts expired",
            starts: &[(0, 10, 10)],
            now_s: 5 * 86_400,
            rates: [None; 4],
            remaining: None,
            exhausted_in_s: None,
        },
    ];
    for case in cases {
        let mut tracker = tracker();
        for &(when_s, good, bad) in case.starts {
            for i in 0..good + bad {
                let waited = if i < good { MET } else { MISSED };
                tracker.record(&"a".into(), &"swap".into(), waited, at(when_s));
            }
        }
        let report = BurnReport::from_counts(&[tracker.counts(at(case.now_s))]);
        let row = &report.rows[0];
        for (window, rate) in row.windows.iter().zip(case.rates) {
            let near = match (window.burn_rate, rate) {
                (Some(a), Some(b)) => (a - b).abs() < 1e-9,
                (a, b) => a == b,
            };
            assert!(near, "{}: {window:?}, expected rate {rate:?}", case.name);
        }
        let near = |a: f64, b: f64| (a - b).abs() < 1e-9;
        match (row.budget_remaining, case.remaining) {
            (Some(a), Some(b)) => assert!(near(a, b), "{}: {a}", case.name),
            (a, b) => assert_eq!(a, b, "{}", case.name),
        }
        assert_eq!(row.exhausted_in_s, case.exhausted_in_s, "{}", case.name);
    }
}

#[test]
fn team_objective_takes_precedence() {
    let mut tracker = tracker();
    let waited = Duration::from_millis(3_000);
    for team in ["a", "b"] {
        tracker.record(&team.into(), &"swap".into(), waited, at(1));
    }
    tracker.record(&"a".into(), &"other".into(), waited, at(1));
    let counts = tracker.counts(at(1));
    let of = |team: &str| {
        counts
            .iter()
            .find(|c| c.team == team.into())
            .unwrap()
            .windows[0]
    };
    assert_eq!(
        counts.len(),
        2,
        "starts without an objective are not counted"
    );
    assert_eq!(of("a"), SloCount { good: 0, bad: 1 });
    assert_eq!(of("b"), SloCount { good: 1, bad: 0 });
}

#[test]
fn changed_objective_resets_only_its_series() {
    let mut tracker = tracker();
    for team in ["a", "b"] {
        tracker.record(&team.into(), &"swap".into(), MET, at(1));
    }
    let text = CONFIG.replace("waiting_ms = 1000", "waiting_ms = 2000");
    tracker.set_objectives(&CellConfig::from_text(&text).unwrap());
    let counts = tracker.counts(at(1));
    let teams: Vec<&str> = counts.iter().map(|counts| counts.team.as_str()).collect();
    assert_eq!(teams, ["b"]);
}

#[test]
fn counts_of_several_vms_are_summed() {
    let (mut first, mut second) = (tracker(), tracker());
    first.record(&"a".into(), &"swap".into(), MET, at(1));
    second.record(&"a".into(), &"swap".into(), MISSED, at(9_000));
    second.record(&"b".into(), &"swap".into(), MISSED, at(9_000));
    let report = BurnReport::from_counts(&[first.counts(at(2)), second.counts(at(9_001))]);
    assert_eq!(report.rows.len(), 2);
    assert_eq!(
        report.rows[0].windows[3].count,
        SloCount { good: 1, bad: 1 }
    );
    let text = serde_json::to_string(&report).unwrap();
    assert_eq!(serde_json::from_str::<BurnReport>(&text).unwrap(), report);
}

#[test]
fn number_of_series_is_bounded() {
    let mut tracker = tracker();
    for i in 0..MAX_SERIES + 5 {
        tracker.record(&i.to_string().as_str().into(), &"swap".into(), MET, at(1));
    }
    assert_eq!(tracker.counts(at(1)).len(), MAX_SERIES);
    assert_eq!(tracker.dropped(), 5);
}

/// A task start, timed relative to the previous one.
#[derive(Clone, Debug)]
struct Start {
    after_s: u64,
    met: bool,
}

impl Arbitrary for Start {
    fn arbitrary(g: &mut Gen) -> Self {
        // Steps from seconds to days, so that ring buffers are overwritten in part and entirely.
        let scale = *g.choose(&[1, 30, 600, 7_200, 200_000]).unwrap();
        Self {
            after_s: u64::arbitrary(g) % scale,
            met: bool::arbitrary(g),
        }
    }
}

/// The reference count: filters a list of all starts by bucket number.
fn naive_count(starts: &[(u64, bool)], now_s: u64, window_s: u64, bucket_s: u64) -> SloCount {
    let first = (now_s / bucket_s + 1).saturating_sub(window_s / bucket_s);
    let within = starts.iter().filter(|(when, _)| when / bucket_s >= first);
    within.fold(SloCount::default(), |sum, (_, met)| {
        sum.plus(SloCount {
            good: (*met).into(),
            bad: (!*met).into(),
        })
    })
}

#[test]
fn windows_match_a_naive_count() {
    const CASES: u64 = 100;
    const BUCKETS_S: [u64; 4] = [10, 60, 300, 3_600];
    for seed in 0..CASES {
        let mut g = Gen::from_size_and_seed(60, seed);
        let mut tracker = tracker();
        let mut recorded = Vec::new();
        let mut now_s = 0;
        for start in Vec::<Start>::arbitrary(&mut g) {
            now_s += start.after_s;
            let waited = if start.met { MET } else { MISSED };
            tracker.record(&"a".into(), &"swap".into(), waited, at(now_s));
            recorded.push((now_s, start.met));
            let counts = tracker.counts(at(now_s));
            for (i, window) in BURN_WINDOWS.iter().enumerate() {
                let expected = naive_count(&recorded, now_s, window.as_secs(), BUCKETS_S[i]);
                assert_eq!(counts[0].windows[i], expected, "seed {seed}, {window:?}");
            }
        }
    }
}

#[test]
fn plot_draws_the_series_with_the_highest_burn_rates() {
    let mut tracker = tracker();
    for i in 0..12_u64 {
        let team = format!("team-{i}");
        let name = team.as_str().into();
        for minute in 0..60 {
            let waited = if minute % 12 < i { MISSED } else { MET };
            tracker.record(&name, &"swap".into(), waited, at(minute * 60));
        }
    }
    let report = BurnReport::from_counts(&[tracker.counts(at(3_600))]);
    let svg = burn_svg(&report).unwrap();
    assert!(svg.contains("team-11 / swap"));
    assert!(!svg.contains("team-0 / swap"));
    assert!(svg.trim_end().ends_with("</svg>"));
}
