//! Choice of the target for an attempt of a request.

use std::sync::Arc;

use galenastream_routing::TargetCandidate;
use galenastream_runtime::boot_now;
use galenastream_settings::EffectiveSettings;
use galenastream_utils::BootInstant;

use super::{attempt::Destination, drain::is_drain_over, progress::Progress};
use crate::process::{Directory, NodeEntry, RememberedAnnouncements, TrafficState, earliest};

/// Chooses the targets for the attempts of a request to a service.
pub(super) struct TargetChoice<'a> {
    traffic: &'a Arc<TrafficState>,
    service: &'a str,
    /// The request's key, if the targets of the service hold keys.
    key: Option<u16>,
    settings: EffectiveSettings,
}

impl<'a> TargetChoice<'a> {
    pub(super) const fn new(
        traffic: &'a Arc<TrafficState>,
        service: &'a str,
        key: Option<u16>,
        settings: EffectiveSettings,
    ) -> Self {
        Self { traffic, service, key, settings }
    }

    /// Chooses the target for the next attempt, if there is one.
    pub(super) fn choose(&self, progress: &Progress) -> Option<Destination> {
        let directory = self.traffic.context.directory.load();
        match self.key {
            Some(key) => self.owner_of(key, &directory),
            None => self.best_target(progress, &directory),
        }
    }

    fn owner_of(&self, key: u16, directory: &Directory) -> Option<Destination> {
        let assignment = directory.assignments.get(self.service)?;
        let holder = assignment.entry_of(key).holding.holder()?;
        let node = directory.node_of(&holder.target).filter(|it| !it.is_refusing)?;
        let leaving_since = leaving_since(node, &self.traffic.remembered());
        if self.is_drained(leaving_since) {
            return None;
        }
        Some(Destination {
            node: node.clone(),
            target: holder.target.clone(),
            leaving_since,
            has_alternatives: false,
        })
    }

    fn best_target(&self, progress: &Progress, directory: &Directory) -> Option<Destination> {
        let candidates = self.candidates(progress, directory);
        let remote_penalty = f64::from(self.settings.remote_penalty_percent) / 100.0;
        let chosen = self.traffic.placement().choose(&candidates, remote_penalty, boot_now())?;
        let node = directory.nodes.iter().find(|it| it.key == chosen)?;
        Some(Destination {
            node: node.clone(),
            target: node.target.as_ref()?.incarnation.clone(),
            leaving_since: leaving_since(node, &self.traffic.remembered()),
            has_alternatives: progress.has_alternatives(candidates.len()),
        })
    }

    /// Returns the targets that may be selected. Targets that leave, nodes that are about to stop
    /// and nodes that are not reachable are candidates only if there is no other.
    fn candidates(&self, progress: &Progress, directory: &Directory) -> Vec<TargetCandidate> {
        let settings = self.traffic.context.settings.load();
        let remembered = self.traffic.remembered();
        let (mut candidates, mut fallbacks) = (Vec::new(), Vec::new());
        for node in &directory.nodes {
            let Some(target) = node.target.as_ref().filter(|it| *it.service == *self.service)
            else {
                continue;
            };
            if progress.tried.contains(&target.incarnation) || node.is_refusing {
                continue;
            }
            let leaving_since = leaving_since(node, &remembered);
            if self.is_drained(leaving_since) {
                continue;
            }
            let is_fallback = leaving_since.is_some() || node.is_closing || !node.is_reachable;
            let candidate = TargetCandidate {
                node: node.key,
                slots: target.slots,
                is_same_data_centre: *node.data_centre == *settings.data_centre,
                limit: remembered.limit(node.key, &target.incarnation).or(target.limit),
            };
            match is_fallback {
                true => fallbacks.push(candidate),
                false => candidates.push(candidate),
            }
        }
        if candidates.is_empty() { fallbacks } else { candidates }
    }

    fn is_drained(&self, leaving_since: Option<BootInstant>) -> bool {
        leaving_since.is_some_and(|it| is_drain_over(self.traffic, it, boot_now()))
    }
}

/// Returns since when the target beside a node leaves, from its node's statuses and from its own
/// responses.
fn leaving_since(node: &NodeEntry, remembered: &RememberedAnnouncements) -> Option<BootInstant> {
    let target = node.target.as_ref()?;
    earliest(target.draining_since, remembered.leaving_since(node.key, &target.incarnation))
}
