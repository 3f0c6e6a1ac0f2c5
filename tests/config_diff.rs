//! Diffs between two configurations, and their application.

use chestnutlug::config::{CellConfig, ConfigDiff, KindConfig, TeamConfig};
use chestnutlug::model::{Resources, Urgency};
use quickcheck::{Arbitrary, Gen};

fn config(g: &mut Gen) -> CellConfig {
    let mut config = CellConfig {
        idempotency_key_s: 1 + u64::arbitrary(g) % 3,
        ..CellConfig::default()
    };
    for name in ["a", "b", "c.d"] {
        if bool::arbitrary(g) {
            config.team.insert(name.into(), team(g));
        }
        if bool::arbitrary(g) {
            let kind = KindConfig {
                max_queued: 1 + u32::arbitrary(g) % 2,
                max_attempts: 1,
                urgency: *g.choose(&[Urgency::Urgent, Urgency::Patient]).unwrap(),
            };
            config.kind.insert(name.into(), kind);
        }
    }
    config
}

fn team(g: &mut Gen) -> TeamConfig {
    let quota = Resources {
        cpu_milli: 1 + u32::arbitrary(g) % 2,
        memory_mib: 1,
        accelerators: u32::arbitrary(g) % 2,
    };
    TeamConfig {
        balance_core_hours: f64::from(1 + u8::arbitrary(g) % 3),
        weight: 1 + u32::arbitrary(g) % 2,
        quota: bool::arbitrary(g).then_some(quota),
        max_queued: 5,
    }
}

#[test]
fn a_diff_turns_one_configuration_into_the_other() {
    const CASES: u64 = 500;
    for seed in 0..CASES {
        let mut g = Gen::from_size_and_seed(10, seed);
        let (before, after) = (config(&mut g), config(&mut g));
        let diff = ConfigDiff::between(&before, &after).unwrap();
        assert_eq!(diff.apply_to(&before).unwrap(), after, "seed {seed}");
        assert_eq!(diff.is_empty(), before == after, "seed {seed}");
        let text = serde_json::to_string(&diff).unwrap();
        let read: ConfigDiff = serde_json::from_str(&text).unwrap();
        assert_eq!(read, diff, "seed {seed}");
        // A diff does not apply to a configuration whose old values differ.
        if !diff.is_empty() {
            assert!(diff.apply_to(&after).is_err(), "seed {seed}");
        }
    }
}

struct Case {
    name: &'static str,
    before: &'static str,
    after: &'static str,
    shown: &'static str,
}

#[test]
fn a_diff_lists_each_changed_key() {
    let cases = [
        Case {
            name: "a changed value",
            before: "[kind.k]\nmax_queued = 5\n",
            after: "[kind.k]\nmax_queued = 6\n",
            shown: "~ kind.k.max_queued = 5 -> 6\n",
        },
        Case {
            name: "a name with a dot",
            before: "[kind.\"a.b\"]\nmax_queued = 5\n",
            after: "[kind.\"a.b\"]\nmax_queued = 6\n",
            shown: "~ kind.\"a.b\".max_queued = 5 -> 6\n",
        },
        Case {
            name: "an explicit default",
            before: "[kind.k]\n",
            after: "[kind.k]\nmax_attempts = 3\n",
            shown: "",
        },
        Case {
            name: "a removed quota",
            before: "[team.t]\nbalance_core_hours = 1\nquota = { cpu_milli = 1, memory_mib = 2 }\n",
            after: "[team.t]\nbalance_core_hours = 1\n",
            shown: "- team.t.quota.accelerators = 0\n- team.t.quota.cpu_milli = 1\n\
                    - team.t.quota.memory_mib = 2\n",
        },
        Case {
            name: "an added kind",
            before: "",
            after: "[kind.k]\n",
            shown: "+ kind.k.max_attempts = 3\n+ kind.k.max_queued = 10000\n\
                    + kind.k.urgency = \"normal\"\n",
        },
    ];
    for case in cases {
        let read = |text| CellConfig::from_text(text).unwrap();
        let diff = ConfigDiff::between(&read(case.before), &read(case.after)).unwrap();
        assert_eq!(diff.to_string(), case.shown, "{}", case.name);
    }
}
