//! Messages of HTTP/1.1 on blocking sockets.

use std::collections::BTreeMap;
use std::io::{self, BufRead as _, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    /// Names are in lower case; a repeated header keeps its last value.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, v)| decode_percent(v)).unwrap_or_default()
    }
}

fn decode_percent(text: &str) -> String {
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with a read buffer.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { reader: BufReader::new(stream) }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        Ok(Self::new(stream))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(size) if size > 0 && line.ends_with('\n') => Some(line.trim_end().to_owned()),
            _ => None,
        }
    }

    /// Reads the head of a message; `None` if the connection ends before it is complete.
    pub fn read_head(&mut self) -> Option<Message> {
        let mut message = Message { line: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else {
                return Some(message);
            };
            message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }

    /// Reads the rest of a message, and returns whether it is complete.
    pub fn read_body(&mut self, message: &mut Message) -> bool {
        if message.header("transfer-encoding") == "chunked" {
            loop {
                let Some(size) = self.line().and_then(|l| usize::from_str_radix(&l, 16).ok())
                else {
                    return false;
                };
                let start = message.body.len();
                message.body.resize(start + size, 0);
                if self.reader.read_exact(&mut message.body[start..]).is_err()
                    || self.line().is_none()
                {
                    return false;
                }
                if size == 0 {
                    return true;
                }
            }
        }
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body.resize(length, 0);
        self.reader.read_exact(&mut message.body).is_ok()
    }

    /// Reads a whole message; `None` if the connection ends before it is complete.
    pub fn read(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message).then_some(message)
    }
}

/// Returns a response with a content length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves each connection in a thread of its own; `handle` answers one request and returns whether
/// the connection stays open.
pub fn serve<H>(listener: TcpListener, handle: H)
where
    H: Fn(&mut Connection, Message) -> bool + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let mut conn = Connection::new(stream);
                while let Some(message) = conn.read() {
                    if !handle(&mut conn, message) {
                        return;
                    }
                }
            });
        }
    });
}
