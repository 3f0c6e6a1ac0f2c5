//! The built binary in processes of its own: entry VMs, platform, workers and backend servers on
//! loopback, with kills, freezes and the stand-ins' switches, judged by the oracle.

mod callers;
mod cell;
mod cut;
mod e2e;
mod fault;
mod layout;
mod links;
mod load;
mod process;
mod race;
mod recovery;
mod relay;
mod zone;
