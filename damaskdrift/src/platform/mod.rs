//! Clients of the platform's services.

pub mod instance_list;
pub mod key_value;
pub mod store;
