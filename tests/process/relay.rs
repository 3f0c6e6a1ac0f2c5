//! TCP relays on the links between processes; each direction can be interrupted separately.

use std::net::SocketAddr;
use std::sync::{Arc, RwLock};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// How one direction of a link treats the bytes it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Forwards them.
    Open,
    /// Holds them back and forwards them once the direction is open again.
    Stalled,
    /// Drops them. A connection that has lost bytes is closed once the direction is open again.
    Dropping,
}

/// A link to one process.
pub struct Relay {
    pub address: SocketAddr,
    target: Arc<RwLock<SocketAddr>>,
    upstream: watch::Sender<LinkState>,
    downstream: watch::Sender<LinkState>,
    accept_task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay to `target` that is open in both directions.
    pub async fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let target = Arc::new(RwLock::new(target));
        let (upstream, upstream_rx) = watch::channel(LinkState::Open);
        let (downstream, downstream_rx) = watch::channel(LinkState::Open);
        let to = target.clone();
        let accept_task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let to = *to.read().unwrap();
                tokio::spawn(relay(
                    client,
                    to,
                    upstream_rx.clone(),
                    downstream_rx.clone(),
                ));
            }
        });
        Self {
            address,
            target,
            upstream,
            downstream,
            accept_task,
        }
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.write().unwrap() = target;
    }

    /// Sets the state of the direction to the target (`upstream`) and of the direction from it
    /// (`downstream`).
    pub fn set_link_state(&self, upstream: LinkState, downstream: LinkState) {
        self.upstream.send_replace(upstream);
        self.downstream.send_replace(downstream);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

/// Relays one connection until a side closes it, or until a direction that has dropped bytes opens
/// again.
async fn relay(
    client: TcpStream,
    to: SocketAddr,
    upstream: watch::Receiver<LinkState>,
    downstream: watch::Receiver<LinkState>,
) {
    let Ok(server) = TcpStream::connect(to).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    tokio::select! {
        () = copy(from_client, to_server, upstream) => {}
        () = copy(from_server, to_client, downstream) => {}
    }
}

/// Copies one direction of a connection.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
) {
    let mut buf = vec![0; 65_536];
    let mut has_dropped = false;
    loop {
        let reopened = async {
            let _ = state
                .wait_for(|state| has_dropped && *state == LinkState::Open)
                .await;
        };
        let read = tokio::select! {
            read = from.read(&mut buf) => read,
            () = reopened => return,
        };
        let n = match read {
            Ok(n) if n > 0 => n,
            _ => return,
        };
        let now = state.wait_for(|state| *state != LinkState::Stalled).await;
        let drops = now.is_ok_and(|state| *state == LinkState::Dropping);
        has_dropped |= drops;
        if !has_dropped && to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
