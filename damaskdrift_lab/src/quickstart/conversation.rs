//! Conversations in which each prompt repeats and extends the previous one.

use std::time::{Duration, Instant};

use bytes::BytesMut;
use hyper::Method;
use serde_json::json;
use tokio::time;

use crate::error::Error;
use crate::harness::fleet::{MODEL, VERSION};
use crate::harness::http;
use crate::harness::{Call, Stream};
use crate::quickstart::caller::{Caller, RETRY_PAUSE};
use crate::standin::engine::text;

/// Number of turns of a conversation.
const TURNS: usize = 6;
/// Number of words that the user adds in each turn.
const USER_WORDS: usize = 300;
/// Number of words of each response.
const RESPONSE_WORDS: usize = 32;
/// Minimum pause between a response and the next turn; the actual pause is up to twice as long and
/// depends on the conversation.
const TURN_PAUSE: Duration = Duration::from_millis(300);
/// Maximum number of attempts of one turn, counting resumed streams.
const MAX_ATTEMPTS: usize = 100;

/// Result of one turn of a conversation.
#[derive(Clone, Debug)]
pub struct Turn {
    /// Time from the first attempt to the first byte of the response.
    pub first_token: Duration,
    /// Whether the prompt extends an earlier one, so that its prefix may be cached.
    pub is_returning: bool,
    /// Number of words that were in no earlier prompt or response of the conversation.
    pub new_words: u64,
    /// Number of attempts that were refused or got no response.
    pub refusals: u64,
    /// Number of times that the response stream was resumed.
    pub resumes: u64,
    /// Description of a wrong response, absent if the response is right.
    pub failure: Option<String>,
}

/// Runs all turns of a conversation and returns their results.
///
/// Conversations start at different times, spread over [`TURN_PAUSE`].
///
/// # Errors
///
/// Returns an error if a turn gets no complete response after [`MAX_ATTEMPTS`], or a status below 500
/// other than 200.
pub async fn run(caller: Caller, index: usize) -> Result<Vec<Turn>, Error> {
    let mut turns = Vec::new();
    let mut prompt = String::new();
    time::sleep(TURN_PAUSE * index as u32 / 24).await;
    for turn_index in 0..TURNS {
        let user: Vec<String> =
            (0..USER_WORDS).map(|word| format!("c{index}t{turn_index}w{word}")).collect();
        prompt.push_str(&user.join(" "));
        let words = text::words(MODEL, VERSION, &prompt, RESPONSE_WORDS);
        let mut turn = send_prompt(&caller, &prompt, &words).await?;
        turn.is_returning = turn_index > 0;
        turns.push(turn);
        prompt.push(' ');
        prompt.push_str(&words.join(" "));
        prompt.push(' ');
        time::sleep(TURN_PAUSE + TURN_PAUSE * (index as u32 % 8) / 8).await;
    }
    Ok(turns)
}

/// Sends a prompt and retries or resumes it until its whole response has arrived.
async fn send_prompt(caller: &Caller, prompt: &str, words: &[String]) -> Result<Turn, Error> {
    let started_at = Instant::now();
    let mut turn = Turn {
        first_token: Duration::ZERO,
        is_returning: false,
        new_words: USER_WORDS as u64,
        refusals: 0,
        resumes: 0,
        failure: None,
    };
    let request = json!({
        "model": MODEL, "prompt": prompt, "max_tokens": RESPONSE_WORDS, "stream": true,
    });
    let mut request_id: Option<String> = None;
    let mut body = BytesMut::new();
    for _ in 0..MAX_ATTEMPTS {
        let call = match &request_id {
            None => caller.call(Method::POST, "/v1/completions").with_json(&request),
            Some(id) => {
                let path = format!("/v1/streams/{id}?offset={}", body.len());
                caller.call(Method::GET, &path)
            }
        };
        let Some(mut stream) = open(caller, call).await? else {
            turn.refusals += 1;
            time::sleep(RETRY_PAUSE).await;
            continue;
        };
        turn.resumes += u64::from(request_id.is_some());
        request_id = stream.header("x-request-id").map(str::to_owned);
        if read_body(&mut stream, &mut body, started_at, &mut turn).await.is_err() {
            continue;
        }
        let id = request_id.unwrap_or_default();
        if body != text::sse_body(&id, words) {
            turn.failure = Some(format!("the answer of {} bytes to {id} is wrong", body.len()));
        }
        return Ok(turn);
    }
    Err(Error::Unexpected(format!("a prompt has no answer after {MAX_ATTEMPTS} attempts")))
}

/// Opens a stream, or returns `None` if another attempt may succeed.
async fn open(caller: &Caller, call: Call) -> Result<Option<Stream>, Error> {
    match caller.http.stream(call).await {
        Ok(stream) if stream.status == 200 => Ok(Some(stream)),
        Ok(stream) if stream.status >= 500 => Ok(None),
        Ok(mut stream) => {
            let status = stream.status;
            let body = stream.read_to_end().await?;
            let body = String::from_utf8_lossy(&body);
            Err(Error::Unexpected(format!("a prompt was answered with status {status}: {body}")))
        }
        Err(http::Error::Connect(_) | http::Error::Broken(_) | http::Error::Timeout(_)) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

/// Appends the rest of a stream to `body` and records the time of the first chunk.
async fn read_body(
    stream: &mut Stream,
    body: &mut BytesMut,
    started_at: Instant,
    turn: &mut Turn,
) -> Result<(), http::Error> {
    while let Some(chunk) = stream.next_chunk().await? {
        if body.is_empty() {
            turn.first_token = started_at.elapsed();
        }
        body.extend_from_slice(&chunk);
    }
    Ok(())
}
