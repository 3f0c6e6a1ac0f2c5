//! A cell of entry VMs without a table: a directory that tests set, and peers in one process.

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
use chestnutlug::standin::backend::{JournalEntry as Line, JournalEvent, StandinBackend, serve};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{HeaderMap, Method, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

pub const SERVICE: &str = "rota-service";

/// What tests say about who owns the service.
#[derive(Default)]
pub struct World {
    owner: RwLock<Option<(usize, u64)>>,
    live: RwLock<Vec<VmInfo>>,
    slots: RwLock<HashMap<SocketAddr, Arc<SlotService>>>,
    /// VMs that no message reaches or leaves.
    pub cut_off: RwLock<HashSet<SocketAddr>>,
}

struct View {
    world: Arc<World>,
    me: usize,
}

impl ShardDirectory for View {
    fn owner_of(&self, shard: &ShardName) -> Option<OwnerInfo> {
        assert_eq!(shard, &service_shard(&SERVICE.into()));
        let (index, epoch) = (*self.world.owner.read().unwrap())?;
        let known = self.world.live.read().unwrap()[index].clone();
        Some(OwnerInfo {
            vm: known.vm,
            incarnation: known.incarnation,
            address: known.address,
            epoch,
            local: index == self.me,
        })
    }

    fn live_vms(&self) -> Vec<VmInfo> {
        self.world.live.read().unwrap().clone()
    }
}

/// Peers of one VM, in the same process.
struct LocalPeers {
    world: Arc<World>,
    me: SocketAddr,
}

impl PeerClient for LocalPeers {
    fn call<'a>(
        &'a self,
        address: SocketAddr,
        request: &'a Request,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Reply, PeerError>> {
        Box::pin(async move {
            let cut_off = |a| self.world.cut_off.read().unwrap().contains(&a);
            if cut_off(self.me) || cut_off(address) {
                tokio::time::sleep(timeout).await;
                return Err(PeerError::NoReply("cut off".to_owned()));
            }
            let slots = self.world.slots.read().unwrap().get(&address).cloned();
            let slots = slots.ok_or_else(|| PeerError::NotSent("no such VM".to_owned()))?;
            let handled = tokio::time::timeout(timeout, slots.handle(request.clone())).await;
            handled.map_err(|_| PeerError::NoReply("too late".to_owned()))
        })
    }
}

/// Jobs in memory: job N succeeds at once, and a payload names a refusal.
#[derive(Default)]
pub struct FakeJobs {
    pub submitted: Mutex<Vec<(JobSpec, Option<String>)>>,
}

impl FakeJobs {
    pub fn view(&self, job: &JobId) -> Option<JobView> {
        let known = (job.number as usize) < self.submitted.lock().unwrap().len();
        known.then(|| JobView {
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
    pub entry: EntryServer,
    pub jobs: Arc<FakeJobs>,
    pub known: VmInfo,
    /// Keeps the VM's peer address taken, as that of a process that runs.
    pub listener: Option<TcpListener>,
}

/// Entry VMs that share a service.
pub struct Cell {
    pub world: Arc<World>,
    pub vms: Vec<Vm>,
}

impl Cell {
    /// Starts `vms` entry VMs on the configuration `text`, or on none yet where it is empty; the
    /// first one owns the service.
    pub async fn start(vms: usize, text: &str, limits: &EntryLimits) -> Self {
        let world = Arc::new(World::default());
        let mut listeners = Vec::new();
        for index in 0..vms {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            world.live.write().unwrap().push(VmInfo {
                vm: format!("vm-{index}").as_str().into(),
                incarnation: 1,
                address: listener.local_addr().unwrap(),
            });
            listeners.push(listener);
        }
        let mut started = Vec::new();
        for (index, listener) in listeners.into_iter().enumerate() {
            started.push(start_vm(&world, index, listener, text, limits).await);
        }
        let cell = Self {
            world,
            vms: started,
        };
        cell.own(0, 1);
        cell
    }

    /// Makes VM `index` the owner of the service under `epoch`.
    pub fn own(&self, index: usize, epoch: u64) {
        *self.world.owner.write().unwrap() = Some((index, epoch));
        self.vms[index].slots.start_granting(&SERVICE.into(), epoch);
    }

    /// Tells VM `index` that it no longer owns the service.
    pub fn disown(&self, index: usize) {
        self.vms[index].slots.stop_granting(&SERVICE.into());
    }

    pub fn address(&self, index: usize) -> SocketAddr {
        self.vms[index].entry.address()
    }

    /// Puts a configuration into force everywhere.
    pub fn configure(&self, version: u64, text: &str) {
        for vm in &self.vms {
            put_in_force(&vm.config, version, text);
            vm.slots.configure(&vm.config.config());
        }
    }
}

async fn start_vm(
    world: &Arc<World>,
    index: usize,
    listener: TcpListener,
    text: &str,
    limits: &EntryLimits,
) -> Vm {
    let known = world.live.read().unwrap()[index].clone();
    let identity = VmIdentity {
        vm: known.vm.clone(),
        incarnation: 1,
        zone: "z1".into(),
    };
    let config = Arc::new(ConfigHolder::default());
    if !text.is_empty() {
        put_in_force(&config, 1, text);
    }
    let view = Arc::new(View {
        world: world.clone(),
        me: index,
    });
    let peers = Arc::new(LocalPeers {
        world: world.clone(),
        me: known.address,
    });
    let slots = SlotService::new(identity, view, peers, config.clone());
    let registered = slots.clone();
    world
        .slots
        .write()
        .unwrap()
        .insert(known.address, registered);
    let jobs = Arc::new(FakeJobs::default());
    let any_port = "127.0.0.1:0".parse().unwrap();
    let entry = EntryServer::listen(any_port, limits.clone(), jobs.clone(), slots.clone());
    Vm {
        slots,
        config,
        entry: entry.await.unwrap(),
        jobs,
        known,
        listener: Some(listener),
    }
}

fn put_in_force(config: &ConfigHolder, version: u64, text: &str) {
    let now = Time::from_millis(1);
    config.note_table_version(version);
    let offered = config.offer(version, text, now);
    assert!(!matches!(offered, OfferOutcome::Rejected(_)), "{offered:?}");
    config.finish_learning(now);
    assert_eq!(config.version().number, version);
}

/// A stand-in backend server that runs until it is dropped.
pub struct Server {
    pub name: BackendName,
    pub backend: Arc<StandinBackend>,
    pub address: SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Server {
    pub async fn start(name: &str, slots: u32) -> Self {
        let work = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let control = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = work.local_addr().unwrap();
        let backend = Arc::new(StandinBackend::new(name.into(), slots, 64));
        let served = serve(backend.clone(), work, control, std::future::pending());
        Self {
            name: name.into(),
            backend,
            address,
            task: tokio::spawn(served),
        }
    }

    /// The names of the requests that began here.
    pub fn begun(&self) -> Vec<String> {
        let journal = self.backend.journal();
        let begun = journal
            .into_iter()
            .filter(|line| line.event == JournalEvent::Begin);
        begun.filter_map(|line| line.request).collect()
    }

    /// The most requests that were under way at once.
    pub fn most_at_once(&self) -> u32 {
        let journal = self.backend.journal();
        journal
            .iter()
            .map(|line: &Line| line.concurrency)
            .max()
            .unwrap_or(0)
    }

    pub fn most_connections(&self) -> u64 {
        let journal = self.backend.journal();
        journal
            .iter()
            .map(|line| line.connections)
            .max()
            .unwrap_or(0)
    }
}

/// The configuration of one service with backend servers at `addresses`.
pub fn config(service: &str, backends: &[(&str, SocketAddr, u32)]) -> String {
    let mut text = format!("[service.{SERVICE}]\n{service}\n");
    for (name, address, slots) in backends {
        text.push_str(&format!(
            "[backend.{name}]\nservice = \"{SERVICE}\"\nzone = \"z1\"\naddress = \"{address}\"\nslots = {slots}\n"
        ));
    }
    text
}

pub fn config_of(service: &str, servers: &[Server], slots: u32) -> String {
    let backends: Vec<_> = servers
        .iter()
        .map(|s| (s.name.as_str(), s.address, slots))
        .collect();
    config(service, &backends)
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    /// The refusal that the answer is.
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

/// One connection of a caller.
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

    /// Sends one request and reads the whole answer; `None` where it is cut off.
    pub async fn call(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Option<Answer> {
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
        Some(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}

/// Sends one request on a connection of its own.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Option<Answer> {
    let mut caller = Caller::connect(address).await;
    caller.call(method, path, headers, body).await
}

/// A request to the service, named `name`, that takes `work_ms` and brings `bytes` bytes.
pub async fn request(
    address: SocketAddr,
    name: &str,
    work_ms: u64,
    bytes: usize,
) -> Option<Answer> {
    let (work_ms, answer_bytes) = (work_ms.to_string(), bytes.to_string());
    let headers = [
        ("x-request-id", name),
        ("x-work-ms", work_ms.as_str()),
        ("x-answer-bytes", answer_bytes.as_str()),
    ];
    let path = format!("/v1/services/{SERVICE}/some/path?x=1");
    call(address, Method::POST, &path, &headers, name.to_owned()).await
}

pub fn service() -> ServiceName {
    SERVICE.into()
}
