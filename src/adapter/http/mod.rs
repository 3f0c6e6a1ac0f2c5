//! The small HTTP/1.1 client and server that the adapters and the stand-ins share.

mod client;
mod server;

pub use client::{HttpClient, HttpError, HttpResponse};
pub use server::{
    ResponseBody, ResponseDropped, ServerLimits, full_body, read_body, serve, serve_with_guard,
};
