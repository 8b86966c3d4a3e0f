//! Checks that requests that crash their targets are stopped, and no others.

use std::time::{Duration, Instant};

use galenastream_utils::FastMap;

use super::Violation;
use crate::{LoadSample, TargetHistory, crashes_targets};

/// How many targets a request has to crash before its retries are limited.
const CRASH_LIMIT: usize = 3;

/// How many targets it may reach afterwards.
const RETRY_LIMIT: usize = 3;

/// How long after the third crash the retries begin to count, and how long a node has to be in touch
/// with the others before; `stableWindowMs` of the platform.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// How long after a crash the node beside the target has to be undisturbed, so that it can notice the
/// crash and tell other nodes.
const REPORT_TIME: Duration = Duration::from_secs(1);

/// A period in which a node is not in touch with the others: it does not run, or a fault is in effect
/// on one of its links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disturbance {
    /// The index of the VM of the node.
    pub vm: usize,
    /// The start of the disturbance.
    pub from: Instant,
    /// The end of the disturbance.
    pub until: Instant,
}

/// What targets saw of one request that comes again and again: its path and the service of its callers.
#[derive(Default)]
struct Repeats {
    /// When targets crashed under it.
    crashes: Vec<Instant>,
    /// When it arrived at targets.
    arrivals: Vec<Instant>,
}

/// Returns a violation for each request with more than three retries later than 3 s after its third
/// crash, and one for each request that crashes no target and was refused as if it did.
///
/// A crash counts if the node beside the target could notice it and tell others; a retry counts if
/// both nodes that sent it on, that of its caller and the one beside the target, were in touch with
/// the others for 3 s before. `histories` has those of each VM.
pub fn check_crashes(
    histories: &[Vec<TargetHistory>],
    samples: &[LoadSample],
    disturbances: &[Disturbance],
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for sample in samples {
        if sample.is_quarantined && !crashes_targets(&sample.path) {
            let request_id = sample.request_id.clone();
            violations.push(Violation::InnocentQuarantined { request_id });
        }
    }
    for ((path, caller_service), mut repeats) in repeats_of(histories, samples, disturbances) {
        repeats.crashes.sort();
        let Some(third) = repeats.crashes.get(CRASH_LIMIT - 1) else {
            continue;
        };
        let counts_from = *third + STABLE_WINDOW;
        let retries = repeats.arrivals.iter().filter(|it| **it > counts_from).count();
        if retries > RETRY_LIMIT {
            let (path, caller_service) = (path.to_owned(), caller_service.to_owned());
            violations.push(Violation::CrashesGoOn { path, caller_service, retries });
        }
    }
    violations
}

/// Returns the crashes and retries that count, by path and caller service.
fn repeats_of<'a>(
    histories: &'a [Vec<TargetHistory>],
    samples: &[LoadSample],
    disturbances: &[Disturbance],
) -> FastMap<(&'a str, &'a str), Repeats> {
    let is_disturbed = |vm: usize, from: Instant, until: Instant| {
        disturbances.iter().any(|it| it.vm == vm && it.from <= until && from <= it.until)
    };
    let entries: FastMap<&str, usize> =
        samples.iter().map(|it| (it.request_id.as_str(), it.entry)).collect();
    let mut repeats: FastMap<(&str, &str), Repeats> = FastMap::default();
    for (vm, history) in
        histories.iter().enumerate().flat_map(|(vm, of)| of.iter().map(move |it| (vm, it)))
    {
        let crash = history.end.as_ref().and_then(|it| Some((it.at, it.crashed_by.as_ref()?)));
        for arrival in history.arrivals.iter().filter(|it| crashes_targets(&it.path)) {
            let of = repeats.entry((&arrival.path, &arrival.caller_service)).or_default();
            if let Some((at, request_id)) = crash
                && *request_id == arrival.request_id
                && !is_disturbed(vm, at, at + REPORT_TIME)
            {
                of.crashes.push(at);
            }
            // Callers that are no part of the load enter beside the target.
            let entry = entries.get(arrival.request_id.as_str()).copied().unwrap_or(vm);
            let at = arrival.arrived_at;
            if [vm, entry].iter().all(|it| !is_disturbed(*it, at - STABLE_WINDOW, at)) {
                of.arrivals.push(at);
            }
        }
    }
    repeats
}
