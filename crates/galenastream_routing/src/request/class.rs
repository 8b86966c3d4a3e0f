//! Classes of requests.

/// A class of requests. Under overload the classes with the lowest priority are shed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Class {
    /// The position of the class in the settings; names its metrics.
    pub index: u16,
    /// Higher goes first.
    pub priority: u8,
}

impl Class {
    /// Creates a class.
    pub const fn new(index: u16, priority: u8) -> Self {
        Self { index, priority }
    }
}
