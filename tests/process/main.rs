//! Tests of the built binary in separate processes on loopback: entry VMs and stand-ins of the platform,
//! the workers and the backend servers. The tests kill and freeze processes and inject faults through
//! the stand-ins' switches; the oracle checks the invariants.

mod callers;
mod cell;
mod e2e;
mod fault;
mod layout;
mod links;
mod load;
mod partition;
mod process;
mod race;
mod recovery;
mod relay;
mod zone;
