//! What one entry VM costs beside a cell of a given size: bytes and messages by destination,
//! processor time.

mod cpu;
mod work;

use std::time::Duration;

use serde::Serialize;
use tokio::runtime::{Builder, Runtime};
use tokio::time::Instant;

use crate::adapter::traffic::TrafficTotals;
use crate::error::{Error, Result};
use crate::local::cell::{CellOptions, LocalCell, Standins};
use crate::standin::platform::PlatformCounters;
use cpu::CpuTime;
use work::Work;

/// The name of the threads that stand-ins and callers run on.
const STANDIN_THREADS: &str = "standin";

/// The name of the threads that entry VMs run on.
const VM_THREADS: &str = "vm";

/// How long the cell is left alone before it is measured.
const SETTLE: Duration = Duration::from_secs(4);

/// Headers of TCP and IP in one segment, with the timestamps of TCP.
const SEGMENT_HEADER_BYTES: u64 = 52;

/// Segments of one exchange: the request, its answer, and an acknowledgement without data.
const SEGMENTS: u64 = 3;

/// How much is measured.
#[derive(Clone, Debug, PartialEq)]
pub struct Params {
    /// The cell.
    pub cell: CellOptions,
    /// Tasks that run throughout.
    pub running_tasks: u32,
    /// Tasks a second that are started while it is measured.
    pub starts_per_s: u32,
    /// How long it is measured.
    pub duration: Duration,
}

/// What one VM exchanged with one destination, on average.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Exchanged {
    /// The destination.
    pub destination: &'static str,
    /// Requests a second that were answered.
    pub messages_per_s: f64,
    /// Bytes a second of requests and answers with the headers of HTTP.
    pub bytes_per_s: f64,
    /// The same with the headers of TCP and IP, worked out from the messages.
    pub wire_bytes_per_s: f64,
}

/// What was measured.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Entry VMs.
    pub vms: usize,
    /// Workers.
    pub workers: usize,
    /// Shards of workers.
    pub shards: usize,
    /// Tasks that ran throughout.
    pub running: u32,
    /// Tasks a second that were started.
    pub starts_per_s: f64,
    /// Bytes a second of one VM, on average, with the headers of TCP and IP.
    pub wire_bytes_per_s: f64,
    /// The same of the VM with the most.
    pub wire_bytes_per_s_most: f64,
    /// The share of a core that one VM used, on average, in percent.
    pub core_percent: f64,
    /// Transactions a second of the table, of all VMs.
    pub writes_per_s: f64,
    /// Reads and scans a second of the table, of all VMs.
    pub reads_per_s: f64,
    /// Rows a second that they returned.
    pub rows_read_per_s: f64,
    /// What one VM exchanged with each destination.
    pub destinations: Vec<Exchanged>,
}

/// The counts of a running cell at one time.
struct Reading {
    at: Instant,
    cpu: CpuTime,
    platform: PlatformCounters,
    starts: u64,
    vms: Vec<Vec<(&'static str, TrafficTotals)>>,
}

/// What lies between two readings.
struct Span<'a> {
    before: &'a Reading,
    after: &'a Reading,
}

/// Runs a cell and measures its entry VMs; they and the stand-ins run on threads of their own.
///
/// # Errors
///
/// Returns an error where the cell does not start or the work is not taken.
pub fn run(params: &Params) -> Result<Report> {
    let standins = runtime(STANDIN_THREADS)?;
    let vms = runtime(VM_THREADS)?;
    let started = standins.block_on(Standins::start(&params.cell))?;
    let cell = vms.block_on(LocalCell::start_on(started, params.cell.vms))?;
    let work = Work::new(cell.caller_addresses());
    let measured = standins.block_on(measure(&cell, &work, params));
    vms.block_on(cell.stop());
    measured
}

fn runtime(threads: &str) -> Result<Runtime> {
    let built = Builder::new_multi_thread()
        .thread_name(threads)
        .enable_all()
        .build();
    built.map_err(Error::io("start a runtime"))
}

async fn measure(cell: &LocalCell, work: &Work, params: &Params) -> Result<Report> {
    work.fill(cell, params.running_tasks).await?;
    tokio::time::sleep(SETTLE).await;
    let before = read(cell);
    work.start_for(params.starts_per_s, params.duration).await;
    let after = read(cell);
    Ok(report(params, &before, &after))
}

fn read(cell: &LocalCell) -> Reading {
    let vms = cell.vms();
    Reading {
        at: Instant::now(),
        cpu: CpuTime::of_threads_but(STANDIN_THREADS),
        platform: cell.platform.counters(),
        starts: work::starts(cell),
        vms: vms.map(|vm| vm.traffic().totals().to_vec()).collect(),
    }
}

fn report(params: &Params, before: &Reading, after: &Reading) -> Report {
    let span = Span { before, after };
    let rate = |of: &dyn Fn(&Reading) -> u64| span.rate(of);
    let vms = params.cell.vms as f64;
    let cpu_s = after.cpu.since(&before.cpu).as_secs_f64();
    let each: Vec<f64> = (0..params.cell.vms)
        .map(|vm| rate(&|reading| reading.vms[vm].iter().map(|(_, v)| wire_bytes(v)).sum()))
        .collect();
    Report {
        vms: params.cell.vms,
        workers: params.cell.workers,
        shards: params.cell.shards,
        running: params.running_tasks,
        starts_per_s: rate(&|reading| reading.starts),
        wire_bytes_per_s: each.iter().sum::<f64>() / vms,
        wire_bytes_per_s_most: each.iter().copied().fold(0.0, f64::max),
        core_percent: 100.0 * cpu_s / span.seconds() / vms,
        writes_per_s: rate(&|reading| reading.platform.transactions),
        reads_per_s: rate(&|reading| reading.platform.reads),
        rows_read_per_s: rate(&|reading| reading.platform.rows_read),
        destinations: span.destinations(),
    }
}

impl Span<'_> {
    fn seconds(&self) -> f64 {
        let lasted = self.after.at.duration_since(self.before.at);
        lasted.as_secs_f64()
    }

    fn rate(&self, of: impl Fn(&Reading) -> u64) -> f64 {
        (of(self.after) - of(self.before)) as f64 / self.seconds()
    }

    fn destinations(&self) -> Vec<Exchanged> {
        let names = self.before.vms.first().into_iter().flatten().enumerate();
        let exchanged = names.map(|(at, (destination, _))| {
            let mean = |of: fn(&TrafficTotals) -> u64| {
                let sum = |reading: &Reading| reading.vms.iter().map(|vm| of(&vm[at].1)).sum();
                self.rate(sum) / self.before.vms.len() as f64
            };
            Exchanged {
                destination,
                messages_per_s: mean(|volume| volume.exchanges),
                bytes_per_s: mean(|volume| volume.bytes),
                wire_bytes_per_s: mean(wire_bytes),
            }
        });
        exchanged.collect()
    }
}

fn wire_bytes(volume: &TrafficTotals) -> u64 {
    volume.bytes + volume.exchanges * SEGMENTS * SEGMENT_HEADER_BYTES
}
