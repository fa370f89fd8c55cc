//! HTTP interface of the stand-in.

use std::convert;
use std::sync;

use bytes::Bytes;
use damaskdrift_core::block;
use damaskdrift_core::fleet;
use damaskdrift_core::id;
use serde::Deserialize;
use serde_json::json;
use warp::http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use warp::reply::{Reply as _, Response};
use warp::{Filter, Rejection};

use crate::standin::client;
use crate::standin::engine::fault;
use crate::standin::engine::order;
use crate::standin::engine::state;
use crate::standin::engine::stream;
use crate::standin::engine::transfer;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: u64 = 16 << 20;
/// Longest answer, in tokens.
const MAX_ANSWER_TOKENS: usize = 1 << 17;
/// Priority of a request without the header.
const DEFAULT_PRIORITY: u8 = 2;

const COMPLETIONS: &str = "/v1/completions";
const CHAT_COMPLETIONS: &str = "/v1/chat/completions";

type Shared = sync::Arc<state::Engine>;

#[derive(Deserialize)]
struct Body {
    model: String,
    prompt: Option<Prompt>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<usize>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Prompt {
    One(String),
    Many(Vec<String>),
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: String,
}

#[derive(Deserialize)]
struct Offset {
    #[serde(default)]
    offset: usize,
}

#[derive(Deserialize)]
struct After {
    #[serde(default)]
    after: u64,
}

/// Returns all routes of the stand-in.
pub fn routes(engine: Shared) -> Routes {
    let shared = engine.clone();
    let with = warp::any().map(move || shared.clone());
    completions(with.clone().boxed())
        .or(streams(with.clone().boxed()))
        .unify()
        .or(reports(with.clone().boxed()))
        .unify()
        .or(transfers(with.clone().boxed()))
        .unify()
        .or(orders(with.clone().boxed()))
        .unify()
        .or(admin(with.boxed()))
        .unify()
        .recover(|rejection: Rejection| async move {
            Ok::<_, convert::Infallible>(rejected(&rejection))
        })
        .unify()
        .map(move |response| stamp(&engine, response))
        .boxed()
}

type With = warp::filters::BoxedFilter<(Shared,)>;
type Routes = warp::filters::BoxedFilter<(Response,)>;

fn completions(with: With) -> Routes {
    let text = warp::path!("v1" / "completions").map(|| COMPLETIONS);
    let chat = warp::path!("v1" / "chat" / "completions").map(|| CHAT_COMPLETIONS);
    warp::post()
        .and(with)
        .and(text.or(chat).unify())
        .and(warp::header::headers_cloned())
        .and(warp::body::content_length_limit(MAX_BODY_BYTES))
        .and(warp::body::bytes())
        .then(complete)
        .boxed()
}

fn streams(with: With) -> Routes {
    let resume = warp::get()
        .and(with.clone())
        .and(warp::path!("v1" / "streams" / String))
        .and(warp::query::<Offset>())
        .and(warp::header::headers_cloned())
        .map(|engine: Shared, id: String, query: Offset, headers: HeaderMap| {
            match engine.stream(&id, text_of(&headers, "x-workspace")) {
                None => failure(StatusCode::NOT_FOUND, "the stream is not known"),
                Some(buffer) => sse(&buffer, query.offset),
            }
        });
    let cancel = warp::delete()
        .and(with)
        .and(warp::path!("v1" / "streams" / String))
        .and(warp::header::headers_cloned())
        .map(|engine: Shared, id: String, headers: HeaderMap| {
            if engine.cancel(&id, text_of(&headers, "x-workspace")) {
                warp::reply::json(&json!({})).into_response()
            } else {
                failure(StatusCode::NOT_FOUND, "the stream is not known")
            }
        });
    resume.or(cancel).unify().boxed()
}

fn reports(with: With) -> Routes {
    let load = warp::get()
        .and(with.clone())
        .and(warp::path!("v1" / "load"))
        .map(|engine: Shared| warp::reply::json(&engine.load()).into_response());
    let events = warp::get()
        .and(with)
        .and(warp::path!("v1" / "cache" / "events"))
        .and(warp::query::<After>())
        .map(|engine: Shared, query: After| {
            let (events, next) = engine.cache_events(query.after);
            warp::reply::json(&json!({"events": events, "next": next})).into_response()
        });
    load.or(events).unify().boxed()
}

fn transfers(with: With) -> Routes {
    let client = client::Client::default();
    let with_client = warp::any().map(move || client.clone());
    let export = warp::post()
        .and(with.clone())
        .and(warp::path!("v1" / "cache" / "export"))
        .and(with_client.clone())
        .and(warp::body::json())
        .then(|engine: Shared, client: client::Client, req: transfer::Request| async move {
            warp::reply::json(&transfer::export(&engine, &client, &req).await).into_response()
        });
    let import = warp::post()
        .and(with)
        .and(warp::path!("v1" / "cache" / "import"))
        .and(with_client)
        .and(warp::body::json())
        .then(|engine: Shared, client: client::Client, req: transfer::Request| async move {
            warp::reply::json(&transfer::import(&engine, &client, &req).await).into_response()
        });
    export.or(import).unify().boxed()
}

fn orders(with: With) -> Routes {
    let post = warp::post()
        .and(with.clone())
        .and(warp::path!("v1" / "orders"))
        .and(warp::body::json())
        .map(|engine: Shared, order: order::Order| {
            let is_load = order.kind == order::Kind::Load;
            if is_load && (order.model != engine.cfg.model || order.version.is_empty()) {
                return failure(StatusCode::BAD_REQUEST, "a load names this model and a version");
            }
            if !engine.take_order(&order) {
                return failure(StatusCode::CONFLICT, "the fencing number is old");
            }
            if is_load {
                tokio::spawn(load(engine, order));
            }
            warp::reply::json(&json!({})).into_response()
        });
    let taken = warp::get()
        .and(with)
        .and(warp::path!("admin" / "orders"))
        .map(|engine: Shared| warp::reply::json(&engine.orders()).into_response());
    post.or(taken).unify().boxed()
}

async fn load(engine: Shared, order: order::Order) {
    let Some(weights) = engine.cfg.weights else {
        tokio::time::sleep(engine.cfg.load).await;
        engine.finish_load(&order);
        return;
    };
    let url = format!("http://{weights}/v1/weights/{}/{}", order.model, order.version);
    match client::Client::default().call(Method::GET, &url, Bytes::new()).await {
        Ok((StatusCode::OK, _)) => engine.finish_load(&order),
        Ok((status, _)) => log::warn!("weight store answered {status} for {url}"),
        Err(error) => log::warn!("weight store does not answer for {url}: {error}"),
    }
}

fn admin(with: With) -> Routes {
    let fault = warp::post()
        .and(with.clone())
        .and(warp::path!("admin" / "fault"))
        .and(warp::body::json())
        .map(|engine: Shared, fault: fault::Fault| {
            if let Err(message) = fault.check() {
                return failure(StatusCode::BAD_REQUEST, message);
            }
            engine.set_fault(fault);
            warp::reply::json(&json!({})).into_response()
        });
    let stats = warp::get()
        .and(with)
        .and(warp::path!("admin" / "stats"))
        .map(|engine: Shared| warp::reply::json(&engine.stats()).into_response());
    fault.or(stats).unify().boxed()
}

async fn complete(
    engine: Shared,
    route: &'static str,
    headers: HeaderMap,
    bytes: Bytes,
) -> Response {
    let body: Body = match serde_json::from_slice(&bytes) {
        Ok(body) => body,
        Err(error) => return failure(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    if body.model != engine.cfg.model {
        return failure(StatusCode::NOT_FOUND, "the model is not served here");
    }
    let submission = match submission(&engine, route, &headers, &body) {
        Ok(submission) => submission,
        Err(message) => return failure(StatusCode::BAD_REQUEST, message),
    };
    let prompt = submission.prompt.clone();
    match engine.submit(submission) {
        Err(state::Refusal::Duplicate) => {
            failure(StatusCode::CONFLICT, "the request id is already known")
        }
        Err(state::Refusal::Fault) => {
            failure(StatusCode::INTERNAL_SERVER_ERROR, "the version fails")
        }
        Err(state::Refusal::Cold) => {
            failure(StatusCode::SERVICE_UNAVAILABLE, "the cold limit is exceeded")
        }
        Err(state::Refusal::Unloaded) => {
            failure(StatusCode::SERVICE_UNAVAILABLE, "no version is loaded")
        }
        Ok(buffer) if body.stream => sse(&buffer, 0),
        Ok(buffer) => whole(&engine, route, &buffer, &prompt).await,
    }
}

fn submission(
    engine: &state::Engine,
    route: &'static str,
    headers: &HeaderMap,
    body: &Body,
) -> Result<state::Submission, &'static str> {
    let prompt = match (route, &body.prompt, &body.messages) {
        (COMPLETIONS, Some(Prompt::One(prompt)), _) => prompt.clone(),
        (COMPLETIONS, Some(Prompt::Many(prompts)), _) => prompts.join("\n"),
        (CHAT_COMPLETIONS, _, Some(messages)) => {
            block::chat_prompt(messages.iter().map(|m| (m.role.as_str(), m.content.as_str())))
        }
        _ => return Err("completions need a prompt, chat completions need messages"),
    };
    let tokens = body.max_tokens.unwrap_or(engine.cfg.default_tokens);
    if !(1..=MAX_ANSWER_TOKENS).contains(&tokens) {
        return Err("max_tokens must be in 1 to 131072");
    }
    let workspace = text_of(headers, "x-workspace").to_owned();
    let root = match text_of(headers, "x-cache-root") {
        "" => unkeyed_root(engine, &workspace),
        hex => hex.parse().map_err(|_| "x-cache-root must be 64 hexadecimal digits")?,
    };
    let priority = match text_of(headers, "x-priority") {
        "" => DEFAULT_PRIORITY,
        text => text.parse().ok().filter(|p| *p <= 3).ok_or("x-priority must be in 0 to 3")?,
    };
    let id = match text_of(headers, "x-request-id") {
        "" => format!("{:016x}", rand::random::<u64>()),
        id => id.to_owned(),
    };
    Ok(state::Submission { id, workspace, root, priority, route, prompt, tokens })
}

/// Keeps workspaces apart when the caller gives no root.
fn unkeyed_root(engine: &state::Engine, workspace: &str) -> block::Key {
    block::root(
        &fleet::Secret::default(),
        &id::Workspace::new(workspace),
        &id::Model::new(&engine.cfg.model),
    )
}

async fn whole(
    engine: &state::Engine,
    route: &'static str,
    buffer: &stream::Buffer,
    prompt: &str,
) -> Response {
    if buffer.ended().await != stream::State::Done {
        return failure(StatusCode::CONFLICT, "the request was cancelled");
    }
    let text = buffer.text();
    let choice = if route == COMPLETIONS {
        json!({"index": 0, "text": text, "finish_reason": "length"})
    } else {
        let message = json!({"role": "assistant", "content": text});
        json!({"index": 0, "message": message, "finish_reason": "length"})
    };
    let prompt_tokens = prompt.split_whitespace().count();
    let completion_tokens = text.split_whitespace().count();
    let usage = json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
    });
    let object = if route == COMPLETIONS { "text_completion" } else { "chat.completion" };
    let body = json!({
        "id": buffer.id,
        "object": object,
        "model": engine.cfg.model,
        "choices": [choice],
        "usage": usage,
    });
    warp::reply::json(&body).into_response()
}

fn sse(buffer: &stream::Buffer, offset: usize) -> Response {
    if buffer.state() != stream::State::Running && offset > buffer.len() {
        return failure(StatusCode::RANGE_NOT_SATISFIABLE, "the offset lies outside the stream");
    }
    let mut response = warp::reply::stream(buffer.read(offset)).into_response();
    let value = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

fn text_of<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

fn failure(status: StatusCode, message: &str) -> Response {
    let body = json!({"error": {"code": status.as_u16(), "message": message}});
    warp::reply::with_status(warp::reply::json(&body), status).into_response()
}

fn rejected(rejection: &Rejection) -> Response {
    if rejection.find::<warp::reject::PayloadTooLarge>().is_some() {
        return failure(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    }
    // Every route refuses other methods, so this is also what an unknown path leads to.
    let is_method = rejection.find::<warp::reject::MethodNotAllowed>().is_some();
    if is_method || rejection.is_not_found() {
        return failure(StatusCode::NOT_FOUND, "no route has this method and path");
    }
    failure(StatusCode::BAD_REQUEST, &format!("{rejection:?}"))
}

fn stamp(engine: &state::Engine, mut response: Response) -> Response {
    for (name, value) in [("x-boot-id", engine.boot.clone()), ("x-version", engine.version())] {
        let Ok(value) = HeaderValue::try_from(value) else {
            continue;
        };
        response.headers_mut().insert(name, value);
    }
    response
}
