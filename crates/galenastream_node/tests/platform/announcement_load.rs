//! Callers that load a service while its targets announce limits or leaves.

use std::{net::SocketAddr, time::Duration};

use galenastream_standin::{CallerLoad, LocalDeployment, SentRequest};

/// Loads a path from all VMs for a period. With `is_keyed`, the requests go to different keys.
pub async fn load_path(
    deployment: &LocalDeployment,
    path: &'static str,
    is_keyed: bool,
    period: Duration,
) -> Vec<SentRequest> {
    load_from(entries(deployment, 0), path, is_keyed, period).await
}

/// Returns the indexes of the VMs from `first` on and the addresses where their nodes accept
/// callers.
pub fn entries(deployment: &LocalDeployment, first: usize) -> Vec<(usize, SocketAddr)> {
    let vms = deployment.vms.iter().enumerate().skip(first);
    vms.map(|(index, vm)| (index, vm.callers_address())).collect()
}

/// Loads a path from some VMs for a period.
pub async fn load_from(
    entries: Vec<(usize, SocketAddr)>,
    path: &'static str,
    is_keyed: bool,
    period: Duration,
) -> Vec<SentRequest> {
    let load = CallerLoad::new("load", entries, path);
    match is_keyed {
        true => load.with_keys().run_for(period).await,
        false => load.run_for(period).await,
    }
}
