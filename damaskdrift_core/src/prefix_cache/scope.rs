//! Scopes, each of which is a set of workspaces that share cached segments.

use std::collections::BTreeSet;
use std::fmt;

use derive_more::Display;

use crate::id;
use crate::routing;

/// Begins the text of the scope that isolated workspaces are excluded from.
const SHARED_PREFIX: &str = "s|";
/// Begins the text of the scope of one isolated workspace.
const ISOLATED_PREFIX: &str = "w|";

/// Identifies a set of isolated workspaces.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[display("{_0:016x}")]
pub struct IsolatedSet(u64);

/// The workspaces with which a request shares cached segments.
///
/// A segment is cached under the scope of the request that computed it and is found only under the
/// same scope. The scope of all workspaces that are not isolated therefore changes with the set of
/// those that are: a workspace that becomes isolated leaves its segments behind in a scope that is no
/// longer used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope<'a> {
    /// All workspaces that are not in this set of isolated ones.
    Shared(IsolatedSet),
    /// One isolated workspace.
    Isolated(&'a id::Workspace),
}

/// The scopes that a configuration uses.
#[derive(Debug, Default)]
pub struct Scopes {
    isolated: BTreeSet<id::Workspace>,
    set: IsolatedSet,
}

impl Default for Scope<'_> {
    fn default() -> Self {
        Self::Shared(IsolatedSet::default())
    }
}

impl fmt::Display for Scope<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Shared(set) => write!(f, "{SHARED_PREFIX}{set}"),
            Self::Isolated(workspace) => write!(f, "{ISOLATED_PREFIX}{workspace}"),
        }
    }
}

impl IsolatedSet {
    fn new(workspaces: &BTreeSet<id::Workspace>) -> Self {
        if workspaces.is_empty() {
            return Self::default();
        }
        let mut hasher = blake3::Hasher::new();
        for workspace in workspaces {
            let name = workspace.as_str().as_bytes();
            hasher.update(&(name.len() as u64).to_le_bytes());
            hasher.update(name);
        }
        let mut first = [0; 8];
        hasher.finalize_xof().fill(&mut first);
        Self(u64::from_le_bytes(first))
    }
}

impl Scopes {
    /// Returns the scopes of a configuration with these workspaces.
    pub fn new(workspaces: &[routing::Workspace]) -> Self {
        let mut isolated = BTreeSet::new();
        for workspace in workspaces {
            if workspace.is_isolated {
                isolated.insert(workspace.id.clone());
            }
        }
        let set = IsolatedSet::new(&isolated);
        Self { isolated, set }
    }

    /// Returns the scope of a workspace, or of requests without a workspace.
    pub fn scope(&self, workspace: Option<&id::Workspace>) -> Scope<'_> {
        let isolated = workspace.and_then(|workspace| self.isolated.get(workspace));
        isolated.map_or(Scope::Shared(self.set), Scope::Isolated)
    }

    /// Returns whether requests may use a scope, given by its text in a salt. It is true for texts of
    /// another form.
    pub fn is_used(&self, scope: &str) -> bool {
        if let Some(set) = scope.strip_prefix(SHARED_PREFIX) {
            return set == self.set.to_string();
        }
        match scope.strip_prefix(ISOLATED_PREFIX) {
            Some(workspace) => self.isolated.contains(&id::Workspace::new(workspace)),
            None => true,
        }
    }
}
