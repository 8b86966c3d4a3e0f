//! Keeps the settings of the node up to date.

use std::{sync::Arc, time::Duration};

use galenastream_ownership::{Event, SettingsVersion, VmId};
use galenastream_platform::{SettingsPointer, SettingsStore};
use galenastream_wire::SettingsQuery;
use rand::RngExt;
use tokio::time::{sleep, timeout};

use super::{Bootstrap, Node, WantedSettings};
use crate::version::SettingsVersionInForce;

/// How often a coordinator looks for a new version in the platform, without jitter.
const POLL_INTERVAL_MS: u64 = 1_000;

/// How much the interval varies, so that coordinators do not ask all at once.
const POLL_JITTER_MS: u64 = 250;

/// How long another node is waited for.
const PEER_LIMIT: Duration = Duration::from_millis(300);

/// How long to wait before a version is fetched again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How long to wait before looking again for a first version that names the node's service.
const ABSENT_PAUSE: Duration = Duration::from_secs(3);

/// Reads the settings at the start of the process. Waits until a version names the service.
///
/// The durations of the ownership protocol are read only once, and all nodes of a cell must count
/// alike: a node that began with others could take a key over before its owner's lease has ended.
pub async fn read_first_settings(
    store: &SettingsStore,
    bootstrap: &Bootstrap,
) -> SettingsVersionInForce {
    loop {
        match load_current(store, bootstrap.place_id()).await {
            Ok(Some(settings)) if settings.names(bootstrap.service_id()) => return settings,
            Ok(_) => {
                let service = bootstrap.service.as_str();
                log::warn!(event = "settings_absent", service; "no version names the service yet");
                sleep(ABSENT_PAUSE).await;
            }
            Err(reason) => {
                log::warn!(event = "settings_unreadable"; "waiting for the platform: {reason}");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Follows the versions that other nodes name and, as coordinator, the platform's.
pub async fn follow_settings(node: Arc<Node>, store: SettingsStore) {
    let mut wanted = node.settings.follow_wanted();
    loop {
        let poll = Duration::from_millis(poll_interval_ms());
        match timeout(poll, wanted.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return,
            Err(_) => {
                if should_poll(&node) {
                    look_for_newer(&node, &store).await;
                }
            }
        }
        while node.settings.is_behind() {
            let newest = *wanted.borrow_and_update();
            tell_control(&node);
            fetch(&node, &store, newest).await;
        }
    }
}

/// Coordinators look, and nodes that know of no settings or no coordinator.
fn should_poll(node: &Node) -> bool {
    let view = node.view.load();
    let is_coordinator = view.coordinator.is_some_and(|it| it.vm == node.vm());
    is_coordinator || view.coordinator.is_none() || node.settings.is_behind()
}

async fn look_for_newer(node: &Node, store: &SettingsStore) {
    match store.current().await {
        Ok(Some(pointer)) => node.settings.see(pointer.version, None),
        Ok(None) => {}
        Err(error) => log::debug!(event = "settings_poll_failed"; "{error}"),
    }
}

async fn fetch(node: &Arc<Node>, store: &SettingsStore, wanted: Option<WantedSettings>) {
    let holder = wanted.and_then(|it| it.holder);
    if let Some(holder) = holder
        && let Some(settings) = fetch_from_peer(node, holder).await
    {
        install(node, settings);
    }
    if !node.settings.is_behind() {
        return;
    }
    match load_current(store, node.bootstrap.place_id()).await {
        Ok(Some(settings)) => install(node, settings),
        Ok(None) => {}
        Err(reason) => log::warn!(event = "settings_fetch_failed"; "{reason}"),
    }
    if node.settings.is_behind() {
        sleep(RETRY_PAUSE).await;
    }
}

async fn fetch_from_peer(node: &Node, holder: VmId) -> Option<SettingsVersionInForce> {
    let query = SettingsQuery { version: node.settings.highest_seen().0 };
    let reply = node.peers.settings(holder, query, PEER_LIMIT).await.ok()?;
    if reply.version == 0 {
        return None;
    }
    let version = SettingsVersion(reply.version);
    match SettingsVersionInForce::parse(version, reply.toml, node.bootstrap.place_id()) {
        Ok(settings) => Some(settings),
        Err(errors) => {
            log::error!(event = "settings_invalid", version = version.0; "{errors}");
            None
        }
    }
}

fn install(node: &Arc<Node>, settings: SettingsVersionInForce) {
    let version = settings.version();
    if !node.settings.install(settings) {
        return;
    }
    node.apply_settings();
    log::info!(event = "settings_in_force", version = version.0; "settings changed");
}

/// A node that is behind says so in its beats.
fn tell_control(node: &Node) {
    let (in_force, highest) = (node.settings.version(), node.settings.highest_seen());
    node.tell(Event::SettingsSeen { in_force, highest });
}

async fn load_current(
    store: &SettingsStore,
    place: galenastream_ownership::PlaceId,
) -> Result<Option<SettingsVersionInForce>, String> {
    let pointer: Option<SettingsPointer> = store.current().await.map_err(|it| it.to_string())?;
    let Some(pointer) = pointer else {
        return Ok(None);
    };
    let toml = store.load(&pointer).await.map_err(|it| it.to_string())?;
    let parsed = SettingsVersionInForce::parse(pointer.version, toml, place);
    parsed.map(Some).map_err(|it| it.to_string())
}

fn poll_interval_ms() -> u64 {
    rand::rng().random_range(POLL_INTERVAL_MS - POLL_JITTER_MS..=POLL_INTERVAL_MS + POLL_JITTER_MS)
}
