//! A stand-in of the platform's store with the table form. It never fails.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Req};
use crate::json::{Json, map, n, s};

/// The limits of the pages: `RowBytes` of the settings file, 100 entries and 1 MB in a call.
const ROW_BYTES: usize = 65_536;
const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1_000_000;
const MAX_ROWS: usize = 500;
/// `TxMs` and the time of an answer on the sheet of the deployment.
const TX_TIME: Duration = Duration::from_millis(6);
const READ_TIME: Duration = Duration::from_millis(4);

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (String, u64)>,
    version: u64,
    history: Vec<(u64, Key, Option<String>)>,
    /// The reasons for which transactions were rejected, with their number.
    rejected: BTreeMap<String, u64>,
    /// The values of the last transaction that had a condition.
    last_conditional: Vec<Vec<u8>>,
}

pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let store = Arc::new(Store {
            address: listener.local_addr().expect("the address of the store"),
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let server = store.clone();
        http::serve(listener, Arc::new(move |req| Some(server.handle(&req))));
        store
    }

    /// Writes a row of the operator or of a worker.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        write(&mut rows, key, Some(encode(value.to_string().as_bytes())));
        self.changed.notify_all();
    }

    /// Removes a row of a worker.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        write(
            &mut rows,
            (table.to_owned(), String::new(), key.to_owned()),
            None,
        );
        self.changed.notify_all();
    }

    /// Whether the last transaction with a condition wrote a value that contains `text`.
    pub fn last_writer_is(&self, text: &str) -> bool {
        let rows = self.rows.lock().unwrap();
        let mut values = rows.last_conditional.iter();
        values.any(|value| {
            value
                .windows(text.len())
                .any(|part| part == text.as_bytes())
        })
    }

    /// Copies the row that the system wrote under `key` to `count` other keys of its table and part.
    /// Returns the copied row.
    pub fn copy_row(&self, key: &str, count: u64) -> Option<(String, String, String)> {
        let (table, part, value) = {
            let rows = self.rows.lock().unwrap();
            let (found, (value, _)) = rows.rows.iter().find(|(found, _)| found.2 == key)?;
            (found.0.clone(), found.1.clone(), value.clone())
        };
        for first in (0..count).step_by(10_000) {
            let mut rows = self.rows.lock().unwrap();
            for number in first..(first + 10_000).min(count) {
                rows.version += 1;
                let version = rows.version;
                let id = format!("{:016x}", (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
                let row = (table.clone(), part.clone(), id);
                rows.rows
                    .entry(row)
                    .or_insert_with(|| (value.clone(), version));
            }
        }
        Some((table, part, value))
    }

    pub fn rejected(&self) -> BTreeMap<String, u64> {
        self.rows.lock().unwrap().rejected.clone()
    }

    fn handle(&self, req: &Req) -> (u16, String) {
        match req.path.as_str() {
            "/chestnutlug/rows-tx" => {
                std::thread::sleep(TX_TIME);
                self.commit(req)
            }
            "/chestnutlug/rows-get" => {
                std::thread::sleep(READ_TIME);
                self.get(req)
            }
            "/chestnutlug/rows-feed" => self.feed(req),
            _ => (404, "{}".to_owned()),
        }
    }

    fn commit(&self, req: &Req) -> (u16, String) {
        let Some(body) = Json::parse(&req.body) else {
            return (400, "{}".to_owned());
        };
        let (expect, puts) = (body.get("ExpectRev").list(), body.get("Puts").list());
        let remove = body.get("Remove").list();
        let all: Vec<&Json> = expect.iter().chain(puts).chain(remove).collect();
        let mut rows = self.rows.lock().unwrap();
        let first_part = all.first().map_or("", |row| row.get("part").text());
        let reason = if all.len() > MAX_ENTRIES {
            Some("more than 100 entries")
        } else if req.body.len() > MAX_CALL_BYTES {
            Some("more than 1 MB")
        } else if all.iter().any(|row| row.get("part").text() != first_part) {
            Some("several parts")
        } else if puts
            .iter()
            .any(|row| row.get("Value").text().len() / 4 * 3 > ROW_BYTES + 2)
        {
            Some("a value of more than RowBytes")
        } else if all
            .iter()
            .any(|row| ["op", "servers"].contains(&row.get("Table").text()))
        {
            return (403, "{}".to_owned());
        } else {
            None
        };
        if let Some(reason) = reason {
            *rows.rejected.entry(reason.to_owned()).or_default() += 1;
            return (400, map(vec![("Error", s(reason))]).to_string());
        }
        let version = |row: &Json| rows.rows.get(&key(row)).map_or(0, |(_, version)| *version);
        if expect
            .iter()
            .any(|row| version(row) != row.get("Ver").num().unwrap_or(0))
        {
            let found = expect.iter().filter_map(|row| {
                let key = key(row);
                let (value, version) = rows.rows.get(&key)?;
                Some(row_json(&key, Some(value), *version))
            });
            let body = vec![
                ("rows", Json::List(found.collect())),
                ("Ver", n(rows.version)),
            ];
            return (412, map(body).to_string());
        }
        rows.version += 1;
        if !expect.is_empty() {
            rows.last_conditional = puts
                .iter()
                .map(|row| decode(row.get("Value").text()))
                .collect();
        }
        for row in puts {
            write(
                &mut rows,
                key(row),
                Some(row.get("Value").text().to_owned()),
            );
        }
        for row in remove {
            write(&mut rows, key(row), None);
        }
        self.changed.notify_all();
        (200, self.stamp(Vec::new(), rows.version))
    }

    fn get(&self, req: &Req) -> (u16, String) {
        let rows = self.rows.lock().unwrap();
        let (table, part, to) = (req.param("Table"), req.param("part"), req.param("To"));
        let limit = req.param("Limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let first = (table.clone(), part.clone(), req.param("From"));
        let in_range = |key: &Key| key.0 == table && key.1 == part && (to.is_empty() || key.2 < to);
        let mut found = rows
            .rows
            .range(first..)
            .take_while(|(key, _)| in_range(key));
        let (mut listed, mut bytes) = (Vec::new(), 0);
        let mut truncated = false;
        for (key, (value, version)) in found.by_ref() {
            if listed.len() == limit || bytes > MAX_CALL_BYTES {
                truncated = true;
                break;
            }
            bytes += value.len();
            listed.push(row_json(key, Some(value), *version));
        }
        let body = vec![
            ("rows", Json::List(listed)),
            ("Truncated", Json::Bool(truncated)),
        ];
        (200, self.stamp(body, rows.version))
    }

    fn feed(&self, req: &Req) -> (u16, String) {
        let (table, after) = (
            req.param("Table"),
            req.param("After").parse().unwrap_or(0_u64),
        );
        let wait = Duration::from_millis(req.param("WaitMs").parse().unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            let changes = rows
                .history
                .iter()
                .filter(|(at, key, _)| *at > after && key.0 == table);
            let changes = changes.map(|(at, key, value)| row_json(key, value.as_ref(), *at));
            let changes: Vec<Json> = changes.collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                return (
                    200,
                    self.stamp(vec![("rows", Json::List(changes))], rows.version),
                );
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn stamp(&self, mut body: Vec<(&str, Json)>, version: u64) -> String {
        body.push(("Ver", n(version)));
        body.push(("NowMs", n(self.started.elapsed().as_millis() as u64)));
        map(body).to_string()
    }
}

fn write(rows: &mut Rows, key: Key, value: Option<String>) {
    let version = rows.version;
    match &value {
        Some(value) => {
            rows.rows.insert(key.clone(), (value.clone(), version));
        }
        None => {
            rows.rows.remove(&key);
        }
    }
    // Only these tables are read through their feeds; the history of the others is not kept.
    if ["op", "servers"].contains(&key.0.as_str()) {
        rows.history.push((version, key, value));
    }
}

fn key(row: &Json) -> Key {
    let text = |name: &str| row.get(name).text().to_owned();
    (text("Table"), text("part"), text("Key"))
}

fn row_json((table, part, key): &Key, value: Option<&String>, version: u64) -> Json {
    let mut row = vec![
        ("Table", s(table)),
        ("part", s(part)),
        ("Key", s(key)),
        ("Ver", n(version)),
    ];
    row.push(match value {
        Some(value) => ("Value", s(value)),
        None => ("Deleted", Json::Bool(true)),
    });
    map(row)
}

fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let b = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let bits = u32::from(b[0]) << 16 | u32::from(b[1]) << 8 | u32::from(b[2]);
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(DIGITS[(bits >> (18 - 6 * i) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

fn decode(text: &str) -> Vec<u8> {
    let digit = |b: u8| match b {
        b'A'..=b'Z' => Some(b - b'A'),
        b'a'..=b'z' => Some(b - b'a' + 26),
        b'0'..=b'9' => Some(b - b'0' + 52),
        b'+' => Some(62),
        b'/' => Some(63),
        _ => None,
    };
    let digits: Vec<u32> = text.bytes().filter_map(digit).map(u32::from).collect();
    let mut out = Vec::new();
    for chunk in digits.chunks(4) {
        let bits = chunk.iter().fold(0, |bits, digit| bits << 6 | digit) << (6 * (4 - chunk.len()));
        out.extend(bits.to_be_bytes()[1..chunk.len()].iter());
    }
    out
}
