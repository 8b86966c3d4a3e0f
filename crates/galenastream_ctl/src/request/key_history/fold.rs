//! Fold of log lines.

use galenastream_utils::FastMap;

use super::{
    Change, ChangeKind, Grant, Hold, LeaseCallKind, LeaseReply, LogLine, LogTime, OwnershipEvent,
    RowWrite, UnknownGrants,
};

/// Holds and changes of the lines so far. The lines of each node come in the order of its log.
pub(super) struct Fold<'a> {
    service: &'a str,
    key: u16,
    nodes: FastMap<&'a str, NodeState<'a>>,
    holds: Vec<Hold>,
    changes: Vec<Change>,
    unknown_grants: Vec<UnknownGrants>,
}

/// State of a node's log.
#[derive(Default)]
struct NodeState<'a> {
    /// The fencing token under which the last `leases_granted` for each target granted the key.
    granted: FastMap<&'a str, Option<u64>>,
    /// Index of the change that counts withheld leases since the last reply.
    withheld: Option<usize>,
}

impl<'a> Fold<'a> {
    pub(super) fn new(service: &'a str, key: u16) -> Self {
        let (nodes, holds) = (FastMap::default(), Vec::new());
        Self { service, key, nodes, holds, changes: Vec::new(), unknown_grants: Vec::new() }
    }

    /// Adds the next line.
    pub(super) fn add(&mut self, line: &'a LogLine) {
        if !line.event.concerns(self.service, self.key) {
            return;
        }
        match &line.event {
            OwnershipEvent::ProcessStarted { .. } | OwnershipEvent::UnreadableGrants => {
                self.nodes.insert(&line.node, NodeState::default());
            }
            OwnershipEvent::LeasesGranted { reply, grants } => self.grant(line, reply, grants),
            OwnershipEvent::LeasesRenewed(reply) => self.renew(line, reply),
            OwnershipEvent::LeaseWithheld { reason } => self.withhold(line, reason),
            OwnershipEvent::LeaseCallEnded { kind, reply, fence, outcome, elapsed_ms, .. } => {
                self.end_call(line, *kind, reply, (*fence, outcome, *elapsed_ms));
            }
            OwnershipEvent::AssignmentWritten { row_version, based_on, .. } => {
                let write = RowWrite { row_version: *row_version, at: line.time };
                for change in self.changes.iter_mut().filter(|it| it.node == line.node) {
                    change.kind.set_written(*based_on, write);
                }
            }
            OwnershipEvent::KeysLeave { target, to, row_version, reason, .. } => {
                let (target, to, reason) = (target.clone(), to.clone(), reason.clone());
                let based_on = *row_version;
                self.push(
                    line,
                    ChangeKind::KeysLeave { target, to, reason, based_on, written: None },
                );
            }
            OwnershipEvent::MoveCancelled { target, row_version, .. } => {
                let (target, based_on) = (target.clone(), *row_version);
                self.push(line, ChangeKind::MoveCancelled { target, based_on, written: None });
            }
            OwnershipEvent::HoldEnded {
                target,
                row_version,
                evidence,
                evidence_age_ms,
                node,
                ..
            } => self.push(
                line,
                ChangeKind::HoldEnded {
                    target: target.clone(),
                    evidence: evidence.clone(),
                    evidence_age_ms: *evidence_age_ms,
                    reported_by: node.clone(),
                    based_on: *row_version,
                    written: None,
                },
            ),
            OwnershipEvent::KeysAssigned { target, node, fence, row_version, .. } => self.push(
                line,
                ChangeKind::KeysAssigned {
                    target: target.clone(),
                    owner_node: node.clone(),
                    fence: *fence,
                    based_on: *row_version,
                    written: None,
                },
            ),
            OwnershipEvent::ForeignHold { target, fence, holder, row_version, .. } => {
                let (target, holder) = (target.clone(), holder.clone());
                let (fence, row_version) = (*fence, *row_version);
                self.push(line, ChangeKind::ForeignHold { target, fence, holder, row_version });
            }
            OwnershipEvent::Other => {}
        }
    }

    /// Returns the holds, the changes, and the leases whose keys are not known.
    pub(super) fn close(self) -> (Vec<Hold>, Vec<Change>, Vec<UnknownGrants>) {
        (self.holds, self.changes, self.unknown_grants)
    }

    fn push(&mut self, line: &LogLine, kind: ChangeKind) {
        self.changes.push(Change { time: line.time, node: line.node.clone(), kind });
    }

    fn grant(&mut self, line: &'a LogLine, reply: &'a LeaseReply, grants: &[Grant]) {
        let fence = grants.iter().find(|it| it.range.contains(self.key)).map(|it| it.fence);
        let state = self.nodes.entry(&line.node).or_default();
        state.granted.insert(&reply.target, fence);
        state.withheld = None;
        for unknown in &mut self.unknown_grants {
            let is_same = unknown.node == line.node && unknown.target == reply.target;
            if is_same && unknown.known_from.is_none() {
                unknown.known_from = Some(line.time);
            }
        }
        match fence {
            Some(fence) => self.hold(line, reply, fence),
            None => {
                if let Some(hold) = open_hold(&mut self.holds, &line.node, &reply.target, line.time)
                {
                    hold.revoked_at = Some(line.time);
                }
            }
        }
    }

    fn renew(&mut self, line: &'a LogLine, reply: &'a LeaseReply) {
        let state = self.nodes.entry(&line.node).or_default();
        state.withheld = None;
        match state.granted.get(reply.target.as_str()) {
            Some(Some(fence)) => {
                let fence = *fence;
                self.hold(line, reply, fence);
            }
            Some(None) => {}
            None => self.renew_unknown(line, reply),
        }
    }

    /// Adds the end of a call. A grant without an answer may be carried out, so it counts as a hold.
    fn end_call(
        &mut self,
        line: &'a LogLine,
        kind: LeaseCallKind,
        reply: &'a LeaseReply,
        (fence, outcome, elapsed_ms): (u64, &str, u64),
    ) {
        let is_grant = kind == LeaseCallKind::Grant;
        let is_done = outcome == "done";
        let is_renewal = is_grant
            && is_done
            && open_hold(&mut self.holds, &line.node, &reply.target, line.time)
                .is_some_and(|it| it.fence == fence);
        if is_grant && (is_done || outcome == "no-answer") {
            self.hold(line, reply, fence);
        }
        if !is_grant
            && is_done
            && let Some(hold) = open_hold(&mut self.holds, &line.node, &reply.target, line.time)
        {
            hold.revoked_at = Some(line.time);
        }
        if is_renewal {
            return;
        }
        let (target, outcome) = (reply.target.clone(), outcome.to_owned());
        let lease_ms = is_grant.then_some(reply.lease_ms);
        self.push(
            line,
            ChangeKind::LeaseCall { kind, target, fence, lease_ms, outcome, elapsed_ms },
        );
    }

    /// Begins or renews a hold.
    fn hold(&mut self, line: &LogLine, reply: &LeaseReply, fence: u64) {
        match open_hold(&mut self.holds, &line.node, &reply.target, line.time) {
            Some(hold) if hold.fence == fence => return hold.renew(line.time, reply),
            Some(hold) => hold.fence_changed_at = Some(line.time),
            None => {}
        }
        self.holds.push(Hold::new(&line.node, fence, line.time, reply));
    }

    fn renew_unknown(&mut self, line: &LogLine, reply: &LeaseReply) {
        let lease_ends_at = line.time.plus_ms(reply.lease_ms);
        for unknown in self.unknown_grants.iter_mut().rev() {
            let is_same = unknown.node == line.node && unknown.target == reply.target;
            if !is_same || unknown.known_from.is_some() || line.time > unknown.lease_ends_at {
                continue;
            }
            unknown.renewed_at = line.time;
            unknown.lease_ends_at = lease_ends_at;
            unknown.renewals += 1;
            return;
        }
        self.unknown_grants.push(UnknownGrants {
            node: line.node.clone(),
            target: reply.target.clone(),
            first_at: line.time,
            renewed_at: line.time,
            lease_ends_at,
            renewals: 1,
            known_from: None,
        });
    }

    fn withhold(&mut self, line: &'a LogLine, withheld_for: &str) {
        let state = self.nodes.entry(&line.node).or_default();
        if !state.granted.values().any(Option::is_some) {
            return;
        }
        if let Some(index) = state.withheld
            && let ChangeKind::LeaseWithheld { reason, count, last_at } =
                &mut self.changes[index].kind
            && reason == withheld_for
        {
            *count += 1;
            *last_at = line.time;
            return;
        }
        state.withheld = Some(self.changes.len());
        let reason = withheld_for.to_owned();
        self.push(line, ChangeKind::LeaseWithheld { reason, count: 1, last_at: line.time });
    }
}

/// Returns the hold that a reply at `time` can renew.
fn open_hold<'h>(
    holds: &'h mut [Hold],
    node: &str,
    target: &str,
    time: LogTime,
) -> Option<&'h mut Hold> {
    let last = holds.iter_mut().rev().find(|it| it.node == node && it.target == target);
    last.filter(|it| it.is_open(time))
}
