//! The identity of a request across repeats.

use std::fmt;

/// The context of the hash. Hashes of other kinds of data never equal a fingerprint.
const HASH_CONTEXT: &str = "galenastream 2026-12 request fingerprint";

/// The context of the hash of a request and a target.
const WEIGHT_CONTEXT: &str = "galenastream 2026-12 target of a suspected request";

/// The content of a request that is the same each time it is sent.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The host that the caller asked for. Its case and port are ignored, as in the lookup of routes.
    pub host: &'a str,
    /// The path with the query.
    pub path: &'a str,
    /// The service on the VM where the request originated.
    pub caller_service: &'a [u8],
    /// The whole body.
    pub body: &'a [u8],
}

/// A hash of the content of a request. Repeats of a request have the same one at every node, and
/// callers cannot construct two requests with the same one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint(u128);

impl RequestFingerprint {
    /// The number of bytes of a fingerprint.
    pub const BYTES: usize = 16;

    /// Computes the fingerprint of a request.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let host = content.host.split(':').next().unwrap_or(content.host).to_ascii_lowercase();
        let mut hasher = blake3::Hasher::new_derive_key(HASH_CONTEXT);
        let method = content.method.as_bytes();
        for field in [method, host.as_bytes(), content.path.as_bytes(), content.caller_service] {
            // The length keeps two fields apart.
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        hasher.update(content.body);
        let mut bytes = [0; Self::BYTES];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..Self::BYTES]);
        Self(u128::from_be_bytes(bytes))
    }

    /// The weight of a target in the choice of the one that runs the request while it is suspected.
    /// All nodes compute the same, so they choose the same target.
    pub fn weight_of(self, target_id: &str) -> u64 {
        let mut hasher = blake3::Hasher::new_derive_key(WEIGHT_CONTEXT);
        hasher.update(&self.to_bytes());
        hasher.update(target_id.as_bytes());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_be_bytes(bytes)
    }

    /// Decodes a fingerprint. Returns `None` if it has another length.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        Some(Self(u128::from_be_bytes(bytes.try_into().ok()?)))
    }

    /// The fingerprint as bytes.
    pub const fn to_bytes(self) -> [u8; Self::BYTES] {
        self.0.to_be_bytes()
    }

    /// A shorter hash, for digests of sets.
    pub(crate) const fn short_hash(self) -> u64 {
        self.0 as u64
    }

    /// Parses the hexadecimal form. Returns `None` if the text is no fingerprint.
    pub fn parse(text: &str) -> Option<Self> {
        let is_complete = text.len() == 2 * Self::BYTES;
        // The parser would accept a sign.
        let is_hex = text.bytes().all(|it| it.is_ascii_hexdigit());
        u128::from_str_radix(text, 16).ok().filter(|_| is_complete && is_hex).map(Self)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
