//! Proofs that a hold had ended.

use serde::Serialize;

use super::{Change, ChangeKind, Evidence, LogTime};

/// What proved that the holder before had ended.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Proof {
    /// The target whose hold had ended.
    pub(crate) target: String,
    pub(crate) evidence: Evidence,
    /// The evidence of the node that reported the end, if its log is known.
    pub(crate) reported_evidence: Option<Evidence>,
    /// Age when the key was given to the next owner.
    pub(crate) age_ms: u64,
    pub(crate) proven_at: LogTime,
    /// The version of the row that the decision was based on.
    pub(crate) based_on: u64,
    /// The node that decided on it.
    pub(crate) node: String,
    /// The node that reported it, if it is another one.
    pub(crate) reported_by: Option<String>,
}

impl Proof {
    /// Creates the proof in a `hold_ended` line, with its age at `used_at`.
    pub(crate) fn new(change: &Change, used_at: LogTime) -> Option<Self> {
        let ChangeKind::HoldEnded {
            target, evidence, evidence_age_ms, reported_by, based_on, ..
        } = &change.kind
        else {
            return None;
        };
        Some(Self {
            target: target.clone(),
            based_on: *based_on,
            evidence: evidence.clone(),
            reported_evidence: None,
            age_ms: evidence_age_ms.saturating_add(used_at.ms_since(change.time)),
            proven_at: change.time.minus_ms(*evidence_age_ms),
            node: change.node.clone(),
            reported_by: reported_by.clone(),
        })
    }

    /// Adds the evidence of the node that reported the end, from the last such line of its log.
    pub(crate) fn with_report(mut self, changes: &[Change]) -> Self {
        for change in changes.iter().filter(|it| Some(&it.node) == self.reported_by.as_ref()) {
            let ChangeKind::HoldEnded { target, evidence, based_on, .. } = &change.kind else {
                continue;
            };
            if *target == self.target && *based_on == self.based_on {
                self.reported_evidence = Some(evidence.clone());
            }
        }
        self
    }

    /// Whether the proof is only that leases have expired, so that a lease that runs on disproves it.
    pub(crate) fn is_expiry(&self) -> bool {
        self.reported_evidence.as_ref().unwrap_or(&self.evidence).is_expiry()
    }
}
