//! Learns of newer configurations, from the platform or from other VMs.

use std::net::SocketAddr;
use std::time::Duration;

use super::context::NodeContext;
use crate::config::{Offered, Stores};
use crate::message::{Reply, Request, VmDigest};
use crate::model::VmName;

/// How long a peer may take to hand over its configuration.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a peer may take to say what it has.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);

/// How many heartbeats pass between two looks for a newer configuration that no other VM tells of.
const LOOK_EVERY: u64 = 5;

/// When a node looks for a newer configuration: in its turn, or once another VM's heartbeat row
/// names one. Each process has a turn of its own, so that some VM of a cell looks soon and the
/// others follow its row.
///
/// # Examples
///
/// ```
/// use chestnutlug::node::config_refresh::ConfigPollSchedule;
///
/// let mut looks = ConfigLooks::new(0);
/// assert!(looks.is_due(5, 8));
/// assert!(!looks.is_due(6, 8));
/// looks.note_versions([8, 9]);
/// assert!(looks.is_due(6, 8), "a row names a newer version");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ConfigPollSchedule {
    turn: u64,
    told: u64,
}

impl ConfigPollSchedule {
    /// The looks of the process `incarnation`.
    pub fn new(incarnation: u64) -> Self {
        Self {
            turn: incarnation % LOOK_EVERY,
            told: 0,
        }
    }

    /// Notes the versions that the heartbeat rows name.
    pub fn note_versions(&mut self, versions: impl IntoIterator<Item = u64>) {
        self.told = versions.into_iter().max().unwrap_or(0);
    }

    /// Whether a node that has version `have` looks at heartbeat `sequence`.
    pub fn is_due(&self, sequence: u64, have: u64) -> bool {
        self.told > have || sequence % LOOK_EVERY == self.turn
    }
}

/// Looks for a newer configuration: in the platform, and with that down at the other VMs.
pub async fn refresh_config(context: &NodeContext) {
    if from_platform(context).await.is_err() {
        from_peers(context).await;
    }
    context.config.finish_learning(context.clock.now());
}

async fn from_platform(context: &NodeContext) -> crate::error::Result<()> {
    let stores = Stores {
        table: context.table.as_ref(),
        objects: context.objects.as_ref(),
    };
    let have = context.config.version();
    if !context.config.is_ready() {
        let head = stores.head().await?;
        context
            .config
            .note_table_version(head.map_or(0, |head| head.row.version));
    }
    if let Some((number, text)) = stores.newer_than((have.number, &have.text)).await? {
        offer(context, number, &text);
    }
    Ok(())
}

async fn from_peers(context: &NodeContext) {
    let have = context.config.version().number;
    if context.config.is_ready() {
        if let Some(address) = context.peer_with_config_above(have) {
            fetch(context, address, have).await;
        }
        return;
    }
    for address in context.peer_addresses() {
        learn_from(context, address).await;
    }
}

/// Learns from one peer while this node knows no configuration.
async fn learn_from(context: &NodeContext, address: SocketAddr) {
    let peer = VmName::new(address.to_string());
    context.config.note_peer_asked(&peer);
    let digest = exchange(context, address).await;
    let version = digest
        .filter(|digest| digest.ready)
        .map(|d| d.config_version);
    context.config.note_peer_version(&peer, version);
    if version.is_some() {
        fetch(context, address, 0).await;
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

async fn fetch(context: &NodeContext, address: SocketAddr, above: u64) {
    let request = Request::Config { above };
    let called = context.peers.call(address, &request, CONFIG_TIMEOUT).await;
    if let Ok(Reply::Config(Some((number, text)))) = called {
        offer(context, number, &text);
    }
}

fn offer(context: &NodeContext, number: u64, text: &str) {
    match context.config.offer(number, text, context.clock.now()) {
        Offered::TakenUp => tracing::info!(version = number, "configuration taken up"),
        Offered::Same | Offered::Older => {}
        Offered::Contradictory => {
            tracing::error!(version = number, "another text under the version in force");
        }
        Offered::Rejected(findings) => {
            tracing::error!(version = number, %findings, "the configuration is not acceptable");
        }
    }
}
