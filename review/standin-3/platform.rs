//! The platform around the machines: settings from the template of the deploy file, starts, kills and
//! restarts of processes, and the memory limit.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Log;

/// A process is restarted after a short delay.
const RESTART_DELAY: Duration = Duration::from_millis(300);

const FIRST_PORT: u16 = 10_000;
const PORTS: u16 = 20_000;

/// Whether all processes are ended and none is started any more.
static STOPPING: AtomicBool = AtomicBool::new(false);

/// Ends the processes that are still there `limit` after the start of a case, and then the case.
pub fn end_after(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        STOPPING.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_secs(1));
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

/// A free loopback address, with a port below those that the system gives to outgoing connections.
pub fn free_address() -> Result<SocketAddr, String> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for _ in 0..PORTS {
        let offset = NEXT.fetch_add(1, Ordering::SeqCst) + std::process::id().wrapping_mul(997);
        let port = FIRST_PORT + (offset % u32::from(PORTS)) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().map_err(|error| error.to_string());
        }
    }
    Err("no free port".to_owned())
}

/// The limits of a machine and the bounds that the settings carry.
#[derive(Clone, Copy)]
pub struct Machine {
    pub memory_mb: u64,
    pub cpu_share: f64,
    pub hold_max_ms: u64,
    pub grace_s: u64,
}

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    child: Mutex<Option<Child>>,
    /// How often the process was killed for its memory or ended by itself.
    pub own_ends: Mutex<Vec<String>>,
}

pub struct Platform {
    pub nodes: Vec<Arc<Node>>,
    folder: PathBuf,
    guards: Vec<thread::JoinHandle<()>>,
}

struct Deploy {
    program: String,
    arguments: Vec<String>,
    template: String,
}

/// Reads the command and the template of the first role.
fn deploy() -> Result<Deploy, String> {
    let text = fs::read_to_string("deploy/system.toml")
        .map_err(|error| format!("deploy file: {error}"))?;
    let value = |name: &str| {
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.trim_start().strip_prefix('='));
        line.map(|value| value.trim().trim_matches('"').to_owned())
            .ok_or(format!("deploy file: no {name}"))
    };
    let mut words = value("run")?
        .split(' ')
        .map(str::to_owned)
        .collect::<Vec<_>>()
        .into_iter();
    let template = value("template")?;
    Ok(Deploy {
        program: words.next().unwrap_or_default(),
        arguments: words.collect(),
        template: fs::read_to_string(template).map_err(|error| format!("template: {error}"))?,
    })
}

/// Fills in the template: sections whose value is absent are left out, values are inserted as JSON or text.
fn fill(template: &str, values: &[(&str, String)]) -> Result<String, String> {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let name_end = text[start..]
            .find("}}")
            .ok_or("template: an open section")?
            + start;
        let name = text[start + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = text[name_end..]
            .find(&close)
            .ok_or("template: an open section")?
            + name_end;
        let inner = if values.iter().any(|(key, _)| *key == name) {
            text[name_end + 2..end].to_owned()
        } else {
            String::new()
        };
        text.replace_range(start..end + close.len(), &inner);
    }
    for (key, value) in values {
        text = text.replace(&format!("{{{{{key}|json}}}}"), value);
        text = text.replace(&format!("{{{{{key}}}}}"), value.trim_matches('"'));
    }
    match text.contains("{{") {
        true => Err(format!("template: a value is missing in: {text}")),
        false => Ok(text),
    }
}

impl Platform {
    /// Starts `count` machines in three zones.
    pub fn start(
        count: usize,
        machine: Machine,
        store: SocketAddr,
        log: &'static Log,
    ) -> Result<Platform, String> {
        let deploy = Arc::new(deploy()?);
        let folder =
            std::env::temp_dir().join(format!("chestnutlug-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut controls = Vec::new();
        for _ in 0..count {
            controls.push(free_address()?);
        }
        let seeds: Vec<String> = controls
            .iter()
            .take(3)
            .map(|address| format!("\"{address}\""))
            .collect();
        let mut nodes = Vec::new();
        let mut guards = Vec::new();
        for (number, control) in controls.iter().enumerate() {
            let zone = ["zone-a", "zone-b", "zone-c"][number % 3];
            let name = format!("edge-{zone}-{}", number / 3 + 1);
            let (front, ready, metrics) = (free_address()?, free_address()?, free_address()?);
            let values = [
                ("NodeName", format!("\"{name}\"")),
                ("Zone", format!("\"{zone}\"")),
                ("Listen.Front", format!("\"{front}\"")),
                ("Listen.Ready", format!("\"{ready}\"")),
                ("Listen.Control", format!("\"{control}\"")),
                ("Ip", "127.0.0.1".to_owned()),
                ("PortRange.0", metrics.port().to_string()),
                ("Seeds", format!("[{}]", seeds.join(","))),
                ("platform.Addr", format!("\"{store}\"")),
                ("Bounds.HoldMaxMs", machine.hold_max_ms.to_string()),
                ("Limits.CpuShare", machine.cpu_share.to_string()),
                ("Limits.Cores", "1".to_owned()),
                ("Bounds.GraceS", machine.grace_s.to_string()),
            ];
            let settings = folder.join(format!("{name}.yaml"));
            fs::write(&settings, fill(&deploy.template, &values)?)
                .map_err(|error| error.to_string())?;
            let node = Arc::new(Node {
                name,
                front,
                child: Mutex::new(None),
                own_ends: Mutex::default(),
            });
            nodes.push(node.clone());
            let logs = folder.join(format!("{}.log", node.name));
            let deploy = deploy.clone();
            guards.push(thread::spawn(move || {
                guard(&node, &deploy, &settings, &logs, machine.memory_mb, log);
            }));
        }
        Ok(Platform {
            nodes,
            folder,
            guards,
        })
    }

    /// Ends all processes and removes the settings and logs, unless `KEEP` is set.
    pub fn stop(self) {
        STOPPING.store(true, Ordering::SeqCst);
        for guard in self.guards {
            let _ = guard.join();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn resident_mb(id: u32) -> Option<u64> {
    let statm = fs::read_to_string(Path::new("/proc").join(id.to_string()).join("statm")).ok()?;
    let pages: u64 = statm.split(' ').nth(1)?.parse().ok()?;
    Some(pages * 4_096 >> 20)
}

/// Keeps the process of a machine running, and kills it if it exceeds its memory.
fn guard(node: &Node, deploy: &Deploy, settings: &Path, logs: &Path, memory_mb: u64, log: &Log) {
    while !STOPPING.load(Ordering::SeqCst) {
        let Ok(output) = fs::OpenOptions::new().create(true).append(true).open(logs) else {
            return;
        };
        let child = Command::new(&deploy.program)
            .args(&deploy.arguments)
            .env_clear()
            .env("CHESTNUTLUG_SETTINGS", settings)
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(Stdio::null())
            .spawn();
        let child = match child {
            Ok(child) => child,
            Err(error) => {
                log.line(&format!(
                    "{}: cannot start {}: {error}",
                    node.name, deploy.program
                ));
                return;
            }
        };
        let (id, began) = (child.id(), Instant::now());
        log.detail(&format!("{}: process started", node.name));
        *node.child.lock().unwrap() = Some(child);
        let mut over = false;
        loop {
            thread::sleep(Duration::from_millis(10));
            let used = resident_mb(id).unwrap_or(0);
            let mut slot = node.child.lock().unwrap();
            let Some(child) = slot.as_mut() else { return };
            if used > memory_mb && !over {
                over = true;
                log.line(&format!(
                    "{}: {used} MB exceed the limit of {memory_mb} MB; killed",
                    node.name
                ));
                node.own_ends
                    .lock()
                    .unwrap()
                    .push(format!("memory over the limit, {used} MB"));
                let _ = child.kill();
            }
            if STOPPING.load(Ordering::SeqCst) {
                let _ = child.kill();
                let _ = child.wait();
                return;
            }
            if let Ok(Some(status)) = child.try_wait() {
                let lived = began.elapsed().as_secs_f64();
                log.line(&format!(
                    "{}: process ended after {lived:.1} s: {status}",
                    node.name
                ));
                if status.signal() != Some(9) {
                    node.own_ends
                        .lock()
                        .unwrap()
                        .push(format!("ended by itself: {status}"));
                }
                *slot = None;
                break;
            }
        }
        thread::sleep(RESTART_DELAY);
    }
}
