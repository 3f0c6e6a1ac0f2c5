//! The operators' listener, and the commands that send requests to it.

use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use chestnutlug::adapter::http::{HttpClient, HttpResponse};
use chestnutlug::config::CellConfig;
use chestnutlug::error::{Refusal, Result};
use chestnutlug::log;
use chestnutlug::model::{JobId, Time};
use chestnutlug::node::api::OperatorService;
use chestnutlug::node::operator_listener;
use chestnutlug::port::BoxFuture;
use chestnutlug::report::{
    BurnReport, CellStatus, JobList, JobSummary, OperatorProblem, SetAsideStatus, ShardStatus,
    SloTracker, VmStatus,
};
use chestnutlug::settings::Secret;
use hyper::header::HeaderValue;
use hyper::{Method, StatusCode};
use tokio::net::TcpListener;

const SECRET: &str = "correct horse battery staple";
const JOB: &str = "alfold-1.000000000000002a";

fn vm(name: &str, live: bool, config_version: u64) -> VmStatus {
    VmStatus {
        vm: name.into(),
        zone: Some("alfold-a".into()),
        incarnation: 7,
        live,
        config_version,
        table_contact_ms: Some(65_000),
        shards: 3,
    }
}

fn waiting_job() -> JobSummary {
    JobSummary {
        id: JOB.to_owned(),
        team: "fagylaltkor".into(),
        kind: "rota-rebuild".into(),
        urgency: Default::default(),
        age_ms: 2_500,
        queued: 4,
        running: 0,
        ended: 0,
        waiting_for: Some("4 cores on one worker".to_owned()),
    }
}

/// An operator service with a fixed status, which only stores the log level.
#[derive(Default)]
struct FakeCell {
    level: Mutex<String>,
}

impl OperatorService for FakeCell {
    fn status(&self) -> BoxFuture<'_, CellStatus> {
        Box::pin(async {
            CellStatus {
                seen_by: Some("vm-1".into()),
                vms: vec![vm("vm-1", true, 12), vm("vm-2", false, 11)],
                shards: vec![ShardStatus {
                    shard: "alfold-1".into(),
                    owner: None,
                    epoch: 5,
                    machines: 8,
                    unreachable: 1,
                    queued: 40,
                    running: 30,
                    free_cpu_milli: 1_500,
                }],
                set_aside: vec![SetAsideStatus {
                    worker: "alfold-a-r1-1".into(),
                    shard: "alfold-1".into(),
                    reason: "9 of 9 attempts failed".to_owned(),
                    retry_in_ms: Some(30_000),
                }],
                waiting: vec![waiting_job()],
                waiting_jobs: 3,
            }
        })
    }

    fn jobs(&self, limit: usize) -> BoxFuture<'_, JobList> {
        Box::pin(async move {
            JobList {
                jobs: [waiting_job()].into_iter().take(limit).collect(),
                total: 1,
            }
        })
    }

    fn explain<'a>(
        &'a self,
        job: &'a JobId,
    ) -> BoxFuture<'a, Result<Option<Vec<String>>, Refusal>> {
        Box::pin(async move {
            match job.number {
                0x2a => Ok(Some(vec!["accepted".to_owned(), "placed".to_owned()])),
                0x2b => Err(Refusal::not_run("no_owner", "the shard has no owner")),
                _ => Ok(None),
            }
        })
    }

    fn burn(&self) -> BoxFuture<'_, BurnReport> {
        Box::pin(async {
            let text = "[team.a]\nbalance_core_hours = 1\n[kind.swap]\n[objective.swap]\n\
                        kind = \"swap\"\nwaiting_ms = 2700\ntarget = 0.95\n";
            let mut tracker = SloTracker::default();
            tracker.set_objectives(&CellConfig::from_text(text).unwrap());
            let now = Time::from_millis(1_000);
            for waited_s in [1, 1, 1, 9] {
                let waited = Duration::from_secs(waited_s);
                tracker.record(&"a".into(), &"swap".into(), waited, now);
            }
            BurnReport::from_counts(&[tracker.counts(now)])
        })
    }

    fn set_log_level(&self, level: &str) -> Result<()> {
        log::check_filter(level)?;
        *self.level.lock().unwrap() = level.to_owned();
        Ok(())
    }
}

/// A listener on a [`FakeCell`], with secrets in files.
struct TestServer {
    address: String,
    cell: Arc<FakeCell>,
    dir: tempfile::TempDir,
}

impl TestServer {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let cell = Arc::new(FakeCell::default());
        let secret = Secret::new(SECRET).unwrap();
        let server =
            operator_listener::serve(listener, cell.clone(), secret, std::future::pending());
        tokio::spawn(server);
        let dir = tempfile::tempdir().unwrap();
        std::fs::write(dir.path().join("secret"), format!("{SECRET}\n")).unwrap();
        std::fs::write(dir.path().join("other"), "another secret of some length").unwrap();
        Self { address, cell, dir }
    }

    fn file(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Runs the built binary with the arguments for this listener.
    async fn run(&self, args: &[&str], secret: &Path) -> (Option<i32>, String, String) {
        let mut command = assert_cmd::Command::cargo_bin("chestnutlug").unwrap();
        command.args(args).args(["--operators", &self.address]);
        command.arg("--secret-file").arg(secret);
        let run = tokio::task::spawn_blocking(move || command.output().unwrap());
        let output = run.await.unwrap();
        let text = |bytes| String::from_utf8(bytes).unwrap();
        (
            output.status.code(),
            text(output.stdout),
            text(output.stderr),
        )
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        authorization: Option<&str>,
        body: &str,
    ) -> HttpResponse {
        let mut client = HttpClient::new(self.address.parse().unwrap(), 1);
        if let Some(authorization) = authorization {
            client = client.with_authorization(HeaderValue::from_str(authorization).unwrap());
        }
        let body = Bytes::copy_from_slice(body.as_bytes());
        let timeout = Duration::from_secs(5);
        client.call(method, path, body, timeout).await.unwrap()
    }
}

struct RefusedRequest {
    name: &'static str,
    method: Method,
    path: &'static str,
    authorization: Option<&'static str>,
    status: StatusCode,
    title: &'static str,
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_requests_name_the_cause() {
    const AUTHORIZATION: Option<&str> = Some("Bearer correct horse battery staple");
    let cases = [
        RefusedRequest {
            name: "no authorization",
            method: Method::GET,
            path: "/v1/status",
            authorization: None,
            status: StatusCode::UNAUTHORIZED,
            title: "unauthorized",
        },
        RefusedRequest {
            name: "a wrong secret",
            method: Method::GET,
            path: "/v1/status",
            authorization: Some("Bearer correct horse battery stapl"),
            status: StatusCode::UNAUTHORIZED,
            title: "unauthorized",
        },
        RefusedRequest {
            name: "another scheme",
            method: Method::PUT,
            path: "/v1/log-level",
            authorization: Some("Basic correct horse battery staple"),
            status: StatusCode::UNAUTHORIZED,
            title: "unauthorized",
        },
        RefusedRequest {
            name: "an unknown path",
            method: Method::GET,
            path: "/v2/status",
            authorization: AUTHORIZATION,
            status: StatusCode::NOT_FOUND,
            title: "not_found",
        },
        RefusedRequest {
            name: "another method",
            method: Method::POST,
            path: "/v1/status",
            authorization: AUTHORIZATION,
            status: StatusCode::METHOD_NOT_ALLOWED,
            title: "method_not_allowed",
        },
        RefusedRequest {
            name: "a malformed job",
            method: Method::GET,
            path: "/v1/explain/x",
            authorization: AUTHORIZATION,
            status: StatusCode::BAD_REQUEST,
            title: "malformed_job_id",
        },
        RefusedRequest {
            name: "an unknown job",
            method: Method::GET,
            path: "/v1/explain/a.0000000000000001",
            authorization: AUTHORIZATION,
            status: StatusCode::NOT_FOUND,
            title: "no_such_job",
        },
        RefusedRequest {
            name: "a shard without an owner",
            method: Method::GET,
            path: "/v1/explain/a.000000000000002b",
            authorization: AUTHORIZATION,
            status: StatusCode::SERVICE_UNAVAILABLE,
            title: "no_owner",
        },
    ];
    let server = TestServer::start().await;
    for case in cases {
        let response = server
            .call(case.method, case.path, case.authorization, "")
            .await;
        assert_eq!(response.status, case.status, "{}", case.name);
        let problem: OperatorProblem = serde_json::from_slice(&response.body).unwrap();
        assert_eq!(problem.title, case.title, "{}", case.name);
        let text = String::from_utf8_lossy(&response.body);
        assert!(!text.contains("horse"), "{}", case.name);
    }
    let large = "x".repeat(10_000);
    let response = server
        .call(Method::PUT, "/v1/log-level", AUTHORIZATION, &large)
        .await;
    assert_eq!(response.status, StatusCode::PAYLOAD_TOO_LARGE);
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_print_the_cell_status() {
    let server = TestServer::start().await;
    let secret = server.file("secret");
    let (code, out, err) = server.run(&["status"], &secret).await;
    assert_eq!(code, Some(0), "{err}");
    let words = |start: &str| {
        let line = out.lines().find(|line| line.starts_with(start)).unwrap();
        line.split_whitespace()
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    assert_eq!(
        words("vm-1"),
        ["vm-1", "alfold-a", "live", "3", "12", "1m", "5s"]
    );
    assert_eq!(words("vm-2")[2], "silent");
    assert_eq!(
        words("alfold-1 "),
        ["alfold-1", "none", "5", "8", "1", "40", "30", "1.5"]
    );
    assert!(out.contains("9 of 9 attempts failed"), "{out}");
    assert!(out.contains("4 cores on one worker"), "{out}");
    assert!(out.contains("and 2 more"), "{out}");
    assert!(!out.contains('\u{1b}'), "colour without a terminal");

    let (code, out, _) = server.run(&["status", "--format", "json"], &secret).await;
    assert_eq!(code, Some(0));
    let status: CellStatus = serde_json::from_str(&out).unwrap();
    assert_eq!(status, server.cell.status().await);

    let (code, out, _) = server.run(&["jobs"], &secret).await;
    assert_eq!(code, Some(0));
    assert!(out.contains(JOB) && out.contains("2s 500ms"), "{out}");

    let (code, out, _) = server.run(&["explain", JOB], &secret).await;
    assert_eq!((code, &*out), (Some(0), "accepted\nplaced\n"));
    let (code, _, err) = server
        .run(&["explain", "a.0000000000000001"], &secret)
        .await;
    assert_eq!(code, Some(1));
    assert!(err.contains("there is no job"), "{err}");
}

#[tokio::test(flavor = "multi_thread")]
async fn log_level_is_set_over_the_listener() {
    let server = TestServer::start().await;
    let secret = server.file("secret");
    let (code, _, err) = server
        .run(&["log-level", "chestnutlug=debug"], &secret)
        .await;
    assert_eq!(code, Some(0), "{err}");
    assert_eq!(*server.cell.level.lock().unwrap(), "chestnutlug=debug");
    let (code, _, err) = server.run(&["log-level", "x=loud"], &secret).await;
    assert_eq!(code, Some(1));
    assert!(err.contains("malformed_level"), "{err}");
    let (code, _, err) = server
        .run(&["log-level", "warn"], &server.file("other"))
        .await;
    assert_eq!(code, Some(1));
    assert!(err.contains("unauthorized"), "{err}");
    assert_eq!(*server.cell.level.lock().unwrap(), "chestnutlug=debug");
    let (code, _, err) = server.run(&["status"], &server.file("absent")).await;
    assert_eq!(code, Some(1));
    assert!(err.contains("absent"), "{err}");
}

#[tokio::test(flavor = "multi_thread")]
async fn burn_report_is_printed_as_table_json_or_plot() {
    let server = TestServer::start().await;
    let secret = server.file("secret");
    let (code, out, err) = server.run(&["report", "burn"], &secret).await;
    assert_eq!(code, Some(0), "{err}");
    let line = out.lines().nth(1).unwrap();
    let words: Vec<&str> = line.split_whitespace().collect();
    let expected = [
        "a", "swap", "95%", "within", "2s", "700ms", "5.00", "5.00", "5.00", "5.00", "-400%", "now",
    ];
    assert_eq!(words, expected);

    let plot = server.file("burn.svg");
    let args = [
        "report",
        "burn",
        "--format",
        "json",
        "--plot",
        plot.to_str().unwrap(),
    ];
    let (code, out, _) = server.run(&args, &secret).await;
    assert_eq!(code, Some(0));
    let report: BurnReport = serde_json::from_str(&out).unwrap();
    assert_eq!(report.rows.len(), 1);
    assert!(std::fs::read_to_string(&plot).unwrap().starts_with("<svg"));
}

#[test]
fn secret_is_not_shown() {
    let secret = Secret::new(SECRET).unwrap();
    assert!(!format!("{secret:?}").contains("horse"));
    let refused = Secret::new("battery").unwrap_err();
    assert!(!refused.to_string().contains("battery"), "{refused}");
}
