//! The fields of a prompt that determine its routing.

use bytes::Bytes;
use damaskdrift_core::block;
use damaskdrift_core::code;
use damaskdrift_core::id;
use serde::Deserialize;
use serde_json::Value;

use crate::caller::refusal::Refusal;

/// Longest root of a completion prompt; the root of a chat prompt is its whole first message.
const MAX_ROOT_BYTES: usize = 256;

/// A caller's prompt with the fields that determine its routing.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The requested model.
    pub model: id::Model,
    /// Whether the caller requested an event stream.
    pub is_stream: bool,
    /// Beginning that the prompts of one conversation have in common.
    pub root: Bytes,
    /// The text whose blocks an engine may have cached; empty when the prompt is not plain text.
    pub text: String,
    /// The request body, forwarded unchanged.
    pub body: Bytes,
}

#[derive(Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    stream: bool,
    prompt: Value,
}

#[derive(Deserialize)]
struct Chat {
    model: String,
    #[serde(default)]
    stream: bool,
    messages: Vec<Value>,
}

impl Prompt {
    /// Parses the body of `/v1/completions`.
    ///
    /// # Errors
    ///
    /// Returns a refusal that states why the body is invalid.
    pub fn completion(body: Bytes) -> Result<Self, Refusal> {
        let request: Completion = parse(&body)?;
        let (text, full) = match request.prompt {
            Value::String(text) => (text.clone(), text),
            Value::Array(items) if !items.is_empty() => {
                (join_text(&items).unwrap_or_default(), Value::Array(items).to_string())
            }
            _ => return Err(malformed("prompt: expected a text or a list")),
        };
        let root = full.as_bytes()[..full.len().min(MAX_ROOT_BYTES)].to_vec().into();
        let model = id::Model::new(&request.model);
        Ok(Self { model, is_stream: request.stream, root, text, body })
    }

    /// Parses the body of `/v1/chat/completions`.
    ///
    /// # Errors
    ///
    /// Returns a refusal that states why the body is invalid.
    pub fn chat(body: Bytes) -> Result<Self, Refusal> {
        let request: Chat = parse(&body)?;
        let Some(first) = request.messages.first() else {
            return Err(malformed("messages: expected at least one message"));
        };
        let root = first.to_string().into();
        let text = chat_text(&request.messages).unwrap_or_default();
        let model = id::Model::new(&request.model);
        Ok(Self { model, is_stream: request.stream, root, text, body })
    }
}

fn join_text(items: &[Value]) -> Option<String> {
    let texts: Option<Vec<&str>> = items.iter().map(Value::as_str).collect();
    Some(texts?.join("\n"))
}

fn chat_text(messages: &[Value]) -> Option<String> {
    let role_and_content = |message: &'_ Value| {
        let role = message.get("role")?.as_str()?.to_owned();
        Some((role, message.get("content")?.as_str()?.to_owned()))
    };
    let pairs: Vec<(String, String)> =
        messages.iter().map(role_and_content).collect::<Option<_>>()?;
    Some(block::chat_prompt(pairs.iter().map(|(role, content)| (role.as_str(), content.as_str()))))
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| malformed(&error.to_string()))
}

fn malformed(message: &str) -> Refusal {
    Refusal::new(code::Code::MalformedBody, message)
}
