//! The feed of the workers' list, read over HTTP beside entries of other writers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use chestnutlug::adapter::http::{ResponseBody, ResponseDropped, ServerLimits, full_body, serve};
use chestnutlug::model::WorkerName;
use chestnutlug::platform::{HttpExecutors, PlatformFeeds, PlatformRecordStore};
use chestnutlug::port::executor::{ExecutorError, Executors, PollRequest, WorkerTarget};
use chestnutlug::port::feeds::{FeedUpdate, Feeds, WorkerChange};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::net::TcpListener;

/// The number of rows on a page of the stand-in; the store also sends shorter pages than requested.
const PAGE_ROWS: usize = 2;

/// The limit for one read of the feed, over several pages.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Deeper than the recursion limit of JSON parsers, and deep enough to exhaust a stack without one.
const NESTING: usize = 200_000;

/// A worker that shares a page with the odd entry, and one on the next page.
const GOOD: [&str; 2] = ["m", "z"];

/// The default key of the odd entry.
const ODD: &str = "n";

/// What the other writer has left.
enum Entry {
    /// The bytes of the entry.
    Bytes(Vec<u8>),
    /// A good entry in which one field has another value, as JSON.
    Field(&'static str, String),
    /// A good entry without a field.
    Without(&'static str),
    /// The members of the row besides its key and table, as JSON.
    Row(String),
}

struct Case {
    name: &'static str,
    key: &'static str,
    entry: Entry,
}

fn case(name: &'static str, entry: Entry) -> Case {
    Case {
        name,
        key: ODD,
        entry,
    }
}

fn field(name: &'static str, field: &'static str, value: impl Into<String>) -> Case {
    case(name, Entry::Field(field, value.into()))
}

fn bytes(name: &'static str, value: impl Into<Vec<u8>>) -> Case {
    case(name, Entry::Bytes(value.into()))
}

fn row(name: &'static str, members: impl Into<String>) -> Case {
    case(name, Entry::Row(members.into()))
}

/// An unreadable entry under a key that needs escaping in a URL.
fn key(key: &'static str) -> Case {
    Case {
        name: key,
        key,
        entry: Entry::Bytes(b"?".to_vec()),
    }
}

fn nested(open: &str, close: &str) -> String {
    open.repeat(NESTING) + "1" + &close.repeat(NESTING)
}

fn good(state: &str) -> Value {
    json!({
        "Service": "svc", "Addr": "127.0.0.1:9", "Zone": "a", "Version": "v1", "Slots": 8,
        "State": state, "ColdLeftMs": 0, "Seq": 1, "born": 1_700_000_000_000_u64,
        "Capacity": {"Cpu": 8_000, "MemMb": 64_000, "Gpu": 0}, "Labels": ["k", "r"],
    })
}

impl Entry {
    /// The members of the row besides its key and table, as JSON.
    fn members(&self) -> String {
        match self {
            Self::Bytes(bytes) => value_member(bytes),
            Self::Field(name, value) => {
                let mut entry = good("ready");
                entry[name] = json!("PLACEHOLDER");
                let entry = entry.to_string().replace("\"PLACEHOLDER\"", value);
                value_member(entry.as_bytes())
            }
            Self::Without(name) => {
                let mut entry = good("ready");
                entry.as_object_mut().unwrap().remove(*name);
                value_member(entry.to_string().as_bytes())
            }
            Self::Row(members) => members.clone(),
        }
    }
}

fn value_member(bytes: &[u8]) -> String {
    format!("\"Value\":\"{}\"", BASE64_STANDARD.encode(bytes))
}

#[derive(Default)]
struct Rows {
    /// The JSON text of each row with its version, by key.
    rows: BTreeMap<String, (u64, String)>,
    version: u64,
}

/// A stand-in of the store that serves rows as they were written, readable or not.
struct Store {
    address: SocketAddr,
    rows: Mutex<Rows>,
}

impl Store {
    async fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            rows: Mutex::default(),
        });
        let server = store.clone();
        let handler = move |req| {
            let server = server.clone();
            async move { Ok::<_, ResponseDropped>(server.handle(&req)) }
        };
        let limits = ServerLimits::default();
        tokio::spawn(serve(listener, limits, handler, std::future::pending()));
        store
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn put(&self, key: &str, members: &str) {
        let mut rows = self.lock();
        rows.version += 1;
        let version = rows.version;
        // Members come first, so that a row may also have a `Ver` that cannot be read.
        let ver = if members.contains("\"Ver\"") {
            String::new()
        } else {
            format!(",\"Ver\":{version}")
        };
        let text = format!(
            "{{{members}{}\"Table\":\"servers\",\"part\":\"\",\"Key\":{}{ver}}}",
            if members.is_empty() { "" } else { "," },
            json!(key),
        );
        rows.rows.insert(key.to_owned(), (version, text));
    }

    fn put_good(&self, key: &str, state: &str) {
        self.put(key, &value_member(good(state).to_string().as_bytes()));
    }

    fn handle(&self, req: &Request<Incoming>) -> Response<ResponseBody> {
        let query = req.uri().query().unwrap_or_default();
        let body = match req.uri().path() {
            "/chestnutlug/rows-get" => self.page(query),
            "/chestnutlug/rows-feed" => self.changes(query),
            _ => None,
        };
        let status = match body {
            Some(_) => StatusCode::OK,
            None => StatusCode::BAD_REQUEST,
        };
        let mut res = Response::new(full_body(body.unwrap_or_default()));
        *res.status_mut() = status;
        res
    }

    fn page(&self, query: &str) -> Option<String> {
        let from = param(query, "From")?;
        let rows = self.lock();
        let mut found = rows.rows.range(from..).map(|(_, (_, text))| text.as_str());
        let page: Vec<&str> = found.by_ref().take(PAGE_ROWS).collect();
        let truncated = found.next().is_some();
        Some(body(&page, truncated, rows.version))
    }

    fn changes(&self, query: &str) -> Option<String> {
        let after: u64 = param(query, "After")?.parse().ok()?;
        let rows = self.lock();
        let mut changed: Vec<_> = rows.rows.values().filter(|(at, _)| *at > after).collect();
        changed.sort();
        let changed: Vec<&str> = changed.iter().map(|(_, text)| text.as_str()).collect();
        Some(body(&changed, false, rows.version))
    }
}

fn body(rows: &[&str], truncated: bool, version: u64) -> String {
    let rows = rows.join(",");
    format!("{{\"rows\":[{rows}],\"Truncated\":{truncated},\"Ver\":{version},\"NowMs\":1}}")
}

/// A parameter of a query, decoded as a form; `None` if it is absent or its escapes are wrong.
fn param(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    let mut decoded = Vec::new();
    let mut rest = value.as_bytes();
    while let [first, tail @ ..] = rest {
        rest = tail;
        match first {
            b'+' => decoded.push(b' '),
            b'%' => {
                let hex = std::str::from_utf8(rest.get(..2)?).ok()?;
                decoded.push(u8::from_str_radix(hex, 16).ok()?);
                rest = &rest[2..];
            }
            other => decoded.push(*other),
        }
    }
    String::from_utf8(decoded).ok()
}

async fn read(
    feeds: &PlatformFeeds,
    version: Option<u64>,
) -> Result<FeedUpdate<WorkerChange>, String> {
    let read = feeds.workers(version, Duration::ZERO);
    match tokio::time::timeout(READ_TIMEOUT, read).await {
        Ok(update) => update.map_err(|error| error.to_string()),
        Err(_) => Err("the read does not end".to_owned()),
    }
}

/// The names of the listed workers, those that drain with a `-` before them.
fn listed(update: &FeedUpdate<WorkerChange>) -> Vec<String> {
    let listed = update.items.iter().filter_map(|change| match change {
        WorkerChange::Listed(listing) if listing.draining => Some(format!("-{}", listing.name)),
        WorkerChange::Listed(listing) => Some(listing.name.to_string()),
        WorkerChange::Unlisted(_) => None,
    });
    listed.collect()
}

fn unlisted(update: &FeedUpdate<WorkerChange>) -> Vec<String> {
    let is_unlisted = |change: &&WorkerChange| matches!(change, WorkerChange::Unlisted(_));
    let unlisted = update.items.iter().filter(is_unlisted);
    unlisted.map(|change| change.worker().to_string()).collect()
}

fn check(expected: &[&str], found: &[String], step: &str) -> Result<(), String> {
    if found == expected {
        return Ok(());
    }
    Err(format!("{step}: {found:?} instead of {expected:?}"))
}

async fn play(case: &Case) -> Result<(), String> {
    let store = Store::start().await;
    let feeds = PlatformFeeds::new(Arc::new(PlatformRecordStore::new(store.address)));
    let [first, last] = GOOD;
    store.put_good(first, "ready");
    store.put_good(last, "ready");
    store.put(case.key, &case.entry.members());
    let update = read(&feeds, None).await?;
    check(&[first, last], &listed(&update), "listed at first")?;

    store.put_good(first, "draining");
    let update = read(&feeds, Some(update.version)).await?;
    check(&["-m"], &listed(&update), "listed by a later change")?;

    store.put_good(case.key, "ready");
    let update = read(&feeds, Some(update.version)).await?;
    check(&[case.key], &listed(&update), "listed by a good entry")?;

    store.put(case.key, &case.entry.members());
    store.put_good(last, "draining");
    let update = read(&feeds, Some(update.version)).await?;
    check(&["-z"], &listed(&update), "listed beside the odd entry")?;
    check(&[case.key], &unlisted(&update), "unlisted by the odd entry")?;

    let update = read(&feeds, None).await?;
    check(&["-m", "-z"], &listed(&update), "listed at the end")
}

async fn play_all(cases: Vec<Case>) {
    let mut failures = Vec::new();
    for case in cases {
        if let Err(failure) = play(&case).await {
            failures.push(format!("{:?}: {failure}", case.name));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[tokio::test]
async fn an_unreadable_entry_does_not_hide_the_other_workers() {
    let mut cases = vec![
        bytes("no bytes", ""),
        bytes("bytes that are no text", [0xff, 0xfe, 0x00]),
        bytes("text that is no JSON", "{\"Service\":"),
        bytes("JSON of another type", "null"),
        bytes("nested lists", nested("[", "]")),
        bytes("nested lists without an end", "[".repeat(NESTING)),
        bytes("nested objects", nested("{\"Service\":", "}")),
        field("nested state", "State", nested("[", "]")),
        field("nested capacity", "Capacity", nested("{\"Cpu\":", "}")),
        field("nested labels", "Labels", nested("[", "]")),
        field("number beyond a float", "Capacity", "{\"Cpu\":1e999}"),
        field("number beyond 32 bits", "Capacity", "{\"Cpu\":5000000000}"),
        field("number beyond 64 bits", "born", "18446744073709551616"),
        field("negative number", "Capacity", "{\"Cpu\":-1}"),
        field("fraction", "Capacity", "{\"Cpu\":0.5}"),
        field("port out of range", "Addr", "\"127.0.0.1:70000\""),
        field("port 0", "Addr", "\"127.0.0.1:0\""),
        field("address without port", "Addr", "\"127.0.0.1\""),
        field("address of another type", "Addr", "80"),
        field("unknown state", "State", "\"lost\""),
        field("service of another type", "Service", "null"),
        field("labels of another type", "Labels", "[1]"),
        field(
            "long label",
            "Labels",
            json!(["k".repeat(40_000)]).to_string(),
        ),
        field(
            "many labels",
            "Labels",
            json!(vec!["k"; 10_000]).to_string(),
        ),
        field(
            "long service",
            "Service",
            json!("s".repeat(40_000)).to_string(),
        ),
        field("long zone", "Zone", json!("z".repeat(40_000)).to_string()),
    ];
    let missing = ["Service", "Addr", "Zone", "State", "Capacity"];
    cases.extend(missing.map(|name| case(name, Entry::Without(name))));
    play_all(cases).await;
}

#[tokio::test]
async fn an_unreadable_row_does_not_hide_the_other_workers() {
    play_all(vec![
        row("no value", ""),
        row("value that is no base64", "\"Value\":\"!\""),
        row("value of another type", "\"Value\":7"),
        row("nested value", format!("\"Value\":{}", nested("[", "]"))),
        row("value beyond a float", "\"Value\":1e999"),
        row("version beyond a float", "\"Value\":\"e30=\",\"Ver\":1e999"),
        row("negative version", "\"Value\":\"e30=\",\"Ver\":-1"),
    ])
    .await;
}

#[tokio::test]
async fn a_key_with_reserved_characters_does_not_stop_reads_of_the_list() {
    let keys = [
        "m m", "m&m", "m#m", "m%zz", "m%", "m+m", "m=m", "m\"m", "m\u{e9}", "m/?m", "m\tm",
        "m\u{7f}",
    ];
    play_all(keys.map(key).into()).await;
}

#[tokio::test]
async fn an_unreadable_configuration_is_skipped_and_later_ones_are_read() {
    let good = json!({"Version": 7, "Routes": []}).to_string();
    let cases = [
        bytes("no bytes", ""),
        bytes("nested lists", nested("[", "]")),
        bytes(
            "nested routes",
            format!("{{\"Version\":6,\"Routes\":{}}}", nested("[", "]")),
        ),
        bytes("version beyond a float", "{\"Version\":1e999}"),
        row("value that is no base64", "\"Value\":\"!\""),
        row("nested value", format!("\"Value\":{}", nested("[", "]"))),
    ];
    for case in cases {
        let store = Store::start().await;
        let feeds = PlatformFeeds::new(Arc::new(PlatformRecordStore::new(store.address)));
        store.put("config", &case.entry.members());
        let update = feeds.configurations(None, Duration::ZERO).await;
        let update = update.unwrap_or_else(|error| panic!("{}: {error}", case.name));
        assert!(update.items.is_empty(), "{}", case.name);
        store.put("config", &value_member(good.as_bytes()));
        let update = feeds
            .configurations(Some(update.version), Duration::ZERO)
            .await;
        let update = update.unwrap_or_else(|error| panic!("{}: {error}", case.name));
        let versions: Vec<u64> = update.items.iter().map(|config| config.version).collect();
        assert_eq!(versions, [7], "{}", case.name);
    }
}

#[tokio::test]
async fn a_worker_id_that_is_no_header_value_fails_only_its_own_requests() {
    let request = PollRequest {
        acknowledged: 0,
        lease_until_ms: None,
        wait_ms: 0,
    };
    for name in ["a\nb", "a\rb", "a\0b", "a\u{7f}b"] {
        let target = WorkerTarget {
            name: WorkerName::new(name),
            address: ([127, 0, 0, 1], 9).into(),
            fencing_token: 1,
        };
        let result = HttpExecutors::default().poll(&target, &request).await;
        let not_sent = matches!(result, Err(ExecutorError::NotSent(_)));
        assert!(not_sent, "{name:?}: {result:?}");
    }
}
