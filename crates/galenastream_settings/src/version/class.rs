//! A class of requests.

use serde::{Deserialize, Serialize};

/// A class of requests, which decides what is shed first under overload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSettings {
    /// The name that callers give.
    pub name: String,
    /// The class with the lowest priority is shed first.
    pub priority: u8,
}
