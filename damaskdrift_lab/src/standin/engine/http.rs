//! HTTP routes of the engine stand-in.

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

/// Maximum size of a request body.
const MAX_BODY_BYTES: u64 = 16 << 20;
/// Maximum length of a completion.
const MAX_COMPLETION_TOKENS: usize = 1 << 17;
/// Priority of a request without an `x-priority` header; 0 is the highest.
const DEFAULT_PRIORITY: u8 = 2;

const COMPLETIONS: &str = "/v1/completions";
const CHAT_COMPLETIONS: &str = "/v1/chat/completions";

type SharedEngine = sync::Arc<state::Engine>;

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

/// Returns the routes that instances, other stand-ins and tests call.
pub fn routes(engine: SharedEngine) -> Routes {
    let handle = engine.clone();
    let with_engine = warp::any().map(move || handle.clone());
    completions(with_engine.clone().boxed())
        .or(streams(with_engine.clone().boxed()))
        .unify()
        .or(reports(with_engine.clone().boxed()))
        .unify()
        .or(transfers(with_engine.clone().boxed()))
        .unify()
        .or(orders(with_engine.clone().boxed()))
        .unify()
        .or(admin(with_engine.boxed()))
        .unify()
        .recover(|rejection: Rejection| async move {
            Ok::<_, convert::Infallible>(rejection_response(&rejection))
        })
        .unify()
        .map(move |response| add_engine_headers(&engine, response))
        .boxed()
}

type EngineFilter = warp::filters::BoxedFilter<(SharedEngine,)>;
type Routes = warp::filters::BoxedFilter<(Response,)>;

fn completions(with_engine: EngineFilter) -> Routes {
    let text = warp::path!("v1" / "completions").map(|| COMPLETIONS);
    let chat = warp::path!("v1" / "chat" / "completions").map(|| CHAT_COMPLETIONS);
    warp::post()
        .and(with_engine)
        .and(text.or(chat).unify())
        .and(warp::header::headers_cloned())
        .and(warp::body::content_length_limit(MAX_BODY_BYTES))
        .and(warp::body::bytes())
        .then(complete)
        .boxed()
}

fn streams(with_engine: EngineFilter) -> Routes {
    let resume = warp::get()
        .and(with_engine.clone())
        .and(warp::path!("v1" / "streams" / String))
        .and(warp::query::<Offset>())
        .and(warp::header::headers_cloned())
        .map(|engine: SharedEngine, id: String, query: Offset, headers: HeaderMap| {
            match engine.stream(&id, header_text(&headers, "x-workspace")) {
                None => error_response(StatusCode::NOT_FOUND, "the stream is not known"),
                Some(buffer) => stream_response(&buffer, query.offset),
            }
        });
    let cancel = warp::delete()
        .and(with_engine)
        .and(warp::path!("v1" / "streams" / String))
        .and(warp::header::headers_cloned())
        .map(|engine: SharedEngine, id: String, headers: HeaderMap| {
            if engine.cancel(&id, header_text(&headers, "x-workspace")) {
                warp::reply::json(&json!({})).into_response()
            } else {
                error_response(StatusCode::NOT_FOUND, "the stream is not known")
            }
        });
    resume.or(cancel).unify().boxed()
}

fn reports(with_engine: EngineFilter) -> Routes {
    let load = warp::get()
        .and(with_engine.clone())
        .and(warp::path!("v1" / "load"))
        .map(|engine: SharedEngine| warp::reply::json(&engine.load()).into_response());
    let events = warp::get()
        .and(with_engine)
        .and(warp::path!("v1" / "cache" / "events"))
        .and(warp::query::<After>())
        .map(|engine: SharedEngine, query: After| {
            let (events, next) = engine.cache_events(query.after);
            warp::reply::json(&json!({"events": events, "next": next})).into_response()
        });
    load.or(events).unify().boxed()
}

fn transfers(with_engine: EngineFilter) -> Routes {
    let client = client::Client::default();
    let with_client = warp::any().map(move || client.clone());
    let export = warp::post()
        .and(with_engine.clone())
        .and(warp::path!("v1" / "cache" / "export"))
        .and(with_client.clone())
        .and(warp::body::json())
        .then(|engine: SharedEngine, client: client::Client, req: transfer::Request| async move {
            warp::reply::json(&transfer::export(&engine, &client, &req).await).into_response()
        });
    let import = warp::post()
        .and(with_engine)
        .and(warp::path!("v1" / "cache" / "import"))
        .and(with_client)
        .and(warp::body::json())
        .then(|engine: SharedEngine, client: client::Client, req: transfer::Request| async move {
            warp::reply::json(&transfer::import(&engine, &client, &req).await).into_response()
        });
    export.or(import).unify().boxed()
}

fn orders(with_engine: EngineFilter) -> Routes {
    let post = warp::post()
        .and(with_engine.clone())
        .and(warp::path!("v1" / "orders"))
        .and(warp::body::json())
        .map(|engine: SharedEngine, order: order::Order| {
            let is_load = order.kind == order::Kind::Load;
            if is_load && (order.model != engine.cfg.model || order.version.is_empty()) {
                return error_response(
                    StatusCode::BAD_REQUEST,
                    "a load names this model and a version",
                );
            }
            if !engine.accept_order(&order) {
                return error_response(StatusCode::CONFLICT, "the fencing number is old");
            }
            if is_load {
                tokio::spawn(load_weights(engine, order));
            }
            warp::reply::json(&json!({})).into_response()
        });
    let list = warp::get()
        .and(with_engine)
        .and(warp::path!("admin" / "orders"))
        .map(|engine: SharedEngine| warp::reply::json(&engine.orders()).into_response());
    post.or(list).unify().boxed()
}

async fn load_weights(engine: SharedEngine, order: order::Order) {
    let Some(address) = engine.cfg.weight_store else {
        tokio::time::sleep(engine.cfg.load_time).await;
        engine.finish_load(&order);
        return;
    };
    let url = format!("http://{address}/v1/weights/{}/{}", order.model, order.version);
    match client::Client::default().call(Method::GET, &url, Bytes::new()).await {
        Ok((StatusCode::OK, _)) => engine.finish_load(&order),
        Ok((status, _)) => {
            log::warn!("weights not loaded: weight store returned {status} for {url}")
        }
        Err(error) => log::warn!("weights not loaded: request for {url} failed: {error}"),
    }
}

fn admin(with_engine: EngineFilter) -> Routes {
    let fault = warp::post()
        .and(with_engine.clone())
        .and(warp::path!("admin" / "fault"))
        .and(warp::body::json())
        .map(|engine: SharedEngine, fault: fault::Fault| {
            if let Err(message) = fault.check() {
                return error_response(StatusCode::BAD_REQUEST, message);
            }
            engine.set_fault(fault);
            warp::reply::json(&json!({})).into_response()
        });
    let stats = warp::get()
        .and(with_engine)
        .and(warp::path!("admin" / "stats"))
        .map(|engine: SharedEngine| warp::reply::json(&engine.stats()).into_response());
    fault.or(stats).unify().boxed()
}

async fn complete(
    engine: SharedEngine,
    route: &'static str,
    headers: HeaderMap,
    bytes: Bytes,
) -> Response {
    let body: Body = match serde_json::from_slice(&bytes) {
        Ok(body) => body,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    if body.model != engine.cfg.model {
        return error_response(StatusCode::NOT_FOUND, "the model is not served here");
    }
    let submission = match parse_submission(&engine, route, &headers, &body) {
        Ok(submission) => submission,
        Err(message) => return error_response(StatusCode::BAD_REQUEST, message),
    };
    let prompt = submission.prompt.clone();
    match engine.submit(submission) {
        Err(state::Refusal::Duplicate) => {
            error_response(StatusCode::CONFLICT, "the request id is already known")
        }
        Err(state::Refusal::Fault) => {
            error_response(StatusCode::INTERNAL_SERVER_ERROR, "the version fails")
        }
        Err(state::Refusal::Cold) => {
            error_response(StatusCode::SERVICE_UNAVAILABLE, "the cold limit is exceeded")
        }
        Err(state::Refusal::Unloaded) => {
            error_response(StatusCode::SERVICE_UNAVAILABLE, "no version is loaded")
        }
        Ok(buffer) if body.stream => stream_response(&buffer, 0),
        Ok(buffer) => completion_response(&engine, route, &buffer, &prompt).await,
    }
}

fn parse_submission(
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
    if !(1..=MAX_COMPLETION_TOKENS).contains(&tokens) {
        return Err("max_tokens must be in 1 to 131072");
    }
    let workspace = header_text(headers, "x-workspace").to_owned();
    let root = match header_text(headers, "x-cache-root") {
        "" => default_root(engine, &workspace),
        hex => hex.parse().map_err(|_| "x-cache-root must be 64 hexadecimal digits")?,
    };
    let priority = match header_text(headers, "x-priority") {
        "" => DEFAULT_PRIORITY,
        text => text.parse().ok().filter(|p| *p <= 3).ok_or("x-priority must be in 0 to 3")?,
    };
    let id = match header_text(headers, "x-request-id") {
        "" => format!("{:016x}", rand::random::<u64>()),
        id => id.to_owned(),
    };
    Ok(state::Submission { id, workspace, root, priority, route, prompt, tokens })
}

/// Returns the root key for a request without `x-cache-root`, which still isolates workspaces.
fn default_root(engine: &state::Engine, workspace: &str) -> block::Key {
    block::root(
        &fleet::Secret::default(),
        &id::Workspace::new(workspace),
        &id::Model::new(&engine.cfg.model),
    )
}

async fn completion_response(
    engine: &state::Engine,
    route: &'static str,
    buffer: &stream::Buffer,
    prompt: &str,
) -> Response {
    if buffer.wait_for_end().await != stream::State::Done {
        return error_response(StatusCode::CONFLICT, "the request was cancelled");
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

fn stream_response(buffer: &stream::Buffer, offset: usize) -> Response {
    if buffer.state() != stream::State::Running && offset > buffer.len() {
        return error_response(
            StatusCode::RANGE_NOT_SATISFIABLE,
            "the offset lies outside the stream",
        );
    }
    let mut response = warp::reply::stream(buffer.read(offset)).into_response();
    let value = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

fn error_response(status: StatusCode, message: &str) -> Response {
    let body = json!({"error": {"code": status.as_u16(), "message": message}});
    warp::reply::with_status(warp::reply::json(&body), status).into_response()
}

fn rejection_response(rejection: &Rejection) -> Response {
    if rejection.find::<warp::reject::PayloadTooLarge>().is_some() {
        return error_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    }
    // Each route rejects other methods, so an unknown path also ends in a method rejection.
    let is_wrong_method = rejection.find::<warp::reject::MethodNotAllowed>().is_some();
    if is_wrong_method || rejection.is_not_found() {
        return error_response(StatusCode::NOT_FOUND, "no route has this method and path");
    }
    error_response(StatusCode::BAD_REQUEST, &format!("{rejection:?}"))
}

fn add_engine_headers(engine: &state::Engine, mut response: Response) -> Response {
    for (name, value) in [("x-boot-id", engine.boot_id.clone()), ("x-version", engine.version())] {
        let Ok(value) = HeaderValue::try_from(value) else {
            continue;
        };
        response.headers_mut().insert(name, value);
    }
    response
}
