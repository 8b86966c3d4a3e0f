//! What the operator should know although a tree is valid.

use std::fmt;

use serde::{Serialize, Serializer, ser::SerializeStruct};

/// What the operator should know although a tree is valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsWarning {
    /// A region with too few places for witnesses that outlive the loss of one place.
    FewPlaces {
        /// The region.
        region: String,
        /// How many places it has.
        places: usize,
    },
}

impl SettingsWarning {
    /// What to do about it.
    pub fn remedy(&self) -> &'static str {
        match self {
            Self::FewPlaces { .. } => {
                "declare a third place in the region, or accept that an outage of the platform stops the granting of leases"
            }
        }
    }
}

impl fmt::Display for SettingsWarning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FewPlaces { region, places } => write!(
                f,
                "region {region:?} has {places} of the 3 places that witnesses need; its cells run on the store alone"
            ),
        }
    }
}

impl Serialize for SettingsWarning {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut object = serializer.serialize_struct("SettingsWarning", 2)?;
        object.serialize_field("message", &self.to_string())?;
        object.serialize_field("remedy", self.remedy())?;
        object.end()
    }
}
