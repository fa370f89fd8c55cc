//! Clients of the platform's HTTP services.

pub mod cache_store;
pub mod instance_list;
pub mod key_value;
