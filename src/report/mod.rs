//! Reports for operators.
//!
//! * `slo_tracker` counts task starts that met their service-level objective and those that missed
//!   it;
//! * `hours` is the form in which these counts are stored, so that they outlast a VM;
//! * `budget` computes burn rates and remaining error budgets;
//! * `plot` plots the burn rates;
//! * `status` holds the responses of the operators' listener.

mod budget;
mod hours;
mod plot;
mod slo_tracker;
mod status;

pub use budget::{BurnReport, BurnRow, WindowBurn};
pub use hours::{HourCounts, MinuteSpan, SeriesHour};
pub use plot::burn_svg;
pub use slo_tracker::{
    BURN_WINDOWS, HISTORY_INTERVAL, MAX_SERIES, RETENTION_HOURS, SeriesCounts, SloCount, SloTracker,
};
pub use status::{
    CellStatus, JobDecisions, JobList, JobSummary, MAX_LISTED_JOBS, OperatorProblem,
    SetAsideStatus, ShardStatus, VmStatus,
};
