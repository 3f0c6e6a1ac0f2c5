//! Logging as text or JSON lines, with a level that can be changed at run time.

use std::io::IsTerminal;
use std::time::Duration;

use tracing::Subscriber;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Layer, Registry, fmt, reload};

use crate::error::{Error, Result};

/// Changes the log level of the running process.
#[derive(Clone, Debug)]
pub struct LogHandle(reload::Handle<EnvFilter, Registry>);

impl LogHandle {
    /// Sets the log level, in the syntax of `RUST_LOG`.
    ///
    /// # Errors
    ///
    /// Returns an error if `level` is invalid. The level is then unchanged.
    pub fn set_level(&self, level: &str) -> Result<()> {
        let filter = parse(level)?;
        let reloaded = self.0.reload(filter);
        reloaded.map_err(|error| Error::Other(error.to_string()))
    }

    /// Returns the current log level.
    pub fn level(&self) -> String {
        let level = self.0.with_current(ToString::to_string);
        level.unwrap_or_else(|error| error.to_string())
    }
}

/// Checks a log level, in the syntax of `RUST_LOG`.
///
/// # Errors
///
/// Returns an error if `level` is invalid.
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

/// Initialises logging to standard error.
///
/// # Errors
///
/// Returns an error if `level` is invalid or logging is already initialised.
pub fn init(level: &str, json: bool) -> Result<LogHandle> {
    let (subscriber, handle) = subscriber(level, json, std::io::stderr)?;
    let initialised = subscriber.try_init();
    initialised.map_err(|error| Error::Other(error.to_string()))?;
    Ok(handle)
}

/// Maximum number of buffered log lines. Further lines are dropped, so that logging never blocks.
const MAX_BUFFERED_LINES: usize = 8_192;

/// The interval at which the number of dropped lines is checked.
const DROPPED_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Guards the thread that writes log lines. When it is dropped, the buffered lines are written.
#[derive(Debug)]
pub struct JsonLogGuard {
    _writer: WorkerGuard,
    dropped: ErrorCounter,
}

impl JsonLogGuard {
    /// Checks each second whether log lines were dropped, and logs their number. Never completes.
    pub async fn report_dropped_lines(&self) {
        let mut reported = 0;
        loop {
            tokio::time::sleep(DROPPED_CHECK_INTERVAL).await;
            let dropped = self.dropped.dropped_lines();
            if dropped > reported {
                tracing::warn!(
                    lines = dropped - reported,
                    "log lines were dropped, because the log buffer was full"
                );
                reported = dropped;
            }
        }
    }
}

/// Initialises logging to standard output as JSON lines, which a separate thread writes.
///
/// # Errors
///
/// Returns an error if `level` is invalid or logging is already initialised.
pub fn init_json(level: &str) -> Result<JsonLogGuard> {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
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

/// Creates the subscriber that [`init`] installs, with `writer` in place of standard error.
///
/// # Errors
///
/// Returns an error if `level` is invalid.
pub fn subscriber<W>(
    level: &str,
    json: bool,
    writer: W,
) -> Result<(impl Subscriber + Send + Sync, LogHandle)>
where
    W: for<'w> MakeWriter<'w> + Send + Sync + 'static,
{
    let (filter, handle) = reload::Layer::new(parse(level)?);
    let ansi = !json && std::io::stderr().is_terminal();
    let lines = fmt::layer().with_writer(writer).with_ansi(ansi);
    let lines = if json {
        lines.json().flatten_event(true).boxed()
    } else {
        lines.boxed()
    };
    let subscriber = tracing_subscriber::registry().with(filter).with(lines);
    Ok((subscriber, LogHandle(handle)))
}
