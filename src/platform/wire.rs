//! Request and response bodies of the platform's interfaces, with the wire's names.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A row of the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Row {
    #[serde(default)]
    pub(super) table: String,
    /// The partition; in lower case on the wire.
    #[serde(rename = "part", default)]
    pub(super) part: String,
    #[serde(default)]
    pub(super) key: String,
    /// The value in base64; absent in conditions and removals.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) value: Option<String>,
    /// In conditions the version that the row must have, in responses the one that it has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) ver: Option<u64>,
    #[serde(default, skip_serializing)]
    pub(super) deleted: bool,
}

/// The key of a row whose other members cannot be read.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct RowKey {
    #[serde(default)]
    pub(super) table: String,
    /// The partition; in lower case on the wire.
    #[serde(rename = "part", default)]
    pub(super) part: String,
    #[serde(default)]
    pub(super) key: String,
}

/// A transaction.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct RowsTx {
    /// The conditions of the transaction, despite the name.
    pub(super) expect_rev: Vec<Row>,
    pub(super) puts: Vec<Row>,
    pub(super) remove: Vec<Row>,
}

/// A response with rows.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Rows<'a> {
    /// The text of each row, which is parsed by itself, so that one malformed row does not hide the
    /// others.
    #[serde(rename = "rows", default, borrow)]
    pub(super) rows: Vec<&'a RawValue>,
    #[serde(default)]
    pub(super) truncated: bool,
    /// The latest version of the whole store.
    #[serde(default)]
    pub(super) ver: u64,
}

/// A request to start a run.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct RunStart<'a> {
    pub(super) task: String,
    pub(super) run_id: u32,
    /// The payload for the task, despite the name.
    pub(super) spec: &'a str,
    /// When the lease of all runs on the worker expires, on the worker's clock in milliseconds.
    pub(super) deadline_ms: u64,
    pub(super) fence: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) checkpoint: Option<&'a str>,
    /// The permit for the step.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) ticket: Option<&'a str>,
}

/// A request to stop a run.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct RunStop {
    pub(super) task: String,
    pub(super) run_id: u32,
    pub(super) fence: u64,
}

/// A poll of a worker.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Hold {
    pub(super) fence: u64,
    /// The number up to which all ended runs are recorded, not only received.
    pub(super) last_seen: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) deadline_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) wait_ms: Option<u32>,
}

/// The response to a start or stop request.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct RunResponse {
    pub(super) clock_ms: u64,
    pub(super) reason: String,
}

/// The response to a poll. The lists contain rows that may get more columns, so they are read by
/// position.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct HoldResponse {
    pub(super) clock_ms: u64,
    /// When the worker's process started, in milliseconds since 1970.
    #[serde(rename = "born")]
    pub(super) born: u64,
    /// Task, run, checkpoint, progress in percent, and a measurement of the last half second.
    pub(super) running: Vec<Vec<serde_json::Value>>,
    /// Sequence number, task, run, kind of end, checkpoint.
    pub(super) ended: Vec<Vec<serde_json::Value>>,
}

/// The capacity of a worker or a machine.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct Capacity {
    /// Thousandths of a core.
    pub(super) cpu: u32,
    pub(super) mem_mb: u32,
    pub(super) gpu: u32,
}

/// A worker's listing in the store.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Server {
    pub(super) service: String,
    pub(super) addr: String,
    pub(super) zone: String,
    pub(super) state: String,
    pub(super) capacity: Capacity,
    /// The worker's kind, then its rack.
    #[serde(default)]
    pub(super) labels: Vec<String>,
    /// When its process started, in milliseconds since 1970.
    #[serde(rename = "born", default)]
    pub(super) born: u64,
}

/// A permit request.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Advise<'a> {
    /// The step; named differently here than in specifications.
    pub(super) phase: String,
    pub(super) workers: Vec<&'a str>,
}

/// The response to a permit request: pairs of a worker and its permit.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct AdviseResponse {
    pub(super) granted: Vec<(String, String)>,
    pub(super) valid_ms: f64,
}

/// How long permit requests of a queue take.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct RouteAdvice {
    /// The base time of a request, in milliseconds.
    pub(super) decide_ms: f64,
    /// The additional time for each worker in the request, in milliseconds, despite the name.
    pub(super) period_ms: f64,
}

/// A queue in the operators' configuration.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Route {
    pub(super) name: String,
    pub(super) host: String,
    pub(super) prefix: String,
    pub(super) service: String,
    #[serde(default)]
    pub(super) priority: u8,
    #[serde(default)]
    pub(super) attempts: u32,
    #[serde(default)]
    pub(super) slack_factor: f64,
    #[serde(default)]
    pub(super) slo_ms: f64,
    #[serde(default)]
    pub(super) advice: Option<RouteAdvice>,
    /// Whether callers need no key.
    #[serde(default)]
    pub(super) public: bool,
}

/// A client account. Numbers that cannot be used do not make the rest unreadable.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Tenant {
    pub(super) name: String,
    #[serde(default)]
    pub(super) keys: Option<Vec<String>>,
    /// The guaranteed submissions per second.
    #[serde(default)]
    pub(super) weight: serde_json::Value,
    /// The resources that the account may have running.
    #[serde(default)]
    pub(super) max_count: Option<MaxCount>,
}

/// The limit of a client account; 0 or absent is no limit.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct MaxCount {
    /// Thousandths of a core.
    pub(super) cpu: serde_json::Value,
    pub(super) mem_mb: serde_json::Value,
    pub(super) gpu: serde_json::Value,
}

/// Limits for the requests of callers.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct CallerLimits {
    pub(super) max_body_bytes: Option<usize>,
}

/// The operators' configuration.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Config {
    pub(super) version: u64,
    #[serde(default)]
    pub(super) routes: Vec<Route>,
    #[serde(default)]
    pub(super) limits: CallerLimits,
    /// The texts of the client accounts, which are parsed one by one, so that one malformed account does not
    /// hide the others. Absent if there are none.
    #[serde(default)]
    pub(super) tenants: Option<Vec<Box<RawValue>>>,
}

/// A step of a submission. Fields that are 0, false or empty are omitted on the wire.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct Phase {
    pub(super) count: u32,
    /// Thousandths of a core.
    pub(super) cpu: u32,
    pub(super) mem_mb: u32,
    pub(super) gpu: u32,
    pub(super) est_ms: u32,
    pub(super) after: Vec<u32>,
    pub(super) checkpointing: bool,
    pub(super) gang: bool,
    pub(super) same_rack: bool,
    pub(super) requires: Option<String>,
    /// The rack that holds the step's data.
    pub(super) affinity: Option<String>,
    pub(super) anti_affinity: Option<u32>,
    pub(super) speculative: bool,
    pub(super) long_running: bool,
    pub(super) fills: bool,
    /// The maximum number of tasks that may be unavailable at once because of the scheduler.
    pub(super) lossy: u32,
}

/// A submission.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Submission {
    #[serde(default)]
    pub(super) spec: String,
    pub(super) phases: Vec<Phase>,
    /// The number of occurrences; 0 for a submission that runs once.
    #[serde(default)]
    pub(super) repeat_count: u32,
    #[serde(default)]
    pub(super) first_run_ms: u64,
    #[serde(default)]
    pub(super) interval_ms: u64,
}

/// The state of a submission.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct State {
    pub(super) state: &'static str,
}

/// The number of submissions that have not started any task.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Pending {
    pub(super) pending: u64,
}
