//! One entry VM.

pub mod api;
pub mod balances;
pub mod claim;
pub mod clock;
pub mod commit;
pub mod config;
pub mod contact;
pub mod directory;
pub mod gauges;
pub mod handler;
pub mod jobs;
pub mod membership;
pub mod metered;
pub mod observe;
pub mod operators;
pub mod owner;
pub mod owners;
pub mod refresh;
pub mod services;
pub mod shared;
pub mod slots;
pub mod start;
pub mod view;
pub mod vm;
