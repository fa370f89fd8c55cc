//! A conversation whose prompts return and grow.

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

/// Turns of a conversation.
const TURNS: usize = 6;
/// Words that the user adds in each turn.
const USER_WORDS: usize = 300;
/// Words of each answer.
const ANSWER_WORDS: usize = 32;
/// Pause between an answer and the next turn; conversations differ by up to the same time.
const PAUSE: Duration = Duration::from_millis(300);
/// Most attempts of one turn.
const MAX_ATTEMPTS: usize = 100;

/// What one turn of a conversation came to.
#[derive(Clone, Debug)]
pub struct Turn {
    /// Time from the first attempt to the first byte of the answer.
    pub first_token: Duration,
    /// Whether the prompt continues an earlier one.
    pub is_returning: bool,
    /// Words of the prompt that were in no earlier prompt or answer.
    pub new_words: u64,
    /// Attempts that were refused or got no connection.
    pub refusals: u64,
    /// Times that the answer was resumed at another instance.
    pub resumes: u64,
    /// What was wrong with the answer, if anything.
    pub fault: Option<String>,
}

/// Runs a conversation to its end.
///
/// # Errors
///
/// Returns why a turn got no answer.
pub async fn run(caller: Caller, index: usize) -> Result<Vec<Turn>, Error> {
    let mut turns = Vec::new();
    let mut prompt = String::new();
    time::sleep(PAUSE * index as u32 / 24).await;
    for number in 0..TURNS {
        let user: Vec<String> =
            (0..USER_WORDS).map(|word| format!("c{index}t{number}w{word}")).collect();
        prompt.push_str(&user.join(" "));
        let words = text::words(MODEL, VERSION, &prompt, ANSWER_WORDS);
        let mut turn = ask(&caller, &prompt, &words).await?;
        turn.is_returning = number > 0;
        turns.push(turn);
        prompt.push(' ');
        prompt.push_str(&words.join(" "));
        prompt.push(' ');
        time::sleep(PAUSE + PAUSE * (index as u32 % 8) / 8).await;
    }
    Ok(turns)
}

/// Sends a prompt until its whole answer has arrived.
async fn ask(caller: &Caller, prompt: &str, words: &[String]) -> Result<Turn, Error> {
    let started = Instant::now();
    let mut turn = Turn {
        first_token: Duration::ZERO,
        is_returning: false,
        new_words: USER_WORDS as u64,
        refusals: 0,
        resumes: 0,
        fault: None,
    };
    let body = json!({
        "model": MODEL, "prompt": prompt, "max_tokens": ANSWER_WORDS, "stream": true,
    });
    let mut request: Option<String> = None;
    let mut answer = BytesMut::new();
    for _ in 0..MAX_ATTEMPTS {
        let call = match &request {
            None => caller.call(Method::POST, "/v1/completions").with_json(&body),
            Some(id) => {
                let path = format!("/v1/streams/{id}?offset={}", answer.len());
                caller.call(Method::GET, &path)
            }
        };
        let Some(mut stream) = open(caller, call).await? else {
            turn.refusals += 1;
            time::sleep(RETRY_PAUSE).await;
            continue;
        };
        turn.resumes += u64::from(request.is_some());
        request = stream.header("x-request-id").map(str::to_owned);
        if read(&mut stream, &mut answer, started, &mut turn).await.is_err() {
            continue;
        }
        let id = request.unwrap_or_default();
        if answer != text::sse_body(&id, words) {
            turn.fault = Some(format!("the answer of {} bytes to {id} is wrong", answer.len()));
        }
        return Ok(turn);
    }
    Err(Error::Unexpected(format!("a prompt has no answer after {MAX_ATTEMPTS} attempts")))
}

/// Opens a stream; `None` means that another attempt may succeed.
async fn open(caller: &Caller, call: Call) -> Result<Option<Stream>, Error> {
    match caller.http.stream(call).await {
        Ok(stream) if stream.status == 200 => Ok(Some(stream)),
        Ok(stream) if stream.status >= 500 => Ok(None),
        Ok(mut stream) => {
            let status = stream.status;
            let body = stream.rest().await?;
            let body = String::from_utf8_lossy(&body);
            Err(Error::Unexpected(format!("a prompt was answered with status {status}: {body}")))
        }
        Err(http::Error::Connect(_) | http::Error::Broken(_) | http::Error::Timeout(_)) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

async fn read(
    stream: &mut Stream,
    answer: &mut BytesMut,
    started: Instant,
    turn: &mut Turn,
) -> Result<(), http::Error> {
    while let Some(piece) = stream.next_piece().await? {
        if answer.is_empty() {
            turn.first_token = started.elapsed();
        }
        answer.extend_from_slice(&piece);
    }
    Ok(())
}
