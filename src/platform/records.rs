//! The platform's store as a [`RecordStore`].

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde_json::value::RawValue;

use super::http;
use super::wire;
use crate::adapter::http::{HttpClient, HttpError, HttpResponse};
use crate::port::BoxFuture;
use crate::port::record_store::{
    Record, RecordKey, RecordStore, StoreCall, StoreError, StoreReply, Transaction,
};

/// The maximum number of connections to the store: long polls of two feeds, and other calls besides
/// them.
const MAX_CONNECTIONS: usize = 8;

/// Accesses the store over HTTP.
pub struct PlatformRecordStore {
    client: HttpClient,
}

impl PlatformRecordStore {
    /// A client for the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: HttpClient::new(address, MAX_CONNECTIONS),
        }
    }

    async fn execute(&self, call: &StoreCall, timeout: Duration) -> Result<StoreReply, StoreError> {
        match call {
            StoreCall::Commit(transaction) => self.commit(transaction, timeout).await,
            StoreCall::Scan {
                table,
                partition,
                from,
                to,
                limit,
            } => {
                let mut path = format!(
                    "/chestnutlug/rows-get?Table={}&part={}&From={}&Limit={limit}",
                    escape(table),
                    escape(partition),
                    escape(from)
                );
                if let Some(to) = to {
                    path.push_str("&To=");
                    path.push_str(&escape(to));
                }
                self.read(&path, timeout).await
            }
            StoreCall::Changes {
                table,
                after,
                wait_ms,
            } => {
                let path = format!(
                    "/chestnutlug/rows-feed?Table={}&After={after}&WaitMs={wait_ms}",
                    escape(table)
                );
                let timeout = timeout + Duration::from_millis(u64::from(*wait_ms));
                self.read(&path, timeout).await
            }
        }
    }

    async fn commit(
        &self,
        transaction: &Transaction,
        timeout: Duration,
    ) -> Result<StoreReply, StoreError> {
        let conditions = transaction.expected.iter();
        let puts = transaction.puts.iter();
        let body = wire::RowsTx {
            expect_rev: conditions
                .map(|(key, version)| row(key, None, Some(*version)))
                .collect(),
            puts: puts
                .map(|(key, value)| row(key, Some(value), None))
                .collect(),
            remove: transaction
                .removals
                .iter()
                .map(|key| row(key, None, None))
                .collect(),
        };
        let sent = http::post(&self.client, "/chestnutlug/rows-tx", &[], &body, timeout).await;
        let response = sent.map_err(call_error)?;
        match response.status {
            StatusCode::OK => {
                let rows = decode(&response)?;
                Ok(StoreReply::Committed { version: rows.ver })
            }
            StatusCode::PRECONDITION_FAILED => {
                let rows = decode(&response)?;
                let records = records(&rows.rows)?;
                Ok(StoreReply::Conflict { records })
            }
            status => Err(status_error(status, &response)),
        }
    }

    async fn read(&self, path: &str, timeout: Duration) -> Result<StoreReply, StoreError> {
        let sent = self
            .client
            .call(Method::GET, path, Bytes::new(), timeout)
            .await;
        let response = sent.map_err(call_error)?;
        match response.status {
            StatusCode::OK => {
                let rows = decode(&response)?;
                Ok(StoreReply::Records {
                    truncated: rows.truncated,
                    version: rows.ver,
                    records: records(&rows.rows)?,
                })
            }
            StatusCode::GONE => Ok(StoreReply::HistoryGone),
            status => Err(status_error(status, &response)),
        }
    }
}

impl RecordStore for PlatformRecordStore {
    fn call<'a>(
        &'a self,
        call: &'a StoreCall,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<StoreReply, StoreError>> {
        Box::pin(self.execute(call, timeout))
    }
}

/// Percent-encodes a text for the query of a URL. `!` and `/` are no delimiters there, and ranges of keys
/// use them.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~!/".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            escaped.push_str(&format!("%{byte:02X}"));
        }
    }
    escaped
}

fn row(key: &RecordKey, value: Option<&[u8]>, version: Option<u64>) -> wire::Row {
    wire::Row {
        table: key.table.clone(),
        part: key.partition.clone(),
        key: key.key.clone(),
        value: value.map(|value| BASE64_STANDARD.encode(value)),
        ver: version,
        deleted: false,
    }
}

fn records(rows: &[&RawValue]) -> Result<Vec<Record>, StoreError> {
    rows.iter().map(|row| record(row)).collect()
}

/// Converts a row. Other programs write to the store too: a row that cannot be read becomes a record
/// with an empty value, which no format accepts, so that readers still learn whose row it is.
fn record(text: &RawValue) -> Result<Record, StoreError> {
    let unreadable = |error: &dyn std::fmt::Display| {
        let row: wire::RowKey = serde_json::from_str(text.get()).map_err(malformed)?;
        tracing::warn!(table = %row.table, key = %row.key, %error,
            "cannot read a row of the store; passing it on with an empty value");
        Ok(Record {
            key: RecordKey::new(&row.table, &row.part, row.key),
            value: Some(Vec::new()),
            version: 0,
        })
    };
    let row: wire::Row = match serde_json::from_str(text.get()) {
        Ok(row) => row,
        Err(error) => return unreadable(&error),
    };
    let value = match (&row.value, row.deleted) {
        (Some(value), false) => match BASE64_STANDARD.decode(value) {
            Ok(value) => Some(value),
            Err(error) => return unreadable(&error),
        },
        _ => None,
    };
    Ok(Record {
        key: RecordKey::new(&row.table, &row.part, row.key),
        value,
        version: row.ver.unwrap_or(0),
    })
}

fn decode(response: &HttpResponse) -> Result<wire::Rows<'_>, StoreError> {
    serde_json::from_slice(&response.body).map_err(malformed)
}

fn malformed(error: serde_json::Error) -> StoreError {
    StoreError::Unknown(format!("the answer cannot be read: {error}"))
}

fn call_error(error: HttpError) -> StoreError {
    match error {
        HttpError::NotSent(reason) => StoreError::NotDone(reason),
        HttpError::NoResponse(reason) => StoreError::Unknown(reason),
    }
}

/// The error for an unsuccessful status. With some the call was not applied and can be retried, with
/// others a retry would not help, and otherwise the outcome is unknown.
fn status_error(status: StatusCode, response: &HttpResponse) -> StoreError {
    let text = String::from_utf8_lossy(&response.body);
    let reason = format!("{status}: {}", text.chars().take(200).collect::<String>());
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            StoreError::NotDone(reason)
        }
        status if status.is_client_error() => StoreError::Rejected(reason),
        _ => StoreError::Unknown(reason),
    }
}
