//! Benchmark of the request path: the latency that the system adds to requests, in comparison with
//! requests sent directly to a backend server by the same client in the same run.
//!
//! Three entry VMs, a stand-in platform and stand-in backend servers run in this process and
//! communicate over loopback. Short slices of direct and of proxied requests alternate, so that
//! both run under the same conditions.

mod cell;
mod load;

use std::time::Duration;

use serde::Serialize;

use crate::error::Result;
use cell::PathCell;
use load::{Latencies, Route};

/// Parameters of the benchmark.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Params {
    /// Requests per second, directly or through all VMs together.
    pub rate_per_s: u32,
    /// Duration of the measurement for each of direct and proxied requests.
    pub duration: Duration,
    /// Number of requests in flight in the measurements at saturation.
    pub saturation_concurrency: u32,
}

/// Duration of a slice.
const SLICE: Duration = Duration::from_millis(500);

/// Duration of the unmeasured requests before the measurement.
const WARM_UP: Duration = Duration::from_millis(500);

/// Latency percentiles of a set of requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Percentiles {
    /// Number of requests with a complete response.
    pub answered: u64,
    /// Number of requests without one.
    pub failed: u64,
    /// Median, in microseconds.
    pub p50_us: u64,
    /// 99th percentile, in microseconds.
    pub p99_us: u64,
}

/// Results of the benchmark.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Requests per second, as configured.
    pub rate_per_s: u32,
    /// Requests sent directly to backend servers.
    pub direct: Percentiles,
    /// Requests through all VMs, round robin.
    pub through: Percentiles,
    /// Requests through the owner of the service, which need no messages between VMs.
    pub through_owner: Percentiles,
    /// Requests through the other VMs, which reuse slots for a short time.
    pub through_others: Percentiles,
    /// Requests through the other VMs without reuse, so that each acquires a slot from the owner.
    pub asking_each: Percentiles,
    /// Median through the VMs minus the median of direct requests, in milliseconds.
    pub added_p50_ms: f64,
    /// 99th percentile through the VMs minus that of direct requests, in milliseconds.
    pub added_p99_ms: f64,
    /// Direct requests per second at saturation.
    pub saturated_direct_per_s: f64,
    /// Requests per second at saturation through one VM that does not own the service.
    pub saturated_vm_per_s: f64,
    /// Throughput of one VM at saturation as a share of that of direct requests.
    pub saturated_share: f64,
}

/// Runs the benchmark.
///
/// # Errors
///
/// Returns an error if the cell does not start.
pub async fn run(params: &Params) -> Result<Report> {
    let cell = PathCell::start().await?;
    let (direct, vms) = cell.routes();
    load::run_at_rate(&direct, params.rate_per_s, WARM_UP).await;
    load::run_at_rate(&vms, params.rate_per_s, WARM_UP).await;
    let mut direct_latencies = Latencies::new(direct.len());
    let mut vm_latencies = Latencies::new(vms.len());
    let mut no_reuse_latencies = Latencies::new(vms.len());
    for _ in 0..params.duration.div_duration_f64(SLICE).ceil() as u32 {
        direct_latencies.add(&load::run_at_rate(&direct, params.rate_per_s, SLICE).await);
        vm_latencies.add(&load::run_at_rate(&vms, params.rate_per_s, SLICE).await);
        cell.set_reuse(false);
        no_reuse_latencies.add(&load::run_at_rate(&vms, params.rate_per_s, SLICE).await);
        cell.set_reuse(true);
    }
    let owner_index = cell.owner_index();
    let other_vms = vms
        .iter()
        .enumerate()
        .filter(|(index, _)| Some(*index) != owner_index);
    let other_vm: Vec<Route> = other_vms.map(|(_, route)| route.clone()).take(1).collect();
    let saturated_direct_per_s =
        load::run_saturated(&direct, params.saturation_concurrency, params.duration / 2).await;
    let saturated_vm_per_s = load::run_saturated(
        &other_vm,
        params.saturation_concurrency,
        params.duration / 2,
    )
    .await;
    cell.stop().await;
    let (direct, through) = (direct_latencies.percentiles(), vm_latencies.percentiles());
    let added_ms = |through: u64, direct: u64| (through as f64 - direct as f64) / 1_000.0;
    Ok(Report {
        rate_per_s: params.rate_per_s,
        added_p50_ms: added_ms(through.p50_us, direct.p50_us),
        added_p99_ms: added_ms(through.p99_us, direct.p99_us),
        direct,
        through,
        through_owner: vm_latencies.percentiles_of(|route| Some(route) == owner_index),
        through_others: vm_latencies.percentiles_of(|route| Some(route) != owner_index),
        asking_each: no_reuse_latencies.percentiles_of(|route| Some(route) != owner_index),
        saturated_direct_per_s,
        saturated_vm_per_s,
        saturated_share: saturated_vm_per_s / saturated_direct_per_s,
    })
}
