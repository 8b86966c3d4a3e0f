//! Probes of the address of the local target, and what their answers prove.

use std::time::Duration;

use galenastream_ranges::Owner;
use galenastream_utils::BootInstant;

use super::control_state::ControlState;
use super::local_target::Identity;
use super::ownership_log::{EndEvidence, millis};
use super::{Effect, ProbeAnswer, TargetProbe};

/// Interval between two health checks that identify the target. A check without an answer takes
/// slightly less.
const IDENTITY_RETRY_INTERVAL: Duration = Duration::from_millis(800);

impl ControlState {
    /// Probes the address of the local target if its heartbeats are overdue.
    pub(super) fn probe_silent_target(&mut self, now: BootInstant) {
        let heartbeat_timeout = self.heartbeat_timeout();
        let Some(local) = &self.local else {
            return;
        };
        let is_silent = self.silence(local, now) > heartbeat_timeout / 2;
        let probed_recently = now.saturating_since(self.last_probe_at) < heartbeat_timeout / 4;
        if is_silent && !probed_recently {
            self.last_probe_at = now;
            self.effects.push(Effect::ProbeTarget { target: local.incarnation.clone() });
        }
    }

    /// Asks the target beside this node for its id if heartbeats of two targets arrive, or if an
    /// earlier one still holds keys: an id in the answer proves that all other targets have ended.
    pub(super) fn request_identity(&mut self, now: BootInstant) {
        let Some(local) = &self.local else {
            return;
        };
        let waits_for_answer = matches!(
            local.identity,
            Identity::Requested { at } if now.saturating_since(at) < IDENTITY_RETRY_INTERVAL
        );
        if waits_for_answer {
            return;
        }
        let is_earlier = |it: &Owner| it.node == self.node && it.target != local.incarnation;
        let assignment = self.assignments.get(&*local.service).map(|it| &it.assignment);
        let replaces_holder = !matches!(local.identity, Identity::Confirmed { .. })
            && assignment.is_some_and(|it| it.holders().iter().any(is_earlier));
        if !replaces_holder && !self.is_identity_wanted {
            return;
        }
        let Some(path) = self.health_path(&local.service) else {
            return;
        };
        self.is_identity_wanted = false;
        if let Some(local) = &mut self.local {
            local.identity = Identity::Requested { at: now };
            let target = local.incarnation.clone();
            self.effects.push(Effect::IdentifyTarget { target, path });
        }
    }

    /// The path of the health checks of a service's targets, if the config in force has one.
    pub(super) fn health_path(&self, service: &str) -> Option<String> {
        let rules = self.routing.as_ref()?.service(service)?;
        Some(rules.health_path.clone()).filter(|it| !it.is_empty())
    }

    /// Asks the local target how long it stays cold if the evacuation of its data centre has just ended:
    /// targets may become cold meanwhile, and the last heartbeat may be older.
    pub(super) fn ask_after_evacuation(&mut self, now: BootInstant) {
        if self.evacuations.ended_at(&self.settings.data_centre) == Some(now) {
            self.is_identity_wanted = true;
        }
    }

    /// Handles the answer to a probe of the address of the local target.
    pub(super) fn handle_probe(&mut self, probe: &TargetProbe, now: BootInstant) {
        let answer = match &probe.answer {
            ProbeAnswer::Refused => "refused",
            ProbeAnswer::Identified { target_id } => target_id,
        };
        let silence = self.local.as_ref().map(|it| now.saturating_since(it.last_heartbeat_at));
        log::info!(
            event = "target_probed",
            target:% = probe.target,
            answer,
            age_ms = millis(now.saturating_since(probe.began_at)),
            silence_ms = silence.map(millis),
            open_connections = probe.open_connections;
            ""
        );
        let Some(local) = self.local.as_mut().filter(|it| it.incarnation == probe.target) else {
            return;
        };
        // A heartbeat that arrives after the probe began comes from a target that runs, or was
        // delayed: it leaves open which.
        // So does a grant that was under way: another target may have taken it.
        let is_heard = local.last_heartbeat_at >= probe.began_at
            || local.calls.may_have_granted_since(probe.began_at);
        match &probe.answer {
            ProbeAnswer::Identified { target_id } if **target_id == *local.incarnation.id => {
                local.identity = Identity::Confirmed { at: probe.began_at };
                // A restart under the same id is another incarnation, which the id does not show.
                if !local.is_contested_by_same_id {
                    local.heartbeats_until_certain = 0;
                }
                log::info!(event = "target_identified", target:% = local.incarnation; "");
            }
            ProbeAnswer::Identified { target_id } if !is_heard => {
                log::info!(event = "target_differs", target_id = target_id.as_str(); "");
                self.end_local_target(EndEvidence::AnotherIdentified, now);
            }
            // A closed listener alone does not end a target: one that stops may close it first and
            // go on with requests in progress.
            ProbeAnswer::Refused if !is_heard && probe.open_connections == 0 => {
                self.end_local_target(EndEvidence::ConnectionsClosed, now);
            }
            ProbeAnswer::Refused | ProbeAnswer::Identified { .. } => {}
        }
    }
}
