//! HTTP interface of the stand-in platform.

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
use crate::standin::response::{MAX_BODY_BYTES, json_response, postcard_response, response};

/// Serves `platform` on `listener` until `stop` completes.
pub async fn serve(
    platform: Arc<StandinPlatform>,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
) {
    let handler = move |req| handle(platform.clone(), req);
    http::serve(listener, ServerLimits::default(), handler, stop).await;
}

type HandlerResult = Result<Response<ResponseBody>, ResponseDropped>;

async fn handle(platform: Arc<StandinPlatform>, req: Request<Incoming>) -> HandlerResult {
    let (head, body) = req.into_parts();
    let body = match read_body(body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(status) => return Ok(response(status, "")),
    };
    // An operation continues after its client has disconnected: its effect may come late.
    let path = head.uri.path().to_owned();
    let result = tokio::spawn(async move { route(&platform, &head.method, &path, body).await });
    result.await.map_err(|_| ResponseDropped)?
}

async fn route(
    platform: &StandinPlatform,
    method: &Method,
    path: &str,
    body: Bytes,
) -> HandlerResult {
    match (method, path) {
        (&Method::POST, "/table/commit") => match decode::<Txn>(&body) {
            Ok(txn) => table_response(platform.commit(&txn).await),
            Err(cause) => Ok(response(StatusCode::BAD_REQUEST, cause)),
        },
        (&Method::POST, "/table/read") => match decode::<String>(&body) {
            Ok(key) => table_response(platform.read(&key).await),
            Err(cause) => Ok(response(StatusCode::BAD_REQUEST, cause)),
        },
        (&Method::POST, "/table/scan") => match decode::<ScanQuery>(&body) {
            Ok(query) => table_response(platform.scan(&query.prefix, query.after.as_deref()).await),
            Err(cause) => Ok(response(StatusCode::BAD_REQUEST, cause)),
        },
        (&Method::GET, "/vms") => table_response(platform.list().await),
        (&Method::PUT, "/vms") => match serde_json::from_slice(&body) {
            Ok(vms) => {
                platform.set_vms(vms);
                Ok(response(StatusCode::OK, ""))
            }
            Err(e) => Ok(response(StatusCode::BAD_REQUEST, e.to_string())),
        },
        (&Method::POST, "/switches") => Ok(match platform.merge_switches(&body) {
            Ok(()) => response(StatusCode::OK, ""),
            Err(cause) => response(StatusCode::BAD_REQUEST, cause),
        }),
        (&Method::GET, "/counters") => Ok(json_response(&platform.counters())),
        _ => handle_object(platform, method, path, body).await,
    }
}

async fn handle_object(
    platform: &StandinPlatform,
    method: &Method,
    path: &str,
    body: Bytes,
) -> HandlerResult {
    let Some(name) = path.strip_prefix("/objects/") else {
        return Ok(response(StatusCode::NOT_FOUND, "no such path"));
    };
    match *method {
        Method::PUT => table_response(platform.put(name, body.to_vec()).await),
        Method::GET => table_response(platform.get(name).await),
        Method::DELETE => table_response(platform.delete(name).await),
        _ => Ok(response(StatusCode::METHOD_NOT_ALLOWED, "")),
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    postcard::from_bytes(body).map_err(|e| e.to_string())
}

fn table_response<T: Serialize>(result: Result<T, TableError>) -> HandlerResult {
    if matches!(result, Err(TableError::Unanswered(_))) {
        return Err(ResponseDropped);
    }
    Ok(postcard_response(&result))
}
