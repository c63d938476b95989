//! HTTP/1.1 as the stand-ins speak it: one thread a connection.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(of, _)| of.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Value of a parameter of the query, with its percent codes resolved.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.into_iter().find(|(of, _)| *of == name)?;
        let (mut bytes, mut rest) = (Vec::new(), value.as_bytes());
        while let Some((first, tail)) = rest.split_first() {
            rest = tail;
            let code = tail.get(..2).filter(|_| *first == b'%');
            match code.and_then(|c| u8::from_str_radix(std::str::from_utf8(c).ok()?, 16).ok()) {
                Some(byte) => {
                    bytes.push(byte);
                    rest = &tail[2..];
                }
                None => bytes.push(*first),
            }
        }
        String::from_utf8(bytes).ok()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

/// Reads a whole message. A response without a length ends with its connection.
pub fn read_message(reader: &mut impl BufRead, is_response: bool) -> io::Result<Message> {
    let mut message = Message { first_line: line(reader)?, ..Message::default() };
    loop {
        let line = line(reader)?;
        let Some((name, value)) = line.split_once(':') else { break };
        message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let size = usize::from_str_radix(&line(reader)?, 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            line(reader)?;
            if size == 0 {
                return Ok(message);
            }
            message.body.extend(chunk);
        }
    }
    match message.header("content-length").parse() {
        Ok(length) => {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)?;
        }
        Err(_) if is_response => drop(reader.read_to_end(&mut message.body)?),
        Err(_) => {}
    }
    Ok(message)
}

/// What a handler does with the connection after a request.
pub enum Next {
    /// Sends these bytes and goes on.
    Send(Vec<u8>),
    /// Sends nothing more and leaves the connection open.
    Silent,
    /// Closes the connection.
    Close,
}

pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    bytes.extend(b"\r\n");
    bytes.extend(body);
    bytes
}

/// Serves connections on a free loopback port until the process ends. The handler may also write to the
/// connection itself.
pub fn serve<F>(handler: F) -> SocketAddr
where
    F: Fn(&Message, &mut TcpStream) -> Next + Send + Sync + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free loopback port");
    let addr = listener.local_addr().expect("a bound socket");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || drop(connection(stream, &*handler)));
        }
    });
    addr
}

fn connection(
    mut stream: TcpStream,
    handler: &dyn Fn(&Message, &mut TcpStream) -> Next,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let req = read_message(&mut reader, false)?;
        match handler(&req, &mut stream) {
            Next::Send(bytes) => stream.write_all(&bytes)?,
            Next::Close => return stream.shutdown(std::net::Shutdown::Both),
            Next::Silent => drop(io::copy(&mut reader, &mut io::sink())?),
        }
    }
}

pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    bytes.extend(body);
    bytes
}

/// Sends a request on a new connection and reads the response.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(&request(method, target, headers, body))?;
    read_message(&mut BufReader::new(stream), true)
}
