//! Tests of the protocol between instances, against a running instance.

use std::net;
use std::process;
use std::time::Duration;

use damaskdrift::peer::message;
use damaskdrift_lab::harness::{address, instance};
use futures_util::{SinkExt as _, StreamExt as _};
use rstest::rstest;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::time;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::{self, Message};

const TIMEOUT: Duration = Duration::from_secs(10);

type Socket = WebSocketStream<TcpStream>;

/// Running instance whose platform is unreachable; it is killed when dropped.
struct Instance {
    child: process::Child,
    dir: tempfile::TempDir,
    peers: net::SocketAddr,
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Instance {
    fn start() -> Self {
        let dir = tempfile::tempdir().expect("a temporary folder");
        // The system may return the same free port twice; `choose` returns three different ones.
        let listen = instance::Listeners::choose().expect("free ports");
        let unused = address::free_port(address::unique_ip()).expect("a free port");
        let token = dir.path().join("token");
        std::fs::write(&token, "operators").expect("the folder is writable");
        let settings = format!(
            "[instance]\nid = \"i1\"\nfailure_domain = \"north\"\n\
             [listen]\ncallers = \"{}\"\noperators = \"{}\"\npeers = \"{}\"\n\
             [platform]\nkey_value = \"{}\"\ninstance_list = \"{}\"\n\
             [operators]\ntoken_file = {token:?}\n",
            listen.callers, listen.operators, listen.peers, unused, unused
        );
        let path = dir.path().join("settings.toml");
        std::fs::write(&path, settings).expect("the folder is writable");
        let log = std::fs::File::create(dir.path().join("log")).expect("the folder is writable");
        let child = process::Command::new(env!("CARGO_BIN_EXE_damaskdrift"))
            .args(["serve", "--config"])
            .arg(&path)
            .stderr(log)
            .spawn()
            .expect("the binary starts");
        Self { child, dir, peers: listen.peers }
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.dir.path().join("log")).unwrap_or_default()
    }

    async fn connect(&self) -> Socket {
        let end = time::Instant::now() + TIMEOUT;
        loop {
            if let Ok(tcp) = TcpStream::connect(self.peers).await {
                let url = format!("ws://{}/", self.peers);
                let opened = tokio_tungstenite::client_async(url, tcp).await;
                return opened.expect("the listener speaks WebSocket").0;
            }
            assert!(time::Instant::now() < end, "no listener: {}", self.log());
            time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Connects and performs the handshake.
    async fn handshake(&self) -> Socket {
        let mut socket = self.connect().await;
        send(&mut socket, &hello(1)).await;
        let hello = receive(&mut socket).await.expect("a hello");
        assert_eq!(hello["Hello"]["instance"], "i1");
        socket
    }

    async fn wait_for_log(&self, text: &str) {
        let end = time::Instant::now() + TIMEOUT;
        while !self.log().contains(text) {
            assert!(time::Instant::now() < end, "no {text:?} in: {}", self.log());
            time::sleep(Duration::from_millis(20)).await;
        }
    }
}

fn hello(protocol: u16) -> serde_json::Value {
    let sender = json!({"instance": "i2", "failure_domain": "south", "boot": "b2"});
    let mut hello = json!({"Hello": sender});
    hello["Hello"]["protocol"] = json!(protocol);
    hello
}

fn encode(value: &serde_json::Value) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("JSON values can be encoded");
    buf
}

async fn send(socket: &mut Socket, value: &serde_json::Value) {
    socket.send(Message::binary(encode(value))).await.expect("the connection is open");
}

/// Returns the next frame, or `None` if the connection was closed.
async fn receive(socket: &mut Socket) -> Option<serde_json::Value> {
    match time::timeout(TIMEOUT, socket.next()).await.expect("a frame in time") {
        Some(Ok(Message::Binary(bytes))) => {
            Some(ciborium::from_reader(bytes.as_ref()).expect("a CBOR frame"))
        }
        Some(Ok(Message::Close(_)) | Err(_)) | None => None,
        Some(Ok(other)) => panic!("unexpected message {other:?}"),
    }
}

async fn ping(instance: &Instance) -> serde_json::Value {
    let mut socket = instance.handshake().await;
    let heartbeat = json!({"p": {"r": 0}});
    send(&mut socket, &json!({"q": [7, heartbeat]})).await;
    receive(&mut socket).await.expect("a pong")
}

// Guards against a peer with another protocol version or an invalid handshake stopping the
// instance, and against its connection being closed without a log line that gives the result code.
#[rstest]
#[case::other_version(Message::binary(encode(&hello(2))), "5001")]
#[case::no_hello(Message::binary(encode(&json!({"q": [1, "Status"]}))), "5002")]
#[case::text(Message::text("hello"), "5002")]
#[case::invalid_cbor(Message::binary(vec![0xff; 8]), "5002")]
#[case::own_name(
    Message::binary(encode(&json!({"Hello":
        {"protocol": 1, "instance": "i1", "failure_domain": "north", "boot": "b"}}))),
    "5002"
)]
#[tokio::test]
async fn an_invalid_handshake_closes_only_its_connection(
    #[case] first: Message,
    #[case] code: &str,
) {
    let instance = Instance::start();
    let mut socket = instance.connect().await;
    socket.send(first).await.expect("the connection is open");
    receive(&mut socket).await.expect("the instance sends its hello first");
    assert_eq!(receive(&mut socket).await, None);
    instance.wait_for_log(code).await;
    assert_eq!(ping(&instance).await["a"][0], 7);
}

// Guards against unknown, unexpected and oversized messages being ignored or stopping the instance.
#[rstest]
#[case::unknown(encode(&json!({"q": [1, {"Gossip": {}}]})))]
#[case::reply(encode(&json!({"a": [1, "Ack"]})))]
#[case::oversized(vec![0; (2 << 20) + 1])]
#[tokio::test]
async fn an_invalid_message_closes_only_its_connection(#[case] message: Vec<u8>) {
    let instance = Instance::start();
    let mut socket = instance.handshake().await;
    // The instance may close the connection before an oversized message is written completely.
    let result = socket.send(Message::binary(message)).await;
    assert!(!matches!(result, Err(tungstenite::Error::Capacity(_))));
    assert_eq!(receive(&mut socket).await, None);
    instance.wait_for_log("5002").await;
    assert_eq!(ping(&instance).await["a"][0], 7);
}

// Guards against a reply that carries the number of another request, which would reach the wrong
// caller.
#[tokio::test]
async fn replies_carry_the_number_of_their_request() {
    let instance = Instance::start();
    let mut socket = instance.handshake().await;
    let mut numbers = std::collections::BTreeSet::new();
    for number in [5, 3, 900] {
        send(&mut socket, &json!({"q": [number, "Fleet"]})).await;
    }
    for _ in 0..3 {
        let reply = receive(&mut socket).await.expect("a reply");
        numbers.insert(reply["a"][0].as_u64().expect("a number"));
    }
    assert_eq!(numbers, [3, 5, 900].into());
}

// Guards against an instance that resumes from a pause and pushes an outdated document, which must
// not replace a newer one, and against an invalid document replacing a valid one.
#[rstest]
#[case::newer(6, "{}", json!("Ack"), 6)]
#[case::same(5, "{}", json!("Ack"), 5)]
#[case::older(4, "{}", json!("Ack"), 5)]
#[case::invalid(6, "{\"upstreams\": 1}", json!({"Refused": 2003}), 5)]
#[tokio::test]
async fn a_push_never_lowers_the_installed_revision(
    #[case] revision: u64,
    #[case] document: &str,
    #[case] expected: serde_json::Value,
    #[case] installed: u64,
) {
    let instance = Instance::start();
    let mut socket = instance.handshake().await;
    let push = |revision: u64, document: &str| json!({"FleetPush": {"revision": revision, "document": document}});
    send(&mut socket, &json!({"q": [1, push(5, "{}")]})).await;
    assert_eq!(receive(&mut socket).await.expect("a reply")["a"][1], "Ack");
    send(&mut socket, &json!({"q": [2, push(revision, document)]})).await;
    assert_eq!(receive(&mut socket).await.expect("a reply")["a"][1], expected);
    send(&mut socket, &json!({"q": [3, "Fleet"]})).await;
    let reply = receive(&mut socket).await.expect("a reply");
    assert_eq!(reply["a"][1]["Fleet"]["revision"], installed);
}

fn update(epoch: u64, range: (u64, u64), age_ms: u64) -> message::CacheStoreUpdate {
    message::CacheStoreUpdate {
        store: "store".to_owned(),
        epoch,
        range,
        age_ms,
        is_snapshot: false,
        events: vec![(true, "salt".to_owned(), range.1, 1_000)],
        clock_ms: None,
    }
}

/// Guards against joined updates of a cache store that hide a gap or a restart, or that make the
/// knowledge look more recent than it is.
#[rstest]
#[case::next(update(1, (12, 15), 40), true)]
#[case::gap(update(1, (13, 15), 40), false)]
#[case::restarted(update(2, (12, 15), 40), false)]
#[case::snapshot(
    message::CacheStoreUpdate { is_snapshot: true, ..update(1, (12, 15), 40) },
    false
)]
fn only_contiguous_updates_are_joined(
    #[case] next: message::CacheStoreUpdate,
    #[case] is_joined: bool,
) {
    let mut first = update(1, (10, 12), 300);
    let before = first.clone();
    assert_eq!(first.append(&next), is_joined);
    if is_joined {
        assert_eq!((first.range, first.age_ms), ((10, 15), 40));
        assert_eq!(first.events.len(), 2);
    } else {
        assert_eq!(first, before);
    }
}
