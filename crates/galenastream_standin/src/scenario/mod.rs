//! Days: a small deployment, its traffic and what goes wrong, as a file describes them.

mod fault;
mod report;
mod scenario_plan;
mod scenario_run;

pub use fault::{ScenarioFault, ScenarioFaultKind};
pub use report::write_report;
pub use scenario_plan::{ScenarioPlan, ScenarioTraffic, ScenarioVm};
pub use scenario_run::{ScenarioRun, run_scenario};
