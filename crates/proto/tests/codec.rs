//! Codec of messages between daemons: round trips and malformed input.

use buckthornfall_proto::{
    codec::{decode, encode, MAX_MESSAGE_BYTES},
    hot::{MemberEntry, TokenSpan},
    messages::{Gossip, LeaseHint, ManifestPull, ManifestPush, PeerMessage},
};
use proptest::prelude::*;

fn member() -> impl Strategy<Value = MemberEntry> {
    ("[a-z0-9-]{1,20}", any::<u64>(), any::<u32>(), any::<bool>())
        .prop_map(|(host, version, age_s, leaving)| MemberEntry { host, version, age_s, leaving })
}

fn lease() -> impl Strategy<Value = LeaseHint> {
    (".{0,20}", ".{0,20}", any::<u64>()).prop_map(|(role, holder, fence)| LeaseHint {
        role,
        holder,
        fence,
    })
}

fn gossip() -> impl Strategy<Value = PeerMessage> {
    (
        ".{0,20}",
        any::<u64>(),
        prop::collection::vec(member(), 0..60),
        prop::collection::vec(".{0,20}", 0..5),
        prop::collection::vec(any::<u64>(), 0..9),
        prop::collection::vec(lease(), 0..5),
    )
        .prop_map(|(from, revision, members, leaving_servers, quarantined, leases)| {
            let suspects = quarantined.clone();
            PeerMessage::Gossip(Gossip {
                from,
                revision,
                members,
                leaving_servers,
                quarantined,
                suspects,
                leases,
            })
        })
}

fn message() -> impl Strategy<Value = PeerMessage> {
    let pull = (".{0,20}", any::<u64>())
        .prop_map(|(from, above)| PeerMessage::ManifestPull(ManifestPull { from, above }));
    let push = (any::<u64>(), any::<u64>(), ".{0,200}").prop_map(|(revision, base, content)| {
        let (from, hash) = ("entry-1".to_owned(), "hash".to_owned());
        PeerMessage::ManifestPush(ManifestPush { from, revision, hash, base, content })
    });
    prop_oneof![gossip(), pull, push]
}

proptest! {
    #[test]
    fn messages_round_trip(message in message()) {
        let bytes = encode(&message).expect("the message fits the size limit");
        prop_assert_eq!(decode::<PeerMessage>(&bytes).expect("the message is complete"), message);
    }

    #[test]
    fn truncated_message_is_rejected(message in message(), cut in any::<prop::sample::Index>()) {
        let bytes = encode(&message).expect("the message fits the size limit");
        let end = cut.index(bytes.len());
        prop_assert!(decode::<PeerMessage>(&bytes[..end]).is_err());
    }

    #[test]
    fn trailing_bytes_are_rejected(message in message(), extra in 1usize..9) {
        let mut bytes = encode(&message).expect("the message fits the size limit");
        bytes.extend(std::iter::repeat_n(0, extra));
        prop_assert!(decode::<PeerMessage>(&bytes).is_err());
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode::<PeerMessage>(&bytes);
    }

    #[test]
    fn arbitrary_text_is_not_a_manifest(text in ".{0,200}") {
        prop_assert!(buckthornfall_proto::check::manifest(&text).is_err());
    }

    #[test]
    fn empty_spans_are_rejected(start in any::<u32>(), end in any::<u32>(), version in any::<u64>()) {
        let text = format!("[{start},{end},{version}]");
        let span = serde_json::from_str::<TokenSpan>(&text);
        prop_assert_eq!(span.is_ok(), start < end);
    }
}

#[test]
fn oversized_length_prefix_is_rejected() {
    // Variant 0, then a string whose length prefix exceeds the maximum message size.
    let mut bytes = vec![0, 253];
    bytes.extend((MAX_MESSAGE_BYTES as u64 * 8).to_le_bytes());
    let error = decode::<PeerMessage>(&bytes).expect_err("the length exceeds the limit");
    assert!(error.to_string().contains("cannot decode a peer message of 10 bytes"), "{error}");
}
