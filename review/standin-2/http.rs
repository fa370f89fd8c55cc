//! HTTP/1.1 messages on blocking sockets.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Time for opening a connection and for reading a response.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    /// Fields of the head, with names in lower case.
    pub headers: HashMap<String, String>,
    /// The complete body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a field of the head, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the path of a request without its query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns a decoded field of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let fields = query.split('&').filter_map(|field| field.split_once('='));
        fields.filter(|(key, _)| *key == name).map(|(_, value)| decode_percent(value)).next()
    }
}

fn decode_percent(text: &str) -> String {
    let mut decoded = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let digits: Vec<u8> = bytes.by_ref().take(2).collect();
        let digits = String::from_utf8_lossy(&digits).into_owned();
        decoded.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()))
}

fn truncated() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

/// Reads a message with its body; `None` if the connection ends before it.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut message = Message { line, ..Message::default() };
    loop {
        let line = read_line(reader)?.ok_or_else(truncated)?;
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        message.headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
    }
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let line = read_line(reader)?.ok_or_else(truncated)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| truncated())?;
            let start = message.body.len();
            message.body.resize(start + size, 0);
            reader.read_exact(&mut message.body[start..])?;
            read_line(reader)?.ok_or_else(truncated)?;
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Returns the bytes of a response with a content length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A connection of a client.
pub struct Client {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Opens a connection.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        Ok(Self { writer: stream.try_clone()?, reader: BufReader::new(stream) })
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.writer.write_all(bytes)
    }

    /// Reads a response.
    pub fn receive(&mut self) -> io::Result<Message> {
        read(&mut self.reader)?.ok_or_else(truncated)
    }
}

/// Sends a `GET` request on a new connection and returns the response.
pub fn get(address: SocketAddr, path: &str) -> io::Result<Message> {
    let mut client = Client::open(address)?;
    client.send(format!("GET {path} HTTP/1.1\r\nhost: r\r\n\r\n").as_bytes())?;
    client.receive()
}

/// Serves connections on a free loopback port, each on a thread of its own, until the process ends.
pub fn serve(handle: impl Fn(&Message) -> Vec<u8> + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("a bound socket has an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            // A failed connection ends; its client sees that.
            thread::spawn(move || drop(serve_connection(stream, &handle)));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handle: &impl Fn(&Message) -> Vec<u8>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(message) = read(&mut reader)? {
        writer.write_all(&handle(&message))?;
    }
    Ok(())
}
