//! Salts, which partition cached segments into sets that requests may share.

use std::sync::Arc;

use crate::id;
use crate::prefix_cache::scope;

/// Separates the fields of a salt; model names of upstreams do not contain it.
const SEPARATOR: char = '|';

/// The fields of a salt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Salt<'a> {
    /// The model that computed the segments.
    pub model: id::Model,
    /// The version of the model's weights.
    pub version: u64,
    /// The text of the scope.
    pub scope: &'a str,
}

/// Returns the salt of segments that one version of a model's weights computes for the requests of a
/// scope.
pub fn salt(model: &id::Model, version: u64, scope: scope::Scope<'_>) -> Arc<str> {
    Arc::from(format!("{model}{SEPARATOR}{version}{SEPARATOR}{scope}"))
}

/// Returns the fields of a salt, or `None` if its second field is not a version.
///
/// It accepts any text of this form, also if [`salt`] did not build it.
pub fn parse_salt(salt: &str) -> Option<Salt<'_>> {
    let mut fields = salt.splitn(3, SEPARATOR);
    let model = id::Model::new(fields.next()?);
    let version = fields.next()?.parse().ok()?;
    Some(Salt { model, version, scope: fields.next().unwrap_or_default() })
}
