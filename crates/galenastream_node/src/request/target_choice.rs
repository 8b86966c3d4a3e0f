//! Choice of the target for an attempt of a request.

use std::sync::Arc;

use galenastream_routing::{NodeKey, RequestFingerprint, RequestRate, TargetCandidate};
use galenastream_runtime::boot_now;
use galenastream_settings::EffectiveSettings;
use galenastream_utils::BootInstant;

use super::{attempt::Destination, drain::is_drain_over, progress::Progress};
use crate::process::{
    Directory, NodeEntry, RememberedAnnouncements, TargetEntry, TrafficState, earliest,
};

/// Chooses the targets for the attempts of a request to a service.
pub(super) struct TargetChoice<'a> {
    traffic: &'a Arc<TrafficState>,
    service: &'a str,
    /// The request's key, if the targets of the service hold keys.
    key: Option<u16>,
    settings: EffectiveSettings,
    /// The request, if it is suspected of crashing targets.
    suspect: Option<RequestFingerprint>,
}

/// Whether a target may be chosen, and why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Standing {
    /// It may.
    Preferred,
    /// Only if no other may.
    Fallback(&'static str),
    /// It may not.
    Excluded(&'static str),
}

impl<'a> TargetChoice<'a> {
    pub(super) const fn new(
        traffic: &'a Arc<TrafficState>,
        service: &'a str,
        key: Option<u16>,
        settings: EffectiveSettings,
    ) -> Self {
        Self { traffic, service, key, settings, suspect: None }
    }

    /// Chooses the target for a request that is suspected of crashing targets: all nodes send it to
    /// the same one, so that it cannot crash several at once.
    pub(super) const fn with_suspect(self, suspect: Option<RequestFingerprint>) -> Self {
        Self { suspect, ..self }
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
        let may_take = |it: &&NodeEntry| !it.is_refusing && !it.is_evacuated;
        let node = directory.node_of(&holder.target).filter(may_take)?;
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
        let remote_penalty = self.remote_penalty();
        let only = self.suspect.and_then(|it| target_of_suspect(it, directory, &candidates));
        let chosen = only
            .or_else(|| self.limit_trial(progress, directory, &candidates))
            .or_else(|| self.traffic.placement().choose(&candidates, remote_penalty, boot_now()))?;
        let node = directory.nodes.iter().find(|it| it.key == chosen)?;
        let target = node.target.as_ref()?;
        Some(Destination {
            node: node.clone(),
            target: target.incarnation.clone(),
            leaving_since: leaving_since(node, &self.traffic.remembered()),
            has_alternatives: progress.has_alternatives(candidates.len()),
        })
    }

    /// Returns the targets that may be selected. Targets that leave, nodes that are about to stop
    /// and nodes that are not reachable are candidates only if there is no other.
    fn candidates(&self, progress: &Progress, directory: &Directory) -> Vec<TargetCandidate> {
        let settings = self.traffic.context.settings.load();
        let remembered = self.traffic.remembered();
        let now = boot_now();
        let (mut candidates, mut fallbacks) = (Vec::new(), Vec::new());
        for node in &directory.nodes {
            let Some(target) = node.target.as_ref().filter(|it| *it.service == *self.service)
            else {
                continue;
            };
            if progress.tried.contains(&target.incarnation) {
                continue;
            }
            let standing = self.standing(node, leaving_since(node, &remembered));
            let candidate = candidate_of(node, target, &settings.data_centre, &remembered, now);
            match standing {
                Standing::Preferred => candidates.push(candidate),
                Standing::Fallback(_) => fallbacks.push(candidate),
                Standing::Excluded(_) => {}
            }
        }
        if candidates.is_empty() { fallbacks } else { candidates }
    }

    /// Returns the nodes beside the targets of the service, and whether these may be chosen.
    pub(super) fn standings<'d>(
        &self,
        directory: &'d Directory,
    ) -> Vec<(&'d NodeEntry, Standing, TargetCandidate)> {
        let settings = self.traffic.context.settings.load();
        let remembered = self.traffic.remembered();
        let now = boot_now();
        let mut standings = Vec::new();
        for node in &directory.nodes {
            let Some(target) = node.target.as_ref().filter(|it| *it.service == *self.service)
            else {
                continue;
            };
            let standing = self.standing(node, leaving_since(node, &remembered));
            let candidate = candidate_of(node, target, &settings.data_centre, &remembered, now);
            standings.push((node, standing, candidate));
        }
        standings
    }

    /// The service times that are added for a target in another data centre.
    pub(super) fn remote_penalty(&self) -> f64 {
        f64::from(self.settings.remote_penalty_percent) / 100.0
    }

    fn standing(&self, node: &NodeEntry, leaving_since: Option<BootInstant>) -> Standing {
        if node.is_evacuated {
            return Standing::Excluded("its data centre is evacuated");
        }
        if node.is_refusing {
            return Standing::Excluded("its node stops");
        }
        if self.is_drained(leaving_since) {
            return Standing::Excluded("it has left");
        }
        if leaving_since.is_some() {
            return Standing::Fallback("it leaves");
        }
        if node.is_closing {
            return Standing::Fallback("its node is about to stop");
        }
        match node.is_reachable {
            true => Standing::Preferred,
            false => Standing::Fallback("its node is not heard"),
        }
    }

    /// Returns a target to which the request is sent to find out whether its limit has ended, if it
    /// has others to go to should that target refuse it.
    fn limit_trial(
        &self,
        progress: &Progress,
        directory: &Directory,
        candidates: &[TargetCandidate],
    ) -> Option<NodeKey> {
        if candidates.len() < 2 || !progress.may_try_limit() {
            return None;
        }
        let now = boot_now();
        for node in &directory.nodes {
            let Some(target) = &node.target else {
                continue;
            };
            let Some(wanted_since) = target.trial_wanted_since else {
                continue;
            };
            if !candidates.iter().any(|it| it.node == node.key) {
                continue;
            }
            let mut trials = self.traffic.limit_trials();
            if trials.is_due(node.key, wanted_since, directory.reachable_count(), now) {
                trials.begin(node.key, now);
                progress.begin_trial(&target.incarnation);
                return Some(node.key);
            }
        }
        None
    }

    fn is_drained(&self, leaving_since: Option<BootInstant>) -> bool {
        leaving_since.is_some_and(|it| is_drain_over(self.traffic, it, boot_now()))
    }
}

/// The candidate that runs a request as long as it is suspected of crashing targets.
fn target_of_suspect(
    suspect: RequestFingerprint,
    directory: &Directory,
    candidates: &[TargetCandidate],
) -> Option<NodeKey> {
    let nodes = directory.nodes.iter().filter(|it| candidates.iter().any(|c| c.node == it.key));
    let weight = |it: &&NodeEntry| {
        it.target.as_ref().map(|target| suspect.weight_of(&target.incarnation.id))
    };
    nodes.max_by_key(weight).map(|it| it.key)
}

impl Standing {
    /// The place among others; lower ones are chosen first.
    pub(super) const fn precedence(self) -> u8 {
        match self {
            Self::Preferred => 0,
            Self::Fallback(_) => 1,
            Self::Excluded(_) => 2,
        }
    }

    pub(super) const fn may_be_chosen(self) -> bool {
        !matches!(self, Self::Excluded(_))
    }

    /// Why the target is not chosen, or only if there is no other.
    pub(super) const fn hindrance(self) -> Option<&'static str> {
        match self {
            Self::Preferred => None,
            Self::Fallback(hindrance) | Self::Excluded(hindrance) => Some(hindrance),
        }
    }
}

fn candidate_of(
    node: &NodeEntry,
    target: &TargetEntry,
    data_centre: &str,
    remembered: &RememberedAnnouncements,
    now: BootInstant,
) -> TargetCandidate {
    TargetCandidate {
        node: node.key,
        slots: target.slots,
        is_same_data_centre: *node.data_centre == *data_centre,
        limit: lower_limit(
            remembered.recent_limit(node.key, &target.incarnation, now).or(target.limit),
            target.cold.filter(|it| now < it.until).map(|it| it.limit),
        ),
    }
}

/// The lower of two request limits, where there is one.
fn lower_limit(a: Option<RequestRate>, b: Option<RequestRate>) -> Option<RequestRate> {
    [a, b].into_iter().flatten().min()
}

/// Returns since when the target beside a node leaves, from its node's statuses and from its own
/// responses.
fn leaving_since(node: &NodeEntry, remembered: &RememberedAnnouncements) -> Option<BootInstant> {
    let target = node.target.as_ref()?;
    earliest(target.draining_since, remembered.leaving_since(node.key, &target.incarnation))
}
