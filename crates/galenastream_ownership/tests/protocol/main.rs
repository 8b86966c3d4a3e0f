//! Rules of the ownership protocol, one node at a time, as tables of cases.

mod bench;
mod coordinator;
mod holder;
mod store_writes;
mod witness;
