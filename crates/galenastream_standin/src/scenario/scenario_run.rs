//! Runs a scenario.

use std::{
    path::{Path, PathBuf},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use tokio::time::sleep;

use super::{ScenarioFault, ScenarioPlan, fault_injector::FaultInjector};
use crate::{
    DeploymentPlan, Disturbance, LoadOutcome, LoadRun, LoadSample, LoadSummary, LocalDeployment,
    LocalVm, TargetHistory, Violation, check_crashes, check_invariants, run_load,
};

/// How long requests may still run on targets after the end of the traffic.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// How long after the end of all faults the requests are served again.
const RECOVERY_TIME: Duration = Duration::from_secs(15);

/// How long after a crash its target may be missing: until another one has started and holds keys.
const CRASH_RECOVERY_TIME: Duration = Duration::from_secs(5);

/// How late a fault ends at most, and how long a node takes to start.
const FAULT_DELAY: Duration = Duration::from_millis(500);

/// The share of each class that is served from then on. The load is far below the capacity, and
/// nothing is in trouble any more.
const MIN_RECOVERED_PERCENT: usize = 90;

/// The result of a scenario.
#[derive(Debug)]
pub struct ScenarioRun {
    /// The seed of the traffic.
    pub seed: u64,
    /// The outcomes and latencies of the requests.
    pub summary: LoadSummary,
    /// The violations of invariants.
    pub violations: Vec<Violation>,
    /// The folder with the logs of the nodes and the outcomes of all requests, if there were
    /// violations.
    pub logs: Option<PathBuf>,
}

/// Runs a scenario with real nodes of the executable `program`, and checks the invariants.
pub async fn run_scenario(
    scenario: &ScenarioPlan,
    program: &Path,
    seed: u64,
) -> anyhow::Result<ScenarioRun> {
    let plan = DeploymentPlan {
        vms: scenario.vm_plans(),
        config: Some(DeploymentPlan::grown_shop_config(1, 0, scenario.limits(0))),
        has_proxies: scenario.has_proxies(),
        ..DeploymentPlan::shop(&format!("day-{}-{seed}", scenario.name), program, &[])
    };
    let mut deployment = LocalDeployment::start(&plan).await?;
    let entries = deployment.vms.iter().map(LocalVm::callers_address).collect();
    let load = scenario.load_plan(entries, seed);
    let (began_at, began_unix) = (Instant::now(), SystemTime::now());
    let (load_run, injected) =
        tokio::join!(run_load(&load), FaultInjector::new(scenario, &mut deployment).run());
    let mut violations = injected?;
    sleep(SETTLE_TIME).await;
    let LoadRun { summary, samples } = load_run?;
    let histories = deployment.histories();
    violations.extend(check_invariants(&histories, &samples));
    let by_vm: Vec<Vec<TargetHistory>> = deployment.vms.iter().map(LocalVm::histories).collect();
    violations.extend(check_crashes(&by_vm, &samples, &disturbances(scenario, began_at)));
    violations.extend(check_recovery(scenario, &samples, &crashes(&histories, began_at)));
    let folder = deployment.close_and_keep_logs();
    if violations.is_empty() {
        folder.close()?;
        return Ok(ScenarioRun { seed, summary, violations, logs: None });
    }
    let outcomes: Vec<String> = samples.iter().map(|it| format!("{it:?}\n")).collect();
    let texts: Vec<String> = violations.iter().map(|it| format!("{it}\n")).collect();
    folder.write("outcomes.txt", &outcomes.concat())?;
    folder.write("violations.txt", &texts.concat())?;
    folder.write("leases.txt", &lease_list(&histories, began_at, began_unix))?;
    folder.write("plan.txt", &format!("{scenario:#?}"))?;
    Ok(ScenarioRun { seed, summary, violations, logs: Some(folder.path().to_owned()) })
}

/// Returns when nodes were out of touch with others.
fn disturbances(scenario: &ScenarioPlan, began_at: Instant) -> Vec<Disturbance> {
    let disturbance = |it: &ScenarioFault| Disturbance {
        vm: it.vm,
        from: began_at + it.at,
        until: began_at + it.end() + FAULT_DELAY,
    };
    scenario.faults.iter().filter(|it| it.disturbs_node()).map(disturbance).collect()
}

/// Lists which target held which keys, and from when to when since the start of the traffic.
fn lease_list(histories: &[TargetHistory], began_at: Instant, began_unix: SystemTime) -> String {
    let began_unix = began_unix.duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut lines = vec![format!("the traffic began at {began_unix:?} after 1970\n")];
    let since = |it: Instant| it.saturating_duration_since(began_at).as_secs_f64();
    for history in histories {
        for span in &history.held {
            lines.push(format!(
                "{:8.3} {:8.3} s: {} held {} to {} under fencing token {}\n",
                since(span.from),
                since(span.until),
                history.id,
                span.first,
                span.last,
                span.fence
            ));
        }
    }
    lines[1..].sort();
    lines.concat()
}

/// Returns when requests crashed targets, since the start of the traffic.
fn crashes(histories: &[TargetHistory], began_at: Instant) -> Vec<Duration> {
    let ends = histories.iter().filter_map(|it| it.end.as_ref());
    let crashed = ends.filter(|it| it.crashed_by.is_some());
    crashed.map(|it| it.at.saturating_duration_since(began_at)).collect()
}

/// Checks the requests that start after the time to recover from the last fault. Those that a crash
/// affects are left out: [`check_crashes`] limits how often requests may crash targets, at any time.
fn check_recovery(
    scenario: &ScenarioPlan,
    samples: &[LoadSample],
    crashes: &[Duration],
) -> Vec<Violation> {
    let is_affected = |it: &LoadSample| {
        crashes
            .iter()
            .any(|crash| it.at <= *crash + CRASH_RECOVERY_TIME && *crash <= it.at + it.latency)
    };
    let last_end = scenario.faults.iter().map(|it| it.end()).max().unwrap_or_default();
    let mut violations = Vec::new();
    for (index, class) in scenario.traffic.iter().enumerate() {
        if scenario.is_crashing(index) {
            continue;
        }
        let late =
            samples.iter().filter(|it| it.class == index && it.at >= last_end + RECOVERY_TIME);
        let (mut ran, mut total) = (0, 0);
        for sample in late {
            if is_affected(sample) {
                continue;
            }
            total += 1;
            ran += usize::from(sample.outcome == LoadOutcome::Ran);
        }
        if ran * 100 < total * MIN_RECOVERED_PERCENT {
            violations.push(Violation::NotRecovered { class: class.name.clone(), ran, total });
        }
    }
    violations
}
