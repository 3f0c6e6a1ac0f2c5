//! `chestnutlug standin`: one stand-in as a process of its own.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use crate::error::{Error, Result};
use crate::model::{BackendName, Resources, WorkerName};
use crate::standin::backend::{self, StandinBackend};
use crate::standin::journal::JournalFile;
use crate::standin::platform::{self, StandinPlatform};
use crate::standin::worker::{self, StandinWorker, StandinWorkerServer};

/// Which stand-in runs, and where it listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standin {
    /// The platform.
    Platform {
        /// Where it listens.
        listen: SocketAddr,
    },
    /// A worker.
    Worker {
        /// Where it listens.
        listen: SocketAddr,
        /// Its name.
        name: WorkerName,
        /// What it holds.
        capacity: Resources,
        /// Where its journal is written too.
        journal: Option<PathBuf>,
    },
    /// A backend server.
    Backend {
        /// Where it takes requests.
        listen: SocketAddr,
        /// Where it takes switches and shows its journal.
        control: SocketAddr,
        /// Its name.
        name: BackendName,
        /// Requests that it may work on at once.
        slots: u32,
        /// Connections that it may have at once.
        connections: u64,
        /// Where its journal is written too.
        journal: Option<PathBuf>,
    },
}

/// Runs a stand-in until SIGTERM; prints `listening ADDRESS` for each listener once it is ready.
///
/// # Errors
///
/// Returns an error if an address cannot be listened on.
pub async fn run(standin: Standin) -> Result<()> {
    let mut terminated = signal(SignalKind::terminate()).map_err(Error::io("SIGTERM"))?;
    let stop = async move {
        terminated.recv().await;
    };
    match standin {
        Standin::Platform { listen } => {
            let listener = bind(listen).await?;
            platform::serve(Arc::new(StandinPlatform::new()), listener, stop).await;
        }
        Standin::Worker {
            listen,
            name,
            capacity,
            journal,
        } => {
            let listener = bind(listen).await?;
            let file = journal.map(JournalFile::open).transpose()?;
            let server = StandinWorkerServer::new(StandinWorker::new(name, capacity), file);
            worker::serve(Arc::new(server), listener, stop).await;
        }
        Standin::Backend {
            listen,
            control,
            name,
            slots,
            connections,
            journal,
        } => {
            let work = bind(listen).await?;
            let control = bind(control).await?;
            let mut backend = StandinBackend::new(name, slots, connections);
            if let Some(path) = journal {
                backend = backend.with_journal_file(JournalFile::open(path)?);
            }
            backend::serve(Arc::new(backend), work, control, stop).await;
        }
    }
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    let context = || format!("listen on {address}");
    let listener = TcpListener::bind(address)
        .await
        .map_err(Error::io(context()))?;
    let bound = listener.local_addr().map_err(Error::io(context()))?;
    println!("listening {bound}");
    Ok(listener)
}
