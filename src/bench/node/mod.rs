//! Benchmark of the resource use of one entry VM in a cell of a given size: messages and bytes by
//! destination, and processor time.

mod cpu;
mod job_submitter;

use std::time::Duration;

use serde::Serialize;
use tokio::runtime::{Builder, Runtime};
use tokio::time::Instant;

use crate::adapter::traffic::TrafficTotals;
use crate::error::{Error, Result};
use crate::local::cell::{CellOptions, LocalCell, Standins};
use crate::standin::platform::PlatformCounters;
use cpu::CpuTime;
use job_submitter::JobSubmitter;

/// Name of the threads on which the stand-ins and the job submitter run.
const STANDIN_THREAD_NAME: &str = "standin";

/// Name of the threads on which the entry VMs are started. Each VM has its own runtime.
const VM_THREAD_NAME: &str = "vm";

/// Time that the cell has to settle before the measurement.
const SETTLE_DURATION: Duration = Duration::from_secs(4);

/// Size of the TCP and IP headers of a segment, with TCP timestamps.
const SEGMENT_HEADER_BYTES: u64 = 52;

/// Segments per exchange: the request, the response, and an acknowledgement without data.
const SEGMENTS_PER_EXCHANGE: u64 = 3;

/// Parameters of the benchmark.
#[derive(Clone, Debug, PartialEq)]
pub struct Params {
    /// Options of the cell.
    pub cell: CellOptions,
    /// Number of tasks that run throughout.
    pub running_tasks: u32,
    /// Number of tasks started per second during the measurement.
    pub starts_per_s: u32,
    /// Duration of the measurement.
    pub duration: Duration,
}

/// Mean traffic between one VM and one destination.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DestinationTraffic {
    /// Name of the destination.
    pub destination: &'static str,
    /// Requests with a response per second.
    pub messages_per_s: f64,
    /// Bytes per second of requests and responses, including HTTP headers.
    pub bytes_per_s: f64,
    /// Bytes per second including TCP and IP headers, which are estimated from the number of
    /// messages.
    pub wire_bytes_per_s: f64,
}

/// Results of the benchmark.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Number of entry VMs.
    pub vms: usize,
    /// Number of workers.
    pub workers: usize,
    /// Number of shards.
    pub shards: usize,
    /// Number of tasks that ran throughout.
    pub running: u32,
    /// Number of tasks started per second.
    pub starts_per_s: f64,
    /// Mean bytes per second of one VM, including TCP and IP headers.
    pub wire_bytes_per_s: f64,
    /// Maximum bytes per second of one VM, including TCP and IP headers.
    pub wire_bytes_per_s_most: f64,
    /// Mean processor time of one VM, in percent of a core.
    pub core_percent: f64,
    /// Table transactions per second of all VMs.
    pub writes_per_s: f64,
    /// Table reads and scan pages per second of all VMs.
    pub reads_per_s: f64,
    /// Rows per second returned by these reads and scans.
    pub rows_read_per_s: f64,
    /// Mean traffic of one VM, by destination.
    pub destinations: Vec<DestinationTraffic>,
}

/// Counters of a running cell at one point in time.
struct Sample {
    at: Instant,
    cpu: CpuTime,
    platform: PlatformCounters,
    starts: u64,
    vms: Vec<Vec<(&'static str, TrafficTotals)>>,
}

/// The interval between two samples.
struct SampleInterval<'a> {
    before: &'a Sample,
    after: &'a Sample,
}

/// Runs a cell and measures its entry VMs. The VMs and the stand-ins run on separate threads.
///
/// # Errors
///
/// Returns an error if the cell does not start, a job is refused or the tasks do not start in time.
pub fn run(params: &Params) -> Result<Report> {
    let standins = runtime(STANDIN_THREAD_NAME)?;
    let vms = runtime(VM_THREAD_NAME)?;
    let started = standins.block_on(Standins::start(&params.cell))?;
    let cell = vms.block_on(LocalCell::start_on(started, params.cell.vms))?;
    let job_submitter = JobSubmitter::new(cell.caller_addresses());
    let measured = standins.block_on(measure(&cell, &job_submitter, params));
    vms.block_on(cell.stop());
    measured
}

fn runtime(threads: &str) -> Result<Runtime> {
    let built = Builder::new_multi_thread()
        .thread_name(threads)
        .enable_all()
        .build();
    built.map_err(Error::io("start the runtime of the benchmark"))
}

async fn measure(
    cell: &LocalCell,
    job_submitter: &JobSubmitter,
    params: &Params,
) -> Result<Report> {
    job_submitter
        .start_background_tasks(cell, params.running_tasks)
        .await?;
    tokio::time::sleep(SETTLE_DURATION).await;
    let before = take_sample(cell);
    job_submitter
        .start_tasks_for(params.starts_per_s, params.duration)
        .await;
    let after = take_sample(cell);
    Ok(report(params, &before, &after))
}

fn take_sample(cell: &LocalCell) -> Sample {
    let vms = cell.vms();
    Sample {
        at: Instant::now(),
        cpu: CpuTime::of_threads_without(STANDIN_THREAD_NAME),
        platform: cell.platform.counters(),
        starts: job_submitter::count_starts(cell),
        vms: vms.map(|vm| vm.traffic().totals().to_vec()).collect(),
    }
}

fn report(params: &Params, before: &Sample, after: &Sample) -> Report {
    let interval = SampleInterval { before, after };
    let rate = |of: &dyn Fn(&Sample) -> u64| interval.rate(of);
    let vms = params.cell.vms as f64;
    let cpu_s = after.cpu.since(&before.cpu).as_secs_f64();
    let each: Vec<f64> = (0..params.cell.vms)
        .map(|vm| rate(&|sample| sample.vms[vm].iter().map(|(_, v)| wire_bytes(v)).sum()))
        .collect();
    Report {
        vms: params.cell.vms,
        workers: params.cell.workers,
        shards: params.cell.shards,
        running: params.running_tasks,
        starts_per_s: rate(&|sample| sample.starts),
        wire_bytes_per_s: each.iter().sum::<f64>() / vms,
        wire_bytes_per_s_most: each.iter().copied().fold(0.0, f64::max),
        core_percent: 100.0 * cpu_s / interval.seconds() / vms,
        writes_per_s: rate(&|sample| sample.platform.transactions),
        reads_per_s: rate(&|sample| sample.platform.reads),
        rows_read_per_s: rate(&|sample| sample.platform.rows_read),
        destinations: interval.destinations(),
    }
}

impl SampleInterval<'_> {
    fn seconds(&self) -> f64 {
        let duration = self.after.at.duration_since(self.before.at);
        duration.as_secs_f64()
    }

    fn rate(&self, of: impl Fn(&Sample) -> u64) -> f64 {
        (of(self.after) - of(self.before)) as f64 / self.seconds()
    }

    fn destinations(&self) -> Vec<DestinationTraffic> {
        let names = self.before.vms.first().into_iter().flatten().enumerate();
        let traffic = names.map(|(index, (destination, _))| {
            let mean = |of: fn(&TrafficTotals) -> u64| {
                let sum = |sample: &Sample| sample.vms.iter().map(|vm| of(&vm[index].1)).sum();
                self.rate(sum) / self.before.vms.len() as f64
            };
            DestinationTraffic {
                destination,
                messages_per_s: mean(|volume| volume.exchanges),
                bytes_per_s: mean(|volume| volume.bytes),
                wire_bytes_per_s: mean(wire_bytes),
            }
        });
        traffic.collect()
    }
}

fn wire_bytes(volume: &TrafficTotals) -> u64 {
    volume.bytes + volume.exchanges * SEGMENTS_PER_EXCHANGE * SEGMENT_HEADER_BYTES
}
