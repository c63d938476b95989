//! The way of calls of the store when it refuses this daemon.

use std::time::Duration;

use buckthornfall_core::{
    relay::{Change, Relay},
    Now,
};

const NOW: Now = Duration::from_secs(60);

fn relay() -> Relay {
    let mut relay = Relay::default();
    relay.set_peers(["a", "b", "c"].map(str::to_owned).to_vec());
    relay
}

#[test]
fn one_failure_changes_nothing() {
    let mut relay = relay();
    assert_eq!(relay.on_direct(false), None);
    assert_eq!(relay.on_direct(true), None);
    assert_eq!(relay.on_direct(false), None);
    assert!(relay.candidates(NOW).is_empty());
}

#[test]
fn a_refused_daemon_asks_others_until_a_call_of_its_own_is_served() {
    let mut relay = relay();
    relay.on_direct(false);
    assert_eq!(relay.on_direct(false), Some(Change::Started));
    assert_eq!(relay.on_direct(false), None);
    assert_eq!(relay.candidates(NOW), ["a", "b"]);
    assert_eq!(relay.on_direct(true), Some(Change::Ended));
    assert!(relay.candidates(NOW).is_empty());
}

#[test]
fn a_daemon_that_cannot_help_is_left_alone_for_a_while() {
    let mut relay = relay();
    relay.on_direct(false);
    relay.on_direct(false);
    relay.on_peer(NOW, "a", false);
    assert_eq!(relay.candidates(NOW), ["b", "c"]);
    ["b", "c"].iter().for_each(|peer| relay.on_peer(NOW, peer, false));
    assert!(relay.candidates(NOW).is_empty());
    assert!(relay.is_relaying());
    let later = NOW + Duration::from_secs(2);
    assert_eq!(relay.candidates(later), ["a", "b"]);
}

#[test]
fn daemons_that_left_are_forgotten() {
    let mut relay = relay();
    relay.on_direct(false);
    relay.on_direct(false);
    relay.on_peer(NOW, "a", false);
    relay.set_peers(vec!["c".to_owned()]);
    assert_eq!(relay.candidates(NOW), ["c"]);
    relay.set_peers(vec!["a".to_owned()]);
    assert_eq!(relay.candidates(NOW), ["a"]);
}
