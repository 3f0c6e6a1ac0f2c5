//! `chestnutlug coordinate`: one VM that runs workflows on the users' platform.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use clap::ArgMatches;
use hyper::Response;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use crate::adapter::http::{ResponseDropped, ServerLimits, full_body, serve};
use crate::coordinator::exposition::Exposition;
use crate::coordinator::settings::CoordinatorSettings;
use crate::coordinator::{Coordinator, Ports};
use crate::error::{Error, Result};
use crate::log;
use crate::metrics::Metrics;
use crate::platform::{
    HttpExecutors, HttpPermitService, Ingress, PlatformFeeds, PlatformRecordStore, serve_readiness,
};

/// Kept of the time for a planned stop, for requests that are still in progress when the listener
/// closes and for the end of the process.
const STOP_MARGIN: Duration = Duration::from_millis(1_500);

/// Runs `coordinate`.
///
/// # Errors
///
/// Returns the error that ends the process.
pub fn run(args: &ArgMatches) -> Result<()> {
    let path = args.get_one::<PathBuf>("settings");
    let path = path.ok_or_else(|| Error::Other("name the settings file".to_owned()))?;
    let settings = CoordinatorSettings::load(path);
    let settings = settings.map_err(|error| Error::Other(error.to_string()))?;
    let logs = log::init_json(&settings.log)?;
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().build();
    let runtime = runtime.map_err(Error::io("start the runtime"))?;
    runtime.block_on(async {
        tokio::select! {
            ended = coordinate(&settings) => ended,
            () = logs.report_dropped_lines() => Ok(()),
        }
    })
}

async fn coordinate(settings: &CoordinatorSettings) -> Result<()> {
    let mut signals = Signals::new()?;
    let callers = listen(settings.callers).await?;
    let readiness = listen(settings.readiness).await?;
    let metrics = listen(settings.metrics).await?;
    let exposition = Exposition::default();
    let service = settings.permits.unwrap_or(settings.store);
    let ports = Ports {
        store: Arc::new(PlatformRecordStore::new(settings.store)),
        executors: Arc::new(HttpExecutors::default()),
        permits: Arc::new(HttpPermitService::new(service)),
        metrics: Metrics::with_sink(exposition.clone()),
        feeds: |store| Arc::new(PlatformFeeds::new(store)),
    };
    let coordinator = Coordinator::start(settings, ports)?;
    tracing::info!(vm = %settings.vm, callers = %settings.callers, "started");
    let stopping = Arc::new(AtomicBool::new(false));
    let (close, closed) = watch::channel(false);
    let ingress = Ingress::new(coordinator.gateway(), stopping.clone());
    let serving = tokio::spawn(ingress.serve(callers, STOP_MARGIN, until(closed.clone())));
    let answering = tokio::spawn(serve_readiness(
        readiness,
        coordinator.gateway(),
        stopping.clone(),
        until(closed.clone()),
    ));
    let measuring = tokio::spawn(serve_metrics(metrics, exposition, until(closed)));
    signals.stop_requested().await;
    let grace = Duration::from_secs_f64(settings.grace_s);
    tracing::info!(grace_ms = grace.as_millis(), "a planned stop begins");
    stopping.store(true, Ordering::Relaxed);
    let open = grace.saturating_sub(STOP_MARGIN * 2);
    tokio::join!(coordinator.release_shards(), tokio::time::sleep(open));
    close.send_replace(true);
    for task in [serving, answering, measuring] {
        if let Err(error) = task.await {
            tracing::error!(%error, "a listener failed");
        }
    }
    coordinator.close().await;
    tracing::info!("stopped");
    Ok(())
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(Error::io(&format!("listen on {address}")))
}

/// Serves metrics as text, until `stop`.
async fn serve_metrics(
    listener: TcpListener,
    exposition: Exposition,
    stop: impl Future<Output = ()>,
) {
    let handler = move |_req| {
        let text = exposition.text();
        async move { Ok::<_, ResponseDropped>(Response::new(full_body(text))) }
    };
    serve(listener, ServerLimits::default(), handler, stop).await;
}

async fn until(mut closed: watch::Receiver<bool>) {
    // A sender that is gone also means that the process ends.
    let _ = closed.wait_for(|closed| *closed).await;
}

/// The signals that the platform sends.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> Result<Self> {
        let listen = |kind| signal(kind).map_err(Error::io("listen for signals"));
        Ok(Self {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
            hangup: listen(SignalKind::hangup())?,
        })
    }

    /// Waits for a planned stop.
    async fn stop_requested(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => {
                    tracing::info!("the settings changed; none of them changes while the process runs");
                }
            }
        }
    }
}
