//! Blocks of kept KV cache: their keys and their life cycle.

mod key;
mod life;

pub use key::{BLOCK_TOKENS, Key, chain, chat_prompt, root};
pub use life::{Block, Doubt, Freed, Manifest, PIN_MARGIN, Pinned, Sealed, Writing};
