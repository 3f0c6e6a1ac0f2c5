//! A small HTTP/1.1 client and server, shared by the adapters, the listeners and the stand-ins.

mod client;
mod server;

pub use client::{HttpClient, HttpError, HttpResponse};
pub use server::{
    ResponseBody, ResponseDropped, ServerLimits, full_body, read_body, serve, serve_with_guard,
};
