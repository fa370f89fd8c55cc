//! Blocks of kept KV cache: their keys and their life cycle.

mod key;

pub use key::{BLOCK_TOKENS, Key, chain, chat_prompt, root};
