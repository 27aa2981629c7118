//! Selection of the peer from which a newer configuration is fetched.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use siskinyoke_base::Millis;
use siskinyoke_dispatch::configuration_sources::ConfigurationSources;

fn address(port: u16) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), port)
}

fn sources(versions: &[u64]) -> ConfigurationSources {
    let mut sources = ConfigurationSources::default();
    for (version, port) in versions.iter().zip(1..) {
        sources.record(Millis(0), address(port), *version);
    }
    sources
}

#[test]
fn each_peer_with_a_newer_configuration_is_asked_at_times() {
    let sources = sources(&[4, 3, 5]);
    let asked = |sample| sources.select(Millis(10), 3, sample);
    assert_eq!([0, 1, 2].map(asked), [1, 3, 1].map(|it| Some(address(it))));
    assert_eq!(sources.select(Millis(10), 5, 0), None);
}

// Guards against asking a busy or failed peer again and again while others could send it.
#[test]
fn a_postponed_peer_is_not_asked_until_its_time() {
    let mut sources = sources(&[4]);
    sources.postpone(Millis(10), address(1), Millis(60));
    assert_eq!(sources.select(Millis(69), 3, 0), None);
    assert!(sources.has_newer(Millis(69), 3));
    assert_eq!(sources.select(Millis(70), 3, 0), Some(address(1)));
}

// Guards against waiting for a peer that has stopped.
#[test]
fn a_peer_that_no_longer_reports_is_no_source() {
    let mut sources = sources(&[4]);
    assert!(sources.has_newer(Millis(3_000), 3));
    assert!(!sources.has_newer(Millis(3_001), 3));
    sources.remove_expired(Millis(3_001));
    assert_eq!(sources.select(Millis(0), 3, 0), None);
}
