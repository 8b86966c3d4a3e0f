//! The first bytes of datagrams and rows.

use crate::WireError;

/// Tells the system's own bytes from foreign ones, and one version of the format from another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Header {
    /// Tells this kind of bytes from all others.
    pub magic: u8,
    /// The version of the format.
    pub version: u8,
}

impl Header {
    /// The length of a header.
    pub(crate) const LENGTH_BYTES: usize = 2;

    /// The header as it stands before the message.
    pub(crate) fn bytes(self) -> [u8; Self::LENGTH_BYTES] {
        [self.magic, self.version]
    }

    /// Checks the header and returns what follows it.
    pub(crate) fn strip(self, bytes: &[u8]) -> Result<&[u8], WireError> {
        match bytes {
            [magic, version, rest @ ..] if *magic == self.magic => {
                if *version == self.version {
                    return Ok(rest);
                }
                Err(WireError::Version { found: *version, supported: self.version })
            }
            _ => Err(WireError::Foreign),
        }
    }
}
