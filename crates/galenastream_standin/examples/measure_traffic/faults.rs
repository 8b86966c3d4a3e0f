//! Latency while one target is frozen, slow, or lies about its load.

use std::{collections::BTreeMap, time::Duration};

use anyhow::ensure;
use galenastream_standin::{
    Caller, CallerRequest, LoadClass, LoadEntry, LoadKind, LocalDeployment, TargetFaults, run_load,
    wait_until,
};
use http::Method;

use crate::setting::{KEYED, UNDIVIDED, even_plan, head, line, start};

const VMS: usize = 4;
const SLOTS: u32 = 6;
const SERVICE_MS: f64 = 5.0;

/// Two fifths of the capacity, so that three of four targets can carry all of it.
const RATE_PER_S: f64 = 1_900.0;

/// How long the target that was at fault may take to serve again.
const RETURN_LIMIT: Duration = Duration::from_secs(60);
const LIGHT_RATE_PER_S: f64 = 300.0;

/// Measures both kinds of service under each fault of one target.
pub async fn measure(seconds: u64) -> anyhow::Result<()> {
    for service in [UNDIVIDED, KEYED] {
        let deployment = start("faults", service, VMS, SLOTS, SERVICE_MS).await?;
        println!("{}", head());
        for (name, faults) in cases() {
            set_faults(&deployment, &faults).await?;
            let entry = LoadEntry::Nodes(deployment.entries());
            let plan =
                even_plan(entry, service, seconds).with_rate_per_s(RATE_PER_S).with_classes(vec![
                    LoadClass::new("listing", LoadKind::Read, 100.0).with_deadline_ms(500),
                ]);
            let summary = run_load(&plan).await?;
            println!("{}", line(&format!("{service}: {name}"), &summary));
            println!("    ran by target: {:?}", BTreeMap::from_iter(&summary.targets));
            set_faults(&deployment, &TargetFaults::default()).await?;
            wait_until_all_serve(&deployment, service).await?;
        }
        deployment.close()?;
    }
    Ok(())
}

/// Waits until a light load is answered by all targets again.
async fn wait_until_all_serve(deployment: &LocalDeployment, service: &str) -> anyhow::Result<()> {
    wait_until("all targets to serve", RETURN_LIMIT, async || {
        let entry = LoadEntry::Nodes(deployment.entries());
        let plan = even_plan(entry, service, 1)
            .with_rate_per_s(LIGHT_RATE_PER_S)
            .with_duration(Duration::from_secs(1), Duration::ZERO);
        run_load(&plan).await.is_ok_and(|it| it.targets.len() == VMS)
    })
    .await
}

fn cases() -> Vec<(&'static str, TargetFaults)> {
    let none = TargetFaults::default();
    let lying = TargetFaults {
        slow_percent: 900,
        lie_health: Some("ok".to_owned()),
        lie_busy_slots: Some(0),
        ..none.clone()
    };
    vec![
        ("all well", none.clone()),
        ("one frozen", TargetFaults { freeze_ms: 120_000, ..none.clone() }),
        ("one ten times as slow", TargetFaults { slow_percent: 900, ..none.clone() }),
        ("one slow and lying", lying),
        ("all well again", none),
    ]
}

async fn set_faults(deployment: &LocalDeployment, faults: &TargetFaults) -> anyhow::Result<()> {
    let request =
        CallerRequest::new(Method::POST, "/standin/faults").with_body(serde_json::to_vec(faults)?);
    let answer = Caller::new()?.call(deployment.vms[0].target_address, &request).await?;
    ensure!(answer.status.is_success(), "the target takes no faults: {answer:?}");
    Ok(())
}
