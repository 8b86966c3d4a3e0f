//! The quarantine of this node as both threads use it: with log lines, metrics and messages.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use galenastream_ranges::TargetIncarnation;
use galenastream_routing::{
    CrashId, CrashRecord, LostRun, Quarantine, RequestFingerprint, Suspect, Suspicion,
};
use galenastream_utils::BootInstant;
use galenastream_wire::{CrashEntry, NodeStatus, QuarantineRow, SuspectRecord};
use metrics::{counter, gauge};
use prost::bytes::Bytes;

/// The longest description of a request that is told other nodes and kept in the store.
const MAX_DESCRIPTION_CHARS: usize = 120;

/// The most crashes of one record that are read. Nodes state fewer.
const MAX_CRASHES_READ: usize = 16;

/// The quarantine of this node, shared by the threads of the process.
#[derive(Debug, Default)]
pub struct RequestQuarantine {
    quarantine: Mutex<Quarantine>,
}

impl RequestQuarantine {
    /// Creates a quarantine without suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// How strongly a request is suspected.
    pub fn suspicion(&self, fingerprint: RequestFingerprint) -> Suspicion {
        self.lock().suspicion(fingerprint)
    }

    /// Whether a request has crashed more than one target. It is not sent to another one at once.
    pub fn has_crashed_again(&self, fingerprint: RequestFingerprint) -> bool {
        self.lock().suspect(fingerprint).is_some_and(|it| it.counted() > 1)
    }

    /// What this node knows of crashes under a request; `None` if there were none.
    pub fn record_of(&self, fingerprint: RequestFingerprint) -> Option<SuspectRecord> {
        self.lock().suspect(fingerprint).map(encode_suspect)
    }

    /// Records that a target has answered a request.
    pub fn record_answer(&self, fingerprint: RequestFingerprint, now: BootInstant) {
        self.change(fingerprint, |it| {
            it.record_answer(fingerprint, now);
        });
    }

    /// Records a run whose connection broke.
    pub fn record_lost_run(&self, run: LostRun) {
        self.lock().record_lost_run(run);
    }

    /// Records that a target has ended without having announced it.
    pub fn record_crash(&self, target: &TargetIncarnation, now: BootInstant) {
        let crash = CrashId::of(&target.id, target.born_ms);
        let (runs, suspicions) = {
            let mut quarantine = self.lock();
            let runs = quarantine.record_crash(crash, now);
            let suspicions: Vec<_> =
                runs.iter().map(|it| quarantine.suspicion(it.fingerprint)).collect();
            (runs, suspicions)
        };
        for (run, suspicion) in runs.iter().zip(suspicions) {
            counter!("galenastream_crash_suspects_total").increment(1);
            log::warn!(
                event = "target_crashed",
                target:% = target,
                fingerprint:% = run.fingerprint,
                request = &*run.description,
                was_suspected = run.was_suspected,
                suspicion = word(suspicion);
                ""
            );
            if suspicion == Suspicion::Quarantined {
                self.log_change(run.fingerprint, suspicion);
            }
        }
    }

    /// Takes over what another node or the store knows of a request. A malformed record is left out.
    pub fn merge(&self, record: &SuspectRecord, now: BootInstant) {
        let Some(suspect) = decode_suspect(record) else {
            log::warn!(event = "suspect_malformed", bytes = record.fingerprint.len(); "");
            return;
        };
        self.change(suspect.fingerprint, |it| {
            it.merge(&suspect, now);
        });
    }

    /// The records that this node tells all others.
    pub fn stated(&self, now: BootInstant) -> Vec<SuspectRecord> {
        self.lock().stated(now).into_iter().map(encode_suspect).collect()
    }

    /// The records that every node should have.
    pub fn shared(&self) -> Vec<SuspectRecord> {
        self.lock().shared().into_iter().map(encode_suspect).collect()
    }

    /// Adds the records to a status that its receiver lacks, by the digest that the receiver stated
    /// last: it may have restarted or have been cut off.
    pub fn add_missing(&self, status: &mut NodeStatus, known_digest: u64) {
        if status.quarantine_digest != known_digest {
            status.suspects.extend(self.shared());
        }
    }

    /// The row of the store with these records.
    pub fn row(&self) -> QuarantineRow {
        let mut records = self.shared();
        records.sort_by(|a, b| a.fingerprint.cmp(&b.fingerprint));
        for record in &mut records {
            record.crashes.sort_by_key(|it| it.id);
        }
        QuarantineRow { records }
    }

    /// A digest of the records that every node should have.
    pub fn digest(&self) -> u64 {
        self.lock().digest()
    }

    /// The number of requests that this node refuses.
    pub fn quarantined_count(&self) -> usize {
        self.lock().quarantined_count()
    }

    /// The number of crashes under requests at the local target.
    pub fn crash_count(&self) -> u64 {
        self.lock().crash_count()
    }

    /// Counts the changes of what [`row`](Self::row) returns.
    pub fn version(&self) -> u64 {
        self.lock().version()
    }

    /// Changes what is known of a request, and logs whether it is refused from now on or no longer.
    fn change(&self, fingerprint: RequestFingerprint, action: impl FnOnce(&mut Quarantine)) {
        let (before, after) = {
            let mut quarantine = self.lock();
            let before = quarantine.suspicion(fingerprint);
            action(&mut quarantine);
            (before, quarantine.suspicion(fingerprint))
        };
        if before != after && before.max(after) == Suspicion::Quarantined {
            self.log_change(fingerprint, after);
        }
    }

    fn log_change(&self, fingerprint: RequestFingerprint, suspicion: Suspicion) {
        let quarantine = self.lock();
        gauge!("galenastream_quarantined_requests").set(quarantine.quarantined_count() as f64);
        let suspect = quarantine.suspect(fingerprint);
        let event = match suspicion {
            Suspicion::Quarantined => "request_quarantined",
            Suspicion::None | Suspicion::Suspected => "request_released",
        };
        log::warn!(
            event,
            fingerprint:% = fingerprint,
            request = suspect.map_or("", |it| &it.description),
            crashes = suspect.map_or(0, Suspect::counted);
            ""
        );
    }

    fn lock(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Describes a request for operators.
pub fn describe_request(method: &str, host: &str, path: &str) -> Arc<str> {
    shorten(&format!("{method} {host}{path}"))
}

/// Encodes a record for other nodes and the store. Most suspects of a crash need no description: they
/// are cleared before another one.
pub fn encode_suspect(suspect: &Suspect) -> SuspectRecord {
    let description = match suspect.counted() > 1 || suspect.was_quarantined {
        true => suspect.description.to_string(),
        false => String::new(),
    };
    let crashes = suspect.crashes.iter().map(|it| CrashEntry {
        id: it.id.0,
        was_suspected: it.was_suspected,
        is_cleared: it.is_cleared,
    });
    SuspectRecord {
        fingerprint: Bytes::copy_from_slice(&suspect.fingerprint.to_bytes()),
        crashes: crashes.collect(),
        description,
        was_quarantined: suspect.was_quarantined,
    }
}

/// Decodes a record of another node or the store. Returns `None` if it names no request.
pub fn decode_suspect(record: &SuspectRecord) -> Option<Suspect> {
    let fingerprint = RequestFingerprint::from_bytes(&record.fingerprint)?;
    let crashes = record.crashes.iter().take(MAX_CRASHES_READ).map(|it| CrashRecord {
        id: CrashId(it.id),
        was_suspected: it.was_suspected,
        is_cleared: it.is_cleared,
    });
    let description = shorten(&record.description);
    let mut suspect = Suspect::new(fingerprint, crashes.collect(), description);
    suspect.was_quarantined = record.was_quarantined;
    Some(suspect)
}

fn shorten(text: &str) -> Arc<str> {
    text.chars().take(MAX_DESCRIPTION_CHARS).collect::<String>().into()
}

const fn word(suspicion: Suspicion) -> &'static str {
    match suspicion {
        Suspicion::None => "none",
        Suspicion::Suspected => "suspected",
        Suspicion::Quarantined => "quarantined",
    }
}
