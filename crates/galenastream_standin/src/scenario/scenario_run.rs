//! Plays a day.

use std::{path::Path, time::Duration};

use tokio::time::{Instant, sleep, sleep_until};

use super::{ScenarioFault, ScenarioFaultKind, ScenarioPlan};
use crate::{
    DeploymentPlan, LoadRun, LoadSummary, LocalDeployment, LocalVm, StoreFault, TargetAnswerFault,
    Violation, check_invariants, run_load,
};

/// How much longer a slow target takes, and how long a slow store takes.
const SLOW_TARGET: Duration = Duration::from_millis(200);
const SLOW_STORE: Duration = Duration::from_millis(300);

/// How much later a late store does what it is asked.
const LATE_STORE: Duration = Duration::from_millis(2_000);

/// How long after the traffic the last requests may still run.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// What became of a day.
#[derive(Debug)]
pub struct ScenarioRun {
    /// The seed of its traffic.
    pub seed: u64,
    /// The sums.
    pub summary: LoadSummary,
    /// Breaches of what must always hold.
    pub violations: Vec<Violation>,
}

/// One step of a day's faults.
struct Step<'a> {
    at: Duration,
    fault: &'a ScenarioFault,
    begins: bool,
}

/// Plays a day with real nodes of `program` and judges it.
pub async fn run_scenario(
    scenario: &ScenarioPlan,
    program: &Path,
    seed: u64,
) -> anyhow::Result<ScenarioRun> {
    let plan = DeploymentPlan {
        vms: scenario.vm_plans(),
        ..DeploymentPlan::shop(&format!("day-{}-{seed}", scenario.name), program, &[])
    };
    let mut deployment = LocalDeployment::start(&plan).await?;
    let entries = deployment.vms.iter().map(LocalVm::callers_address).collect();
    let load = scenario.load_plan(entries, seed);
    let (loaded, played) = tokio::join!(run_load(&load), play_faults(scenario, &mut deployment));
    played?;
    sleep(SETTLE_TIME).await;
    let LoadRun { summary, samples } = loaded?;
    let violations = check_invariants(&deployment.histories(), &samples);
    deployment.close()?;
    Ok(ScenarioRun { seed, summary, violations })
}

async fn play_faults(
    scenario: &ScenarioPlan,
    deployment: &mut LocalDeployment,
) -> anyhow::Result<()> {
    let mut steps = Vec::new();
    for fault in &scenario.faults {
        steps.push(Step { at: fault.at, fault, begins: true });
        steps.push(Step { at: fault.at + fault.length, fault, begins: false });
    }
    steps.sort_by_key(|it| it.at);
    let began_at = Instant::now();
    for step in steps {
        sleep_until(began_at + step.at).await;
        take_step(&step, deployment).await?;
    }
    Ok(())
}

async fn take_step(step: &Step<'_>, deployment: &mut LocalDeployment) -> anyhow::Result<()> {
    let kind = step.fault.kind;
    if let Some(fault) = store_fault(kind) {
        deployment.store.set_fault(if step.begins { fault } else { StoreFault::None });
        return Ok(());
    }
    let vm = &mut deployment.vms[step.fault.vm];
    if let Some(fault) = answer_fault(kind) {
        vm.target.set_fault(if step.begins { fault } else { TargetAnswerFault::None });
        return Ok(());
    }
    match (kind, step.begins) {
        (ScenarioFaultKind::NodeKilled, true) => vm.kill_node(),
        (ScenarioFaultKind::NodeStopped, true) => vm.stop_node().await.map(drop),
        (ScenarioFaultKind::NodeKilled | ScenarioFaultKind::NodeStopped, false) => vm.start_node(),
        (ScenarioFaultKind::NodeSuspended, begins) => match vm.node() {
            Some(node) if begins => node.freeze(),
            Some(node) => node.resume(),
            None => Ok(()),
        },
        (ScenarioFaultKind::TargetReplaced, true) => vm.replace_target().await,
        _ => Ok(()),
    }
}

fn store_fault(kind: ScenarioFaultKind) -> Option<StoreFault> {
    match kind {
        ScenarioFaultKind::StoreRefuses => Some(StoreFault::Refuse(503)),
        ScenarioFaultKind::StoreSilent => Some(StoreFault::Silent),
        ScenarioFaultKind::StoreLosesAnswers => Some(StoreFault::LoseAnswer),
        ScenarioFaultKind::StoreLate => Some(StoreFault::Late(LATE_STORE)),
        ScenarioFaultKind::StoreSlow => Some(StoreFault::Slow(SLOW_STORE)),
        ScenarioFaultKind::StoreForgets => Some(StoreFault::DropHistory),
        _ => None,
    }
}

fn answer_fault(kind: ScenarioFaultKind) -> Option<TargetAnswerFault> {
    match kind {
        ScenarioFaultKind::TargetSheds => Some(TargetAnswerFault::Shed),
        ScenarioFaultKind::TargetFails => Some(TargetAnswerFault::Fail),
        ScenarioFaultKind::TargetCutsAnswers => Some(TargetAnswerFault::Truncate),
        ScenarioFaultKind::TargetMixesAnswers => Some(TargetAnswerFault::Stray),
        ScenarioFaultKind::TargetSlow => Some(TargetAnswerFault::Slow(SLOW_TARGET)),
        _ => None,
    }
}
