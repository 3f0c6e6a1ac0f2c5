//! Service-level burn: windows, rates, budgets and the plot.

use std::time::Duration;

use chestnutlug::config::CellConfig;
use chestnutlug::model::Time;
use chestnutlug::report::{BURN_WINDOWS, BurnReport, MAX_SERIES, SloCount, SloTracker, burn_svg};
use quickcheck::{Arbitrary, Gen};

const TEXT: &str = "\
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

fn burn() -> SloTracker {
    let mut burn = SloTracker::default();
    burn.set_objectives(&CellConfig::from_text(TEXT).unwrap());
    burn
}

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

struct Case {
    name: &'static str,
    /// How much work met its objective and how much did not, and when, in seconds.
    work: &'static [(u64, u64, u64)],
    now_s: u64,
    /// The burn rate over each window.
    rates: [Option<f64>; 4],
    remaining: Option<f64>,
    exhausted_in_s: Option<u64>,
}

#[test]
fn works_out_rates_budgets_and_projections() {
    let cases = [
        Case {
            name: "all met",
            work: &[(0, 10, 0)],
            now_s: 60,
            rates: [Some(0.0); 4],
            remaining: Some(1.0),
            exhausted_in_s: None,
        },
        Case {
            name: "just the allowed share",
            work: &[(0, 9, 1)],
            now_s: 60,
            rates: [Some(1.0); 4],
            remaining: Some(0.0),
            exhausted_in_s: Some(0),
        },
        Case {
            name: "a burst an hour and a half ago",
            work: &[(0, 0, 10), (5_400, 90, 0)],
            now_s: 5_430,
            rates: [Some(0.0), Some(0.0), Some(1.0), Some(1.0)],
            remaining: Some(0.0),
            exhausted_in_s: Some(0),
        },
        Case {
            name: "a burst now, after three good days",
            work: &[(0, 950, 0), (20_000, 40, 10)],
            now_s: 20_010,
            rates: [Some(2.0), Some(2.0), Some(0.1), Some(0.1)],
            remaining: Some(0.9),
            // 0.9 of three days at twice the rate.
            exhausted_in_s: Some(116_640),
        },
        Case {
            name: "quiet for a day",
            work: &[(0, 10, 10)],
            now_s: 86_400,
            rates: [None, None, None, Some(5.0)],
            remaining: Some(-4.0),
            exhausted_in_s: Some(0),
        },
        Case {
            name: "all forgotten",
            work: &[(0, 10, 10)],
            now_s: 5 * 86_400,
            rates: [None; 4],
            remaining: None,
            exhausted_in_s: None,
        },
    ];
    for case in cases {
        let mut burn = burn();
        for &(when_s, good, bad) in case.work {
            for i in 0..good + bad {
                let waited = if i < good { MET } else { MISSED };
                burn.record(&"a".into(), &"swap".into(), waited, at(when_s));
            }
        }
        let report = BurnReport::from_counts(&[burn.counts(at(case.now_s))]);
        let row = &report.rows[0];
        for (window, rate) in row.windows.iter().zip(case.rates) {
            let near = match (window.burn_rate, rate) {
                (Some(a), Some(b)) => (a - b).abs() < 1e-9,
                (a, b) => a == b,
            };
            assert!(near, "{}: {window:?} beside {rate:?}", case.name);
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
fn a_team_s_own_objective_goes_first() {
    let mut burn = burn();
    let waited = Duration::from_millis(3_000);
    for team in ["a", "b"] {
        burn.record(&team.into(), &"swap".into(), waited, at(1));
    }
    burn.record(&"a".into(), &"other".into(), waited, at(1));
    let counts = burn.counts(at(1));
    let of = |team: &str| {
        counts
            .iter()
            .find(|c| c.team == team.into())
            .unwrap()
            .windows[0]
    };
    assert_eq!(counts.len(), 2, "work without an objective is not counted");
    assert_eq!(of("a"), SloCount { good: 0, bad: 1 });
    assert_eq!(of("b"), SloCount { good: 1, bad: 0 });
}

#[test]
fn a_changed_objective_starts_anew_and_others_go_on() {
    let mut burn = burn();
    for team in ["a", "b"] {
        burn.record(&team.into(), &"swap".into(), MET, at(1));
    }
    let text = TEXT.replace("waiting_ms = 1000", "waiting_ms = 2000");
    burn.set_objectives(&CellConfig::from_text(&text).unwrap());
    let counts = burn.counts(at(1));
    let teams: Vec<&str> = counts.iter().map(|counts| counts.team.as_str()).collect();
    assert_eq!(teams, ["b"]);
}

#[test]
fn counts_of_several_vms_are_summed() {
    let (mut one, mut two) = (burn(), burn());
    one.record(&"a".into(), &"swap".into(), MET, at(1));
    two.record(&"a".into(), &"swap".into(), MISSED, at(9_000));
    two.record(&"b".into(), &"swap".into(), MISSED, at(9_000));
    let report = BurnReport::from_counts(&[one.counts(at(2)), two.counts(at(9_001))]);
    assert_eq!(report.rows.len(), 2);
    assert_eq!(
        report.rows[0].windows[3].count,
        SloCount { good: 1, bad: 1 }
    );
    let text = serde_json::to_string(&report).unwrap();
    assert_eq!(serde_json::from_str::<BurnReport>(&text).unwrap(), report);
}

#[test]
fn the_number_of_series_is_bounded() {
    let mut burn = burn();
    for i in 0..MAX_SERIES + 5 {
        burn.record(&i.to_string().as_str().into(), &"swap".into(), MET, at(1));
    }
    assert_eq!(burn.counts(at(1)).len(), MAX_SERIES);
    assert_eq!(burn.dropped(), 5);
}

/// Work at some time after the work before it.
#[derive(Clone, Debug)]
struct Work {
    after_s: u64,
    met: bool,
}

impl Arbitrary for Work {
    fn arbitrary(g: &mut Gen) -> Self {
        // Steps of seconds to days, so that rings turn by parts and by more than a whole.
        let scale = *g.choose(&[1, 30, 600, 7_200, 200_000]).unwrap();
        Self {
            after_s: u64::arbitrary(g) % scale,
            met: bool::arbitrary(g),
        }
    }
}

/// Counts over a list of all work, by bucket numbers.
fn naive(work: &[(u64, bool)], now_s: u64, window_s: u64, bucket_s: u64) -> SloCount {
    let first = (now_s / bucket_s + 1).saturating_sub(window_s / bucket_s);
    let within = work.iter().filter(|(when, _)| when / bucket_s >= first);
    within.fold(SloCount::default(), |sum, (_, met)| {
        sum.plus(SloCount {
            good: (*met).into(),
            bad: (!*met).into(),
        })
    })
}

#[test]
fn windows_agree_with_a_list_of_all_work() {
    const CASES: u64 = 100;
    const BUCKETS_S: [u64; 4] = [10, 60, 300, 3_600];
    for seed in 0..CASES {
        let mut g = Gen::from_size_and_seed(60, seed);
        let mut burn = burn();
        let mut done = Vec::new();
        let mut now_s = 0;
        for work in Vec::<Work>::arbitrary(&mut g) {
            now_s += work.after_s;
            let waited = if work.met { MET } else { MISSED };
            burn.record(&"a".into(), &"swap".into(), waited, at(now_s));
            done.push((now_s, work.met));
            let counts = burn.counts(at(now_s));
            for (i, window) in BURN_WINDOWS.iter().enumerate() {
                let expected = naive(&done, now_s, window.as_secs(), BUCKETS_S[i]);
                assert_eq!(counts[0].windows[i], expected, "seed {seed}, {window:?}");
            }
        }
    }
}

#[test]
fn the_plot_draws_the_series_that_burn_most() {
    let mut burn = burn();
    for i in 0..12_u64 {
        let team = format!("team-{i}");
        let name = team.as_str().into();
        for minute in 0..60 {
            let waited = if minute % 12 < i { MISSED } else { MET };
            burn.record(&name, &"swap".into(), waited, at(minute * 60));
        }
    }
    let report = BurnReport::from_counts(&[burn.counts(at(3_600))]);
    let svg = burn_svg(&report).unwrap();
    assert!(svg.contains("team-11 / swap"));
    assert!(!svg.contains("team-0 / swap"));
    assert!(svg.trim_end().ends_with("</svg>"));
}
