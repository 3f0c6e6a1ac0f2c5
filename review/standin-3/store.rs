//! The platform's store: rows, transactions, feeds. It loses nothing, and its history lasts `HISTORY`.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{start_server, Request};
use crate::json::{quote, Json};

const HISTORY: Duration = Duration::from_secs(20);
const TX_TIME: Duration = Duration::from_millis(6);
const READ_TIME: Duration = Duration::from_millis(4);
const MAX_ROWS: usize = 500;
const MAX_BYTES: usize = 1 << 20;

/// Table, partition, key.
type RowKey = (String, String, String);

struct Change {
    at: Instant,
    version: u64,
    key: RowKey,
    deleted: bool,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<RowKey, (String, u64)>,
    version: u64,
    /// The version up to which the history is dropped.
    dropped: u64,
    history: VecDeque<Change>,
}

pub struct Store {
    start: Instant,
    state: Mutex<State>,
    changed: Condvar,
    parts: Mutex<BTreeMap<String, Arc<Mutex<()>>>>,
}

impl Store {
    pub fn start() -> io::Result<(Arc<Store>, SocketAddr)> {
        let store = Arc::new(Store {
            start: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            parts: Mutex::default(),
        });
        let shared = store.clone();
        let address = start_server(([127, 0, 0, 1], 0).into(), move |request| {
            shared.handle(request)
        })?;
        Ok((store, address))
    }

    /// Writes a row of the operator or of a worker.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        let row = (table.to_owned(), String::new(), key.to_owned());
        apply(&mut state, vec![(row, Some(base64(value.as_bytes())))]);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/chestnutlug/rows-tx") => self.transaction(request),
            ("GET", "/chestnutlug/rows-get") => self.read(request),
            ("GET", "/chestnutlug/rows-parts") => self.list_parts(request),
            ("GET", "/chestnutlug/rows-feed") => self.feed(request),
            _ => (404, "{}".to_owned()),
        }
    }

    fn transaction(&self, request: &Request) -> (u16, String) {
        let Some(body) = Json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let key = |row: &Json| {
            let [table, part, key] =
                ["Table", "part", "Key"].map(|name| row.get(name).text().to_owned());
            (table, part, key)
        };
        let expected = body.get("ExpectRev").list();
        let (puts, removals) = (body.get("Puts").list(), body.get("Remove").list());
        let rows: Vec<&Json> = expected.iter().chain(puts).chain(removals).collect();
        let mut parts: Vec<&str> = rows.iter().map(|row| row.get("part").text()).collect();
        parts.sort_unstable();
        parts.dedup();
        let system = |row: &Json| ["op", "servers"].contains(&row.get("Table").text());
        if puts.iter().chain(removals).any(system) {
            return (403, "{}".to_owned());
        }
        if parts.len() != 1 || rows.len() > 100 || request.body.len() > MAX_BYTES {
            return (400, "{}".to_owned());
        }
        let lock = self
            .parts
            .lock()
            .unwrap()
            .entry(parts[0].to_owned())
            .or_default()
            .clone();
        let _turn = lock.lock().unwrap();
        thread::sleep(TX_TIME);
        let mut state = self.state.lock().unwrap();
        let version = |row: &Json| state.rows.get(&key(row)).map_or(0, |(_, version)| *version);
        if expected
            .iter()
            .any(|row| row.get("Ver").number().unwrap_or(0) != version(row))
        {
            let current: Vec<String> = expected
                .iter()
                .filter_map(|row| {
                    let key = key(row);
                    state
                        .rows
                        .get(&key)
                        .map(|(value, version)| text(&key, value, *version))
                })
                .collect();
            return (412, self.answer(&current, false, &state));
        }
        let mut changes: Vec<_> = puts
            .iter()
            .map(|row| (key(row), Some(row.get("Value").text().to_owned())))
            .collect();
        changes.extend(removals.iter().map(|row| (key(row), None)));
        apply(&mut state, changes);
        self.changed.notify_all();
        (200, self.answer(&[], false, &state))
    }

    fn read(&self, request: &Request) -> (u16, String) {
        thread::sleep(READ_TIME);
        let parameter = |name| request.parameter(name).unwrap_or_default();
        let (table, part, from) = (parameter("Table"), parameter("part"), parameter("From"));
        let to = request.parameter("To");
        let limit = request
            .parameter("Limit")
            .and_then(|limit| limit.parse().ok());
        let limit = limit.unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let state = self.state.lock().unwrap();
        let mut rows = Vec::new();
        let (mut bytes, mut truncated) = (0, false);
        for (key, (value, version)) in state.rows.range((table.clone(), part.clone(), from)..) {
            if key.0 != table || key.1 != part || to.as_ref().is_some_and(|to| key.2 >= *to) {
                break;
            }
            let row = text(key, value, *version);
            bytes += row.len();
            if rows.len() == limit || bytes > MAX_BYTES {
                truncated = true;
                break;
            }
            rows.push(row);
        }
        (200, self.answer(&rows, truncated, &state))
    }

    fn list_parts(&self, request: &Request) -> (u16, String) {
        let table = request.parameter("Table").unwrap_or_default();
        let after = request.parameter("After");
        let state = self.state.lock().unwrap();
        let mut parts: Vec<&str> = Vec::new();
        for (row_table, part, _) in state.rows.keys() {
            let is_new = parts.last() != Some(&part.as_str());
            if *row_table == table && is_new && after.as_ref().is_none_or(|after| part > after) {
                parts.push(part);
            }
        }
        parts.truncate(1_000);
        let parts: Vec<String> = parts.into_iter().map(quote).collect();
        let now = self.start.elapsed().as_millis();
        (
            200,
            format!(
                "{{\"parts\":[{}],\"Ver\":{},\"NowMs\":{now}}}",
                parts.join(","),
                state.version
            ),
        )
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let number = |name| {
            request
                .parameter(name)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let table = request.parameter("Table").unwrap_or_default();
        let after = number("After");
        let until = Instant::now() + Duration::from_millis(number("WaitMs").min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            if after < state.dropped {
                return (410, "{}".to_owned());
            }
            // Of several changes of a row the newest counts.
            let mut newest = BTreeMap::new();
            for change in state
                .history
                .iter()
                .rev()
                .take_while(|change| change.version > after)
            {
                if change.key.0 == table {
                    newest.entry(&change.key).or_insert(change);
                }
            }
            let mut changes: Vec<&Change> = newest.into_values().collect();
            changes.sort_by_key(|change| change.version);
            let mut rows = Vec::new();
            for change in changes {
                match state.rows.get(&change.key) {
                    Some((value, version)) if !change.deleted => {
                        rows.push(text(&change.key, value, *version))
                    }
                    _ => {
                        let (table, part, key) = &change.key;
                        rows.push(format!(
                            "{{\"Table\":{},\"part\":{},\"Key\":{},\"Ver\":{},\"Deleted\":true}}",
                            quote(table),
                            quote(part),
                            quote(key),
                            change.version
                        ));
                    }
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, self.answer(&rows, false, &state));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn answer(&self, rows: &[String], truncated: bool, state: &State) -> String {
        format!(
            "{{\"rows\":[{}],\"Truncated\":{truncated},\"Ver\":{},\"NowMs\":{}}}",
            rows.join(","),
            state.version,
            self.start.elapsed().as_millis()
        )
    }
}

fn apply(state: &mut State, changes: Vec<(RowKey, Option<String>)>) {
    state.version += 1;
    let (version, at) = (state.version, Instant::now());
    for (key, value) in changes {
        let deleted = value.is_none();
        match value {
            Some(value) => {
                state.rows.insert(key.clone(), (value, version));
            }
            None => {
                state.rows.remove(&key);
            }
        }
        state.history.push_back(Change {
            at,
            version,
            key,
            deleted,
        });
    }
    while state
        .history
        .front()
        .is_some_and(|change| change.at + HISTORY < at)
    {
        let change = state.history.pop_front().expect("checked above");
        state.dropped = change.version;
    }
}

fn text((table, part, key): &RowKey, value: &str, version: u64) -> String {
    format!(
        "{{\"Table\":{},\"part\":{},\"Key\":{},\"Value\":\"{value}\",\"Ver\":{version}}}",
        quote(table),
        quote(part),
        quote(key)
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(char::from(DIGITS[(word >> (18 - 6 * place) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
