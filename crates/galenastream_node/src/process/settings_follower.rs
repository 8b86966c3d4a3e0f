//! Watches the settings file for changes.

use std::{path::PathBuf, sync::Arc, time::Duration};

use galenastream_adapter::NodeSettings;
use tokio::time::timeout;

use super::{ControlEvent, NodeContext};

/// Interval at which the file is read. The platform may change it without sending SIGHUP, and has
/// no other notification.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Puts changes of the settings file in force until the process ends.
pub(super) async fn follow_settings(context: Arc<NodeContext>, path: PathBuf) {
    loop {
        let is_requested =
            timeout(POLL_INTERVAL, context.reload_requested.notified()).await.is_ok();
        if is_requested {
            log::info!(event = "reload_requested"; "");
        }
        let current = context.settings.load_full();
        match NodeSettings::load(&path) {
            Ok(settings) if settings == *current => {}
            Ok(settings) => apply(&context, &current, settings),
            Err(error) => log::warn!(event = "settings_refused", reason:% = error; ""),
        }
    }
}

/// Puts changed settings in force, except for the addresses and the node name, which need a
/// restart.
fn apply(context: &Arc<NodeContext>, current: &NodeSettings, mut settings: NodeSettings) {
    let is_same_address = settings.listeners == current.listeners
        && settings.target_address == current.target_address
        && settings.node_name == current.node_name;
    if !is_same_address {
        log::warn!(
            event = "settings_need_restart",
            reason = "the addresses or the name of the process have changed";
            ""
        );
        settings.listeners = current.listeners;
        settings.target_address = current.target_address;
        settings.node_name.clone_from(&current.node_name);
    }
    if settings == *current {
        return;
    }
    log::info!(event = "settings_in_force"; "");
    context.settings.store(Arc::new(settings.clone()));
    context.control_events.deliver(ControlEvent::Settings(Box::new(settings)));
}
