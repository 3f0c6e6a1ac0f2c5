//! Logs: text or JSON lines on standard error, with a level that changes at run time.

use std::io::IsTerminal;
use std::time::Duration;

use tracing::Subscriber;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Layer, Registry, fmt, reload};

use crate::error::{Error, Result};

/// Changes the level of logs of a running process.
#[derive(Clone, Debug)]
pub struct LogHandle(reload::Handle<EnvFilter, Registry>);

impl LogHandle {
    /// Sets the level, in the syntax of `RUST_LOG`.
    ///
    /// # Errors
    ///
    /// Returns an error where `level` is not understood; then the level stays as it was.
    pub fn set_level(&self, level: &str) -> Result<()> {
        let filter = parse(level)?;
        let reloaded = self.0.reload(filter);
        reloaded.map_err(|error| Error::Other(error.to_string()))
    }

    /// The level in force.
    pub fn level(&self) -> String {
        let shown = self.0.with_current(ToString::to_string);
        shown.unwrap_or_else(|error| error.to_string())
    }
}

/// Checks a level.
///
/// # Errors
///
/// Returns an error where it is not understood.
///
/// # Examples
///
/// ```
/// use chestnutlug::log::check_filter;
///
/// assert!(check_filter("info,chestnutlug::decide=debug").is_ok());
/// assert!(check_filter("chestnutlug=loud").is_err());
/// ```
pub fn check_filter(level: &str) -> Result<()> {
    parse(level).map(drop)
}

fn parse(level: &str) -> Result<EnvFilter> {
    EnvFilter::builder()
        .parse(level)
        .map_err(|error| Error::Other(error.to_string()))
}

/// Sends logs of this process to standard error.
///
/// # Errors
///
/// Returns an error where `level` is not understood or logs were already set up.
pub fn init(level: &str, json: bool) -> Result<LogHandle> {
    let (subscriber, handle) = subscriber(level, json, std::io::stderr)?;
    let initialised = subscriber.try_init();
    initialised.map_err(|error| Error::Other(error.to_string()))?;
    Ok(handle)
}

/// The most log lines that wait to be written; more are dropped, so that logs never block.
const MAX_WAITING_LINES: usize = 8_192;

/// Between two looks at how many lines were dropped.
const DROPPED_INTERVAL: Duration = Duration::from_secs(1);

/// Logs that are written by a thread of their own; what waits is written when this is dropped.
#[derive(Debug)]
pub struct JsonLogGuard {
    _writer: WorkerGuard,
    dropped: ErrorCounter,
}

impl JsonLogGuard {
    /// Tells each second how many lines were dropped since the last time, for as long as it is polled.
    pub async fn report_dropped_lines(&self) {
        let mut told = 0;
        loop {
            tokio::time::sleep(DROPPED_INTERVAL).await;
            let dropped = self.dropped.dropped_lines();
            if dropped > told {
                tracing::warn!(lines = dropped - told, "log lines were dropped");
                told = dropped;
            }
        }
    }
}

/// Sends logs of this process to standard output as JSON lines, written by a thread of their own.
///
///
/// # Errors
///
/// Returns an error where `level` is not understood or logs were already set up.
pub fn init_json(level: &str) -> Result<JsonLogGuard> {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_WAITING_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let (subscriber, _) = subscriber(level, true, writer)?;
    let initialised = subscriber.try_init();
    initialised.map_err(|error| Error::Other(error.to_string()))?;
    Ok(JsonLogGuard {
        _writer: guard,
        dropped,
    })
}

/// Builds what [`init`] sets up, with the lines going to `writer`.
///
/// # Errors
///
/// Returns an error where `level` is not understood.
pub fn subscriber<W>(
    level: &str,
    json: bool,
    writer: W,
) -> Result<(impl Subscriber + Send + Sync, LogHandle)>
where
    W: for<'w> MakeWriter<'w> + Send + Sync + 'static,
{
    let (filter, handle) = reload::Layer::new(parse(level)?);
    let colour = !json && std::io::stderr().is_terminal();
    let lines = fmt::layer().with_writer(writer).with_ansi(colour);
    let lines = if json {
        lines.json().flatten_event(true).boxed()
    } else {
        lines.boxed()
    };
    let subscriber = tracing_subscriber::registry().with(filter).with(lines);
    Ok((subscriber, LogHandle(handle)))
}
