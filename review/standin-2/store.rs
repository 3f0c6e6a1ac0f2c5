//! The platform's store: rows with versions, transactions under conditions, reads and feeds.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::random::Random;

use crate::http::{self, Request, Response};
use crate::json::{Json, n, obj, s};

const LATENCY: Duration = Duration::from_millis(4);

/// How long a call without an answer is held: longer than any timeout.
const SILENCE: Duration = Duration::from_secs(5);

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (String, u64)>,
    version: u64,
    history: Vec<(u64, Key, Option<String>)>,
}

impl Rows {
    fn write(&mut self, key: Key, value: Option<String>) {
        let version = self.version;
        match &value {
            Some(value) => drop(self.rows.insert(key.clone(), (value.clone(), version))),
            None => drop(self.rows.remove(&key)),
        }
        self.history.push((version, key, value));
    }
}

/// How the store treats the calls of one VM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Up,
    /// 503: nothing is done.
    Busy,
    /// No answer, and nothing is done.
    Silent,
    /// Answers take 60 times as long.
    Slow,
    /// A third of the writes are done and not answered.
    Lost,
    /// A third of the writes are done 1 to 6 s later and not answered.
    LostLate,
}

pub struct Store {
    /// The addresses for the VMs.
    pub addresses: Vec<SocketAddr>,
    modes: Mutex<Vec<Mode>>,
    random: Mutex<Random>,
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start(vms: usize, seed: u64) -> Arc<Self> {
        let listeners: Vec<TcpListener> =
            (0..vms).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
        let addresses = listeners.iter().map(|listener| listener.local_addr().unwrap());
        let store = Arc::new(Self {
            addresses: addresses.collect(),
            modes: Mutex::new(vec![Mode::Up; vms]),
            random: Mutex::new(Random::new(seed)),
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        for (vm, listener) in listeners.into_iter().enumerate() {
            let server = store.clone();
            http::serve(listener, Arc::new(move |request| server.handle(vm, request)));
        }
        store
    }

    pub fn set_mode(&self, vm: usize, mode: Mode) {
        self.modes.lock().unwrap()[vm] = mode;
    }

    /// Writes or removes a row as an operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: Option<&Json>) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        rows.write(key, value.map(|value| base64(value.to_string().as_bytes())));
        self.changed.notify_all();
    }

    fn now_ms(&self) -> Json {
        n(self.started.elapsed().as_millis() as u64)
    }

    fn handle(&self, vm: usize, request: Request) -> Response {
        let mode = self.modes.lock().unwrap()[vm];
        let loses = self.random.lock().unwrap().chance(0.35);
        let late = self.random.lock().unwrap().between(1_000, 6_000);
        match mode {
            Mode::Busy => return Some((503, "{}".to_owned())),
            Mode::Silent => {
                std::thread::sleep(SILENCE);
                return None;
            }
            Mode::Slow => std::thread::sleep(LATENCY * 60),
            Mode::Up | Mode::Lost | Mode::LostLate => std::thread::sleep(LATENCY),
        }
        match request.path.as_str() {
            "/chestnutlug/rows-tx" if loses && matches!(mode, Mode::Lost | Mode::LostLate) => {
                if mode == Mode::LostLate {
                    std::thread::sleep(Duration::from_millis(late));
                }
                self.commit(&Json::parse(&request.body)?);
                std::thread::sleep(SILENCE);
                None
            }
            "/chestnutlug/rows-tx" => Some(self.commit(&Json::parse(&request.body)?)),
            "/chestnutlug/rows-get" => Some(self.get(&request.query)),
            "/chestnutlug/rows-feed" => Some(self.feed(&request.query)),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn commit(&self, body: &Json) -> (u16, String) {
        let lists = ["ExpectRev", "Puts", "Remove"].map(|name| body.get(name).arr());
        let all: Vec<&Json> = lists.iter().flat_map(|list| list.iter()).collect();
        let is_one_part = all.windows(2).all(|pair| pair[0].get("part") == pair[1].get("part"));
        let too_large = all.iter().any(|row| row.get("Value").str().len() > 65_536);
        let is_foreign = |row: &Json| matches!(row.get("Table").str(), "op" | "servers");
        if lists[1].iter().chain(lists[2]).any(is_foreign) {
            return (403, "{}".to_owned());
        }
        if all.len() > 100 || !is_one_part || too_large {
            return (400, "{}".to_owned());
        }
        let mut rows = self.rows.lock().unwrap();
        let is_met = |row: &Json| {
            let version = rows.rows.get(&key_of(row)).map_or(0, |(_, version)| *version);
            version == row.get("Ver").num().unwrap_or(0)
        };
        if !lists[0].iter().all(is_met) {
            let found = lists[0].iter().filter_map(|row| {
                let key = key_of(row);
                let (value, version) = rows.rows.get(&key)?;
                Some(row_json(&key, Some(value), *version))
            });
            let found = Json::Arr(found.collect());
            let body = obj(vec![("rows", found), ("Ver", n(rows.version)), ("NowMs", self.now_ms())]);
            return (412, body.to_string());
        }
        rows.version += 1;
        for row in lists[1] {
            rows.write(key_of(row), Some(row.get("Value").str().to_owned()));
        }
        for row in lists[2] {
            rows.write(key_of(row), None);
        }
        self.changed.notify_all();
        (200, obj(vec![("Ver", n(rows.version)), ("NowMs", self.now_ms())]).to_string())
    }

    fn get(&self, query: &str) -> (u16, String) {
        let rows = self.rows.lock().unwrap();
        let (table, part) = (param(query, "Table"), param(query, "part"));
        let to = param(query, "To");
        let limit: usize = param(query, "Limit").parse().unwrap_or(500).min(500);
        let first = (table.clone(), part.clone(), param(query, "From"));
        let mut found = rows.rows.range(first..).take_while(|((t, p, k), _)| {
            *t == table && *p == part && (to.is_empty() || *k < to)
        });
        let listed = found.by_ref().take(limit);
        let listed = listed.map(|(key, (value, version))| row_json(key, Some(value), *version));
        let listed: Vec<Json> = listed.collect();
        let body = obj(vec![
            ("rows", Json::Arr(listed)),
            ("Truncated", Json::Bool(found.next().is_some())),
            ("Ver", n(rows.version)),
            ("NowMs", self.now_ms()),
        ]);
        (200, body.to_string())
    }

    fn feed(&self, query: &str) -> (u16, String) {
        let table = param(query, "Table");
        let after: u64 = param(query, "After").parse().unwrap_or(0);
        let wait: u64 = param(query, "WaitMs").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut rows = self.rows.lock().unwrap();
        loop {
            let changes = rows.history.iter().filter(|(at, (t, ..), _)| *at > after && *t == table);
            let changes = changes.map(|(at, key, value)| row_json(key, value.as_ref(), *at));
            let changes: Vec<Json> = changes.collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                let body = obj(vec![
                    ("rows", Json::Arr(changes)),
                    ("Ver", n(rows.version)),
                    ("NowMs", self.now_ms()),
                ]);
                return (200, body.to_string());
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn key_of(row: &Json) -> Key {
    let text = |name: &str| row.get(name).str().to_owned();
    (text("Table"), text("part"), text("Key"))
}

fn row_json((table, part, key): &Key, value: Option<&String>, version: u64) -> Json {
    let mut members = vec![("Table", s(table)), ("part", s(part)), ("Key", s(key)), ("Ver", n(version))];
    members.push(match value {
        Some(value) => ("Value", s(value)),
        None => ("Deleted", Json::Bool(true)),
    });
    obj(members)
}

fn param(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut value = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value);
    let mut parts = value.next().unwrap_or_default().split('%');
    let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let (digits, rest) = part.split_at(2);
        bytes.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
        bytes.extend_from_slice(rest.as_bytes());
    }
    String::from_utf8(bytes).unwrap_or_default()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0;
        for i in 0..3 {
            word = word << 8 | u32::from(chunk.get(i).copied().unwrap_or(0));
        }
        for i in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * i) & 63) as usize];
            text.push(if i <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
