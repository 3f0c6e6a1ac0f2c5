//! An edit of the folder is in force on every VM in time: seven processes and a watched folder.

use std::fmt::Write;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use chestnutlug::standin::platform::{self, StandinPlatform};
use tokio::net::TcpListener;

/// How long an edit may take until it is in force everywhere.
const LIMIT: Duration = Duration::from_secs(4);

/// How long the VMs may take to start.
const START_LIMIT: Duration = Duration::from_secs(20);

const VMS: usize = 7;

/// Ends its process when dropped.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_chestnutlug"))
}

/// A version that a VM took up.
struct TakenUp {
    vm: usize,
    version: u64,
}

/// A VM's process and where it takes requests of other VMs.
struct Vm {
    _running: Running,
    peers: String,
}

/// What all VMs are started with.
struct Cell {
    dir: tempfile::TempDir,
    platform: String,
    taken_up: Sender<TakenUp>,
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
        self.follow(i, child.stderr.take().unwrap());
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut lines = lines.map_while(Result::ok);
        let peers = lines.find_map(|line| line.strip_prefix("peers ").map(str::to_owned));
        Vm {
            _running: Running(child),
            peers: peers.unwrap(),
        }
    }

    /// Tells the number of each version that a VM takes up.
    fn follow(&self, vm: usize, logs: ChildStderr) {
        let taken_up = self.taken_up.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(logs).lines().map_while(Result::ok) {
                let Ok(event) = serde_json::from_str::<serde_json::Value>(&line) else {
                    continue;
                };
                if event["message"] == "configuration taken up" {
                    let version = event["version"].as_u64().unwrap();
                    let _ = taken_up.send(TakenUp { vm, version });
                }
            }
        });
    }
}

/// A cell with as many teams as the target names.
fn cell(weight: u32) -> String {
    const TEAMS: u32 = 670;
    let mut text = "[kind.swap]\nurgency = \"urgent\"\n".to_owned();
    for team in 0..TEAMS {
        let header = format!("[team.t{team}]\nbalance_core_hours = 100\n");
        writeln!(text, "{header}weight = {weight}").unwrap();
    }
    text
}

/// The versions in force, by VM.
struct Versions {
    taken_up: Receiver<TakenUp>,
    held: Vec<u64>,
}

impl Versions {
    /// Waits until all VMs hold `version`; how long that took.
    fn wait_for(&mut self, version: u64, limit: Duration) -> Duration {
        let start = Instant::now();
        while self.held.iter().any(|held| *held < version) {
            let left = limit.saturating_sub(start.elapsed());
            let next = self.taken_up.recv_timeout(left);
            let TakenUp { vm, version: next } =
                next.unwrap_or_else(|_| panic!("version {version}: {:?}", self.held));
            assert!(next > self.held[vm], "vm-{vm}: {} to {next}", self.held[vm]);
            self.held[vm] = next;
        }
        start.elapsed()
    }
}

/// A folder that is watched.
struct Folder {
    path: PathBuf,
    _watch: Running,
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
            _watch: Running(watch),
        }
    }

    /// Edits the folder such that it differs for each version.
    fn edit(&self, version: u64) {
        let text = cell(u32::try_from(version).unwrap());
        std::fs::write(self.path.join("10.toml"), text).unwrap();
    }
}

struct Case {
    name: &'static str,
    /// How long each use of the platform takes.
    latency_ms: u64,
    edits: u64,
}

#[test]
fn an_edit_is_in_force_everywhere_in_time() {
    let cases = [
        Case {
            name: "quiet",
            latency_ms: 0,
            edits: 5,
        },
        Case {
            name: "each use of the platform takes 100 ms",
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

    let (tx, taken_up) = channel();
    let cell = Cell {
        dir: tempfile::tempdir().unwrap(),
        platform: address,
        taken_up: tx,
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
        taken_up,
        held: vec![0; VMS],
    };
    versions.wait_for(1, START_LIMIT);

    let mut version = 1;
    for case in cases {
        platform.update_switches(|switches| switches.latency_ms = case.latency_ms);
        for _ in 0..case.edits {
            version += 1;
            folder.edit(version);
            let time = versions.wait_for(version, LIMIT);
            println!("{}: {time:?}", case.name);
        }
    }

    // An edit during an outage is in force in time after it.
    platform.update_switches(|switches| switches.outage = true);
    version += 1;
    folder.edit(version);
    // A VM that starts meanwhile learns the version in force from another VM.
    let first_peers = vms[0].peers.clone();
    versions.held.push(0);
    vms.push(cell.start_vm(VMS, &first_peers));
    while versions.held[VMS] == 0 {
        let TakenUp { vm, version } = versions.taken_up.recv_timeout(START_LIMIT).unwrap();
        versions.held[vm] = version;
    }
    assert_eq!(versions.held, [version - 1; VMS + 1]);
    platform.update_switches(|switches| switches.outage = false);
    let time = versions.wait_for(version, LIMIT);
    println!("after an outage: {time:?}");
}
