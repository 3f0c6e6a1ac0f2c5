//! The subcommand `coordinate`, which runs a VM that runs workflows on the users' platform.

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

/// The part of a planned stop's time that is reserved for requests still in progress when the
/// listeners close, and once more for the end of the process.
const STOP_MARGIN: Duration = Duration::from_millis(1_500);

/// Runs a coordinator until a stop signal.
///
/// # Errors
///
/// Returns an error if the settings are not valid or the coordinator cannot be started.
pub fn run(args: &ArgMatches) -> Result<()> {
    let path = args.get_one::<PathBuf>("settings");
    let path = path.ok_or_else(|| Error::Other("missing argument --settings".to_owned()))?;
    let settings = CoordinatorSettings::load(path);
    let settings = settings.map_err(|error| Error::Other(error.to_string()))?;
    let logs = log::init_json(&settings.log)?;
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().build();
    let runtime = runtime.map_err(Error::io("cannot start the async runtime"))?;
    runtime.block_on(async {
        tokio::select! {
            result = coordinate(&settings) => result,
            () = logs.report_dropped_lines() => Ok(()),
        }
    })
}

async fn coordinate(settings: &CoordinatorSettings) -> Result<()> {
    let mut signals = ProcessSignals::new()?;
    let callers = listen(settings.callers).await?;
    let readiness = listen(settings.readiness).await?;
    let metrics = listen(settings.metrics).await?;
    let exposition = Exposition::default();
    let permit_address = settings.permits.unwrap_or(settings.store);
    let ports = Ports {
        store: Arc::new(PlatformRecordStore::new(settings.store)),
        executors: Arc::new(HttpExecutors::default()),
        permits: Arc::new(HttpPermitService::new(permit_address)),
        metrics: Metrics::with_sink(exposition.clone()),
        feeds: |store| Arc::new(PlatformFeeds::new(store)),
    };
    let coordinator = Coordinator::start(settings, ports)?;
    tracing::info!(vm = %settings.vm, callers = %settings.callers,
        "coordinator started; accepting connections of callers");
    let stopping = Arc::new(AtomicBool::new(false));
    let (close, closed) = watch::channel(false);
    let ingress = Ingress::new(coordinator.gateway(), stopping.clone());
    let ingress_task =
        tokio::spawn(ingress.serve(callers, STOP_MARGIN, wait_for_close(closed.clone())));
    let readiness_task = tokio::spawn(serve_readiness(
        readiness,
        coordinator.gateway(),
        stopping.clone(),
        wait_for_close(closed.clone()),
    ));
    let metrics_task = tokio::spawn(serve_metrics(metrics, exposition, wait_for_close(closed)));
    signals.stop_requested().await;
    let grace = Duration::from_secs_f64(settings.grace_s);
    tracing::info!(
        grace_ms = grace.as_millis(),
        "stop signal received; starting the planned stop of this coordinator"
    );
    stopping.store(true, Ordering::Relaxed);
    let serving_time = grace.saturating_sub(STOP_MARGIN * 2);
    tokio::join!(
        coordinator.release_shards(),
        tokio::time::sleep(serving_time)
    );
    close.send_replace(true);
    for task in [ingress_task, readiness_task, metrics_task] {
        if let Err(error) = task.await {
            tracing::error!(%error, "listener task failed; continuing the planned stop");
        }
    }
    coordinator.close().await;
    tracing::info!("coordinator stopped; the process ends");
    Ok(())
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(Error::io(&format!("cannot listen on {address}")))
}

/// Serves the metrics in text format until `stop`.
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

async fn wait_for_close(mut closed: watch::Receiver<bool>) {
    // An error means that the sender was dropped, which also happens at the end of the process.
    let _ = closed.wait_for(|closed| *closed).await;
}

/// Receives the signals that the platform sends.
struct ProcessSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl ProcessSignals {
    fn new() -> Result<Self> {
        let install = |kind| signal(kind).map_err(Error::io("cannot install a signal handler"));
        Ok(Self {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hangup: install(SignalKind::hangup())?,
        })
    }

    /// Waits for a stop signal. Ignores SIGHUP, which the platform sends when the settings change.
    async fn stop_requested(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => {
                    tracing::info!(
                        "SIGHUP received: the settings changed; they take effect at the next start"
                    );
                }
            }
        }
    }
}
