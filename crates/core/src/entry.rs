//! Which daemons a caller should use.

use buckthornfall_proto::{
    digest::rendezvous_rank,
    messages::{EntryAddress, EntryAnswer},
};

use crate::membership::PeerView;

/// Addresses in one answer.
const ADDRESSES: usize = 3;

/// Answers a caller in `zone`; `spread` differs from caller to caller and spreads the load.
pub fn answer(
    peers: &[PeerView],
    zone: &str,
    region: &str,
    spread: u64,
    valid_for_ms: u64,
) -> EntryAnswer {
    let mut able: Vec<_> = peers.iter().filter(|peer| peer.takes_callers()).collect();
    let distance = |peer: &PeerView| match () {
        () if peer.zone == zone => 0,
        () if peer.region == region => 1,
        () => 2,
    };
    able.sort_by_key(|peer| (distance(peer), rendezvous_rank(spread, &peer.host)));
    let addresses = able
        .into_iter()
        .take(ADDRESSES)
        .map(|peer| EntryAddress {
            host: peer.host.clone(),
            address: peer.address.clone(),
            zone: peer.zone.clone(),
        })
        .collect();
    EntryAnswer { addresses, valid_for_ms }
}
