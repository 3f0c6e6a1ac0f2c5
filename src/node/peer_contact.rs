//! Asks other VMs how long ago the table last responded to them.

use std::time::Duration;

use super::context::NodeContext;
use crate::message::{Reply, Request};
use crate::model::Time;

/// Timeout of the exchange of digests with one peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);

/// The contact that the peers reported with the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerContacts {
    /// The number of peers that did not reply.
    pub unresponsive: usize,
    /// The shortest time since the table responded to one of the peers; `None` if no peer replied.
    pub min_contact_age: Option<Duration>,
}

/// Exchanges digests with all VMs that were live when this node last read the table.
pub async fn exchange_digests(context: &NodeContext, now: Time) -> PeerContacts {
    let request = Request::Exchange(context.digest(now).await);
    let mut calls = tokio::task::JoinSet::new();
    for vm in context.directory.others(context.peer_address) {
        let peers = context.peers.clone();
        let request = request.clone();
        calls.spawn(async move { peers.call(vm.address, &request, EXCHANGE_TIMEOUT).await });
    }
    let mut contacts = PeerContacts::default();
    while let Some(called) = calls.join_next().await {
        match called {
            Ok(Ok(Reply::Digest(digest))) => {
                let contact = Duration::from_millis(digest.table_contact_ms);
                let min_age = contacts
                    .min_contact_age
                    .map_or(contact, |age| age.min(contact));
                contacts.min_contact_age = Some(min_age);
                context.note_peer_config(&digest);
            }
            _ => contacts.unresponsive += 1,
        }
    }
    contacts
}
