//! Scenarios: a small deployment, its traffic and the faults to inject, as a TOML file describes
//! them. `examples/days` holds such files.

mod crash_plan;
mod fault;
mod fault_injector;
mod lease_call_plan;
mod ownership_plan;
mod report;
mod scenario_plan;
mod scenario_run;
mod soak_plan;
mod soak_seed;

pub use fault::{ScenarioFault, ScenarioFaultKind};
pub use report::write_report;
pub use scenario_plan::{ScenarioBurst, ScenarioPlan, ScenarioTraffic, ScenarioVm};
pub use scenario_run::{ScenarioRun, run_scenario};
pub use soak_seed::{SoakKind, SoakSeed};
