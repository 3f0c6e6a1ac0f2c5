//! Relays that stand on links between processes, each way of which can be cut.

use std::net::SocketAddr;
use std::sync::{Arc, RwLock};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What becomes of bytes on one way of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// They pass.
    Open,
    /// They wait and pass once the way is open again.
    Held,
    /// They are lost; a connection that has lost some breaks once the way is open again.
    Lost,
}

/// A link to one process.
pub struct Relay {
    pub address: SocketAddr,
    target: Arc<RwLock<SocketAddr>>,
    there: watch::Sender<Way>,
    back: watch::Sender<Way>,
    accepting: JoinHandle<()>,
}

impl Relay {
    /// A link to `target` with both ways open.
    pub async fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let target = Arc::new(RwLock::new(target));
        let (there, goes) = watch::channel(Way::Open);
        let (back, comes) = watch::channel(Way::Open);
        let to = target.clone();
        let accepting = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let to = *to.read().unwrap();
                tokio::spawn(join(client, to, goes.clone(), comes.clone()));
            }
        });
        Self {
            address,
            target,
            there,
            back,
            accepting,
        }
    }

    /// Leads new connections to `target`.
    pub fn lead_to(&self, target: SocketAddr) {
        *self.target.write().unwrap() = target;
    }

    /// Sets what becomes of requests and of answers.
    pub fn set(&self, there: Way, back: Way) {
        self.there.send_replace(there);
        self.back.send_replace(back);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// Joins a client to the target until either of them or a cut ends the connection.
async fn join(
    client: TcpStream,
    to: SocketAddr,
    there: watch::Receiver<Way>,
    back: watch::Receiver<Way>,
) {
    let Ok(server) = TcpStream::connect(to).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    tokio::select! {
        () = pump(from_client, to_server, there) => {}
        () = pump(from_server, to_client, back) => {}
    }
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut way: watch::Receiver<Way>) {
    let mut buf = vec![0; 65_536];
    let mut torn = false;
    loop {
        let healed = async {
            let _ = way.wait_for(|way| torn && *way == Way::Open).await;
        };
        let read = tokio::select! {
            read = from.read(&mut buf) => read,
            () = healed => return,
        };
        let n = match read {
            Ok(n) if n > 0 => n,
            _ => return,
        };
        let now = way.wait_for(|way| *way != Way::Held).await;
        let lost = now.is_ok_and(|way| *way == Way::Lost);
        torn |= lost;
        if !torn && to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
