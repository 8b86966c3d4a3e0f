//! The identity of a crash.

/// Identifies the crash of a target by its incarnation, which ends once. Two nodes that report the
/// same crash mean the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId(pub u64);

impl CrashId {
    /// The crash of an incarnation: the target's id and the Unix time of its start in milliseconds,
    /// 0 if unknown.
    pub fn of(target_id: &str, born_ms: u64) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key("galenastream 2026-12 crash of a target");
        hasher.update(&born_ms.to_le_bytes());
        hasher.update(target_id.as_bytes());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_be_bytes(bytes))
    }
}
