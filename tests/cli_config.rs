//! The subcommand `config`, run as the built binary.

use std::io::{BufRead, BufReader};

use assert_cmd::Command;
use serde_json::Value;

fn chestnutlug(args: &[&str]) -> (i32, String, String) {
    let output = Command::cargo_bin("chestnutlug")
        .unwrap()
        .args(args)
        .output()
        .unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (
        output.status.code().unwrap(),
        text(output.stdout),
        text(output.stderr),
    )
}

struct Case {
    name: &'static str,
    text: &'static str,
    code: i32,
    findings: usize,
}

#[test]
fn check_exits_with_2_on_findings() {
    let cases = [
        Case {
            name: "accepted",
            text: "[team.a]\nbalance_core_hours = 1\n",
            code: 0,
            findings: 0,
        },
        Case {
            name: "two findings",
            text: "[team.a]\nbalance_core_hours = 0\nx = 1\n",
            code: 2,
            findings: 2,
        },
    ];
    for case in cases {
        let dir = tempfile::tempdir().unwrap();
        std::fs::write(dir.path().join("10.toml"), case.text).unwrap();
        let path = dir.path().to_str().unwrap();

        let (code, out, _) = chestnutlug(&["config", "check", path]);
        assert_eq!(code, case.code, "{}", case.name);
        let expected_lines = case.findings.max(1);
        assert_eq!(out.lines().count(), expected_lines, "{}: {out}", case.name);
        if case.findings == 0 {
            assert!(out.contains("1 team, 0 kinds, "), "{out}");
        }

        let (code, out, _) = chestnutlug(&["config", "check", path, "--format", "json"]);
        assert_eq!(code, case.code, "{}", case.name);
        let report: Value = serde_json::from_str(&out).unwrap();
        assert_eq!(report["accepted"], case.code == 0, "{}", case.name);
        let findings = report["findings"].as_array().unwrap();
        assert_eq!(findings.len(), case.findings, "{}", case.name);
    }
}

#[test]
fn show_names_the_file_that_set_each_value() {
    let dir = tempfile::tempdir().unwrap();
    let file = |name: &str, text: &str| std::fs::write(dir.path().join(name), text).unwrap();
    file("10.toml", "[team.a]\nbalance_core_hours = 1\nweight = 1\n");
    file("20.toml", "[team.a]\nweight = 4\n");
    let path = dir.path().to_str().unwrap();

    let (code, out, _) = chestnutlug(&["config", "show", path]);
    assert_eq!(code, 0);
    let line = |key: &str| out.lines().find(|line| line.starts_with(key)).unwrap();
    assert!(line("team.a.weight = 4").ends_with("20.toml:2:1"), "{out}");
    assert!(
        line("team.a.balance_core_hours = 1.0").ends_with("10.toml:2:1"),
        "{out}"
    );
    assert!(line("team.a.max_queued").ends_with("# default"), "{out}");

    let (_, out, _) = chestnutlug(&["config", "show", path, "--format", "json"]);
    let report: Value = serde_json::from_str(&out).unwrap();
    let values = report["values"].as_array().unwrap();
    let weight = values.iter().find(|v| v["key"] == "team.a.weight").unwrap();
    assert_eq!(weight["value"], 4);
    assert_eq!(weight["set_at"]["line"], 2);
}

#[test]
fn help_names_exit_codes() {
    for args in [
        &["--help"][..],
        &["config", "check", "--help"],
        &["config", "check", "-h"],
        &["bench", "spread", "-h"],
        &["standin", "platform", "--help"],
    ] {
        let (code, out, _) = chestnutlug(args);
        assert_eq!(code, 0);
        assert!(out.contains("Exit codes:"), "{args:?}: {out}");
    }
}

#[test]
fn completions_are_printed_for_each_shell() {
    for shell in ["bash", "zsh", "fish"] {
        let (code, out, _) = chestnutlug(&["completions", shell]);
        assert_eq!(code, 0);
        assert!(out.contains("config"), "{shell}");
    }
}

#[test]
fn example_cell_is_accepted() {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/cell");
    let (code, out, _) = chestnutlug(&["config", "check", dir]);
    assert_eq!(code, 0, "{out}");
    let (_, out, _) = chestnutlug(&["config", "show", dir]);
    let weight = out
        .lines()
        .find(|line| line.starts_with("team.kowhai.weight = 2"));
    assert!(weight.unwrap().contains("90-this-week.toml:4"), "{out}");
}

/// The stand-in of the platform in a child process, which is killed on drop.
struct PlatformProcess {
    child: std::process::Child,
    address: String,
}

impl PlatformProcess {
    fn start() -> Self {
        let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_chestnutlug"))
            .args(["standin", "platform", "--listen", "127.0.0.1:0"])
            .stdout(std::process::Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let out = child.stdout.as_mut().unwrap();
        BufReader::new(out).read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("listening ").unwrap().to_owned();
        Self { child, address }
    }
}

impl Drop for PlatformProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn operators_apply_versions_and_get_conflicts() {
    let platform = PlatformProcess::start();
    let at = &*platform.address;
    let folders = [tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap()];
    let [ana, ben] = folders.each_ref().map(|dir| dir.path().to_str().unwrap());
    let write = |dir: &str, text: &str| std::fs::write(format!("{dir}/10.toml"), text).unwrap();

    write(ana, "[team.a]\nbalance_core_hours = 5\n");
    let (code, out, err) =
        chestnutlug(&["config", "apply", ana, "--platform", at, "--author", "ana"]);
    assert_eq!(code, 0, "{out}{err}");
    assert!(out.contains("+ team.a.balance_core_hours = 5.0\n"), "{out}");
    assert!(out.ends_with("applied as version 1\n"), "{out}");

    // Ben's folder is not based on version 1.
    write(ben, "[team.b]\nbalance_core_hours = 7\n");
    let (code, out, _) = chestnutlug(&["config", "apply", ben, "--platform", at]);
    assert_eq!(code, 3, "{out}");
    assert!(out.contains("version 1 by ana is in force"), "{out}");

    write(
        ben,
        "[team.a]\nbalance_core_hours = 5\n[team.b]\nbalance_core_hours = 7\n",
    );
    let dry_run = [
        "config",
        "apply",
        ben,
        "--platform",
        at,
        "--base",
        "1",
        "--dry-run",
    ];
    let (code, out, _) = chestnutlug(&dry_run);
    assert_eq!(
        (code, out.ends_with("nothing was written\n")),
        (0, true),
        "{out}"
    );
    let (code, out, _) = chestnutlug(&[
        "config",
        "apply",
        ben,
        "--platform",
        at,
        "--base",
        "1",
        "--author",
        "ben",
    ]);
    assert_eq!(
        (code, out.ends_with("applied as version 2\n")),
        (0, true),
        "{out}"
    );

    // Ana's folder is still based on version 1, so the conflict shows both diffs.
    write(ana, "[team.a]\nbalance_core_hours = 6\n");
    let (code, out, _) =
        chestnutlug(&["config", "apply", ana, "--platform", at, "--format", "json"]);
    assert_eq!(code, 3);
    let report: Value = serde_json::from_str(&out).unwrap();
    let conflict = &report["conflict"];
    assert_eq!(
        (&conflict["base"], &conflict["in_force"]),
        (&1.into(), &2.into())
    );
    let key = |side: &str| conflict[side][0]["key"].to_string();
    assert_eq!(key("theirs"), r#"["team","b","balance_core_hours"]"#);
    assert_eq!(key("ours"), r#"["team","a","balance_core_hours"]"#);

    let (_, out, _) = chestnutlug(&["config", "history", "--platform", at]);
    let words = |line: &str| {
        line.split_whitespace()
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    let lines: Vec<_> = out.lines().map(words).collect();
    assert_eq!(lines.len(), 3, "{out}");
    assert_eq!((&*lines[1][0], &*lines[1][2]), ("1", "ana"));
    assert_eq!((&*lines[2][0], &*lines[2][2]), ("2", "ben"));

    let (code, out, _) = chestnutlug(&["config", "diff", "1", "2", "--platform", at]);
    assert_eq!(code, 0);
    assert!(
        out.lines().all(|line| line.starts_with("+ team.b.")),
        "{out}"
    );
    let (code, _, err) = chestnutlug(&["config", "diff", "1", "9", "--platform", at]);
    assert_eq!(code, 1);
    assert!(err.contains("no version 9"), "{err}");
}

#[test]
fn watch_applies_each_edit() {
    let platform = PlatformProcess::start();
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("10.toml");
    std::fs::write(&file, "[team.a]\nbalance_core_hours = 5\n").unwrap();
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_chestnutlug"))
        .args(["config", "watch", dir.path().to_str().unwrap()])
        .args(["--platform", &platform.address])
        .stdout(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let mut wait_for = |end: &str| lines.any(|line| line.unwrap().ends_with(end));
    assert!(wait_for("applied as version 1"));
    std::fs::write(&file, "[team.a]\nbalance_core_hours = -5\n").unwrap();
    assert!(wait_for("write a number above 0 and below 1000000000000"));
    std::fs::write(&file, "[team.a]\nbalance_core_hours = 6\n").unwrap();
    assert!(wait_for("applied as version 2"));
    let pid = nix::unistd::Pid::from_raw(i32::try_from(child.id()).unwrap());
    nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGTERM).unwrap();
    assert!(child.wait().unwrap().success());
}
