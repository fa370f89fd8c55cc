//! One WebSocket connection that carries frames.

use std::net;
use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::id;
use futures_util::{SinkExt as _, StreamExt as _};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{self, Message};

use crate::context;
use crate::peer::Error;
use crate::peer::message;

/// Longest time to connect and exchange introductions.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Initial read buffer of a connection; heartbeats are a few hundred bytes.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// A connection after both sides introduced themselves.
#[derive(Debug)]
pub struct Socket<S> {
    stream: WebSocketStream<S>,
    /// Who is on the other side.
    pub hello: message::Hello,
}

/// Connects to a peer's listener and checks that the expected instance answers.
///
/// # Errors
///
/// Returns why no connection was made.
pub async fn connect(
    cx: &context::Context,
    peer: &id::Instance,
    address: net::SocketAddr,
) -> Result<Socket<TcpStream>, Error> {
    let open = async {
        let stream = open(address).await?;
        Socket::introduce(cx, stream).await
    };
    let socket = within(open).await?;
    if socket.hello.instance != *peer {
        return Err(Error::Identity(socket.hello.instance));
    }
    Ok(socket)
}

/// Takes a connection that a peer opened.
///
/// # Errors
///
/// Returns why the connection cannot be used.
pub async fn accept(cx: &context::Context, tcp: TcpStream) -> Result<Socket<TcpStream>, Error> {
    let open = async {
        let stream = take(tcp).await?;
        Socket::introduce(cx, stream).await
    };
    let socket = within(open).await?;
    if socket.hello.instance == cx.settings.instance.id {
        return Err(Error::Identity(socket.hello.instance));
    }
    Ok(socket)
}

/// Connects to a listener of an instance.
///
/// # Errors
///
/// Returns why no connection was made.
pub async fn open(address: net::SocketAddr) -> Result<WebSocketStream<TcpStream>, Error> {
    let tcp = TcpStream::connect(address).await.map_err(|error| unreachable(&error))?;
    tcp.set_nodelay(true).map_err(|error| unreachable(&error))?;
    let url = format!("ws://{address}/");
    let (stream, _) = tokio_tungstenite::client_async_with_config(url, tcp, Some(config()))
        .await
        .map_err(|error| from_websocket(&error))?;
    Ok(stream)
}

/// Takes a connection that an instance opened.
///
/// # Errors
///
/// Returns why the connection cannot be used.
pub async fn take(tcp: TcpStream) -> Result<WebSocketStream<TcpStream>, Error> {
    tcp.set_nodelay(true).map_err(|error| unreachable(&error))?;
    tokio_tungstenite::accept_async_with_config(tcp, Some(config()))
        .await
        .map_err(|error| from_websocket(&error))
}

impl<S: AsyncRead + AsyncWrite + Unpin> Socket<S> {
    /// Sends a frame.
    ///
    /// # Errors
    ///
    /// Returns why the connection broke or the frame is not allowed.
    pub async fn send(&mut self, frame: &message::Frame) -> Result<(), Error> {
        send(&mut self.stream, frame).await
    }

    /// Receives the next frame; may be cancelled between frames.
    ///
    /// # Errors
    ///
    /// Returns why the connection broke or the frame is not allowed.
    pub async fn receive(&mut self) -> Result<message::Frame, Error> {
        receive(&mut self.stream).await
    }

    async fn introduce(
        cx: &context::Context,
        mut stream: WebSocketStream<S>,
    ) -> Result<Self, Error> {
        let own = message::Hello {
            protocol: message::PROTOCOL,
            instance: cx.settings.instance.id.clone(),
            failure_domain: cx.settings.instance.failure_domain.clone(),
            boot: cx.boot.clone(),
        };
        send(&mut stream, &message::Frame::Hello(own)).await?;
        let message::Frame::Hello(hello) = receive(&mut stream).await? else {
            return Err(Error::Message("the first frame is no introduction".to_owned()));
        };
        if hello.protocol != message::PROTOCOL {
            return Err(Error::Version(hello.protocol));
        }
        Ok(Self { stream, hello })
    }
}

/// Sends a frame.
///
/// # Errors
///
/// Returns why the connection broke or the frame is not allowed.
pub async fn send<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut WebSocketStream<S>,
    frame: &message::Frame,
) -> Result<(), Error> {
    let bytes = frame.encode()?;
    metrics::counter!("damaskdrift_peer_sent_bytes_total").increment(bytes.len() as u64);
    stream.send(Message::Binary(bytes)).await.map_err(|error| from_websocket(&error))
}

/// Receives the next frame; may be cancelled between frames.
///
/// # Errors
///
/// Returns why the connection broke or the frame is not allowed.
pub async fn receive<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut WebSocketStream<S>,
) -> Result<message::Frame, Error> {
    loop {
        let message = match stream.next().await {
            Some(message) => message.map_err(|error| from_websocket(&error))?,
            None => return Err(Error::Unreachable("the connection ended".to_owned())),
        };
        match message {
            Message::Binary(bytes) => return message::Frame::decode(&bytes),
            Message::Ping(_) | Message::Pong(_) => {}
            Message::Close(_) => {
                return Err(Error::Unreachable("the peer closed the connection".to_owned()));
            }
            Message::Text(_) | Message::Frame(_) => {
                return Err(Error::Message("a frame is not binary".to_owned()));
            }
        }
    }
}

/// Bounds the time to connect and exchange introductions.
///
/// # Errors
///
/// Returns why the connection cannot be used, or that the time is over.
pub async fn within<T>(open: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let timeout = || Error::Unreachable("timeout while connecting".to_owned());
    time::timeout(OPEN_TIMEOUT, open).await.map_err(|_| timeout())?
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
        .max_message_size(Some(message::MAX_MESSAGE_BYTES))
        .max_frame_size(Some(message::MAX_MESSAGE_BYTES))
}

fn unreachable(error: &dyn std::error::Error) -> Error {
    Error::Unreachable(error.to_string())
}

fn from_websocket(error: &tungstenite::Error) -> Error {
    match error {
        tungstenite::Error::Capacity(_) | tungstenite::Error::Utf8(_) => {
            Error::Message(error.to_string())
        }
        // A peer that goes away without a closing handshake is no protocol fault.
        tungstenite::Error::Protocol(
            tungstenite::error::ProtocolError::ResetWithoutClosingHandshake
            | tungstenite::error::ProtocolError::HandshakeIncomplete,
        ) => Error::Unreachable(error.to_string()),
        tungstenite::Error::Protocol(_) | tungstenite::Error::Http(_) => {
            Error::Message(error.to_string())
        }
        _ => Error::Unreachable(error.to_string()),
    }
}

impl message::Frame {
    /// Encodes the frame.
    ///
    /// # Errors
    ///
    /// Returns a fault when the frame is too large.
    pub fn encode(&self) -> Result<Bytes, Error> {
        let mut buf = Vec::new();
        ciborium::into_writer(self, &mut buf).map_err(|error| Error::Message(error.to_string()))?;
        if buf.len() > message::MAX_MESSAGE_BYTES {
            return Err(Error::Message(format!("{} bytes are too many to send", buf.len())));
        }
        Ok(Bytes::from(buf))
    }

    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// Returns a fault when the bytes are no frame of this protocol.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        ciborium::from_reader(bytes).map_err(|error| Error::Message(error.to_string()))
    }
}
