//! The subcommand `standin`, which runs one stand-in in its own process.

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

/// The kind and the options of a stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StandinConfig {
    /// The platform.
    Platform {
        /// The address to listen on.
        listen: SocketAddr,
    },
    /// A worker.
    Worker {
        /// The address to listen on.
        listen: SocketAddr,
        /// The worker's name.
        name: WorkerName,
        /// The worker's capacity.
        capacity: Resources,
        /// A file to which the journal is also appended.
        journal: Option<PathBuf>,
    },
    /// A backend server.
    Backend {
        /// The address to listen on for requests.
        listen: SocketAddr,
        /// The address to listen on for fault switches and reads of the journal.
        control: SocketAddr,
        /// The backend server's name.
        name: BackendName,
        /// The maximum number of requests in progress.
        slots: u32,
        /// The maximum number of connections.
        connections: u64,
        /// A file to which the journal is also appended.
        journal: Option<PathBuf>,
    },
}

/// Runs a stand-in until SIGTERM. Prints `listening ADDRESS` for each listener once it accepts
/// connections.
///
/// # Errors
///
/// Returns an error if the process cannot listen on an address or cannot open the journal file.
pub async fn run(config: StandinConfig) -> Result<()> {
    let mut terminate =
        signal(SignalKind::terminate()).map_err(Error::io("cannot install the SIGTERM handler"))?;
    let stop = async move {
        terminate.recv().await;
    };
    match config {
        StandinConfig::Platform { listen } => {
            let listener = bind(listen).await?;
            platform::serve(Arc::new(StandinPlatform::new()), listener, stop).await;
        }
        StandinConfig::Worker {
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
        StandinConfig::Backend {
            listen,
            control,
            name,
            slots,
            connections,
            journal,
        } => {
            let listener = bind(listen).await?;
            let control = bind(control).await?;
            let mut backend = StandinBackend::new(name, slots, connections);
            if let Some(path) = journal {
                backend = backend.with_journal_file(JournalFile::open(path)?);
            }
            backend::serve(Arc::new(backend), listener, control, stop).await;
        }
    }
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    let context = || format!("cannot listen on {address}");
    let listener = TcpListener::bind(address)
        .await
        .map_err(Error::io(context()))?;
    let bound = listener.local_addr().map_err(Error::io(context()))?;
    println!("listening {bound}");
    Ok(listener)
}
