//! Keys and lifecycle of KV cache blocks.

mod key;
mod lifecycle;

pub use key::{BLOCK_TOKENS, Key, chain, chat_prompt, root};
pub use lifecycle::{Block, Freed, IntegrityError, Manifest, PIN_MARGIN, Pinned, Sealed, Writing};
