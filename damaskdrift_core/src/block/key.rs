//! Keys of KV cache blocks, chained by hashing over the prefix of a prompt.

use std::fmt;
use std::str;

use serde::{Deserialize, Serialize};

use crate::fleet;
use crate::id;

/// Number of tokens in a block; a token is a whitespace-separated word.
pub const BLOCK_TOKENS: usize = 16;

const ROOT_KEY_CONTEXT: &str = "damaskdrift 2026-12 kv cache chain root";

/// Identifies a block by its workspace, model, weight version and whole prefix.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct Key([u8; 32]);

impl Key {
    /// Creates a key from the 32 bytes of its hash.
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns the 32 bytes of the hash.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl From<Key> for String {
    fn from(key: Key) -> Self {
        key.to_string()
    }
}

impl TryFrom<String> for Key {
    type Error = blake3::HexError;

    fn try_from(hex: String) -> Result<Self, Self::Error> {
        hex.parse()
    }
}

impl str::FromStr for Key {
    type Err = blake3::HexError;

    fn from_str(hex: &str) -> Result<Self, Self::Err> {
        blake3::Hash::from_hex(hex).map(|hash| Self(*hash.as_bytes()))
    }
}

/// Returns the root key of all chains of a workspace and model.
///
/// Only the root depends on the fleet secret, so an engine that receives the root derives the same
/// keys without the secret, and no other workspace can derive them.
pub fn root(secret: &fleet::Secret, workspace: &id::Workspace, model: &id::Model) -> Key {
    let mut hasher = blake3::Hasher::new_keyed(&secret.derive(ROOT_KEY_CONTEXT));
    hash_framed(&mut hasher, workspace.as_str());
    hash_framed(&mut hasher, model.as_str());
    Key(*hasher.finalize().as_bytes())
}

/// Returns the keys of all full blocks of a prompt under a weight version, first block first.
///
/// The engine uses the version that it actually runs, so blocks computed during a version swap
/// never get the keys that the sender of the request expected.
pub fn chain(root: &Key, version: &id::Version, prompt: &str) -> Vec<Key> {
    let mut hasher = blake3::Hasher::new_keyed(&root.0);
    hash_framed(&mut hasher, version.as_str());
    let mut parent = Key(*hasher.finalize().as_bytes());
    let mut keys = Vec::new();
    let mut hasher = blake3::Hasher::new_keyed(&parent.0);
    let mut token_count = 0;
    for token in prompt.split_whitespace() {
        hash_framed(&mut hasher, token);
        token_count += 1;
        if token_count < BLOCK_TOKENS {
            continue;
        }
        parent = Key(*hasher.finalize().as_bytes());
        keys.push(parent);
        hasher = blake3::Hasher::new_keyed(&parent.0);
        token_count = 0;
    }
    keys
}

/// Renders chat messages, given as role and content, as one prompt that ends with `assistant:`.
pub fn chat_prompt<'a>(messages: impl IntoIterator<Item = (&'a str, &'a str)>) -> String {
    let mut prompt = String::new();
    for (role, content) in messages {
        prompt.push_str(role);
        prompt.push_str(": ");
        prompt.push_str(content);
        prompt.push('\n');
    }
    prompt.push_str("assistant:");
    prompt
}

/// Hashes a length prefix before the text, so that adjacent texts have unambiguous boundaries.
fn hash_framed(hasher: &mut blake3::Hasher, text: &str) {
    hasher.update(&(text.len() as u64).to_le_bytes());
    hasher.update(text.as_bytes());
}
