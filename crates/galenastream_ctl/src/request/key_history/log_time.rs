//! Times of log lines.

use std::fmt;

use jiff::{SignedDuration, Timestamp};
use serde::{Serialize, Serializer};

/// Time of day at which a node wrote a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LogTime(Timestamp);

impl LogTime {
    /// Parses an RFC 3339 timestamp.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        text.parse().ok().map(Self)
    }

    /// Creates the time from a timestamp.
    pub(crate) const fn new(timestamp: Timestamp) -> Self {
        Self(timestamp)
    }

    pub(crate) fn plus_ms(self, ms: u64) -> Self {
        Self(self.0.checked_add(duration(ms)).unwrap_or(Timestamp::MAX))
    }

    pub(crate) fn minus_ms(self, ms: u64) -> Self {
        Self(self.0.checked_sub(duration(ms)).unwrap_or(Timestamp::MIN))
    }

    /// Returns the time since an earlier instant, or 0 if that is later.
    pub(crate) fn ms_since(self, earlier: Self) -> u64 {
        u64::try_from(self.0.duration_since(earlier.0).as_millis()).unwrap_or(0)
    }
}

fn duration(ms: u64) -> SignedDuration {
    SignedDuration::from_millis(i64::try_from(ms).unwrap_or(i64::MAX))
}

impl fmt::Display for LogTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.0)
    }
}

impl Serialize for LogTime {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
