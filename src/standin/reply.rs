//! Answers that the stand-ins share.

use std::time::Duration;

use hyper::{Response, StatusCode};
use serde::Serialize;
use tokio::sync::watch;

use crate::adapter::http::{ResponseBody, full_body};

/// The longest body of a request to a stand-in.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// An answer with a status and a body.
pub fn answer(status: StatusCode, body: impl Into<bytes::Bytes>) -> Response<ResponseBody> {
    let mut res = Response::new(full_body(body));
    *res.status_mut() = status;
    res
}

/// An answer with a value as JSON.
pub fn json(value: &impl Serialize) -> Response<ResponseBody> {
    match serde_json::to_vec(value) {
        Ok(body) => answer(StatusCode::OK, body),
        Err(e) => answer(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// An answer with a value encoded by postcard.
pub fn postcard(value: &impl Serialize) -> Response<ResponseBody> {
    match postcard::to_stdvec(value) {
        Ok(body) => answer(StatusCode::OK, body),
        Err(e) => answer(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// An answer with one JSON line per entry.
pub fn json_lines<T: Serialize>(entries: &[T]) -> Response<ResponseBody> {
    let mut body = Vec::new();
    for entry in entries {
        if let Err(e) = serde_json::to_writer(&mut body, entry) {
            return answer(StatusCode::INTERNAL_SERVER_ERROR, e.to_string());
        }
        body.push(b'\n');
    }
    answer(StatusCode::OK, body)
}

/// Merges the members of a JSON object into `switches`.
///
/// # Errors
///
/// Returns what is wrong with the object.
pub fn merge<T>(switches: &mut T, change: &[u8]) -> Result<(), String>
where
    T: Serialize + serde::de::DeserializeOwned,
{
    let change: serde_json::Map<String, serde_json::Value> =
        serde_json::from_slice(change).map_err(|e| e.to_string())?;
    let mut merged = serde_json::to_value(&*switches).map_err(|e| e.to_string())?;
    let members = merged.as_object_mut().ok_or("no switches")?;
    for (name, value) in change {
        let member = members.get_mut(&name);
        *member.ok_or_else(|| format!("no switch `{name}`"))? = value;
    }
    *switches = serde_json::from_value(merged).map_err(|e| e.to_string())?;
    Ok(())
}

/// Waits until `blocked` no longer holds of the switches.
pub async fn wait_while<T>(switches: &watch::Sender<T>, blocked: impl Fn(&T) -> bool) {
    let mut rx = switches.subscribe();
    // The sender is borrowed, so that the channel cannot close.
    let _ = rx.wait_for(|now| !blocked(now)).await;
}

/// Sleeps for `ms` milliseconds, and not at all for none.
pub async fn pause(ms: u64) {
    if ms > 0 {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}
