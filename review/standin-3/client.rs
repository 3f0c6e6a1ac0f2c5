//! Clients: they hand submissions in and ask for their states, with the retries that the pages name.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::json::Json;
use crate::record::Log;

pub const HOST: &str = "queue.example";
pub const PREFIX: &str = "/queue/";
const BUDGET: Duration = Duration::from_millis(3_000);

/// The submissions of the sheet in one second: 1.84 + 6.8 + 48.2.
pub const PER_SECOND: f64 = 56.84;

/// The clients that send them.
const CLIENTS: usize = 16;

/// A submission like most of the sheet: two tasks of 0.64 s on 1.4 cores.
pub const SMALL: &str =
    "{\"Spec\":\"work-ms 640\",\"Phases\":[{\"Count\":2,\"Cpu\":1400,\"MemMb\":512,\"EstMs\":640}]}";

pub struct Client {
    fronts: Vec<SocketAddr>,
    connections: Vec<Connection>,
    next: usize,
}

impl Client {
    /// A client whose calls go first to the front with number `first`.
    pub fn new(fronts: &[SocketAddr], first: usize) -> Self {
        let connections = fronts.iter().map(|front| Connection::new(*front)).collect();
        Self {
            fronts: fronts.to_vec(),
            connections,
            next: first,
        }
    }

    /// One call within the time budget. Tries go to the next machine after a lost answer, a 502, 503 or 504.
    pub fn call(&mut self, method: &str, id: &str, body: &str) -> Result<(u16, String), String> {
        let until = Instant::now() + BUDGET;
        let mut last = String::from("no try");
        for _ in 0..5 {
            let left = until.saturating_duration_since(Instant::now());
            if left < Duration::from_millis(5) {
                break;
            }
            let front = self.next % self.fronts.len();
            let path = format!("{PREFIX}{id}");
            match self.connections[front].call(method, HOST, &path, body, left) {
                Ok((status @ (429 | 502 | 503 | 504), _)) => last = status.to_string(),
                Ok(answer) => return Ok(answer),
                Err(error) => last = error.to_string(),
            }
            self.next += 1;
            thread::sleep(Duration::from_millis(100).min(left));
        }
        Err(last)
    }

    pub fn submit(&mut self, id: &str, body: &str) -> Result<u16, String> {
        self.call("POST", id, body).map(|(status, _)| status)
    }

    /// The state of a submission, or the status if it is not 200.
    pub fn state(&mut self, id: &str) -> Result<String, String> {
        let (status, body) = self.call("GET", id, "")?;
        if status != 200 {
            return Ok(status.to_string());
        }
        let state = Json::parse(body.as_bytes()).map(|json| json.get("State").text().to_owned());
        state.ok_or_else(|| format!("unreadable: {body}"))
    }
}

/// A desired state with one queue and one service.
pub fn config(service: &str, attempts: u32) -> String {
    format!(
        "{{\"Version\":7,\"Routes\":[{{\"Name\":\"r-1\",\"Host\":\"{HOST}\",\"Prefix\":\"{PREFIX}\",\
         \"Kind\":\"mutating\",\"TimeoutMs\":3000,\"SloMs\":1000,\"Priority\":1,\"Service\":\"{service}\",\
         \"Attempts\":{attempts},\"SlackFactor\":2.0}}],\"Services\":[{{\"Name\":\"{service}\",\
         \"HealthPath\":\"/healthz\",\"MaxConns\":64,\"Proto\":\"h1\",\"Tls\":false,\
         \"RejectsOverload\":false,\"Standby\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":1048576}}}}"
    )
}

/// Sends the traffic of the sheet for `time`.
pub fn traffic(
    log: &'static Log,
    fronts: &[SocketAddr],
    time: Duration,
    accepted: &Arc<Mutex<Vec<String>>>,
    next: &Arc<AtomicU64>,
) {
    let over = Arc::new(AtomicBool::new(false));
    let pause = Duration::from_secs_f64(CLIENTS as f64 / PER_SECOND);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (over, accepted, next) = (over.clone(), accepted.clone(), next.clone());
            let mut client = Client::new(fronts, number);
            thread::spawn(move || {
                thread::sleep(pause.mul_f64(number as f64 / CLIENTS as f64));
                while !over.load(Ordering::SeqCst) {
                    let began = Instant::now();
                    let id = format!("{:016x}", next.fetch_add(1, Ordering::SeqCst));
                    let answer = client.submit(&id, SMALL);
                    log.detail(&format!("client: POST {id}: {answer:?}"));
                    if answer == Ok(200) {
                        accepted.lock().unwrap().push(id);
                    }
                    thread::sleep(pause.saturating_sub(began.elapsed()));
                }
            })
        })
        .collect();
    thread::sleep(time);
    over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
}

/// Those of the submissions that are not shown as complete.
pub fn unfinished(fronts: &[SocketAddr], ids: &[String]) -> Result<Vec<String>, String> {
    let parts = ids.chunks(ids.len().div_ceil(8).max(1));
    let asking: Vec<_> = parts
        .enumerate()
        .map(|(number, part)| {
            let (part, mut client) = (part.to_vec(), Client::new(fronts, number));
            thread::spawn(move || {
                let mut open = Vec::new();
                for id in part {
                    if client.state(&id).as_deref() != Ok("complete") {
                        open.push(id);
                    }
                }
                open
            })
        })
        .collect();
    let mut open = Vec::new();
    for part in asking {
        open.extend(part.join().map_err(|_| "a client ended early")?);
    }
    Ok(open)
}
