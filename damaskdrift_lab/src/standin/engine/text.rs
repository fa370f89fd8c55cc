//! Deterministic completions, so that tests can check every byte that a caller receives.

use bytes::Bytes;
use serde_json::json;

/// Last event of a server-sent event body.
pub const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Returns the `count` words that a weight version of a model generates for a prompt.
pub fn words(model: &str, version: &str, prompt: &str, count: usize) -> Vec<String> {
    let mut hasher = blake3::Hasher::new();
    for field in [model, version, prompt] {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field.as_bytes());
    }
    let mut bytes = vec![0; count * 2];
    hasher.finalize_xof().fill(&mut bytes);
    bytes.chunks_exact(2).map(|pair| format!("{:02x}{:02x}", pair[0], pair[1])).collect()
}

/// Returns the server-sent event with one chunk of text.
pub fn event(request: &str, text: &str) -> String {
    let value = json!({"id": request, "choices": [{"index": 0, "text": text}]});
    format!("data: {value}\n\n")
}

/// Returns the text that the word at an index adds to the completion.
pub fn chunk(index: usize, word: &str) -> String {
    if index == 0 { word.to_owned() } else { format!(" {word}") }
}

/// Returns the complete server-sent event body of a completion.
pub fn sse_body(request: &str, words: &[String]) -> Bytes {
    let mut body = String::new();
    for (index, word) in words.iter().enumerate() {
        body.push_str(&event(request, &chunk(index, word)));
    }
    body.push_str(DONE_EVENT);
    body.into()
}
