//! Parsing of the path of a request.

use hyper::Uri;

use crate::model::ServiceName;

/// What the path of a request refers to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RequestTarget {
    /// The health check.
    Health,
    /// The collection of jobs.
    Jobs,
    /// A job, by its unparsed id.
    Job(String),
    /// A service, with the path and query for the backend server.
    Service(ServiceName, String),
    /// An unknown path.
    NotFound,
}

impl RequestTarget {
    /// Parses the path of `uri`.
    pub(super) fn from_uri(uri: &Uri) -> Self {
        let path = uri.path();
        if path == "/healthz" {
            return Self::Health;
        }
        if path == "/v1/jobs" {
            return Self::Jobs;
        }
        if let Some(job) = path.strip_prefix("/v1/jobs/") {
            return Self::Job(job.to_owned());
        }
        match path.strip_prefix("/v1/services/") {
            Some(rest) if !rest.is_empty() && !rest.starts_with('/') => Self::service(rest, uri),
            _ => Self::NotFound,
        }
    }

    fn service(rest: &str, uri: &Uri) -> Self {
        let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
        let query = uri.query().map(|query| format!("?{query}"));
        let forwarded_path = format!("/{path}{}", query.unwrap_or_default());
        Self::Service(ServiceName::new(name), forwarded_path)
    }
}
