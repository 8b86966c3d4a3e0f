//! A harness of real nodes over fakes of the network, the table service and the targets.

mod agenda;
mod clock;
mod fault;
mod machine;
mod network;
mod parallel;
mod run;
mod script;
mod store;
mod strategy;
mod table;
mod violation;
mod world;

use agenda::*;
use clock::*;
use machine::*;
use network::*;
use store::*;
use table::*;

pub use parallel::*;
pub use run::*;
pub use script::*;
pub use strategy::*;
pub use violation::*;
pub use world::*;
