//! Checks with seven VM processes and a watched folder that an edit comes into force on every VM in
//! time.

use std::fmt::Write;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use chestnutlug::standin::platform::{self, StandinPlatform};
use tokio::net::TcpListener;

/// Maximum time until an edit is in force on every VM.
const SPREAD_LIMIT: Duration = Duration::from_secs(4);

/// Timeout for the start of the VMs.
const START_TIMEOUT: Duration = Duration::from_secs(20);

const VMS: usize = 7;

/// A process that is killed on drop.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_chestnutlug"))
}

/// A version that a VM adopted.
struct Adopted {
    vm: usize,
    version: u64,
}

/// A VM process and its listen address for other VMs.
struct Vm {
    _process: KillOnDrop,
    peers: String,
}

/// The common parameters of all VMs.
struct Cell {
    dir: tempfile::TempDir,
    platform: String,
    adopted: Sender<Adopted>,
}

impl Cell {
    fn start_vm(&self, i: usize, first_peers: &str) -> Vm {
        let settings = self.dir.path().join(format!("vm-{i}.toml"));
        let secret = self.dir.path().join("secret");
        let text = format!(
            "vm = \"vm-{i}\"\nzone = \"z\"\ncallers = \"127.0.0.1:0\"\n\
             peers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\nplatform = \"{}\"\n\
             secret_file = \"{}\"\nfirst_peers = \"{first_peers}\"\nlog_json = true\n",
            self.platform,
            secret.display()
        );
        std::fs::write(&settings, text).unwrap();
        let mut child = program()
            .arg("serve")
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        self.forward_versions(i, child.stderr.take().unwrap());
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut lines = lines.map_while(Result::ok);
        let peers = lines.find_map(|line| line.strip_prefix("peers ").map(str::to_owned));
        Vm {
            _process: KillOnDrop(child),
            peers: peers.unwrap(),
        }
    }

    /// Reads a VM's log and sends the number of each version that it adopts.
    fn forward_versions(&self, vm: usize, logs: ChildStderr) {
        let adopted = self.adopted.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(logs).lines().map_while(Result::ok) {
                let Ok(event) = serde_json::from_str::<serde_json::Value>(&line) else {
                    continue;
                };
                if event["message"] == "a new configuration is adopted" {
                    let version = event["version"].as_u64().unwrap();
                    let _ = adopted.send(Adopted { vm, version });
                }
            }
        });
    }
}

/// The text of a cell with 670 teams, as many as the design target.
fn cell(weight: u32) -> String {
    const TEAMS: u32 = 670;
    let mut text = "[kind.swap]\nurgency = \"urgent\"\n".to_owned();
    for team in 0..TEAMS {
        let header = format!("[team.t{team}]\nbalance_core_hours = 100\n");
        writeln!(text, "{header}weight = {weight}").unwrap();
    }
    text
}

/// The version in force on each VM.
struct Versions {
    adopted: Receiver<Adopted>,
    in_force: Vec<u64>,
}

impl Versions {
    /// Waits until `version` is in force on all VMs and returns the time that it took.
    fn wait_for(&mut self, version: u64, limit: Duration) -> Duration {
        let start = Instant::now();
        while self.in_force.iter().any(|in_force| *in_force < version) {
            let left = limit.saturating_sub(start.elapsed());
            let next = self.adopted.recv_timeout(left);
            let Adopted { vm, version: next } =
                next.unwrap_or_else(|_| panic!("version {version} missing: {:?}", self.in_force));
            assert!(
                next > self.in_force[vm],
                "vm-{vm}: version {} is followed by {next}",
                self.in_force[vm]
            );
            self.in_force[vm] = next;
        }
        start.elapsed()
    }
}

/// A folder watched by a `config watch` process.
struct Folder {
    path: PathBuf,
    _process: KillOnDrop,
}

impl Folder {
    fn watch(cell: &Cell) -> Self {
        let path = cell.dir.path().join("cell");
        std::fs::create_dir(&path).unwrap();
        let watch = program()
            .args(["config", "watch"])
            .arg(&path)
            .args(["--platform", &cell.platform])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Self {
            path,
            _process: KillOnDrop(watch),
        }
    }

    /// Writes a content to the folder that differs for each version.
    fn edit(&self, version: u64) {
        let text = cell(u32::try_from(version).unwrap());
        std::fs::write(self.path.join("10.toml"), text).unwrap();
    }
}

struct Case {
    name: &'static str,
    /// Latency of each platform call.
    latency_ms: u64,
    edits: u64,
}

#[test]
fn an_edit_comes_into_force_on_every_vm_in_time() {
    let cases = [
        Case {
            name: "no latency",
            latency_ms: 0,
            edits: 5,
        },
        Case {
            name: "100 ms latency of each platform call",
            latency_ms: 100,
            edits: 3,
        },
    ];
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let platform = Arc::new(StandinPlatform::new());
    runtime.spawn(platform::serve(
        platform.clone(),
        listener,
        std::future::pending(),
    ));

    let (tx, adopted) = channel();
    let cell = Cell {
        dir: tempfile::tempdir().unwrap(),
        platform: address,
        adopted: tx,
    };
    std::fs::write(
        cell.dir.path().join("secret"),
        "correct horse battery staple",
    )
    .unwrap();
    let folder = Folder::watch(&cell);
    folder.edit(1);
    let mut vms: Vec<Vm> = (0..VMS).map(|i| cell.start_vm(i, "")).collect();
    let mut versions = Versions {
        adopted,
        in_force: vec![0; VMS],
    };
    versions.wait_for(1, START_TIMEOUT);

    let mut version = 1;
    for case in cases {
        platform.update_switches(|switches| switches.latency_ms = case.latency_ms);
        for _ in 0..case.edits {
            version += 1;
            folder.edit(version);
            let time = versions.wait_for(version, SPREAD_LIMIT);
            println!("{}: {time:?}", case.name);
        }
    }

    // An edit during a platform outage comes into force in time after the outage.
    platform.update_switches(|switches| switches.outage = true);
    version += 1;
    folder.edit(version);
    // A VM that starts during the outage learns the version in force from another VM.
    let first_peers = vms[0].peers.clone();
    versions.in_force.push(0);
    vms.push(cell.start_vm(VMS, &first_peers));
    while versions.in_force[VMS] == 0 {
        let Adopted { vm, version } = versions.adopted.recv_timeout(START_TIMEOUT).unwrap();
        versions.in_force[vm] = version;
    }
    assert_eq!(versions.in_force, [version - 1; VMS + 1]);
    platform.update_switches(|switches| switches.outage = false);
    let time = versions.wait_for(version, SPREAD_LIMIT);
    println!("after an outage: {time:?}");
}
