//! The subcommand `local`, run as the built binary.

use assert_cmd::Command;

struct Case {
    name: &'static str,
    args: &'static [&'static str],
}

#[test]
fn short_run_violates_no_invariant() {
    let cases = [Case {
        name: "two seconds as JSON",
        args: &["local", "--seconds", "2", "--format", "json"],
    }];
    for case in cases {
        let mut command = Command::cargo_bin("chestnutlug").unwrap();
        let assert = command.args(case.args).assert().success();
        let text = String::from_utf8(assert.get_output().stdout.clone()).unwrap();
        let last = text.lines().last().unwrap();
        let report: serde_json::Value = serde_json::from_str(last).unwrap();
        let submitted = report["submitted"].as_u64().unwrap();
        let finished = report["finished"].as_u64().unwrap();
        assert!(submitted > 50, "{}: {last}", case.name);
        assert!(finished * 100 >= submitted * 95, "{}: {last}", case.name);
        for count in ["lost", "doubled", "overcommitted"] {
            assert_eq!(report[count], 0, "{}: {count}: {last}", case.name);
        }
        let waiting = report["waiting"].as_object().unwrap();
        assert!(waiting.contains_key("swap"), "{}: {last}", case.name);
    }
}
