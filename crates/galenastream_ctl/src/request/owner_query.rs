//! The query for the owner of a key.

use serde::Serialize;

/// Whose key is looked up.
#[derive(Debug, Serialize)]
pub(crate) struct OwnerQuery<'a> {
    pub(crate) service: &'a str,
    pub(crate) key: &'a str,
}
