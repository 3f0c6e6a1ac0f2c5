//! The listings that workers write to the platform's store.

use std::net::SocketAddr;

use super::wire;
use crate::model::{Resources, ServiceName, WorkerName, ZoneName};
use crate::port::executor::WorkerListing;

/// The maximum length of a text in a listing, as of the texts of a row's key. The owner of a shard keeps
/// all listings in one record, whose size the store limits.
const MAX_TEXT_BYTES: usize = 200;

/// The maximum number of labels; workers have two.
const MAX_LABELS: usize = 16;

/// Why a worker's row is not a usable listing.
#[derive(Debug, thiserror::Error)]
pub(super) enum ListingError {
    #[error("the row cannot be read: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("the address cannot be read: {0}")]
    Address(#[from] std::net::AddrParseError),
    #[error("the address has port 0: {0}")]
    Port(SocketAddr),
    #[error("a text has {0} bytes; at most {MAX_TEXT_BYTES} are allowed")]
    LongText(usize),
    #[error("there are {0} labels; at most {MAX_LABELS} are allowed")]
    Labels(usize),
    #[error("the state is not known: {0}")]
    State(String),
}

/// Parses the row of the worker `id`.
pub(super) fn parse(id: &str, value: &[u8]) -> Result<WorkerListing, ListingError> {
    let server: wire::Server = serde_json::from_slice(value)?;
    let draining = match server.state.as_str() {
        "ready" => false,
        "draining" => true,
        state => return Err(ListingError::State(state.to_owned())),
    };
    check_sizes(&server)?;
    let address: SocketAddr = server.addr.parse()?;
    if address.port() == 0 {
        return Err(ListingError::Port(address));
    }
    Ok(WorkerListing {
        name: WorkerName::new(id),
        address,
        service: ServiceName::new(&server.service),
        zone: ZoneName::new(&server.zone),
        rack: server.labels.get(1).cloned(),
        labels: server.labels,
        capacity: Resources {
            cpu_milli: server.capacity.cpu,
            memory_mib: server.capacity.mem_mb,
            accelerators: server.capacity.gpu,
        },
        draining,
        boot: server.born,
    })
}

fn check_sizes(server: &wire::Server) -> Result<(), ListingError> {
    if server.labels.len() > MAX_LABELS {
        return Err(ListingError::Labels(server.labels.len()));
    }
    let texts = [&server.service, &server.zone];
    let mut texts = texts.into_iter().chain(&server.labels);
    match texts.find(|text| text.len() > MAX_TEXT_BYTES) {
        Some(text) => Err(ListingError::LongText(text.len())),
        None => Ok(()),
    }
}
