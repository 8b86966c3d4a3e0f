//! Days: a small deployment, its traffic and what goes wrong, as a file describes them.

mod day_plan;
mod day_run;
mod fault;
mod report;

pub use day_plan::{DayPlan, DayTraffic, DayVm};
pub use day_run::{DayRun, run_day};
pub use fault::{DayFault, DayFaultKind};
pub use report::write_report;
