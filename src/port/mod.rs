//! The ports: the traits through which a VM reaches workers, the platform and other VMs.

use std::future::Future;
use std::pin::Pin;

pub mod executor;
pub mod feeds;
pub mod object_store;
pub mod peer;
pub mod permits;
pub mod record_store;
pub mod table;
pub mod vm_list;
pub mod worker;

/// A boxed future. It makes the traits usable as trait objects.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;
