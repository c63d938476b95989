//! Selection of the daemons that a caller should use.

use buckthornfall_proto::{
    digest::rendezvous_rank,
    messages::{EntryAddress, EntryAnswer},
};

use crate::membership::PeerView;

/// Maximum number of addresses in an answer.
const MAX_ADDRESSES: usize = 3;

/// Returns the addresses for a caller in `zone`, nearest first. `spread` varies by caller,
/// to balance load among equally near daemons.
pub fn answer(
    peers: &[PeerView],
    zone: &str,
    region: &str,
    spread: u64,
    valid_for_ms: u64,
) -> EntryAnswer {
    let mut eligible: Vec<_> = peers.iter().filter(|peer| peer.takes_callers()).collect();
    let distance = |peer: &PeerView| match () {
        () if peer.zone == zone => 0,
        () if peer.region == region => 1,
        () => 2,
    };
    eligible.sort_by_key(|peer| (distance(peer), rendezvous_rank(spread, &peer.host)));
    let addresses = eligible
        .into_iter()
        .take(MAX_ADDRESSES)
        .map(|peer| EntryAddress {
            host: peer.host.clone(),
            address: peer.address.clone(),
            zone: peer.zone.clone(),
        })
        .collect();
    EntryAnswer { addresses, valid_for_ms }
}
