//! The platform's stand-in over HTTP.

use std::future::Future;
use std::sync::Arc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;

use super::StandinPlatform;
use crate::adapter::http::{self, ResponseBody, ResponseDropped, ServerLimits, read_body};
use crate::adapter::table::ScanQuery;
use crate::port::object_store::ObjectStore;
use crate::port::table::{Table, TableError, Txn};
use crate::port::vm_list::VmList;
use crate::standin::reply::{MAX_BODY_BYTES, answer, json, postcard};

/// Serves `platform` on `listener` until `stop`.
pub async fn serve(
    platform: Arc<StandinPlatform>,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
) {
    let handler = move |req| handle(platform.clone(), req);
    http::serve(listener, ServerLimits::default(), handler, stop).await;
}

type Handled = Result<Response<ResponseBody>, ResponseDropped>;

async fn handle(platform: Arc<StandinPlatform>, req: Request<Incoming>) -> Handled {
    let (head, body) = req.into_parts();
    let body = match read_body(body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(status) => return Ok(answer(status, "")),
    };
    // An operation goes on when its caller has gone: its effect may come late.
    let path = head.uri.path().to_owned();
    let handled = tokio::spawn(async move { route(&platform, &head.method, &path, body).await });
    handled.await.map_err(|_| ResponseDropped)?
}

async fn route(platform: &StandinPlatform, method: &Method, path: &str, body: Bytes) -> Handled {
    match (method, path) {
        (&Method::POST, "/table/commit") => match decode::<Txn>(&body) {
            Ok(txn) => reply(platform.commit(&txn).await),
            Err(cause) => Ok(answer(StatusCode::BAD_REQUEST, cause)),
        },
        (&Method::POST, "/table/read") => match decode::<String>(&body) {
            Ok(key) => reply(platform.read(&key).await),
            Err(cause) => Ok(answer(StatusCode::BAD_REQUEST, cause)),
        },
        (&Method::POST, "/table/scan") => match decode::<ScanQuery>(&body) {
            Ok(query) => reply(platform.scan(&query.prefix, query.after.as_deref()).await),
            Err(cause) => Ok(answer(StatusCode::BAD_REQUEST, cause)),
        },
        (&Method::GET, "/vms") => reply(platform.list().await),
        (&Method::PUT, "/vms") => match serde_json::from_slice(&body) {
            Ok(vms) => {
                platform.set_vms(vms);
                Ok(answer(StatusCode::OK, ""))
            }
            Err(e) => Ok(answer(StatusCode::BAD_REQUEST, e.to_string())),
        },
        (&Method::POST, "/switches") => Ok(match platform.switch_json(&body) {
            Ok(()) => answer(StatusCode::OK, ""),
            Err(cause) => answer(StatusCode::BAD_REQUEST, cause),
        }),
        (&Method::GET, "/counters") => Ok(json(&platform.counters())),
        _ => objects(platform, method, path, body).await,
    }
}

async fn objects(platform: &StandinPlatform, method: &Method, path: &str, body: Bytes) -> Handled {
    let Some(name) = path.strip_prefix("/objects/") else {
        return Ok(answer(StatusCode::NOT_FOUND, "no such path"));
    };
    match *method {
        Method::PUT => reply(platform.put(name, body.to_vec()).await),
        Method::GET => reply(platform.get(name).await),
        Method::DELETE => reply(platform.delete(name).await),
        _ => Ok(answer(StatusCode::METHOD_NOT_ALLOWED, "")),
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    postcard::from_bytes(body).map_err(|e| e.to_string())
}

fn reply<T: Serialize>(done: Result<T, TableError>) -> Handled {
    if matches!(done, Err(TableError::Unanswered(_))) {
        return Err(ResponseDropped);
    }
    Ok(postcard(&done))
}
