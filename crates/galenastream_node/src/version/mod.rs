//! What lives for one version: of the held slices, or of the settings.

mod serving;
mod settings_version;
mod slice_gate;
mod slice_meter;

pub use serving::*;
pub use settings_version::*;
pub use slice_gate::*;
pub use slice_meter::*;
