//! Deployments of the `galenastreamd` of this package.

use galenastream_standin::{
    CallerConnection, DeploymentPlan, HeartbeatFields, LocalDeployment, LocalVm, heartbeat_body,
    heartbeat_request, wait_until,
};

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

/// Sends a heartbeat in the name of a target of `stock` to the node of a VM, and returns the status of the
/// reply.
pub async fn send_heartbeat(vm: &LocalVm, target_id: &str, state: &str, sequence: u64) -> u16 {
    let address = vm.target_address().to_string();
    let body = heartbeat_body(HeartbeatFields {
        address: &address,
        service: "stock",
        slots: 8,
        sequence,
        held: &[],
        released: &[],
        born_ms: None,
    });
    let request = heartbeat_request(target_id, &body.replace("ready", state));
    let mut control = CallerConnection::connect(vm.control_address()).await.expect(WORKS);
    control.send(request.as_bytes()).await.expect(WORKS);
    control.read().await.expect(WORKS).status
}
