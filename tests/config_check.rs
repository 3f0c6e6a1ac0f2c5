//! Loads and checks configuration folders: merging, findings and their locations.

use std::path::Path;

use chestnutlug::config::{CellConfig, MAX_FILE_BYTES, MAX_FILES, load};
use tempfile::TempDir;

const BASE: &str = "\
[team.parlours]
balance_core_hours = 500

[kind.swap]
urgency = \"urgent\"

[service.rota-service]

[backend.b1]
service = \"rota-service\"
zone = \"alfold-a\"
address = \"10.0.0.1:8000\"

[worker.w1]
shard = \"alfold-1\"
zone = \"alfold-a\"
rack = \"r1\"
address = \"10.0.1.1:7000\"
capacity = { cpu_milli = 16000, memory_mib = 65536 }
";

fn folder(files: &[(&str, &str)]) -> TempDir {
    let dir = tempfile::tempdir().unwrap();
    for (name, text) in files {
        std::fs::write(dir.path().join(name), text).unwrap();
    }
    dir
}

/// The findings of `dir`, one per line, without the path of the folder.
fn findings(dir: &Path) -> Vec<String> {
    let Err(findings) = load(dir) else {
        return Vec::new();
    };
    let prefix = format!("{}/", dir.display());
    let text = findings.to_string().replace(&prefix, "");
    text.lines().map(str::to_owned).collect()
}

struct Case {
    name: &'static str,
    /// The content of `20.toml`, which is merged after `BASE` in `10.toml`.
    second: &'static str,
    findings: &'static [&'static str],
}

#[test]
fn reports_each_finding_with_its_location() {
    let cases = [
        Case {
            name: "valid",
            second: "[team.parlours]\nweight = 2\n",
            findings: &[],
        },
        Case {
            name: "unknown keys, with and without a close match",
            second: "[team.parlours]\nwieght = 2\ncolour = 1\n[temas.x]\n",
            findings: &[
                "20.toml:2:1: unknown key `team.parlours.wieght`; it would have no effect; write `weight`",
                "20.toml:3:1: unknown key `team.parlours.colour`; it would have no effect; use one of balance_core_hours, weight, quota, max_queued",
                "20.toml:4:2: unknown key `temas`; it would have no effect; write `team`",
            ],
        },
        Case {
            name: "balances",
            second: "[team.a]\nbalance_core_hours = -1\n[team.b]\nbalance_core_hours = 0\n[team.c]\nbalance_core_hours = nan\n[team.d]\nbalance_core_hours = \"12\"\n[team.e]\nbalance_core_hours = inf\n",
            findings: &[
                "20.toml:2:1: `team.a.balance_core_hours`: the value \"-1\" is not accepted; it is not above 0; write a number above 0 and below 1000000000000",
                "20.toml:4:1: `team.b.balance_core_hours`: the value \"0\" is not accepted; it is not above 0; write a number above 0 and below 1000000000000",
                "20.toml:6:1: `team.c.balance_core_hours`: the value \"nan\" is not accepted; it is not a finite number; write a number above 0 and below 1000000000000",
                "20.toml:8:1: `team.d.balance_core_hours`: the value is a string; the key expects a different type; write a number above 0 and below 1000000000000",
                "20.toml:10:1: `team.e.balance_core_hours`: the value \"inf\" is not accepted; it is not a finite number; write a number above 0 and below 1000000000000",
            ],
        },
        Case {
            name: "a target outside of 0 to 1, and a misspelled kind",
            second: "[objective.swaps]\nkind = \"swpa\"\nwaiting_ms = 2700\ntarget = 1.0\n",
            findings: &[
                "20.toml:2:1: `objective.swaps` refers to the kind `swpa`; no file declares it; write \"swap\", or declare `kind.swpa`",
                "20.toml:4:1: `objective.swaps.target`: the value \"1.0\" is not accepted; it is not below 1; write a number above 0 and below 1",
            ],
        },
        Case {
            name: "zero capacity and zero slots",
            second: "[worker.w1]\ncapacity.cpu_milli = 0\n[backend.b1]\nslots = 0\n",
            findings: &[
                "20.toml:2:10: `worker.w1.capacity.cpu_milli`: the value \"0\" is not accepted; it is below 1; write an integer from 1 to 1073741824",
                "20.toml:4:1: `backend.b1.slots`: the value \"0\" is not accepted; it is below 1; write an integer from 1 to 65535",
            ],
        },
        Case {
            name: "two workers with one address",
            second: "[worker.w2]\nshard = \"s\"\nzone = \"z\"\nrack = \"r\"\naddress = \"10.0.1.1:7000\"\ncapacity = { cpu_milli = 1, memory_mib = 1 }\n",
            findings: &[
                "20.toml:5:1: `worker.w2` has the address 10.0.1.1:7000; `worker.w1` has the same address (see 10.toml:18:1); give each its own address",
            ],
        },
        Case {
            name: "a referenced service that a later file removes",
            second: "[service.rota-service]\nremoved = true\n",
            findings: &[
                "10.toml:10:1: `backend.b1` refers to the service `rota-service`; `service.rota-service` is removed (see 20.toml:1:10); remove `backend.b1` too, or keep `service.rota-service`",
            ],
        },
        Case {
            name: "an entry that is removed together with its reference",
            second: "[service.rota-service]\nremoved = true\n[backend.b1]\nremoved = true\n",
            findings: &[],
        },
        Case {
            name: "removal of an undeclared entry, and removal together with other keys",
            second: "[team.x]\nremoved = true\n[team.parlours]\nremoved = true\nweight = 2\n",
            findings: &[
                "20.toml:1:7: `team.x` is removed; no earlier file declares it; delete the entry, or check its name and `removed`",
                "20.toml:3:7: `team.parlours.removed` is not `true`, or not the only key; an entry is either removed or declared; write only `removed = true`, or delete `removed`",
            ],
        },
        Case {
            name: "missing keys",
            second: "[worker.w3]\nshard = \"s\"\nzone = \"z\"\nrack = \"r\"\ncapacity.cpu_milli = 5\n",
            findings: &[
                "20.toml:1:9: `worker.w3` has no `address`; the key is required; set it to an address such as \"10.0.0.1:7000\"",
                "20.toml:5:1: `worker.w3.capacity` has no `memory_mib`; the key is required; set it to an integer from 1 to 1073741824",
            ],
        },
        Case {
            name: "more slots than connections",
            second: "[backend.b1]\nslots = 100\n",
            findings: &[
                "20.toml:2:1: `backend.b1` has 100 slots; it accepts only 64 connections (see 10.toml:9:10); set `connections` to at least `slots`",
            ],
        },
        Case {
            name: "objectives for the same team and kind",
            second: "[objective.a]\nkind = \"swap\"\nwaiting_ms = 1\ntarget = 0.9\n[objective.b]\nkind = \"swap\"\nwaiting_ms = 2\ntarget = 0.9\n",
            findings: &[
                "20.toml:5:12: `objective.b` is for the same team and kind as `objective.a`; only one objective per team and kind is allowed (see 20.toml:1:12); remove one of them",
            ],
        },
        Case {
            name: "invalid names, words and addresses",
            second: "[team.\"a b\"]\nbalance_core_hours = 1\n[kind.swap]\nurgency = \"soon\"\n[backend.b1]\naddress = \"10.0.0.1\"\n",
            findings: &[
                "20.toml:1:7: the name of `team.\"a b\"` is not accepted; it contains characters that are not allowed; use a name of at most 64 ASCII letters, digits, `-`, `_` and `.`",
                "20.toml:4:1: `kind.swap.urgency`: the value \"soon\" is not accepted; it is not one of the accepted values; write one of \"urgent\", \"normal\", \"patient\"",
                "20.toml:6:1: `backend.b1.address`: the value \"10.0.0.1\" is not accepted; it is not `IP:port`; write an address such as \"10.0.0.1:7000\"",
            ],
        },
        Case {
            name: "a section that is not a table",
            second: "kind = 3\n",
            findings: &[
                "20.toml:1:1: `kind`: the value is an integer; the key expects a different type; write a table of named entries",
            ],
        },
    ];
    for case in cases {
        let dir = folder(&[("10.toml", BASE), ("20.toml", case.second)]);
        assert_eq!(findings(dir.path()), case.findings, "{}", case.name);
    }
}

#[test]
fn reports_the_findings_of_all_files_together() {
    let dir = folder(&[
        ("10.toml", "[team.a]\nbalance_core_hours = -5\n"),
        ("20.toml", "[team.b\nbalance_core_hours = 1\n"),
        ("30.toml", "[kind.k]\nmax_queued = 1.5\nmax_attempts = 0\n"),
    ]);
    let found = findings(dir.path());
    let places: Vec<&str> = found
        .iter()
        .map(|line| line.split(": ").next().unwrap())
        .collect();
    assert_eq!(
        places,
        ["10.toml:2:1", "20.toml:1:8", "30.toml:2:1", "30.toml:3:1"]
    );
}

#[test]
fn a_later_file_overrides_an_earlier_one_key_by_key() {
    let dir = folder(&[
        ("20.toml", "[worker.w1.capacity]\nmemory_mib = 32768\n"),
        ("10.toml", BASE),
        ("30.toml", "idempotency_key_s = 60\n"),
        (".40.toml", "broken ["),
        ("notes.txt", "broken ["),
    ]);
    let loaded = load(dir.path()).unwrap();
    let worker = &loaded.config.worker[&"w1".into()];
    assert_eq!(worker.capacity.cpu_milli, 16_000);
    assert_eq!(worker.capacity.memory_mib, 32_768);
    assert_eq!(loaded.config.idempotency_key_s, 60);
    let origin = |key: &str| {
        let found = loaded
            .origins
            .iter()
            .find(|(path, _)| path.to_string() == key);
        let location = found.unwrap().1;
        let file = Path::new(&*location.source).file_name().unwrap().to_owned();
        (file.into_string().unwrap(), location.line)
    };
    assert_eq!(
        origin("worker.w1.capacity.cpu_milli"),
        ("10.toml".to_owned(), 19)
    );
    assert_eq!(
        origin("worker.w1.capacity.memory_mib"),
        ("20.toml".to_owned(), 2)
    );
}

#[test]
fn a_removed_entry_can_be_declared_again() {
    let dir = folder(&[
        ("10.toml", "[team.a]\nbalance_core_hours = 5\nweight = 9\n"),
        ("20.toml", "[team.a]\nremoved = true\n"),
        ("30.toml", "[team.a]\nbalance_core_hours = 6\n"),
    ]);
    let team = &load(dir.path()).unwrap().config.team[&"a".into()];
    assert_eq!((team.balance_core_hours, team.weight), (6.0, 1));
}

#[test]
fn merged_text_round_trips() {
    let dir = folder(&[("10.toml", BASE)]);
    let config = load(dir.path()).unwrap().config;
    let text = config.to_text().unwrap();
    assert_eq!(CellConfig::from_text(&text).unwrap(), config);
    assert_eq!(CellConfig::from_text("").unwrap(), CellConfig::default());
}

#[test]
fn rejects_unreadable_and_oversized_input() {
    let empty = folder(&[]);
    assert!(findings(empty.path())[0].contains("contains no *.toml file"));

    let missing = empty.path().join("absent");
    assert!(findings(&missing)[0].contains("cannot be read"));

    let large = folder(&[("10.toml", &" ".repeat(MAX_FILE_BYTES as usize + 1))]);
    assert!(findings(large.path())[0].contains("too large"));

    let many = folder(&[]);
    for i in 0..=MAX_FILES {
        std::fs::write(many.path().join(format!("{i}.toml")), "").unwrap();
    }
    assert!(findings(many.path())[0].contains("at most 1000 are read"));

    let binary = folder(&[]);
    std::fs::write(binary.path().join("10.toml"), b"a = \"\xff\"\n").unwrap();
    assert!(findings(binary.path())[0].contains("10.toml: byte 6 is not valid UTF-8"));

    let nested = folder(&[("10.toml", &format!("a = {}", "[".repeat(100_000)))]);
    assert!(!findings(nested.path()).is_empty());
}
