//! What the system reports to operators.
//!
//! * `burn` counts work that met its service-level objective and work that did not;
//! * `hours` is the form in which these counts outlast a VM;
//! * `budget` works out burn rates and what remains of the error budgets;
//! * `plot` draws them; `status` holds the forms of the operators' listener.

mod budget;
mod burn;
mod hours;
mod plot;
mod status;

pub use budget::{BurnReport, BurnRow, WindowBurn};
pub use burn::{
    BURN_WINDOWS, HISTORY_INTERVAL, MAX_SERIES, RETENTION_HOURS, SeriesCounts, SloCount, SloTracker,
};
pub use hours::{HourCounts, MinuteSpan, SeriesHour};
pub use plot::burn_svg;
pub use status::{
    CellStatus, JobDecisions, JobList, JobSummary, MAX_LISTED_JOBS, OperatorProblem,
    SetAsideStatus, ShardStatus, VmStatus,
};
