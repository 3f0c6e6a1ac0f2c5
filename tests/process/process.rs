//! A process that a test starts.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// A running process, killed on drop.
pub struct Process {
    child: Child,
    /// The addresses that the process printed, in order.
    pub addresses: Vec<SocketAddr>,
}

impl Process {
    /// Starts the program with `args` and reads an address from the end of each of the first `lines`
    /// lines of its output. Standard error is written to `log`.
    pub fn start(args: &[&str], lines: usize, log: &Path) -> Self {
        let log = std::fs::File::create(log).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_chestnutlug"))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .unwrap();
        let mut out = BufReader::new(child.stdout.take().unwrap());
        let mut process = Self {
            child,
            addresses: Vec::new(),
        };
        for _ in 0..lines {
            let mut line = String::new();
            out.read_line(&mut line).unwrap();
            let address = line.split_whitespace().last().and_then(|a| a.parse().ok());
            let address = address.unwrap_or_else(|| panic!("{args:?} printed {line:?}"));
            process.addresses.push(address);
        }
        process
    }

    /// Runs the program with `args` to its end and returns the exit code.
    pub fn run(args: &[&str]) -> Option<i32> {
        let status = Command::new(env!("CARGO_BIN_EXE_chestnutlug"))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .status();
        status.unwrap().code()
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).unwrap());
        kill(pid, signal).unwrap();
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        self.child.wait().unwrap();
    }

    /// Waits until the process ends and returns its exit code.
    ///
    /// # Panics
    ///
    /// Panics if the process has not ended within `timeout`.
    pub async fn exit_code(&mut self, timeout: Duration) -> Option<i32> {
        let begin = Instant::now();
        while begin.elapsed() < timeout {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the process did not end within {timeout:?}");
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
