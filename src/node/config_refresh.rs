//! Fetches newer configurations from the platform or from other VMs.

use std::net::SocketAddr;
use std::time::Duration;

use super::context::NodeContext;
use crate::config::{ConfigStore, OfferOutcome};
use crate::message::{Reply, Request, VmDigest};
use crate::model::VmName;

/// Timeout for fetching the configuration from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of the exchange of digests with a peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);

/// Heartbeats between two polls of the platform while no heartbeat row names a newer version.
const POLL_INTERVAL_HEARTBEATS: u64 = 5;

/// Decides when a node polls for a newer configuration: at regular heartbeats, and as soon as
/// another VM's heartbeat row names one. The incarnation shifts the regular polls, so that some VM
/// of the cell polls soon after a change and the others follow its heartbeat row.
///
/// # Examples
///
/// ```
/// use chestnutlug::node::config_refresh::ConfigPollSchedule;
///
/// let mut schedule = ConfigPollSchedule::new(0);
/// assert!(schedule.is_due(5, 8));
/// assert!(!schedule.is_due(6, 8));
/// schedule.note_versions([8, 9]);
/// assert!(schedule.is_due(6, 8), "a row names a newer version");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ConfigPollSchedule {
    phase: u64,
    highest_named: u64,
}

impl ConfigPollSchedule {
    /// The schedule of the process `incarnation`.
    pub fn new(incarnation: u64) -> Self {
        Self {
            phase: incarnation % POLL_INTERVAL_HEARTBEATS,
            highest_named: 0,
        }
    }

    /// Records the versions that the heartbeat rows name.
    pub fn note_versions(&mut self, versions: impl IntoIterator<Item = u64>) {
        self.highest_named = versions.into_iter().max().unwrap_or(0);
    }

    /// Whether a node with version `current` in force polls at heartbeat `sequence`.
    pub fn is_due(&self, sequence: u64, current: u64) -> bool {
        self.highest_named > current || sequence % POLL_INTERVAL_HEARTBEATS == self.phase
    }
}

/// Fetches a newer configuration from the platform, or from other VMs if the platform fails.
pub async fn refresh_config(context: &NodeContext) {
    if fetch_from_platform(context).await.is_err() {
        fetch_from_peers(context).await;
    }
    context.config.finish_learning(context.clock.now());
}

async fn fetch_from_platform(context: &NodeContext) -> crate::error::Result<()> {
    let store = ConfigStore {
        table: context.table.as_ref(),
        objects: context.objects.as_ref(),
    };
    let current = context.config.version();
    if !context.config.is_ready() {
        let stored = store.current_version().await?;
        context
            .config
            .note_table_version(stored.map_or(0, |stored| stored.row.version));
    }
    if let Some((number, text)) = store.newer_than((current.number, &current.text)).await? {
        offer(context, number, &text);
    }
    Ok(())
}

async fn fetch_from_peers(context: &NodeContext) {
    let current = context.config.version().number;
    if context.config.is_ready() {
        if let Some(address) = context.peer_with_config_above(current) {
            fetch_from_peer(context, address, current).await;
        }
        return;
    }
    for address in context.peer_addresses() {
        learn_from_peer(context, address).await;
    }
}

/// Fetches the configuration of one peer while this node has none in force.
async fn learn_from_peer(context: &NodeContext, address: SocketAddr) {
    let peer = VmName::new(address.to_string());
    context.config.note_peer_asked(&peer);
    let digest = exchange(context, address).await;
    let version = digest
        .filter(|digest| digest.ready)
        .map(|d| d.config_version);
    context.config.note_peer_version(&peer, version);
    if version.is_some() {
        fetch_from_peer(context, address, 0).await;
    }
}

async fn exchange(context: &NodeContext, address: SocketAddr) -> Option<VmDigest> {
    let request = Request::Exchange(context.digest(context.clock.now()).await);
    let called = context
        .peers
        .call(address, &request, EXCHANGE_TIMEOUT)
        .await;
    match called {
        Ok(Reply::Digest(digest)) => Some(digest),
        _ => None,
    }
}

async fn fetch_from_peer(context: &NodeContext, address: SocketAddr, above: u64) {
    let request = Request::Config { above };
    let called = context.peers.call(address, &request, FETCH_TIMEOUT).await;
    if let Ok(Reply::Config(Some((number, text)))) = called {
        offer(context, number, &text);
    }
}

fn offer(context: &NodeContext, number: u64, text: &str) {
    match context.config.offer(number, text, context.clock.now()) {
        OfferOutcome::Adopted => tracing::info!(version = number, "a new configuration is adopted"),
        OfferOutcome::Unchanged | OfferOutcome::Older => {}
        OfferOutcome::DigestMismatch => {
            tracing::error!(
                version = number,
                "configuration rejected: its text differs from the one in force under this number"
            );
        }
        OfferOutcome::Rejected(findings) => {
            tracing::error!(
                version = number,
                %findings,
                "configuration rejected: it is invalid; the version in force stays"
            );
        }
    }
}
