//! A small cell in one process, a sample workload, and a report from the journals of the stand-ins.

pub mod callers;
pub mod cell;
pub mod report;
pub mod sample;
