//! A stand-in of the platform's store, with faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use chestnutlug::adapter::http::{
    ResponseBody, ResponseDropped, ServerLimits, full_body, read_body, serve,
};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// The latency of each call.
const CALL_LATENCY: Duration = Duration::from_millis(2);

/// The additional latency of a call in [`Mode::Slow`].
const SLOW_LATENCY: Duration = Duration::from_millis(250);

/// The delay after which a transaction takes effect in [`Mode::LossyLate`], if its response is lost.
const LATE_COMMIT_DELAY: Duration = Duration::from_millis(1_500);

/// How long a transaction of a silenced owner is held: longer than the timeout of any call.
const SILENCE: Duration = Duration::from_secs(3);

/// The maximum number of changes that are kept for feeds.
const MAX_HISTORY: usize = 5_000;

/// How the store handles calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Up,
    /// Rejects calls without any effect.
    Busy,
    /// Closes connections without any effect.
    Broken,
    Slow,
    /// Applies every third transaction without a response.
    Lossy,
    /// Applies every third transaction late and without a response.
    LossyLate,
}

type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<RowKey, (String, u64)>,
    version: u64,
    /// The changes with their versions and values; a removed row has no value.
    history: Vec<(u64, RowKey, Option<String>)>,
    /// The version up to which the history has been dropped.
    dropped_version: u64,
    transactions: u64,
}

pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    mode: Mutex<Mode>,
    /// The epoch of the owner whose transactions are lost, whichever VM relays them.
    silenced_epoch: Mutex<Option<u64>>,
    version: watch::Sender<u64>,
    started_at: Instant,
}

impl Store {
    pub async fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            rows: Mutex::default(),
            mode: Mutex::new(Mode::Up),
            silenced_epoch: Mutex::default(),
            version: watch::Sender::new(0),
            started_at: Instant::now(),
        });
        let server = store.clone();
        let handler = move |req| server.clone().handle(req);
        tokio::spawn(serve(
            listener,
            ServerLimits::default(),
            handler,
            std::future::pending(),
        ));
        store
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Loses all transactions of the owner of this epoch from now on.
    pub fn silence_owner(&self, epoch: Option<u64>) {
        *self.lock_silenced() = epoch;
    }

    fn lock_silenced(&self) -> MutexGuard<'_, Option<u64>> {
        self.silenced_epoch
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the transaction writes the owner record of the silenced epoch.
    fn is_silenced(&self, body: &Value) -> bool {
        let Some(epoch) = *self.lock_silenced() else {
            return false;
        };
        let puts = body["Puts"].as_array().into_iter().flatten();
        let mut owners = puts.filter(|row| row["Table"] == "owners");
        owners.any(|row| {
            let owner = row["Value"].as_str().and_then(decode_owner);
            owner.is_some_and(|(_, at)| at == epoch)
        })
    }

    pub fn set_mode(&self, mode: Mode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    /// Drops the history, so that feeds that lag behind get `410 Gone`.
    pub fn drop_history(&self) {
        let mut rows = self.lock();
        rows.history.clear();
        rows.dropped_version = rows.version;
    }

    /// Writes a row, as an operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = BASE64_STANDARD.encode(value.to_string());
        let mut rows = self.lock();
        rows.version += 1;
        rows.write(key, Some(value));
        self.version.send_replace(rows.version);
    }

    /// The VM and the epoch in the owner record of the first shard.
    pub fn owner(&self) -> Option<(String, u64)> {
        let key = ("owners".to_owned(), "shard-0".to_owned(), "main".to_owned());
        let rows = self.lock();
        let (value, _) = rows.rows.get(&key)?;
        decode_owner(value)
    }

    async fn handle(
        self: Arc<Self>,
        req: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ResponseDropped> {
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or_default().to_owned();
        let Ok(body) = read_body(req.into_body(), 2 << 20).await else {
            return Err(ResponseDropped);
        };
        tokio::time::sleep(CALL_LATENCY).await;
        let mode = *self.mode.lock().unwrap_or_else(PoisonError::into_inner);
        match mode {
            Mode::Busy => return Ok(response(StatusCode::SERVICE_UNAVAILABLE, &json!({}))),
            Mode::Broken => return Err(ResponseDropped),
            Mode::Slow => tokio::time::sleep(SLOW_LATENCY).await,
            Mode::Up | Mode::Lossy | Mode::LossyLate => {}
        }
        match path.as_str() {
            "/chestnutlug/rows-tx" => {
                let body: Value = serde_json::from_slice(&body).unwrap_or_default();
                if self.is_silenced(&body) {
                    tokio::time::sleep(SILENCE).await;
                    return Err(ResponseDropped);
                }
                let loses_response = {
                    let mut rows = self.lock();
                    rows.transactions += 1;
                    rows.transactions.is_multiple_of(3)
                };
                if loses_response && mode == Mode::LossyLate {
                    tokio::time::sleep(LATE_COMMIT_DELAY).await;
                }
                let res = self.commit(&body);
                if loses_response && matches!(mode, Mode::Lossy | Mode::LossyLate) {
                    return Err(ResponseDropped);
                }
                Ok(res)
            }
            "/chestnutlug/rows-get" => Ok(self.get(&query)),
            "/chestnutlug/rows-feed" => Ok(self.feed(&query).await),
            _ => Ok(response(StatusCode::NOT_FOUND, &json!({}))),
        }
    }

    fn commit(&self, body: &Value) -> Response<ResponseBody> {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (conditions, puts, removals) = (list("ExpectRev"), list("Puts"), list("Remove"));
        let mut rows = self.lock();
        let mut partitions: Vec<String> = Vec::new();
        for row in conditions.iter().chain(&puts).chain(&removals) {
            partitions.push(row_key(row).1);
        }
        partitions.dedup();
        if partitions.len() > 1 || conditions.len() + puts.len() + removals.len() > 100 {
            return response(
                StatusCode::BAD_REQUEST,
                &json!({"Error": "too much for one transaction"}),
            );
        }
        let is_met = |row: &Value| {
            let version = rows
                .rows
                .get(&row_key(row))
                .map_or(0, |(_, version)| *version);
            version == row["Ver"].as_u64().unwrap_or(0)
        };
        if !conditions.iter().all(is_met) {
            let found = conditions.iter().filter_map(|row| {
                let key = row_key(row);
                rows.rows
                    .get(&key)
                    .map(|(value, version)| row_json(&key, Some(value), *version))
            });
            let body = json!({"rows": found.collect::<Vec<_>>(), "Ver": rows.version});
            return response(StatusCode::PRECONDITION_FAILED, &body);
        }
        rows.version += 1;
        for row in &puts {
            rows.write(row_key(row), row["Value"].as_str().map(str::to_owned));
        }
        for row in &removals {
            rows.write(row_key(row), None);
        }
        self.version.send_replace(rows.version);
        response(
            StatusCode::OK,
            &json!({"Ver": rows.version, "NowMs": self.now_ms()}),
        )
    }

    fn get(&self, query: &str) -> Response<ResponseBody> {
        let rows = self.lock();
        let (table, partition) = (query_param(query, "Table"), query_param(query, "part"));
        let (from, to) = (query_param(query, "From"), query_param(query, "To"));
        let limit = query_param(query, "Limit")
            .parse()
            .unwrap_or(500_usize)
            .min(500);
        let first = (table.clone(), partition.clone(), from);
        let mut found = rows.rows.range(first..).take_while(|((t, p, k), _)| {
            *t == table && *p == partition && (to.is_empty() || *k < to)
        });
        let listed = found.by_ref().take(limit);
        let listed = listed.map(|(key, (value, version))| row_json(key, Some(value), *version));
        let listed: Vec<Value> = listed.collect();
        let body = json!({
            "rows": listed, "Truncated": found.next().is_some(), "Ver": rows.version, "NowMs": self.now_ms(),
        });
        response(StatusCode::OK, &body)
    }

    async fn feed(&self, query: &str) -> Response<ResponseBody> {
        let table = query_param(query, "Table");
        let after = query_param(query, "After").parse().unwrap_or(0);
        let wait = Duration::from_millis(query_param(query, "WaitMs").parse().unwrap_or(0));
        let deadline = tokio::time::Instant::now() + wait;
        let mut version = self.version.subscribe();
        loop {
            {
                let rows = self.lock();
                if after < rows.dropped_version {
                    return response(StatusCode::GONE, &json!({"Ver": rows.version}));
                }
                let changes = rows
                    .history
                    .iter()
                    .filter(|(at, (t, ..), _)| *at > after && *t == table);
                let changes = changes.map(|(at, key, value)| row_json(key, value.as_ref(), *at));
                let changes: Vec<Value> = changes.collect();
                if !changes.is_empty() || tokio::time::Instant::now() >= deadline {
                    let body =
                        json!({"rows": changes, "Ver": rows.version, "NowMs": self.now_ms()});
                    return response(StatusCode::OK, &body);
                }
            }
            // At the deadline, the next iteration responds even without changes.
            let _ = tokio::time::timeout_at(deadline, version.changed()).await;
        }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap()
    }
}

impl Rows {
    fn write(&mut self, key: RowKey, value: Option<String>) {
        let version = self.version;
        match &value {
            Some(value) => {
                self.rows.insert(key.clone(), (value.clone(), version));
            }
            None => {
                self.rows.remove(&key);
            }
        }
        self.history.push((version, key, value));
        if self.history.len() > MAX_HISTORY {
            let (version, ..) = self.history.remove(0);
            self.dropped_version = version;
        }
    }
}

/// The VM and the epoch in an owner record.
fn decode_owner(value: &str) -> Option<(String, u64)> {
    // The format of records, the VM, its address, when its process started, and the epoch.
    type Start = (u8, String, SocketAddr, u64, u64);
    let bytes = BASE64_STANDARD.decode(value).ok()?;
    let (record, _) = postcard::take_from_bytes::<Start>(&bytes).ok()?;
    Some((record.1, record.4))
}

fn row_key(row: &Value) -> RowKey {
    let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
    (text("Table"), text("part"), text("Key"))
}

fn row_json((table, partition, key): &RowKey, value: Option<&String>, version: u64) -> Value {
    match value {
        Some(value) => {
            json!({"Table": table, "part": partition, "Key": key, "Value": value, "Ver": version})
        }
        None => {
            json!({"Table": table, "part": partition, "Key": key, "Ver": version, "Deleted": true})
        }
    }
}

/// The value of a query parameter, percent-decoded.
fn query_param(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut value = pairs
        .filter(|(key, _)| *key == name)
        .map(|(_, value)| value);
    percent_decode(value.next().unwrap_or_default())
}

fn percent_decode(text: &str) -> String {
    let mut parts = text.split('%');
    let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let (digits, rest) = part.split_at(2);
        bytes.push(u8::from_str_radix(digits, 16).unwrap());
        bytes.extend_from_slice(rest.as_bytes());
    }
    String::from_utf8(bytes).unwrap()
}

fn response(status: StatusCode, body: &Value) -> Response<ResponseBody> {
    let mut res = Response::new(full_body(body.to_string()));
    *res.status_mut() = status;
    res
}
