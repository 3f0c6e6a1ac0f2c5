//! A cell of entry VMs in one process, without a table: tests set the directory, and the VMs call
//! each other directly.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use bytes::Bytes;
use chestnutlug::config::{OfferOutcome, service_shard};
use chestnutlug::entry::{EntryLimits, EntryServer, ProblemDetails};
use chestnutlug::error::Refusal;
use chestnutlug::message::{Reply, Request};
use chestnutlug::model::{
    BackendName, JobId, JobSpec, JobView, Outcome, ServiceName, ShardName, Time,
};
use chestnutlug::node::api::{JobService, OwnerInfo, ShardDirectory, VmInfo};
use chestnutlug::node::config::ConfigHolder;
use chestnutlug::node::slot_granter::SlotGranter;
use chestnutlug::node::slots::{SlotService, VmIdentity};
use chestnutlug::port::BoxFuture;
use chestnutlug::port::peer::{PeerClient, PeerError};
use chestnutlug::standin::backend::{JournalEntry, JournalEvent, StandinBackend, serve};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{HeaderMap, Method, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

pub const SERVICE: &str = "rota-service";

/// The state that the VMs of a cell share.
#[derive(Default)]
pub struct SharedState {
    /// The index of the VM that owns the service, and its epoch.
    owner: RwLock<Option<(usize, u64)>>,
    live_vms: RwLock<Vec<VmInfo>>,
    slots: RwLock<HashMap<SocketAddr, Arc<SlotService>>>,
    /// The addresses of VMs that neither send messages to other VMs nor receive any.
    pub unreachable: RwLock<HashSet<SocketAddr>>,
}

struct TestDirectory {
    state: Arc<SharedState>,
    vm_index: usize,
}

impl ShardDirectory for TestDirectory {
    fn owner_of(&self, shard: &ShardName) -> Option<OwnerInfo> {
        assert_eq!(shard, &service_shard(&SERVICE.into()));
        let (index, epoch) = (*self.state.owner.read().unwrap())?;
        let info = self.state.live_vms.read().unwrap()[index].clone();
        Some(OwnerInfo {
            vm: info.vm,
            incarnation: info.incarnation,
            address: info.address,
            epoch,
            local: index == self.vm_index,
        })
    }

    fn live_vms(&self) -> Vec<VmInfo> {
        self.state.live_vms.read().unwrap().clone()
    }
}

/// Calls the slot services of the other VMs directly.
struct InProcessPeerClient {
    state: Arc<SharedState>,
    own_address: SocketAddr,
}

impl PeerClient for InProcessPeerClient {
    fn call<'a>(
        &'a self,
        address: SocketAddr,
        request: &'a Request,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Reply, PeerError>> {
        Box::pin(async move {
            let is_unreachable = |a| self.state.unreachable.read().unwrap().contains(&a);
            if is_unreachable(self.own_address) || is_unreachable(address) {
                tokio::time::sleep(timeout).await;
                return Err(PeerError::NoReply("the VM is unreachable".to_owned()));
            }
            let slots = self.state.slots.read().unwrap().get(&address).cloned();
            let slots = slots.ok_or_else(|| PeerError::NotSent("no such VM".to_owned()))?;
            let reply = tokio::time::timeout(timeout, slots.handle(request.clone())).await;
            reply.map_err(|_| PeerError::NoReply("timeout".to_owned()))
        })
    }
}

/// Job service in memory. Every job succeeds at once; some payloads are refused.
#[derive(Default)]
pub struct FakeJobs {
    pub submitted: Mutex<Vec<(JobSpec, Option<String>)>>,
}

impl FakeJobs {
    pub fn view(&self, job: &JobId) -> Option<JobView> {
        let is_known = (job.number as usize) < self.submitted.lock().unwrap().len();
        is_known.then(|| JobView {
            id: job.to_string(),
            outcome: Some(Outcome::Succeeded),
            reason: None,
            queued: 0,
            running: 0,
            ended: 1,
            waiting_for: None,
            results: vec!["done".to_owned()],
        })
    }
}

impl JobService for FakeJobs {
    fn submit(&self, spec: JobSpec, key: Option<String>) -> BoxFuture<'_, Result<JobId, Refusal>> {
        Box::pin(async move {
            match spec.payload.as_str() {
                "full" => return Err(Refusal::not_run("queue_full", "full").retry_after(1_200)),
                "never" => return Err(Refusal::not_run("never_fits", "too large")),
                "lost" => return Err(Refusal::unknown("table_unavailable", "no answer")),
                _ => {}
            }
            let mut submitted = self.submitted.lock().unwrap();
            submitted.push((spec, key));
            Ok(JobId::new(&"alfold-1".into(), submitted.len() as u64 - 1))
        })
    }

    fn job<'a>(
        &'a self,
        job: &'a JobId,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<JobView>, Refusal>> {
        Box::pin(async move {
            tokio::time::sleep(wait).await;
            Ok(self.view(job))
        })
    }

    fn cancel<'a>(&'a self, job: &'a JobId) -> BoxFuture<'a, Result<Option<JobView>, Refusal>> {
        Box::pin(async move { Ok(self.view(job)) })
    }
}

/// One entry VM.
pub struct Vm {
    pub slots: Arc<SlotService>,
    pub config: Arc<ConfigHolder>,
    pub server: EntryServer,
    pub jobs: Arc<FakeJobs>,
    pub info: VmInfo,
    /// Keeps the VM's peer address in use, as a running process does.
    pub listener: Option<TcpListener>,
}

/// A cell of entry VMs that share a service.
pub struct Cell {
    pub state: Arc<SharedState>,
    pub vms: Vec<Vm>,
}

impl Cell {
    /// Starts `vms` entry VMs with the configuration `text`, or without a configuration if it is
    /// empty. The first VM owns the service.
    pub async fn start(vms: usize, text: &str, limits: &EntryLimits) -> Self {
        let state = Arc::new(SharedState::default());
        let mut listeners = Vec::new();
        for index in 0..vms {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            state.live_vms.write().unwrap().push(VmInfo {
                vm: format!("vm-{index}").as_str().into(),
                incarnation: 1,
                address: listener.local_addr().unwrap(),
            });
            listeners.push(listener);
        }
        let mut started = Vec::new();
        for (index, listener) in listeners.into_iter().enumerate() {
            started.push(start_vm(&state, index, listener, text, limits).await);
        }
        let cell = Self {
            state,
            vms: started,
        };
        cell.set_owner(0, 1);
        cell
    }

    /// Makes VM `index` the owner of the service, with `epoch`.
    pub fn set_owner(&self, index: usize, epoch: u64) {
        *self.state.owner.write().unwrap() = Some((index, epoch));
        self.vms[index].slots.start_granting(&SERVICE.into(), epoch);
    }

    /// Ends the granting of slots on VM `index`, which no longer owns the service.
    pub fn stop_granting(&self, index: usize) {
        self.vms[index].slots.stop_granting(&SERVICE.into());
    }

    pub fn address(&self, index: usize) -> SocketAddr {
        self.vms[index].server.address()
    }

    /// Puts a configuration into force on all VMs.
    pub fn configure(&self, version: u64, text: &str) {
        for vm in &self.vms {
            apply_config(&vm.config, version, text);
            vm.slots.configure(&vm.config.config());
        }
    }
}

async fn start_vm(
    state: &Arc<SharedState>,
    index: usize,
    listener: TcpListener,
    text: &str,
    limits: &EntryLimits,
) -> Vm {
    let info = state.live_vms.read().unwrap()[index].clone();
    let identity = VmIdentity {
        vm: info.vm.clone(),
        incarnation: 1,
        zone: "z1".into(),
    };
    let config = Arc::new(ConfigHolder::default());
    if !text.is_empty() {
        apply_config(&config, 1, text);
    }
    let directory = Arc::new(TestDirectory {
        state: state.clone(),
        vm_index: index,
    });
    let peers = Arc::new(InProcessPeerClient {
        state: state.clone(),
        own_address: info.address,
    });
    let slots = SlotService::new(identity, directory, peers, config.clone());
    let registered_slots = slots.clone();
    state
        .slots
        .write()
        .unwrap()
        .insert(info.address, registered_slots);
    let jobs = Arc::new(FakeJobs::default());
    let any_port = "127.0.0.1:0".parse().unwrap();
    let server = EntryServer::listen(any_port, limits.clone(), jobs.clone(), slots.clone());
    Vm {
        slots,
        config,
        server: server.await.unwrap(),
        jobs,
        info,
        listener: Some(listener),
    }
}

fn apply_config(config: &ConfigHolder, version: u64, text: &str) {
    let now = Time::from_millis(1);
    config.note_table_version(version);
    let outcome = config.offer(version, text, now);
    assert!(!matches!(outcome, OfferOutcome::Rejected(_)), "{outcome:?}");
    config.finish_learning(now);
    assert_eq!(config.version().number, version);
}

/// A stand-in backend server that runs until it is dropped.
pub struct BackendServer {
    pub name: BackendName,
    pub backend: Arc<StandinBackend>,
    pub address: SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for BackendServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl BackendServer {
    pub async fn start(name: &str, slots: u32) -> Self {
        let callers = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let control = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = callers.local_addr().unwrap();
        let backend = Arc::new(StandinBackend::new(name.into(), slots, 64));
        let serving = serve(backend.clone(), callers, control, std::future::pending());
        Self {
            name: name.into(),
            backend,
            address,
            task: tokio::spawn(serving),
        }
    }

    /// Returns the names of the requests that this backend server started, in order.
    pub fn started_requests(&self) -> Vec<String> {
        let journal = self.backend.journal();
        let started = journal
            .into_iter()
            .filter(|entry| entry.event == JournalEvent::Begin);
        started.filter_map(|entry| entry.request).collect()
    }

    /// Returns the maximum number of concurrent requests.
    pub fn max_concurrency(&self) -> u32 {
        let journal = self.backend.journal();
        journal
            .iter()
            .map(|entry: &JournalEntry| entry.concurrency)
            .max()
            .unwrap_or(0)
    }

    /// Returns the maximum number of concurrent connections.
    pub fn max_connections(&self) -> u64 {
        let journal = self.backend.journal();
        journal
            .iter()
            .map(|entry| entry.connections)
            .max()
            .unwrap_or(0)
    }
}

/// Returns a configuration of the service with backend servers, given as name, address and slots.
pub fn config_text(service: &str, backends: &[(&str, SocketAddr, u32)]) -> String {
    let mut text = format!("[service.{SERVICE}]\n{service}\n");
    for (name, address, slots) in backends {
        text.push_str(&format!(
            "[backend.{name}]\nservice = \"{SERVICE}\"\nzone = \"z1\"\naddress = \"{address}\"\nslots = {slots}\n"
        ));
    }
    text
}

/// Returns a configuration of the service with `servers`, each with `slots` slots.
pub fn config_for_servers(service: &str, servers: &[BackendServer], slots: u32) -> String {
    let backends: Vec<_> = servers
        .iter()
        .map(|s| (s.name.as_str(), s.address, slots))
        .collect();
    config_text(service, &backends)
}

/// A response whose body was read to its end.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl CallerResponse {
    /// Returns the problem details of a refusal.
    pub fn problem(&self) -> ProblemDetails {
        assert_eq!(
            self.headers["content-type"], "application/problem+json",
            "{self:?}"
        );
        let problem: ProblemDetails = serde_json::from_slice(&self.body).unwrap();
        assert_eq!(problem.status, self.status.as_u16());
        problem
    }
}

/// A caller with one connection.
pub struct Caller {
    pub sender: SendRequest<Full<Bytes>>,
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        let (sender, connection) = handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        Self { sender }
    }

    /// Sends a request and reads the response to its end; `None` if the connection breaks before.
    pub async fn call(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Option<CallerResponse> {
        let mut req = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header("host", "cell");
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(body.into())).unwrap();
        self.sender.ready().await.ok()?;
        let (head, body) = self.sender.send_request(req).await.ok()?.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(CallerResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}

/// Sends a request on a new connection.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Option<CallerResponse> {
    let mut caller = Caller::connect(address).await;
    caller.call(method, path, headers, body).await
}

/// Sends the request `name` to the service, which takes `work_ms` and returns `bytes` bytes.
pub async fn service_request(
    address: SocketAddr,
    name: &str,
    work_ms: u64,
    bytes: usize,
) -> Option<CallerResponse> {
    let (work_ms, response_bytes) = (work_ms.to_string(), bytes.to_string());
    let headers = [
        ("x-request-id", name),
        ("x-work-ms", work_ms.as_str()),
        ("x-answer-bytes", response_bytes.as_str()),
    ];
    let path = format!("/v1/services/{SERVICE}/some/path?x=1");
    call(address, Method::POST, &path, &headers, name.to_owned()).await
}

pub fn service_name() -> ServiceName {
    SERVICE.into()
}
