//! Contracts of the platform's services and of the stores built on them, under each fault.

mod cell_store;
mod object_store;
mod platform;
mod settings_store;
mod table_service;
