//! Deployments of this package's `galenastreamd`.

use galenastream_standin::{DeploymentPlan, LocalDeployment};

/// Starts one VM for each service and waits until all of them serve.
pub async fn start(name: &str, services: &[&str]) -> LocalDeployment {
    let program = env!("CARGO_BIN_EXE_galenastreamd");
    LocalDeployment::start(&DeploymentPlan::shop(name, program, services))
        .await
        .expect("the deployment starts")
}
