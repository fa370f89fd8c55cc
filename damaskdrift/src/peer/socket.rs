//! WebSocket connections that carry frames between instances.

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
use crate::stream::FairStream;

/// Timeout for connecting, including the handshake.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Read buffer of a connection; heartbeats are a few hundred bytes.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// Stream of a connection between instances.
pub type Stream = FairStream<TcpStream>;

/// Connection on which both sides have exchanged [`message::Hello`].
#[derive(Debug)]
pub struct Socket<S> {
    stream: WebSocketStream<S>,
    /// Identity of the peer, as it reported itself.
    pub hello: message::Hello,
}

/// Connects to a peer's listener and checks that it is the expected instance.
///
/// # Errors
///
/// Returns why no connection was made.
pub async fn connect(
    cx: &context::Context,
    peer: &id::Instance,
    address: net::SocketAddr,
) -> Result<Socket<Stream>, Error> {
    let open = async {
        let stream = connect_websocket(address).await?;
        Socket::handshake(cx, stream).await
    };
    let socket = with_open_timeout(open).await?;
    if socket.hello.instance != *peer {
        return Err(Error::Identity(socket.hello.instance));
    }
    Ok(socket)
}

/// Performs the handshake on a connection that a peer opened.
///
/// # Errors
///
/// Returns why the connection cannot be used.
pub async fn accept(cx: &context::Context, tcp: TcpStream) -> Result<Socket<Stream>, Error> {
    let open = async {
        let stream = accept_websocket(tcp).await?;
        Socket::handshake(cx, stream).await
    };
    let socket = with_open_timeout(open).await?;
    if socket.hello.instance == cx.settings.instance.id {
        return Err(Error::Identity(socket.hello.instance));
    }
    Ok(socket)
}

/// Opens a WebSocket connection to an instance's listener, without the handshake.
///
/// # Errors
///
/// Returns why no connection was made.
pub async fn connect_websocket(address: net::SocketAddr) -> Result<WebSocketStream<Stream>, Error> {
    let tcp = TcpStream::connect(address).await.map_err(|error| unreachable(&error))?;
    tcp.set_nodelay(true).map_err(|error| unreachable(&error))?;
    let url = format!("ws://{address}/");
    let tcp = FairStream::new(tcp);
    let (stream, _) = tokio_tungstenite::client_async_with_config(url, tcp, Some(config()))
        .await
        .map_err(|error| from_websocket(&error))?;
    Ok(stream)
}

/// Accepts a WebSocket connection that an instance opened, without the handshake.
///
/// # Errors
///
/// Returns why the connection cannot be used.
pub async fn accept_websocket(tcp: TcpStream) -> Result<WebSocketStream<Stream>, Error> {
    tcp.set_nodelay(true).map_err(|error| unreachable(&error))?;
    tokio_tungstenite::accept_async_with_config(FairStream::new(tcp), Some(config()))
        .await
        .map_err(|error| from_websocket(&error))
}

impl<S: AsyncRead + AsyncWrite + Unpin> Socket<S> {
    /// Sends a frame to the peer.
    ///
    /// # Errors
    ///
    /// Returns why the connection failed or the frame is invalid.
    pub async fn send(&mut self, frame: &message::Frame) -> Result<(), Error> {
        send(&mut self.stream, frame).await
    }

    /// Receives the next frame; cancellation between frames loses none.
    ///
    /// # Errors
    ///
    /// Returns why the connection failed or the frame is invalid.
    pub async fn receive(&mut self) -> Result<message::Frame, Error> {
        receive(&mut self.stream).await
    }

    async fn handshake(
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
            return Err(Error::Message("the first frame is not a hello".to_owned()));
        };
        if hello.protocol != message::PROTOCOL {
            return Err(Error::Version(hello.protocol));
        }
        Ok(Self { stream, hello })
    }
}

/// Encodes and sends a frame, and counts its bytes in the metrics.
///
/// # Errors
///
/// Returns why the connection failed or the frame is invalid.
pub async fn send<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut WebSocketStream<S>,
    frame: &message::Frame,
) -> Result<(), Error> {
    feed(stream, frame).await?;
    stream.flush().await.map_err(|error| from_websocket(&error))
}

/// Encodes a frame, counts its bytes in the metrics and queues it, to be sent with the next frame.
///
/// # Errors
///
/// Returns why the connection failed or the frame is invalid.
pub async fn feed<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut WebSocketStream<S>,
    frame: &message::Frame,
) -> Result<(), Error> {
    let bytes = frame.encode()?;
    metrics::counter!("damaskdrift_peer_sent_bytes_total").increment(bytes.len() as u64);
    stream.feed(Message::Binary(bytes)).await.map_err(|error| from_websocket(&error))
}

/// Receives the next frame; cancellation between frames loses none.
///
/// # Errors
///
/// Returns why the connection failed or the frame is invalid.
pub async fn receive<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut WebSocketStream<S>,
) -> Result<message::Frame, Error> {
    loop {
        let message = match stream.next().await {
            Some(message) => message.map_err(|error| from_websocket(&error))?,
            None => return Err(Error::Unreachable("the connection closed".to_owned())),
        };
        match message {
            Message::Binary(bytes) => return message::Frame::decode(&bytes),
            Message::Ping(_) | Message::Pong(_) => {}
            Message::Close(_) => {
                return Err(Error::Unreachable("the peer closed the connection".to_owned()));
            }
            Message::Text(_) | Message::Frame(_) => {
                return Err(Error::Message("received a frame that is not binary".to_owned()));
            }
        }
    }
}

/// Limits the time for opening a connection, including the handshake.
///
/// # Errors
///
/// Returns why the connection cannot be used, or that opening it timed out.
pub async fn with_open_timeout<T>(
    open: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let timeout = || Error::Unreachable(format!("connection not open within {OPEN_TIMEOUT:?}"));
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
        // A peer that disconnects without a closing handshake does not violate the protocol.
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
    /// Encodes the frame as CBOR.
    ///
    /// # Errors
    ///
    /// Returns an error if the encoded frame exceeds [`message::MAX_MESSAGE_BYTES`].
    pub fn encode(&self) -> Result<Bytes, Error> {
        let mut buf = Vec::new();
        ciborium::into_writer(self, &mut buf).map_err(|error| Error::Message(error.to_string()))?;
        if buf.len() > message::MAX_MESSAGE_BYTES {
            return Err(Error::Message(format!(
                "frame of {} bytes exceeds the limit of {} bytes",
                buf.len(),
                message::MAX_MESSAGE_BYTES
            )));
        }
        Ok(Bytes::from(buf))
    }

    /// Decodes a frame from CBOR.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a frame of this protocol.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        ciborium::from_reader(bytes).map_err(|error| Error::Message(error.to_string()))
    }
}
