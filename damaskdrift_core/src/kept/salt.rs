//! Salts, which keep apart the parts that requests must not share.

use std::sync::Arc;

use crate::id;

/// Separates the fields of a salt; model names of upstreams do not contain it.
const SEPARATOR: char = '|';

/// Returns the salt of parts made by one version of a model's weights. An isolated workspace has
/// salts of its own.
pub fn salt(model: &id::Model, version: u64, isolated: Option<&id::Workspace>) -> Arc<str> {
    let workspace = isolated.map_or("", id::Workspace::as_str);
    Arc::from(format!("{model}{SEPARATOR}{version}{SEPARATOR}{workspace}"))
}

/// Returns the model and the version of a salt, absent for one that this system did not make.
pub fn version(salt: &str) -> Option<(id::Model, u64)> {
    let mut fields = salt.splitn(3, SEPARATOR);
    let model = id::Model::new(fields.next()?);
    Some((model, fields.next()?.parse().ok()?))
}
