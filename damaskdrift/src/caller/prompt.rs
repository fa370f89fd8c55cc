//! The parts of a prompt that decide where it goes.

use bytes::Bytes;
use damaskdrift_core::block;
use damaskdrift_core::code;
use damaskdrift_core::id;
use serde::Deserialize;
use serde_json::Value;

use crate::caller::refusal::Refusal;

/// Length of the part of a plain prompt that is its root, in bytes.
const ROOT_LEN: usize = 256;

/// A prompt as the caller sent it, with what decides where it goes.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The model.
    pub model: id::Model,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Beginning that prompts of one conversation share.
    pub root: Bytes,
    /// The text whose blocks the engine may hold; empty when it is not plain text.
    pub text: String,
    /// The body, unchanged.
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
    /// Returns a refusal that names the fault of the body.
    pub fn completion(body: Bytes) -> Result<Self, Refusal> {
        let request: Completion = parse(&body)?;
        let (text, whole) = match request.prompt {
            Value::String(text) => (text.clone(), text),
            Value::Array(parts) if !parts.is_empty() => {
                (joined(&parts).unwrap_or_default(), Value::Array(parts).to_string())
            }
            _ => return Err(malformed("prompt: expected a text or a list")),
        };
        let root = whole.as_bytes()[..whole.len().min(ROOT_LEN)].to_vec().into();
        let model = id::Model::new(&request.model);
        Ok(Self { model, is_stream: request.stream, root, text, body })
    }

    /// Parses the body of `/v1/chat/completions`.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the fault of the body.
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

fn joined(parts: &[Value]) -> Option<String> {
    let parts: Option<Vec<&str>> = parts.iter().map(Value::as_str).collect();
    Some(parts?.join("\n"))
}

fn chat_text(messages: &[Value]) -> Option<String> {
    let part = |message: &'_ Value| {
        let role = message.get("role")?.as_str()?.to_owned();
        Some((role, message.get("content")?.as_str()?.to_owned()))
    };
    let parts: Vec<(String, String)> = messages.iter().map(part).collect::<Option<_>>()?;
    Some(block::chat_prompt(parts.iter().map(|(role, content)| (role.as_str(), content.as_str()))))
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| malformed(&error.to_string()))
}

fn malformed(fault: &str) -> Refusal {
    Refusal::new(code::Code::MalformedBody, fault)
}
