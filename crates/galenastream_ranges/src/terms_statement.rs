//! Which leases keep the limits that a row states.

/// Which leases keep the limits that a row states.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TermsStatement {
    /// Leases on this row at most: it states no limits, or its writer has not recorded more.
    #[default]
    Unrecorded,
    /// Leases on this row and on earlier ones after the version that the statement was planned on.
    /// Only one write can follow a version, so it tells this statement from all others.
    Since(u64),
    /// Leases on this row and on all earlier ones.
    AllRows,
}
