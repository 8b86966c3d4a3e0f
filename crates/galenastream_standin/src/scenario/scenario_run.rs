//! Runs a scenario.

use std::{path::Path, time::Duration};

use tokio::time::{Instant, sleep, sleep_until};

use super::{ScenarioFault, ScenarioFaultKind, ScenarioPlan};
use crate::{
    DeploymentPlan, LoadRun, LoadSummary, LocalDeployment, LocalVm, StoreFault, TargetAnnouncement,
    TargetAnswerFault, Violation, check_invariants, run_load,
};

/// How much longer a slow target processes a request.
const SLOW_TARGET_DELAY: Duration = Duration::from_millis(200);

/// How long a slow store waits before it executes a call.
const SLOW_STORE_DELAY: Duration = Duration::from_millis(300);

/// How long a late store waits before it executes a call that it never answers.
const LATE_STORE_DELAY: Duration = Duration::from_millis(2_000);

/// How long requests may still run on targets after the end of the traffic.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// The result of a scenario.
#[derive(Debug)]
pub struct ScenarioRun {
    /// The seed of the traffic.
    pub seed: u64,
    /// The outcomes and latencies of the requests.
    pub summary: LoadSummary,
    /// The violations of invariants.
    pub violations: Vec<Violation>,
}

/// The start or the end of a fault.
struct FaultStep<'a> {
    at: Duration,
    fault: &'a ScenarioFault,
    is_start: bool,
}

/// Runs a scenario with real nodes of the executable `program`, and checks the invariants.
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
    let (load_run, injected) =
        tokio::join!(run_load(&load), inject_faults(scenario, &mut deployment));
    injected?;
    sleep(SETTLE_TIME).await;
    let LoadRun { summary, samples } = load_run?;
    let violations = check_invariants(&deployment.histories(), &samples);
    deployment.close()?;
    Ok(ScenarioRun { seed, summary, violations })
}

async fn inject_faults(
    scenario: &ScenarioPlan,
    deployment: &mut LocalDeployment,
) -> anyhow::Result<()> {
    let mut steps = Vec::new();
    for fault in &scenario.faults {
        steps.push(FaultStep { at: fault.at, fault, is_start: true });
        steps.push(FaultStep { at: fault.at + fault.length, fault, is_start: false });
    }
    steps.sort_by_key(|it| it.at);
    let began_at = Instant::now();
    for step in steps {
        sleep_until(began_at + step.at).await;
        apply_step(&step, deployment).await?;
    }
    Ok(())
}

async fn apply_step(step: &FaultStep<'_>, deployment: &mut LocalDeployment) -> anyhow::Result<()> {
    let kind = step.fault.kind;
    if let Some(fault) = store_fault(kind) {
        deployment.store.set_fault(if step.is_start { fault } else { StoreFault::None });
        return Ok(());
    }
    let vm = &mut deployment.vms[step.fault.vm];
    if let Some(fault) = answer_fault(kind) {
        vm.target.set_fault(if step.is_start { fault } else { TargetAnswerFault::None });
        return Ok(());
    }
    match (kind, step.is_start) {
        (ScenarioFaultKind::NodeKilled, true) => vm.kill_node(),
        (ScenarioFaultKind::NodeStopped, true) => vm.stop_node().await.map(drop),
        (ScenarioFaultKind::NodeKilled | ScenarioFaultKind::NodeStopped, false) => vm.start_node(),
        (ScenarioFaultKind::NodeSuspended, is_start) => match vm.node() {
            Some(node) if is_start => node.suspend(),
            Some(node) => node.resume(),
            None => Ok(()),
        },
        (ScenarioFaultKind::TargetLimited, is_start) => {
            vm.target.announce(match is_start {
                true => TargetAnnouncement::limit(step.fault.limit_per_s),
                false => TargetAnnouncement::default(),
            });
            Ok(())
        }
        (ScenarioFaultKind::TargetReplaced, true) => vm.replace_target().await,
        _ => Ok(()),
    }
}

fn store_fault(kind: ScenarioFaultKind) -> Option<StoreFault> {
    match kind {
        ScenarioFaultKind::StoreRefuses => Some(StoreFault::Refuse(503)),
        ScenarioFaultKind::StoreSilent => Some(StoreFault::Silent),
        ScenarioFaultKind::StoreLosesAnswers => Some(StoreFault::LoseAnswer),
        ScenarioFaultKind::StoreLate => Some(StoreFault::Late(LATE_STORE_DELAY)),
        ScenarioFaultKind::StoreSlow => Some(StoreFault::Slow(SLOW_STORE_DELAY)),
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
        ScenarioFaultKind::TargetSlow => Some(TargetAnswerFault::Slow(SLOW_TARGET_DELAY)),
        _ => None,
    }
}
