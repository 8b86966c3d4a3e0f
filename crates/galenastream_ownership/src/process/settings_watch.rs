//! The highest settings version that was seen anywhere.

use crate::{Action, SettingsVersion, VmId, process::Outbox};

/// The highest settings version that was seen anywhere, and the one in force here.
#[derive(Debug, Default)]
pub(crate) struct SettingsWatch {
    pub(crate) in_force: SettingsVersion,
    pub(crate) highest: SettingsVersion,
}

impl SettingsWatch {
    /// Takes what the shell knows.
    pub(crate) fn learn(&mut self, in_force: SettingsVersion, highest: SettingsVersion) {
        self.in_force = self.in_force.max(in_force);
        self.highest = self.highest.max(highest).max(in_force);
    }

    /// Takes a version that another node named, and has a newer one fetched.
    pub(crate) fn hear(&mut self, version: SettingsVersion, holder: VmId, out: &mut Outbox) {
        let is_new = version > self.highest;
        self.highest = self.highest.max(version);
        if is_new && version > self.in_force {
            out.act(Action::FetchSettings { version, holder });
        }
    }
}
