//! HTTP/1.1 for the stand-ins: a listener with one thread per connection, and a simple client.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as received.
pub struct Req {
    pub method: String,
    /// Path and query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Req {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| unescape(value))
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    headers.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
}

pub fn unescape(text: &str) -> String {
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

fn read_head(reader: &mut impl BufRead) -> io::Result<(String, Vec<(String, String)>)> {
    let end = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(end());
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(end());
        }
        let line = line.trim_end();
        let Some((name, value)) = line.split_once(':') else { break };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Ok((first.trim_end().to_owned(), headers))
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    if find(headers, "transfer-encoding") == "chunked" {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let invalid = |_| io::Error::from(io::ErrorKind::InvalidData);
            let size = usize::from_str_radix(line.trim(), 16).map_err(invalid)?;
            let mut part = vec![0; size + 2];
            reader.read_exact(&mut part)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&part[..size]);
        }
    }
    let mut body = vec![0; find(headers, "content-length").parse().unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> Option<Req> {
    let (first, headers) = read_head(reader).ok()?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let body = read_body(reader, &headers).ok()?;
    Some(Req { method, target, headers, body })
}

/// Accepts connections on a free loopback port; `serve` runs in a thread for each.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let addr = listener.local_addr().expect("a bound socket");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream));
        }
    });
    addr
}

/// Serves requests with `answer`, which returns a status and a JSON body.
pub fn serve_json(stream: TcpStream, answer: impl Fn(&Req) -> (u16, String)) {
    let _ = stream.set_nodelay(true);
    let Ok(copy) = stream.try_clone() else { return };
    let (mut reader, mut stream) = (BufReader::new(copy), stream);
    while let Some(req) = read_request(&mut reader) {
        let (status, body) = answer(&req);
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if stream.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

/// A response as received by a client.
#[derive(Debug, Clone)]
pub struct Resp {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Resp {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

/// Sends a request on a new connection and reads the whole response.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Resp> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1).min(limit))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    send(&mut stream, method, target, headers, body)?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let body = read_body(&mut reader, &headers)?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Ok(Resp { status, headers, body })
}

/// Writes a request.
pub fn send(
    stream: &mut TcpStream,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Reads what is left of a connection, for clients that keep their own pace.
pub fn read_some(stream: &mut TcpStream, buf: &mut [u8]) -> io::Result<usize> {
    stream.read(buf)
}
