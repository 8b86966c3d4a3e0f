//! Latency while one target is frozen, slow, or lies about its load.

use std::time::Duration;

use anyhow::ensure;
use galenastream_standin::{
    Caller, CallerRequest, LoadClass, LoadEntry, LoadKind, LocalDeployment, TargetFaults, run_load,
};
use http::Method;

use crate::setting::{KEYED, UNDIVIDED, even_plan, head, line, start};

const VMS: usize = 4;
const SLOTS: u32 = 6;
const SERVICE_MS: f64 = 5.0;

/// Two fifths of the capacity, so that three of four targets can carry all of it.
const RATE_PER_S: f64 = 1_900.0;

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
            set_faults(&deployment, &TargetFaults::default()).await?;
            // What waits in the target that was at fault shall not weigh on the next case.
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
        deployment.close()?;
    }
    Ok(())
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
