//! The connections to a worker process, which all close when the process ends.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Forwards connections to the server of a worker stand-in, which outlives its simulated processes.
pub struct Front {
    pub address: SocketAddr,
    connections: Mutex<JoinSet<()>>,
}

impl Front {
    pub async fn to(server: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let front = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            connections: Mutex::default(),
        });
        let accepting = front.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                accepting.lock().spawn(forward(client, server));
            }
        });
        front
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        self.lock().abort_all();
    }

    fn lock(&self) -> MutexGuard<'_, JoinSet<()>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Forwards one connection until a side closes it.
async fn forward(mut client: TcpStream, server: SocketAddr) {
    let Ok(mut server) = TcpStream::connect(server).await else {
        return;
    };
    // A failure is the end of the connection, as a close is.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let _ = tokio::io::copy_bidirectional(&mut client, &mut server).await;
}
