//! Clients of the platform's services.

pub mod key_value;
