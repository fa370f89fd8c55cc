//! Deterministic answers, so that a caller can check every byte it gets.

use bytes::Bytes;
use serde_json::json;

/// Ends an SSE body.
pub const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Returns the words that a model version answers to a prompt.
pub fn words(model: &str, version: &str, prompt: &str, count: usize) -> Vec<String> {
    let mut hasher = blake3::Hasher::new();
    for part in [model, version, prompt] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    let mut bytes = vec![0; count * 2];
    hasher.finalize_xof().fill(&mut bytes);
    bytes.chunks_exact(2).map(|pair| format!("{:02x}{:02x}", pair[0], pair[1])).collect()
}

/// Returns the SSE event that carries one piece of text.
pub fn event(request: &str, text: &str) -> String {
    let value = json!({"id": request, "choices": [{"index": 0, "text": text}]});
    format!("data: {value}\n\n")
}

/// Returns the piece of text that the word at an index adds to the answer.
pub fn piece(index: usize, word: &str) -> String {
    if index == 0 { word.to_owned() } else { format!(" {word}") }
}

/// Returns the whole SSE body of an answer.
pub fn sse_body(request: &str, words: &[String]) -> Bytes {
    let mut body = String::new();
    for (index, word) in words.iter().enumerate() {
        body.push_str(&event(request, &piece(index, word)));
    }
    body.push_str(DONE_EVENT);
    body.into()
}
