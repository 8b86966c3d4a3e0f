//! Deployments of the `galenastreamd` of this package.

use galenastream_standin::{DeploymentPlan, LocalDeployment, wait_until};

use super::{TIMEOUT, WORKS};

/// Starts one VM for each name in `services` and waits until all of them serve.
pub async fn start(name: &str, services: &[&str]) -> LocalDeployment {
    let program = env!("CARGO_BIN_EXE_galenastreamd");
    LocalDeployment::start(&DeploymentPlan::shop(name, program, services))
        .await
        .expect("the deployment starts")
}

/// Waits until no node doubts its config any more. Until then, requests that the config does not
/// allow are not refused for good.
pub async fn wait_for_confirmed_config(deployment: &LocalDeployment) {
    for vm in &deployment.vms {
        wait_until("the config to be confirmed", TIMEOUT, async || {
            vm.log().iter().any(|it| it["kvs"]["event"] == "config_confirmed")
        })
        .await
        .expect(WORKS);
    }
}
