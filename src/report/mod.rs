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
pub use burn::{Burn, Count, HISTORY_STEP, HOURS_KEPT, MAX_SERIES, SeriesCounts, WINDOWS};
pub use hours::{HourCounts, SeriesHour, Span};
pub use plot::burn_svg;
pub use status::{
    CellStatus, Decisions, JobList, JobSummary, MAX_JOBS, Problem, SetAside, ShardStatus, VmStatus,
};
