//! A small JSON value, as far as the stand-ins need it.

use std::{collections::BTreeMap, fmt};

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

use Json::{Bool, List, Null, Number, Table, Text};

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Table(fields) => fields.get(name).unwrap_or(&Null),
            _ => &Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            List(items) => items,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { rest: text.as_bytes() };
        let value = parser.value()?;
        parser.space();
        parser.rest.is_empty().then_some(value)
    }
}

struct Parser<'a> {
    rest: &'a [u8],
}

impl Parser<'_> {
    fn space(&mut self) {
        while let [b' ' | b'\n' | b'\r' | b'\t', rest @ ..] = self.rest {
            self.rest = rest;
        }
    }

    fn take(&mut self, text: &str) -> Option<()> {
        self.space();
        self.rest = self.rest.strip_prefix(text.as_bytes())?;
        Some(())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.rest.first()? {
            b'n' => self.take("null").map(|()| Null),
            b't' => self.take("true").map(|()| Bool(true)),
            b'f' => self.take("false").map(|()| Bool(false)),
            b'"' => self.string().map(Text),
            b'[' => {
                let mut items = Vec::new();
                self.take("[")?;
                while self.take("]").is_none() {
                    items.push(self.value()?);
                    let _ = self.take(",");
                }
                Some(List(items))
            }
            b'{' => {
                let mut fields = BTreeMap::new();
                self.take("{")?;
                while self.take("}").is_none() {
                    self.space();
                    let name = self.string()?;
                    self.take(":")?;
                    fields.insert(name, self.value()?);
                    let _ = self.take(",");
                }
                Some(Table(fields))
            }
            _ => {
                let is_part = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
                let length = self.rest.iter().take_while(|b| is_part(b)).count();
                let (number, rest) = self.rest.split_at(length);
                self.rest = rest;
                std::str::from_utf8(number).ok()?.parse().ok().map(Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        let mut bytes = Vec::new();
        self.rest = self.rest.strip_prefix(b"\"")?;
        loop {
            let (first, rest) = self.rest.split_first()?;
            self.rest = rest;
            match first {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let (escaped, rest) = self.rest.split_first()?;
                    self.rest = rest;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'b' => bytes.push(8),
                        b'f' => bytes.push(12),
                        b'u' => {
                            let code = self.code()?;
                            let mut buf = [0; 4];
                            bytes.extend_from_slice(code.encode_utf8(&mut buf).as_bytes());
                        }
                        other => bytes.push(*other),
                    }
                }
                other => bytes.push(*other),
            }
        }
    }

    fn unit(&mut self) -> Option<u32> {
        let digits = std::str::from_utf8(self.rest.get(..4)?).ok()?;
        let unit = u32::from_str_radix(digits, 16).ok()?;
        self.rest = &self.rest[4..];
        Some(unit)
    }

    fn code(&mut self) -> Option<char> {
        let first = self.unit()?;
        if !(0xd800..0xdc00).contains(&first) {
            return char::from_u32(first);
        }
        self.rest = self.rest.strip_prefix(b"\\u")?;
        let second = self.unit()?;
        char::from_u32(0x10000 + ((first - 0xd800) << 10) + (second.wrapping_sub(0xdc00)))
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Null => write!(f, "null"),
            Bool(value) => write!(f, "{value}"),
            Number(value) => write!(f, "{value}"),
            Text(text) => write_text(f, text),
            List(items) => {
                write!(f, "[")?;
                for (index, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if index > 0 { "," } else { "" })?;
                }
                write!(f, "]")
            }
            Table(fields) => {
                write!(f, "{{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    write!(f, "{}", if index > 0 { "," } else { "" })?;
                    write_text(f, name)?;
                    write!(f, ":{value}")?;
                }
                write!(f, "}}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    let mut rest = text;
    while let Some(at) = rest.find(|c: char| c == '"' || c == '\\' || (c as u32) < 0x20) {
        f.write_str(&rest[..at])?;
        let c = rest.as_bytes()[at];
        match c {
            b'"' | b'\\' => write!(f, "\\{}", c as char)?,
            c => write!(f, "\\u{c:04x}")?,
        }
        rest = &rest[at + 1..];
    }
    f.write_str(rest)?;
    f.write_str("\"")
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
