//! Types whose encoding is on the hot path, with serde visitors written by hand.
//!
//! Both are encoded as tuples, so that JSON carries arrays without field names.

use std::fmt;

use serde::{
    de::{Error, SeqAccess, Visitor},
    ser::SerializeTuple,
    Deserialize, Deserializer, Serialize, Serializer,
};

use crate::ids::{HostId, WeightVersion};

/// Tokens `start..end` of one sample that one weight version produced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenSpan {
    /// First token, counted from 0.
    pub start: u32,
    /// One past the last token; greater than `start`.
    pub end: u32,
    /// Version that the engine reported for these tokens.
    pub version: WeightVersion,
}

/// What gossip says of one daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberEntry {
    /// Name of the daemon's host.
    pub host: HostId,
    /// Grows with each heartbeat and with each start of the daemon; the highest is the newest.
    pub version: u64,
    /// Seconds since that heartbeat, as the sender knows it.
    pub age_s: u32,
    /// Whether the daemon is in a planned stop.
    pub leaving: bool,
}

const SPAN_FIELDS: usize = 3;
const MEMBER_FIELDS: usize = 4;

impl Serialize for TokenSpan {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(SPAN_FIELDS)?;
        tuple.serialize_element(&self.start)?;
        tuple.serialize_element(&self.end)?;
        tuple.serialize_element(&self.version)?;
        tuple.end()
    }
}

struct SpanVisitor;

impl<'de> Visitor<'de> for SpanVisitor {
    type Value = TokenSpan;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a token span [start, end, version]")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<TokenSpan, A::Error> {
        let start = field(&mut seq, 0, &self)?;
        let end = field(&mut seq, 1, &self)?;
        let version = field(&mut seq, 2, &self)?;
        if start >= end {
            return Err(A::Error::custom(format!("token span {start}..{end} is empty")));
        }
        Ok(TokenSpan { start, end, version })
    }
}

impl<'de> Deserialize<'de> for TokenSpan {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<TokenSpan, D::Error> {
        deserializer.deserialize_tuple(SPAN_FIELDS, SpanVisitor)
    }
}

impl Serialize for MemberEntry {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(MEMBER_FIELDS)?;
        tuple.serialize_element(&self.host)?;
        tuple.serialize_element(&self.version)?;
        tuple.serialize_element(&self.age_s)?;
        tuple.serialize_element(&self.leaving)?;
        tuple.end()
    }
}

struct MemberVisitor;

impl<'de> Visitor<'de> for MemberVisitor {
    type Value = MemberEntry;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a member entry [host, version, age, leaving]")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<MemberEntry, A::Error> {
        Ok(MemberEntry {
            host: field(&mut seq, 0, &self)?,
            version: field(&mut seq, 1, &self)?,
            age_s: field(&mut seq, 2, &self)?,
            leaving: field(&mut seq, 3, &self)?,
        })
    }
}

impl<'de> Deserialize<'de> for MemberEntry {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<MemberEntry, D::Error> {
        deserializer.deserialize_tuple(MEMBER_FIELDS, MemberVisitor)
    }
}

fn field<'de, A, T, V>(seq: &mut A, index: usize, visitor: &V) -> Result<T, A::Error>
where
    A: SeqAccess<'de>,
    T: Deserialize<'de>,
    V: Visitor<'de>,
{
    seq.next_element()?.ok_or_else(|| A::Error::invalid_length(index, visitor))
}
