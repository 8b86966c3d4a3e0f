//! Deployments of the `galenastreamd` of this package.

use galenastream_standin::{DeploymentPlan, LocalDeployment};

/// Starts one VM for each name in `services` and waits until all of them serve.
pub async fn start(name: &str, services: &[&str]) -> LocalDeployment {
    let program = env!("CARGO_BIN_EXE_galenastreamd");
    LocalDeployment::start(&DeploymentPlan::shop(name, program, services))
        .await
        .expect("the deployment starts")
}
