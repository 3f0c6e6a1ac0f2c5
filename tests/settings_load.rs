//! Loads settings: sources, their precedence, and findings.

use std::io::Write;
use std::net::UdpSocket;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use assert_cmd::Command;
use chestnutlug::log;
use chestnutlug::metrics::{Counter, Gauge, Metrics, Timer};
use chestnutlug::settings::{Overrides, SETTINGS_SCHEMA, Settings};

const EXAMPLE: &str = include_str!("../examples/settings.toml");

fn load(text: &str, overrides: &Overrides) -> Result<Settings, Vec<String>> {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(text.as_bytes()).unwrap();
    Settings::load(file.path(), overrides).map_err(|findings| {
        let prefix = file.path().display().to_string();
        let text = findings.to_string().replace(&prefix, "FILE");
        text.lines().map(str::to_owned).collect()
    })
}

fn env(variables: &[(&str, &str)]) -> Overrides {
    let owned = variables.iter().map(|&(k, v)| (k.to_owned(), v.to_owned()));
    Overrides::from_env(owned)
}

#[test]
fn arguments_override_the_environment_and_the_environment_the_file() {
    let text = format!("{EXAMPLE}\nstop_ms = 1\nheartbeat_ms = 2\nmax_vms = 3\n");
    let overrides = env(&[
        ("CHESTNUTLUG_HEARTBEAT_MS", "20"),
        ("CHESTNUTLUG_MAX_VMS", "30"),
        ("CHESTNUTLUG_LOG_JSON", "true"),
        ("CHESTNUTLUG_FUZZ_ROUNDS", "7"),
        ("OTHER", "1"),
    ]);
    let settings = load(&text, &overrides.with_argument("max_vms", "300")).unwrap();
    assert_eq!(settings.stop_ms, 1);
    assert_eq!(settings.heartbeat_ms, 20);
    assert_eq!(settings.max_vms, 300);
    assert!(settings.log_json);
}

struct Case {
    name: &'static str,
    text: &'static str,
    env: &'static [(&'static str, &'static str)],
    findings: &'static [&'static str],
}

const REQUIRED: &str = "vm = \"a\"\nzone = \"z\"\ncallers = \"127.0.0.1:1\"\npeers = \"127.0.0.1:2\"\noperators = \"127.0.0.1:3\"\nplatform = \"127.0.0.1:4\"\nsecret_file = \"s\"\n";

#[test]
fn reports_all_findings_together() {
    let cases = [
        Case {
            name: "types and unknown keys of all sources",
            text: "stop_ms = \"x\"\nheartbeet_ms = 1\n",
            env: &[
                ("CHESTNUTLUG_STATSD", "localhost"),
                ("CHESTNUTLUG_MAX_VM", "1"),
            ],
            findings: &[
                "FILE:8:1: `stop_ms`: the value is a string; the key expects a different type; write an integer from 1 to 86400000",
                "FILE:9:1: unknown key `heartbeet_ms`; it would have no effect; write `heartbeat_ms`",
                "CHESTNUTLUG_MAX_VM: unknown key `max_vm`; it would have no effect; set `max_vms` instead, or unset this one",
                "CHESTNUTLUG_STATSD: `statsd`: the value \"localhost\" is not accepted; it is not `IP:port`; write an address such as \"10.0.0.1:7000\"",
            ],
        },
        Case {
            name: "contradictions",
            text: "heartbeat_ms = 1000\ntask_lease_ms = 1500\nlog = \"x=loud\"\n",
            env: &[
                ("CHESTNUTLUG_PEERS", "0.0.0.0:2"),
                ("CHESTNUTLUG_OPERATORS", "127.0.0.1:1"),
            ],
            findings: &[
                "FILE:8:1: `heartbeat_ms` is 1000; fewer than 3 heartbeats fit into `lease_ms` = 1500 (see default of `lease_ms`); set `lease_ms` to at least 3000",
                "FILE:9:1: `task_lease_ms` is 1500; tasks would end before a failed owner is replaced, `lease_ms` = 1500 (see default of `lease_ms`); set it above 1500",
                "FILE:10:1: `log`: error parsing level filter: expected one of \"off\", \"error\", \"warn\", \"info\", \"debug\", \"trace\", or a number 0-5; the log filter cannot be parsed; write a level such as \"info\" or \"info,chestnutlug::decide=debug\"",
                "CHESTNUTLUG_OPERATORS: `operators` has the address 127.0.0.1:1; `callers` has the same address (see FILE:3:1); give each listener its own port",
                "CHESTNUTLUG_PEERS: `peers` has the address 0.0.0.0:2; other VMs connect to exactly this address; write the VM's IP address, or set `peers_advertised`",
            ],
        },
        Case {
            name: "malformed TOML",
            text: "= 3\n",
            env: &[],
            findings: &[],
        },
    ];
    for case in cases {
        let text = format!("{REQUIRED}{}", case.text);
        let findings = load(&text, &env(case.env)).unwrap_err();
        if case.findings.is_empty() {
            assert!(findings[0].starts_with("FILE:8:1: "), "{findings:?}");
        } else {
            assert_eq!(findings, case.findings, "{}", case.name);
        }
    }
    let findings = load("", &Overrides::default()).unwrap_err();
    let required = SETTINGS_SCHEMA
        .iter()
        .filter(|field| field.required)
        .count();
    assert_eq!(findings.len(), required, "{findings:?}");
}

#[test]
fn the_example_lists_every_key() {
    let settings = load(EXAMPLE, &Overrides::default()).unwrap();
    let uncommented = EXAMPLE.replace("\n# ", "\n#").replace("\n#", "\n");
    for field in SETTINGS_SCHEMA {
        let start = format!("{} = ", field.name);
        let listed = uncommented.lines().find(|line| line.starts_with(&start));
        let value = listed.unwrap_or_else(|| panic!("{} is not listed", field.name));
        if field.required || ["peers_advertised", "statsd"].contains(&field.name) {
            continue;
        }
        let shown: toml::Table = value.parse().unwrap();
        let defaults = toml::Table::try_from(&settings).unwrap();
        assert_eq!(shown[field.name], defaults[field.name], "{}", field.name);
    }
}

#[test]
fn every_field_is_a_known_key() {
    let optional = "statsd = \"127.0.0.1:8125\"\npeers_advertised = \"10.1.7.1:8081\"\n";
    let text = format!("{EXAMPLE}\n{optional}");
    let settings = load(&text, &Overrides::default()).unwrap();
    let fields = toml::Table::try_from(&settings).unwrap();
    let mut known: Vec<&str> = SETTINGS_SCHEMA.iter().map(|field| field.name).collect();
    known.sort_unstable();
    assert_eq!(fields.keys().collect::<Vec<_>>(), known);
}

#[test]
fn settings_check_reads_the_environment_and_arguments() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/settings.toml");
    let run = |args: &[&str], statsd: &str| {
        let mut command = Command::cargo_bin("chestnutlug").unwrap();
        command.args(["settings", "check", example]).args(args);
        let output = command.env("CHESTNUTLUG_STATSD", statsd).output().unwrap();
        let out = String::from_utf8(output.stdout).unwrap();
        (output.status.code(), out)
    };
    let (code, out) = run(&["--stop-ms", "77"], "127.0.0.1:8125");
    assert_eq!(code, Some(0), "{out}");
    assert!(out.contains("stop_ms = 77\n"), "{out}");
    assert!(out.contains("statsd = \"127.0.0.1:8125\"\n"), "{out}");

    let (code, out) = run(&["--stop-ms", "0", "--format", "json"], "x");
    assert_eq!(code, Some(2), "{out}");
    let report: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!(report["findings"].as_array().unwrap().len(), 2);
}

/// A writer that keeps its output in memory.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Lines {
    fn take(&self) -> String {
        String::from_utf8(std::mem::take(&mut *self.0.lock().unwrap())).unwrap()
    }
}

impl Write for Lines {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn the_log_level_changes_at_run_time() {
    let lines = Lines::default();
    let writer = lines.clone();
    let (subscriber, handle) = log::subscriber("info", true, move || writer.clone()).unwrap();
    tracing::subscriber::with_default(subscriber, || {
        tracing::debug!(shard = "a", "hidden");
        assert_eq!(lines.take(), "");
        handle.set_level("debug").unwrap();
        tracing::debug!(shard = "a", epoch = 3, "shown");
        let line: serde_json::Value = serde_json::from_str(&lines.take()).unwrap();
        assert_eq!((&line["shard"], &line["epoch"]), (&"a".into(), &3.into()));
        assert!(handle.set_level("x=loud").is_err());
        assert_eq!(handle.level(), "debug");
    });
}

/// Maximum number of reads from the metrics socket, each with a timeout of 50 ms.
const MAX_READS: u32 = 100;

#[test]
fn metrics_are_sent_in_the_statsd_format() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket
        .set_read_timeout(Some(Duration::from_millis(50)))
        .unwrap();
    let metrics = Metrics::new(Some(socket.local_addr().unwrap()), &"vm.1".into()).unwrap();
    metrics.count(Counter::TasksPlaced, 3);
    metrics.gauge(Gauge::ShardsOwned, 2);
    metrics.time(Timer::TaskWaitingTime, Duration::from_millis(250));
    let mut received = String::new();
    for _ in 0..MAX_READS {
        let mut buf = [0; 2_048];
        if let Ok(n) = socket.recv(&mut buf) {
            received.push_str(std::str::from_utf8(&buf[..n]).unwrap());
            received.push('\n');
        }
        if received.lines().count() >= 3 {
            break;
        }
    }
    let lines: Vec<&str> = received.lines().filter(|line| !line.is_empty()).collect();
    assert_eq!(
        lines,
        [
            "chestnutlug.vm_1.tasks.placed:3|c",
            "chestnutlug.vm_1.shards.owned:2|g",
            "chestnutlug.vm_1.tasks.waiting_time:250|ms",
        ]
    );
}

#[test]
fn the_metrics_page_lists_every_metric() {
    let page = include_str!("../docs/metrics.md");
    let counters = Counter::ALL.iter().map(|counter| counter.name());
    let gauges = Gauge::ALL.iter().map(|gauge| gauge.name());
    let timers = Timer::ALL.iter().map(|timer| timer.name());
    let mut names = 0;
    for name in counters.chain(gauges).chain(timers) {
        assert!(page.contains(&format!("| `{name}` |")), "{name}");
        names += 1;
    }
    assert_eq!(page.matches("\n| `").count(), names);
}
