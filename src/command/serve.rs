//! The subcommand `serve`, which runs the process of an entry VM.

use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::output::{Format, print_text, report_findings};
use crate::error::{Error, Result};
use crate::log::{self, LogHandle};
use crate::node::vm::{EntryVm, StopReport};
use crate::settings::{Overrides, Secret, Settings};

/// Runs an entry VM until a stop signal.
///
/// # Errors
///
/// Returns an error if the settings are not valid, the VM cannot be started, or its stop aborted
/// requests or left shards unreleased.
pub fn run(args: &ArgMatches) -> Result<()> {
    let path = args.get_one::<PathBuf>("settings");
    let path = path.ok_or_else(|| Error::Other("missing argument --settings".to_owned()))?;
    let settings = match Settings::load(path, &Overrides::from_process(args)) {
        Ok(settings) => settings,
        Err(findings) => return report_findings(&findings, Format::from_args(args)),
    };
    let secret = Secret::read(&settings.secret_file)?;
    let log = log::init(&settings.log, settings.log_json)?;
    let runtime =
        tokio::runtime::Runtime::new().map_err(Error::io("cannot start the async runtime"))?;
    runtime.block_on(serve(&settings, &secret, log))
}

async fn serve(settings: &Settings, secret: &Secret, log: LogHandle) -> Result<()> {
    let mut signals = StopSignals::new()?;
    let vm = EntryVm::start(settings, secret, Some(log)).await?;
    print_text(&format!(
        "callers {}\npeers {}\noperators {}\n",
        vm.caller_address(),
        vm.peer_address(),
        vm.operator_address()
    ))?;
    signals.next().await;
    tracing::info!("stop signal received; starting the planned stop of this VM");
    let timeout = Duration::from_millis(settings.stop_ms);
    tokio::select! {
        report = vm.stop(timeout) => check_stop(report),
        () = signals.next() => Err(Error::Other(
            "second stop signal received; the planned stop and requests in progress were aborted"
                .to_owned(),
        )),
    }
}

fn check_stop(report: StopReport) -> Result<()> {
    if report.is_clean() {
        return Ok(());
    }
    let StopReport {
        aborted_requests,
        unreleased_shards,
    } = report;
    Err(Error::Other(format!(
        "the planned stop timed out: {aborted_requests} requests were aborted, \
         {unreleased_shards} shards were not released"
    )))
}

/// Receives SIGTERM and SIGINT.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn new() -> Result<Self> {
        let install = |kind| signal(kind).map_err(Error::io("cannot install a signal handler"));
        Ok(Self {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next stop signal.
    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
