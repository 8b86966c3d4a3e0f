//! What lives for one version: of the held slices, or of the settings.

mod serving;
mod settings_version;
mod slice_gate;

pub use serving::*;
pub use settings_version::*;
pub use slice_gate::*;
