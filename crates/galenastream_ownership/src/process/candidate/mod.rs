//! Taking over a cell whose coordinator is lost.

mod candidacy;
mod deputy;
mod row_watch;
mod seal_round;
mod takeover;
mod term_taking;

pub(crate) use candidacy::*;
pub(crate) use deputy::*;
pub(crate) use row_watch::*;
pub(crate) use seal_round::*;
pub(crate) use takeover::*;
pub(crate) use term_taking::*;
