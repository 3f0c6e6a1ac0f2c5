//! The configuration of queues as operators put it in force.

use serde::{Deserialize, Serialize};

use super::policy::QueuePolicy;
use crate::model::QueueName;

/// Where callers reach a queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueRoute {
    /// The host that callers name.
    pub host: String,
    /// What their paths begin with.
    pub prefix: String,
    /// How the queue is served.
    pub queue: QueuePolicy,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest body, in bytes.
    pub max_body_bytes: usize,
}

impl Default for CallerLimits {
    fn default() -> Self {
        /// Serves until the operators' own limit is known.
        const MAX_BODY_BYTES: usize = 256 * 1024;
        Self {
            max_body_bytes: MAX_BODY_BYTES,
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueConfig {
    /// Grows with each version.
    pub version: u64,
    /// The queues and where they are reached.
    pub routes: Vec<QueueRoute>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl QueueConfig {
    /// The queue for a host and path, with the rest of the path: the longest prefix wins.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::workflow::QueueConfig;
    ///
    /// assert!(QueueConfig::default().route("swap.example", "/swap/1").is_none());
    /// ```
    pub fn route<'a>(&'a self, host: &str, path: &'a str) -> Option<(&'a QueueRoute, &'a str)> {
        let fits = |route: &&QueueRoute| route.host == host && path.starts_with(&route.prefix);
        let route = self.routes.iter().filter(fits);
        let route = route.max_by_key(|route| route.prefix.len())?;
        Some((route, &path[route.prefix.len()..]))
    }

    /// How the queue is served, if there is such a queue.
    pub fn queue(&self, name: &QueueName) -> Option<&QueuePolicy> {
        let route = self.routes.iter().find(|route| route.queue.name == *name);
        route.map(|route| &route.queue)
    }
}
