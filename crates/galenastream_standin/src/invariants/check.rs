//! Compares the histories of targets with the samples of callers.

use galenastream_utils::{FastMap, FastSet};

use super::{Violation, check_limits::check_limits};
use crate::{HeldSpan, LoadOutcome, LoadSample, TargetHistory};

/// Returns every violation of an invariant: two owners of a key at the same time, a later owner of a
/// key without a higher fencing token, a request that changes state and ran more than once or
/// although it was refused, a wrong answer, an answer that ends a request for good without the
/// signature of a target, a signed answer with another status than the target gave, a successful
/// answer to a request that did not run, and more requests to a target than the limit that it
/// announced allows.
pub fn check_invariants(histories: &[TargetHistory], samples: &[LoadSample]) -> Vec<Violation> {
    let mut violations = check_owners(histories);
    violations.extend(check_limits(histories));
    let mut run_counts: FastMap<&str, u32> = FastMap::default();
    let mut state_changing: FastSet<&str> = FastSet::default();
    let mut given: FastSet<(&str, u16)> = FastSet::default();
    let mut ran_on: FastSet<(&str, &str)> = FastSet::default();
    let runs = histories.iter().flat_map(|of| of.runs.iter().map(move |it| (of, it)));
    for (target, run) in runs {
        *run_counts.entry(&run.request_id).or_default() += 1;
        given.insert((&run.request_id, run.status));
        ran_on.insert((&target.id, &run.request_id));
        if run.changes_state {
            state_changing.insert(&run.request_id);
        }
    }
    for (request_id, count) in &run_counts {
        if *count > 1 && state_changing.contains(request_id) {
            violations.push(Violation::RanTwice { request_id: (*request_id).to_owned() });
        }
    }
    for sample in samples {
        let request_id = sample.request_id.clone();
        let has_run = run_counts.contains_key(sample.request_id.as_str());
        let status = sample.status;
        if sample.is_signed && !given.contains(&(sample.request_id.as_str(), status)) {
            violations.push(Violation::OtherStatus { request_id: request_id.clone(), status });
        }
        match sample.outcome {
            LoadOutcome::Denied => violations.push(Violation::Denied { request_id, status }),
            LoadOutcome::Wrong => violations.push(Violation::WrongAnswer { request_id }),
            LoadOutcome::NotRun if has_run && state_changing.contains(request_id.as_str()) => {
                violations.push(Violation::RanThoughRefused { request_id });
            }
            LoadOutcome::Ran
                if !ran_on.contains(&(sample.target.as_str(), request_id.as_str())) =>
            {
                violations.push(Violation::NeverRan { request_id });
            }
            LoadOutcome::Ran
            | LoadOutcome::Failed
            | LoadOutcome::NotRun
            | LoadOutcome::Unknown
            | LoadOutcome::NoAnswer => {}
        }
    }
    violations
}

fn check_owners(histories: &[TargetHistory]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (index, one) in histories.iter().enumerate() {
        for other in &histories[index + 1..] {
            if one.service == other.service {
                check_target_pair(one, other, &mut violations);
            }
        }
    }
    violations
}

fn check_target_pair(one: &TargetHistory, other: &TargetHistory, violations: &mut Vec<Violation>) {
    for first in &one.held {
        for second in &other.held {
            let key = first.first.max(second.first);
            if key > first.last.min(second.last) {
                continue;
            }
            violations.extend(check_span_pair(key, (one, first), (other, second)));
        }
    }
}

/// Checks two spans that share `key`: they must not overlap in time, and the later one needs the
/// higher fencing token.
fn check_span_pair(
    key: u16,
    one: (&TargetHistory, &HeldSpan),
    other: (&TargetHistory, &HeldSpan),
) -> Option<Violation> {
    let (earlier, later) = if one.1.from <= other.1.from { (one, other) } else { (other, one) };
    let targets = [earlier.0.id.clone(), later.0.id.clone()];
    let overlap = earlier.1.until.min(later.1.until).saturating_duration_since(later.1.from);
    if !overlap.is_zero() {
        return Some(Violation::TwoOwners { key, targets, overlap });
    }
    let fences = [earlier.1.fence, later.1.fence];
    (fences[1] <= fences[0]).then_some(Violation::FenceNotRaised { key, targets, fences })
}
