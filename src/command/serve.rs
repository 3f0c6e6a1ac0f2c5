//! `chestnutlug serve`: one entry VM's process.

use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::output::{Format, print, reject};
use crate::error::{Error, Result};
use crate::log::{self, LogHandle};
use crate::node::vm::{EntryVm, StopReport};
use crate::settings::{Overrides, Secret, Settings};

/// Runs `serve`.
///
/// # Errors
///
/// Returns the error that ends the process.
pub fn run(args: &ArgMatches) -> Result<()> {
    let path = args.get_one::<PathBuf>("settings");
    let path = path.ok_or_else(|| Error::Other("name the settings file".to_owned()))?;
    let settings = match Settings::load(path, &Overrides::from_process(args)) {
        Ok(settings) => settings,
        Err(findings) => return reject(&findings, Format::of(args)),
    };
    let secret = Secret::read(&settings.secret_file)?;
    let log = log::init(&settings.log, settings.log_json)?;
    let runtime = tokio::runtime::Runtime::new().map_err(Error::io("start the runtime"))?;
    runtime.block_on(serve(&settings, &secret, log))
}

async fn serve(settings: &Settings, secret: &Secret, log: LogHandle) -> Result<()> {
    let mut stops = StopSignals::new()?;
    let vm = EntryVm::start(settings, secret, Some(log)).await?;
    print(&format!(
        "callers {}\npeers {}\noperators {}\n",
        vm.caller_address(),
        vm.peer_address(),
        vm.operator_address()
    ))?;
    stops.next().await;
    tracing::info!("planned stop begins");
    let limit = Duration::from_millis(settings.stop_ms);
    tokio::select! {
        report = vm.stop(limit) => ended(report),
        () = stops.next() => Err(Error::Other(
            "stopped by a second signal; what was in progress was cut off".to_owned(),
        )),
    }
}

fn ended(report: StopReport) -> Result<()> {
    if report.is_clean() {
        return Ok(());
    }
    let StopReport {
        aborted_requests,
        unreleased_shards,
    } = report;
    Err(Error::Other(format!(
        "the stop ran out of time: {aborted_requests} requests were cut off, {unreleased_shards} \
         shards were not handed over"
    )))
}

/// SIGTERM and SIGINT.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn new() -> Result<Self> {
        let listen = |kind| signal(kind).map_err(Error::io("listen for signals"));
        Ok(Self {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
