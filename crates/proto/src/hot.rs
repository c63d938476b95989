//! Types on the hot path, with hand-written serde implementations.
//!
//! Both types are encoded as tuples, so that JSON contains arrays without field names.

use std::fmt;

use serde::{
    de::{Error, SeqAccess, Visitor},
    ser::SerializeTuple,
    Deserialize, Deserializer, Serialize, Serializer,
};

use crate::ids::{HostId, WeightVersion};

/// Tokens `start..end` of a sample, all produced by one weight version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenSpan {
    /// Index of the first token, starting at 0.
    pub start: u32,
    /// Index after the last token; greater than `start`.
    pub end: u32,
    /// Weight version that the engine reported for these tokens.
    pub version: WeightVersion,
}

/// Membership entry of one daemon, as exchanged by gossip.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberEntry {
    /// Name of the daemon's host.
    pub host: HostId,
    /// Increases with each heartbeat and with each start of the daemon; the highest is the latest.
    pub version: u64,
    /// Seconds since that heartbeat, as known to the sender.
    pub age_s: u32,
    /// Whether the daemon is performing a planned stop.
    pub leaving: bool,
}

const TOKEN_SPAN_FIELDS: usize = 3;
const MEMBER_ENTRY_FIELDS: usize = 4;

impl Serialize for TokenSpan {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(TOKEN_SPAN_FIELDS)?;
        tuple.serialize_element(&self.start)?;
        tuple.serialize_element(&self.end)?;
        tuple.serialize_element(&self.version)?;
        tuple.end()
    }
}

struct TokenSpanVisitor;

impl<'de> Visitor<'de> for TokenSpanVisitor {
    type Value = TokenSpan;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a token span [start, end, version]")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<TokenSpan, A::Error> {
        let start = next_field(&mut seq, 0, &self)?;
        let end = next_field(&mut seq, 1, &self)?;
        let version = next_field(&mut seq, 2, &self)?;
        if start >= end {
            return Err(A::Error::custom(format!("token span {start}..{end} is empty")));
        }
        Ok(TokenSpan { start, end, version })
    }
}

impl<'de> Deserialize<'de> for TokenSpan {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<TokenSpan, D::Error> {
        deserializer.deserialize_tuple(TOKEN_SPAN_FIELDS, TokenSpanVisitor)
    }
}

impl Serialize for MemberEntry {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(MEMBER_ENTRY_FIELDS)?;
        tuple.serialize_element(&self.host)?;
        tuple.serialize_element(&self.version)?;
        tuple.serialize_element(&self.age_s)?;
        tuple.serialize_element(&self.leaving)?;
        tuple.end()
    }
}

struct MemberEntryVisitor;

impl<'de> Visitor<'de> for MemberEntryVisitor {
    type Value = MemberEntry;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a member entry [host, version, age, leaving]")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<MemberEntry, A::Error> {
        Ok(MemberEntry {
            host: next_field(&mut seq, 0, &self)?,
            version: next_field(&mut seq, 1, &self)?,
            age_s: next_field(&mut seq, 2, &self)?,
            leaving: next_field(&mut seq, 3, &self)?,
        })
    }
}

impl<'de> Deserialize<'de> for MemberEntry {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<MemberEntry, D::Error> {
        deserializer.deserialize_tuple(MEMBER_ENTRY_FIELDS, MemberEntryVisitor)
    }
}

fn next_field<'de, A, T, V>(seq: &mut A, index: usize, visitor: &V) -> Result<T, A::Error>
where
    A: SeqAccess<'de>,
    T: Deserialize<'de>,
    V: Visitor<'de>,
{
    seq.next_element()?.ok_or_else(|| A::Error::invalid_length(index, visitor))
}
