//! Holds of a key.

use serde::Serialize;

use super::{Change, ChangeKind, Evidence, LeaseReply, LogTime, Proof};

/// Continuous hold of the key by a target: a granted lease with its renewals.
#[derive(Debug, Serialize)]
pub(crate) struct Hold {
    pub(crate) node: String,
    pub(crate) target: String,
    pub(crate) fence: u64,
    pub(crate) granted_at: LogTime,
    /// Time of the last reply that granted or renewed the lease.
    pub(crate) renewed_at: LogTime,
    pub(crate) renewals: u64,
    /// At the latest: the target counts the lease from when it sent the heartbeat.
    pub(crate) lease_ends_at: LogTime,
    /// The rows that the lease was granted on, in the order of their first use.
    pub(crate) rows: Vec<GrantedRow>,
    /// When a reply no longer granted the key. It may not have reached the target.
    pub(crate) revoked_at: Option<LogTime>,
    /// When a reply granted the key to the same target under another fencing token.
    pub(crate) fence_changed_at: Option<LogTime>,
    /// When the target had released the key.
    pub(crate) released_at: Option<LogTime>,
}

/// Row that a lease was granted on.
#[derive(Debug, Serialize)]
pub(crate) struct GrantedRow {
    pub(crate) row_version: u64,
    pub(crate) first_used_at: LogTime,
    pub(crate) max_confirmed_age_ms: u64,
}

impl Hold {
    /// Creates the hold that a reply begins.
    pub(crate) fn new(node: &str, fence: u64, time: LogTime, reply: &LeaseReply) -> Self {
        let mut hold = Self {
            node: node.to_owned(),
            target: reply.target.clone(),
            fence,
            granted_at: time,
            renewed_at: time,
            renewals: 0,
            lease_ends_at: time,
            rows: Vec::new(),
            revoked_at: None,
            fence_changed_at: None,
            released_at: None,
        };
        hold.extend(time, reply);
        hold
    }

    /// Renews the lease.
    pub(crate) fn renew(&mut self, time: LogTime, reply: &LeaseReply) {
        self.renewals += 1;
        self.extend(time, reply);
    }

    fn extend(&mut self, time: LogTime, reply: &LeaseReply) {
        self.renewed_at = time;
        self.lease_ends_at = time.plus_ms(reply.lease_ms);
        let age_ms = reply.confirmed_age_ms;
        match self.rows.last_mut().filter(|it| it.row_version == reply.row_version) {
            Some(row) => row.max_confirmed_age_ms = row.max_confirmed_age_ms.max(age_ms),
            None => self.rows.push(GrantedRow {
                row_version: reply.row_version,
                first_used_at: time,
                max_confirmed_age_ms: age_ms,
            }),
        }
    }

    /// Whether a reply at `time` can renew the hold.
    pub(crate) fn is_open(&self, time: LogTime) -> bool {
        self.revoked_at.is_none() && self.fence_changed_at.is_none() && time <= self.lease_ends_at
    }

    /// Ends the hold where the target reported that it released the key.
    pub(crate) fn end_at_release(&mut self, changes: &[Change]) {
        if self.fence_changed_at.is_some() {
            return;
        }
        for change in changes {
            let ChangeKind::HoldEnded { target, evidence: Evidence::Released, .. } = &change.kind
            else {
                continue;
            };
            let Some(proof) = Proof::new(change, change.time) else {
                continue;
            };
            // A release before the last renewal was followed by another grant.
            let is_after_renewal = proof.proven_at >= self.renewed_at;
            if *target != self.target || !is_after_renewal || proof.proven_at > self.lease_ends_at {
                continue;
            }
            self.released_at =
                Some(self.released_at.map_or(proof.proven_at, |it| it.min(proof.proven_at)));
        }
    }

    /// Returns what identifies the hold.
    pub(crate) fn name(&self) -> (&str, &str, LogTime) {
        (&self.node, &self.target, self.granted_at)
    }

    /// Returns the instant until which the target may have held the key.
    pub(crate) fn ends_at(&self) -> LogTime {
        let earlier = [self.fence_changed_at, self.released_at].into_iter().flatten().min();
        earlier.map_or(self.lease_ends_at, |it| it.min(self.lease_ends_at))
    }
}
