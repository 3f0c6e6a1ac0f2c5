//! Asks other VMs when the table last answered them.

use std::time::Duration;

use super::context::NodeContext;
use crate::message::{Reply, Request};
use crate::model::Time;

/// How long a peer may take to answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// What the peers said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerContacts {
    /// Peers that gave no answer.
    pub unresponsive: usize,
    /// The shortest time since the table answered one of them.
    pub min_contact_age: Option<Duration>,
}

/// Exchanges digests with all VMs that this node last knew as alive.
pub async fn exchange_digests(context: &NodeContext, now: Time) -> PeerContacts {
    let request = Request::Exchange(context.digest(now).await);
    let mut calls = tokio::task::JoinSet::new();
    for vm in context.directory.others(context.peer_address) {
        let peers = context.peers.clone();
        let request = request.clone();
        calls.spawn(async move { peers.call(vm.address, &request, ASK_TIMEOUT).await });
    }
    let mut contacts = PeerContacts::default();
    while let Some(called) = calls.join_next().await {
        match called {
            Ok(Ok(Reply::Digest(digest))) => {
                let contact = Duration::from_millis(digest.table_contact_ms);
                let min_contact_age = contacts.min_contact_age.map_or(contact, |f| f.min(contact));
                contacts.min_contact_age = Some(min_contact_age);
                context.note_peer_config(&digest);
            }
            _ => contacts.unresponsive += 1,
        }
    }
    contacts
}
