//! The path of a request: what the system adds to the time of a request that is sent to a backend
//! server directly, measured in one run with the same client.
//!
//! Three entry VMs, a stand-in platform and stand-in backend servers run in this process and talk
//! over loopback. Short spells of direct and of passed-on requests take turns, so that both meet
//! the same conditions.

mod cell;
mod load;

use std::time::Duration;

use serde::Serialize;

use crate::error::Result;
use cell::Cell;
use load::{Latencies, Route};

/// What to measure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Params {
    /// Requests a second through all VMs together.
    pub rate_per_s: u32,
    /// How long each of direct and passed-on requests is measured.
    pub duration: Duration,
    /// How many requests a caller of the saturated VM has under way.
    pub saturation_concurrency: u32,
}

/// How long one spell takes.
const SPELL: Duration = Duration::from_millis(500);

/// How long connections and measurements are warmed up.
const WARM_UP: Duration = Duration::from_millis(500);

/// The percentiles of a set of requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Percentiles {
    /// Requests that were answered whole.
    pub answered: u64,
    /// Requests that were not.
    pub failed: u64,
    /// The median, in microseconds.
    pub p50_us: u64,
    /// The 99th percentile, in microseconds.
    pub p99_us: u64,
}

/// What was measured.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Requests a second, as asked for.
    pub rate_per_s: u32,
    /// Requests sent to backend servers directly.
    pub direct: Percentiles,
    /// Requests through all VMs in turn.
    pub through: Percentiles,
    /// Those of them that the owner of the service took in: no message between VMs is needed.
    pub through_owner: Percentiles,
    /// Those that other VMs took in, on slots that are kept for a moment.
    pub through_others: Percentiles,
    /// Requests through the other VMs where each asks the owner for its slot.
    pub asking_each: Percentiles,
    /// The median through the system less the direct one, in milliseconds.
    pub added_p50_ms: f64,
    /// The 99th percentile through the system less the direct one, in milliseconds.
    pub added_p99_ms: f64,
    /// Direct requests a second at saturation.
    pub saturated_direct_per_s: f64,
    /// Requests a second at saturation through one VM that does not own the service.
    pub saturated_vm_per_s: f64,
    /// The share of the direct throughput that one VM reaches.
    pub saturated_share: f64,
}

/// Measures in this process.
///
/// # Errors
///
/// Returns an error if the cell does not start.
pub async fn run(params: &Params) -> Result<Report> {
    let cell = Cell::start().await?;
    let (direct, vms) = cell.routes();
    load::paced(&direct, params.rate_per_s, WARM_UP).await;
    load::paced(&vms, params.rate_per_s, WARM_UP).await;
    let mut straight = Latencies::new(direct.len());
    let mut passed_on = Latencies::new(vms.len());
    let mut asked_each = Latencies::new(vms.len());
    for _ in 0..params.duration.div_duration_f64(SPELL).ceil() as u32 {
        straight.add(&load::paced(&direct, params.rate_per_s, SPELL).await);
        passed_on.add(&load::paced(&vms, params.rate_per_s, SPELL).await);
        cell.set_reuse(false);
        asked_each.add(&load::paced(&vms, params.rate_per_s, SPELL).await);
        cell.set_reuse(true);
    }
    let owner = cell.owner();
    let others = vms.iter().enumerate().filter(|(at, _)| Some(*at) != owner);
    let one_vm: Vec<Route> = others.map(|(_, route)| route.clone()).take(1).collect();
    let saturated_direct_per_s =
        load::saturated(&direct, params.saturation_concurrency, params.duration / 2).await;
    let saturated_vm_per_s =
        load::saturated(&one_vm, params.saturation_concurrency, params.duration / 2).await;
    cell.stop().await;
    let (direct, through) = (straight.all(), passed_on.all());
    let added_ms = |through: u64, direct: u64| (through as f64 - direct as f64) / 1_000.0;
    Ok(Report {
        rate_per_s: params.rate_per_s,
        added_p50_ms: added_ms(through.p50_us, direct.p50_us),
        added_p99_ms: added_ms(through.p99_us, direct.p99_us),
        direct,
        through,
        through_owner: passed_on.of(|route| Some(route) == owner),
        through_others: passed_on.of(|route| Some(route) != owner),
        asking_each: asked_each.of(|route| Some(route) != owner),
        saturated_direct_per_s,
        saturated_vm_per_s,
        saturated_share: saturated_vm_per_s / saturated_direct_per_s,
    })
}
