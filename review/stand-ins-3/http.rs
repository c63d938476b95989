//! HTTP/1.1 over blocking sockets, for the stand-ins.

use std::{
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A message: its first line, its headers with names in lower case, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| decode(value))
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or_default()
    }
}

/// Decodes percent-encoded text.
pub fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with what was read from it ahead.
pub struct Conn {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buf: Vec::new() }
    }

    pub fn connect(addr: SocketAddr, limit: Duration) -> io::Result<Conn> {
        Ok(Conn::new(TcpStream::connect_timeout(&addr, limit)?))
    }

    /// Reads more bytes; 0 at the end of the connection.
    pub fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 16384];
        let count = self.stream.read(&mut piece)?;
        self.buf.extend_from_slice(&piece[..count]);
        Ok(count)
    }

    fn need(&mut self) -> io::Result<()> {
        match self.fill()? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Reads the head of a message; `None` if the connection ends before it.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|four| four == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return match self.buf.is_empty() {
                    true => Ok(None),
                    false => Err(ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head: Vec<u8> = self.buf.drain(..end + 4).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.lines();
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
        Ok(Some(Message { line, headers: headers.collect(), body: Vec::new() }))
    }

    /// Reads a whole message.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        if message.header("transfer-encoding").contains("chunked") {
            while let Some(piece) = self.chunk()? {
                message.body.extend(piece);
            }
        } else {
            let length = message.header("content-length").parse().unwrap_or(0usize);
            while self.buf.len() < length {
                self.need()?;
            }
            message.body = self.buf.drain(..length).collect();
        }
        Ok(Some(message))
    }

    /// Reads the next chunk of a body; `None` at its proper end.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16);
        let size = size.map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
        while self.buf.len() < size + 2 {
            self.need()?;
        }
        let piece: Vec<u8> = self.buf.drain(..size).collect();
        self.buf.drain(..2);
        Ok((size > 0).then_some(piece))
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.need()?;
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a response with a body of a stated length.
    pub fn respond(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n", body.len());
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.send(&bytes)
    }

    /// Waits for `time` or until the peer closes the connection. Returns whether it is still open.
    pub fn wait_open(&mut self, time: Duration) -> bool {
        let until = Instant::now() + time;
        let mut piece = [0; 1];
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let _ = self.stream.set_read_timeout(None);
                return true;
            }
            let step = left.min(Duration::from_millis(20)).max(Duration::from_millis(1));
            let _ = self.stream.set_read_timeout(Some(step));
            match self.stream.peek(&mut piece) {
                Ok(0) => return false,
                Ok(_) => std::thread::sleep(step),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return false,
            }
        }
    }
}

/// Sends a request on a new connection and reads the whole response.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut conn = Conn::connect(addr, Duration::from_secs(1).min(limit))?;
    conn.stream.set_read_timeout(Some(limit))?;
    let head =
        format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n{headers}\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    conn.send(&bytes)?;
    conn.message()?.ok_or_else(|| ErrorKind::UnexpectedEof.into())
}
