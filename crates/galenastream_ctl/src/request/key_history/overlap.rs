//! Overlaps of holds.

use serde::Serialize;

use super::{Hold, LogTime, OwnerChange, Proof};

/// Time in which two targets held the key by the logs.
#[derive(Debug, Serialize)]
pub(crate) struct Overlap {
    pub(crate) kind: OverlapKind,
    pub(crate) first: HoldName,
    pub(crate) second: HoldName,
    pub(crate) from: LogTime,
    pub(crate) until: LogTime,
    /// At the most: a target counts its lease from when it sent the heartbeat.
    pub(crate) duration_ms: u64,
    /// What the end of the first hold was concluded from when its target lost the key.
    pub(crate) proof: Option<Proof>,
}

/// Whether the first hold may have ended before its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum OverlapKind {
    /// Nothing in the logs ended the hold, or the logs disprove the evidence.
    Held,
    /// A reply had revoked the key; the logs do not show whether the target got it.
    Revoked,
    /// There is no overlap if the evidence is right.
    Proven,
}

/// Identifies a hold.
#[derive(Debug, Serialize)]
pub(crate) struct HoldName {
    pub(crate) target: String,
    pub(crate) node: String,
    pub(crate) fence: u64,
}

impl HoldName {
    fn new(hold: &Hold) -> Self {
        Self { target: hold.target.clone(), node: hold.node.clone(), fence: hold.fence }
    }
}

impl Overlap {
    /// Lists the overlaps of holds that are sorted by their beginnings.
    pub(super) fn list(holds: &[Hold], owner_changes: &[OwnerChange]) -> Vec<Self> {
        let mut list = Vec::new();
        for (index, second) in holds.iter().enumerate() {
            for first in &holds[..index] {
                let from = second.granted_at;
                let until = first.ends_at().min(second.ends_at());
                if first.target == second.target || until <= from {
                    continue;
                }
                let proof = proof_of_end(first, second, owner_changes);
                list.push(Self {
                    kind: OverlapKind::new(first, from, proof.as_ref()),
                    first: HoldName::new(first),
                    second: HoldName::new(second),
                    from,
                    until,
                    duration_ms: until.ms_since(from),
                    proof,
                });
            }
        }
        list
    }
}

impl OverlapKind {
    fn new(first: &Hold, from: LogTime, proof: Option<&Proof>) -> Self {
        // A target that got another lease after the proof was running.
        let is_credible = |it: &&Proof| !it.is_expiry() && it.proven_at >= first.renewed_at;
        if proof.filter(is_credible).is_some() {
            return Self::Proven;
        }
        match first.revoked_at {
            Some(revoked_at) if revoked_at <= from => Self::Revoked,
            _ => Self::Held,
        }
    }
}

/// Returns the proof of the change that took the key from the first target, if the second hold is not
/// of an earlier owner.
fn proof_of_end(first: &Hold, second: &Hold, owner_changes: &[OwnerChange]) -> Option<Proof> {
    let took_key = |it: &&OwnerChange| {
        it.from.as_ref() == Some(&first.target)
            && first.fence < it.fence
            && it.fence <= second.fence
    };
    owner_changes.iter().find(took_key)?.proof.clone()
}
