//! Salts, which partition cached segments into sets that requests may share.

use std::sync::Arc;

use crate::id;

/// Separates the fields of a salt; model names of upstreams do not contain it.
const SEPARATOR: char = '|';

/// Returns the salt of segments computed by one version of a model's weights.
///
/// An isolated workspace gets its own salts, so it shares segments with no other workspace.
pub fn salt(model: &id::Model, version: u64, isolated: Option<&id::Workspace>) -> Arc<str> {
    let workspace = isolated.map_or("", id::Workspace::as_str);
    Arc::from(format!("{model}{SEPARATOR}{version}{SEPARATOR}{workspace}"))
}

/// Returns the model and version encoded in a salt, or `None` if its second field is not a version.
///
/// It accepts any text of this form, also if [`salt`] did not build it.
pub fn parse_salt(salt: &str) -> Option<(id::Model, u64)> {
    let mut fields = salt.splitn(3, SEPARATOR);
    let model = id::Model::new(fields.next()?);
    Some((model, fields.next()?.parse().ok()?))
}
