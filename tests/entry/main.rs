//! Tests of the server for callers, with fakes of the rest of a node and stand-in backend servers.

mod callers;
mod faults;
mod requests;
mod support;
