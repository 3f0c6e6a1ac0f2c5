//! HTTP responses and fault switches shared by the stand-ins.

use std::time::Duration;

use hyper::{Response, StatusCode};
use serde::Serialize;
use tokio::sync::watch;

use crate::adapter::http::{ResponseBody, full_body};

/// Maximum size of the body of a request to a stand-in.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Builds a response with a status and a body.
pub fn response(status: StatusCode, body: impl Into<bytes::Bytes>) -> Response<ResponseBody> {
    let mut res = Response::new(full_body(body));
    *res.status_mut() = status;
    res
}

/// Builds a response with a value as JSON.
pub fn json_response(value: &impl Serialize) -> Response<ResponseBody> {
    match serde_json::to_vec(value) {
        Ok(body) => response(StatusCode::OK, body),
        Err(e) => response(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// Builds a response with a value encoded by postcard.
pub fn postcard_response(value: &impl Serialize) -> Response<ResponseBody> {
    match postcard::to_stdvec(value) {
        Ok(body) => response(StatusCode::OK, body),
        Err(e) => response(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// Builds a response with one line of JSON per entry.
pub fn json_lines_response<T: Serialize>(entries: &[T]) -> Response<ResponseBody> {
    let mut body = Vec::new();
    for entry in entries {
        if let Err(e) = serde_json::to_writer(&mut body, entry) {
            return response(StatusCode::INTERNAL_SERVER_ERROR, e.to_string());
        }
        body.push(b'\n');
    }
    response(StatusCode::OK, body)
}

/// Merges the members of the JSON object `patch` into `switches`.
///
/// # Errors
///
/// Returns a description of the problem if `patch` is not an object, names an unknown switch or
/// has a value of the wrong type; `switches` is unchanged then.
pub fn merge_json<T>(switches: &mut T, patch: &[u8]) -> Result<(), String>
where
    T: Serialize + serde::de::DeserializeOwned,
{
    let patch: serde_json::Map<String, serde_json::Value> =
        serde_json::from_slice(patch).map_err(|e| e.to_string())?;
    let mut merged = serde_json::to_value(&*switches).map_err(|e| e.to_string())?;
    let members = merged.as_object_mut().ok_or("no switches")?;
    for (name, value) in patch {
        let member = members.get_mut(&name);
        *member.ok_or_else(|| format!("no switch `{name}`"))? = value;
    }
    *switches = serde_json::from_value(merged).map_err(|e| e.to_string())?;
    Ok(())
}

/// Waits while `blocked` holds for the switches.
pub async fn wait_while<T>(switches: &watch::Sender<T>, blocked: impl Fn(&T) -> bool) {
    let mut rx = switches.subscribe();
    // The channel cannot close while the sender is borrowed.
    let _ = rx.wait_for(|now| !blocked(now)).await;
}

/// Sleeps for `ms` milliseconds; does not yield if that is 0.
pub async fn sleep_ms(ms: u64) {
    if ms > 0 {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}
