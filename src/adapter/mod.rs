//! Implementations of the ports over HTTP and nng.

pub mod http;
pub mod nng;
pub mod object_store;
pub mod running_list;
pub mod table;
pub mod traffic;
pub mod vm_list;
pub mod worker;
