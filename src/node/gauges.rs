//! Sends the state of a node as metrics, at regular intervals.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::api::ShardDirectory;
use super::context::NodeContext;
use crate::metrics::{Counter, Gauge, Metrics};
use crate::model::ShardName;

/// Interval between samples.
const INTERVAL: Duration = Duration::from_secs(5);

/// The previous sample, from which changes are counted.
#[derive(Debug, Default)]
struct LastSample {
    shards: BTreeSet<ShardName>,
    config_version: u64,
}

/// Sends samples of a node until the task is aborted.
pub async fn run(context: Arc<NodeContext>, metrics: Metrics) {
    let mut interval = tokio::time::interval(INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last = LastSample::default();
    loop {
        interval.tick().await;
        sample(&context, &metrics, &mut last).await;
    }
}

async fn sample(context: &NodeContext, metrics: &Metrics, last: &mut LastSample) {
    let summaries = context.summaries().await;
    let digests = || summaries.iter().map(|summary| &summary.digest);
    let shards: BTreeSet<ShardName> = digests().map(|digest| digest.shard.clone()).collect();
    let queued = digests().map(|digest| digest.queued).sum();
    let running = digests().map(|digest| digest.running).sum();
    let set_aside: usize = summaries.iter().map(|s| s.set_aside.len()).sum();
    let config_version = context.config.version().number;
    metrics.gauge(Gauge::ShardsOwned, shards.len() as u64);
    metrics.gauge(Gauge::TasksQueued, queued);
    metrics.gauge(Gauge::TasksRunning, running);
    metrics.gauge(Gauge::SlotsHeld, slots_held(context));
    metrics.gauge(Gauge::ConfigVersion, config_version);
    metrics.gauge(Gauge::WorkersSetAside, set_aside as u64);
    metrics.gauge(Gauge::VmsLive, context.directory.live_vms().len() as u64);

    let taken = shards.difference(&last.shards).count() as u64;
    let released = last.shards.difference(&shards).count() as u64;
    let versions = config_version.saturating_sub(last.config_version);
    let changes = [
        (Counter::ShardsTaken, taken),
        (Counter::ShardsReleased, released),
        (Counter::ConfigApplied, versions),
    ];
    for (counter, n) in changes.into_iter().filter(|(_, n)| *n > 0) {
        metrics.count(counter, n);
    }
    *last = LastSample {
        shards,
        config_version,
    };
}

/// The number of granted slots of the services that this node owns.
fn slots_held(context: &NodeContext) -> u64 {
    let cfg = context.config.config();
    let held = cfg
        .service
        .keys()
        .map(|service| context.slots.granted_slots(service));
    held.sum()
}
