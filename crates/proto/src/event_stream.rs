//! Decoder of event streams (`text/event-stream`).

use bytes::{Buf, Bytes, BytesMut};

/// Bytes of a byte order mark, which a stream may begin with.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";
/// Bytes counted for each field of an event in addition to those of its line.
const FIELD_OVERHEAD_BYTES: usize = 64;

/// An event of a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Event {
    /// Value of the last `id` field.
    pub id: Option<Bytes>,
    /// Values of the `data` fields, joined by line feeds; `None` if there is no such field.
    pub data: Option<Bytes>,
    /// Names and values of the fields that the format does not define, in order.
    pub other: Vec<(Bytes, Bytes)>,
}

impl Event {
    /// Returns the value of the last field with this name among those that the format does not
    /// define.
    pub fn other(&self, name: &str) -> Option<&Bytes> {
        let named = |field: &&(Bytes, Bytes)| field.0 == name.as_bytes();
        self.other.iter().rfind(named).map(|(_, value)| value)
    }
}

/// Decodes a stream that arrives in pieces. The events do not depend on how it is cut.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buf: BytesMut,
    /// Number of bytes at the start of `buf` that are known to hold no line end.
    scanned: usize,
    /// Whether the start of the stream, where a byte order mark may be, has been decoded.
    has_started: bool,
    /// Whether a line feed that follows belongs to the end of the last line.
    after_carriage_return: bool,
    /// The event that is being received, without its data.
    event: Event,
    /// The data of that event.
    data: Option<BytesMut>,
    /// Number of lines since the last empty one.
    lines: usize,
    /// Size of the event that is being received.
    event_bytes: usize,
}

impl EventDecoder {
    /// Appends the next piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.buf.extend_from_slice(piece);
    }

    /// Returns the next complete event. Blocks of lines without an id, data or a field that the
    /// format does not define are skipped.
    pub fn next_event(&mut self) -> Option<Event> {
        if !self.start() {
            return None;
        }
        while let Some(line) = self.next_line() {
            if !line.is_empty() {
                self.lines += 1;
                self.add_line(&line);
                continue;
            }
            let event = self.take_event();
            if event != Event::default() {
                return Some(event);
            }
        }
        None
    }

    /// Returns whether the pieces so far end within a line or an event.
    pub fn is_partial(&self) -> bool {
        self.lines > 0 || !self.buf.is_empty()
    }

    /// Returns the number of bytes held of events that are not returned yet.
    pub fn held_bytes(&self) -> usize {
        self.buf.len() + self.event_bytes
    }

    /// Skips a byte order mark. Returns whether enough of the stream has arrived to tell.
    fn start(&mut self) -> bool {
        if self.has_started {
            return true;
        }
        if self.buf.len() < BYTE_ORDER_MARK.len() && BYTE_ORDER_MARK.starts_with(&self.buf) {
            return false;
        }
        if self.buf.starts_with(BYTE_ORDER_MARK) {
            self.buf.advance(BYTE_ORDER_MARK.len());
        }
        self.has_started = true;
        true
    }

    fn next_line(&mut self) -> Option<BytesMut> {
        if self.after_carriage_return && !self.buf.is_empty() {
            self.after_carriage_return = false;
            if self.buf[0] == b'\n' {
                self.buf.advance(1);
            }
        }
        let is_end = |byte: &u8| matches!(byte, b'\n' | b'\r');
        let Some(offset) = self.buf[self.scanned..].iter().position(is_end) else {
            self.scanned = self.buf.len();
            return None;
        };
        let line = self.buf.split_to(self.scanned + offset);
        self.after_carriage_return = self.buf.get_u8() == b'\r';
        self.scanned = 0;
        Some(line)
    }

    fn add_line(&mut self, line: &[u8]) {
        let colon = line.iter().position(|byte| *byte == b':').unwrap_or(line.len());
        let value = line.get(colon + 1..).unwrap_or_default();
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match &line[..colon] {
            // Comments, and fields that only concern clients in browsers.
            b"" | b"event" | b"retry" => return,
            b"id" => self.event.id = Some(Bytes::copy_from_slice(value)),
            b"data" => self.add_data(value),
            name => {
                let field = (Bytes::copy_from_slice(name), Bytes::copy_from_slice(value));
                self.event.other.push(field);
            }
        }
        self.event_bytes += line.len() + FIELD_OVERHEAD_BYTES;
    }

    fn add_data(&mut self, value: &[u8]) {
        match &mut self.data {
            None => self.data = Some(BytesMut::from(value)),
            Some(data) => {
                data.extend_from_slice(b"\n");
                data.extend_from_slice(value);
            }
        }
    }

    fn take_event(&mut self) -> Event {
        (self.lines, self.event_bytes) = (0, 0);
        let data = self.data.take().map(BytesMut::freeze);
        Event { data, ..std::mem::take(&mut self.event) }
    }
}

/// Detects from the last bytes of an event stream whether it ends between events.
#[derive(Debug, Clone, Default)]
pub struct StreamTail {
    /// The last bytes, at most as many as two line ends have.
    last: [u8; 4],
    /// Number of bytes in use at the end of `last`.
    count: usize,
}

impl StreamTail {
    /// Appends the next piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        let kept = self.last.len();
        for byte in &piece[piece.len().saturating_sub(kept)..] {
            self.last.rotate_left(1);
            self.last[kept - 1] = *byte;
            self.count = kept.min(self.count + 1);
        }
    }

    /// Returns whether the stream is empty or ends with an empty line.
    pub fn is_between_events(&self) -> bool {
        let last = &self.last[self.last.len() - self.count..];
        if last.is_empty() {
            return true;
        }
        strip_line_end(last).is_some_and(|rest| rest.is_empty() || strip_line_end(rest).is_some())
    }
}

fn strip_line_end(bytes: &[u8]) -> Option<&[u8]> {
    let ends: [&[u8]; 3] = [b"\r\n", b"\n", b"\r"];
    ends.iter().find_map(|end| bytes.strip_suffix(*end))
}
