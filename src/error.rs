//! Errors of the crate, and refusals of work.

/// Whether refused work ran, as far as that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Certainty {
    /// The work did not run and will not run.
    NotRun,
    /// The outcome is unknown: the work may have run.
    Unknown,
}

/// A refusal of work, or a report that the outcome of work is unknown, with the cause.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, serde::Serialize, serde::Deserialize)]
#[error("{reason}")]
pub struct Refusal {
    /// Whether the work ran.
    pub certainty: Certainty,
    /// A stable identifier of the cause, such as `queue_full`.
    pub code: String,
    /// A description of the cause.
    pub reason: String,
    /// The time after which a retry may succeed, in milliseconds; `None` if waiting does not help.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of work that did not run.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::error::{Certainty, Refusal};
    ///
    /// let refusal = Refusal::not_run("queue_full", "the queue is full").retry_after(250);
    /// assert_eq!(refusal.certainty, Certainty::NotRun);
    /// assert_eq!(refusal.retry_after_ms, Some(250));
    /// ```
    pub fn not_run(code: &str, reason: impl Into<String>) -> Self {
        Self {
            certainty: Certainty::NotRun,
            code: code.to_owned(),
            reason: reason.into(),
            retry_after_ms: None,
        }
    }

    /// Creates a refusal of work with an unknown outcome.
    pub fn unknown(code: &str, reason: impl Into<String>) -> Self {
        Self {
            certainty: Certainty::Unknown,
            ..Self::not_run(code, reason)
        }
    }

    /// Sets the time after which a retry may succeed, in milliseconds.
    #[must_use]
    pub fn retry_after(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }
}

/// An error that ends a command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An I/O operation failed.
    #[error("{context}: {source}")]
    Io {
        /// The operation that failed.
        context: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The settings or the configuration are invalid; the findings were printed.
    #[error("{count} finding(s); nothing was accepted")]
    Findings {
        /// Number of printed findings.
        count: usize,
    },
    /// Work was refused.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// A call to the platform failed.
    #[error("platform: {0}")]
    Platform(String),
    /// The communication with other VMs failed.
    #[error("peer: {0}")]
    Peer(String),
    /// The final report shows that an invariant was violated.
    #[error("invariant broken: {0}")]
    Invariant(String),
    /// Another operator applied a configuration in the meantime; the conflict was printed.
    #[error("conflict; nothing was written")]
    Conflict,
    /// Any other error.
    #[error("{0}")]
    Other(String),
}

impl Error {
    /// Returns a function that wraps an I/O error with the operation that failed.
    pub fn io(context: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let context = context.into();
        move |source| Self::Io { context, source }
    }

    /// Returns the exit code of the command: 2 for findings in the input, 3 for a conflict with
    /// another operator, and 1 for all other errors.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Findings { .. } => 2,
            Self::Conflict => 3,
            _ => 1,
        }
    }
}

/// The crate's result type.
pub type Result<T, E = Error> = std::result::Result<T, E>;
