//! Route lookup and configuration updates.

mod common;

use crate::common::configuration;
use crate::common::core;
use crate::common::identity;
use crate::common::organisation;
use crate::common::request;
use crate::common::route;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::RefusalReason;
use siskinyoke_dispatch::Route;
use siskinyoke_dispatch::RouteKind;
use siskinyoke_dispatch::core::IncomingRequest;

#[test]
fn a_request_matches_the_route_with_the_longest_prefix() {
    let mut configuration = configuration(1, organisation(0.0, 0.0));
    for prefix in ["/a/", "/a/b/c/", "/a/b/"] {
        let name = prefix.into();
        let prefix = prefix.into();
        configuration.add_route(
            "host",
            Route {
                name,
                prefix,
                ..route(RouteKind::Safe, 0)
            },
        );
    }
    let name = |path| {
        configuration
            .route("host", path)
            .map(|it| it.name.to_string())
    };
    assert_eq!(name("/a/b/c/d"), Some("/a/b/c/".to_owned()));
    assert_eq!(name("/a/b/x"), Some("/a/b/".to_owned()));
    assert_eq!(name("/a/bc"), Some("/a/".to_owned()));
    assert_eq!(name("/b/"), None);
    assert!(configuration.route("other", "/a/").is_none());
}

#[test]
fn traffic_is_split_by_weight() {
    let split = Route {
        targets: vec![("x".into(), 90), ("y".into(), 10)],
        ..route(RouteKind::Safe, 0)
    };
    let y_count = (0..1_000)
        .filter(|draw| split.pick_service(*draw).is_some_and(|it| &**it == "y"))
        .count();
    assert_eq!(y_count, 100);
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let mut core = core("i", 1);
    assert!(core.configure(Millis(1), configuration(7, organisation(0.0, 0.0))));
    assert!(!core.configure(Millis(2), configuration(6, organisation(0.0, 0.0))));
    assert_eq!(core.configuration_version(), 7);
}

#[test]
fn requests_before_the_first_configuration_are_refused_as_not_ready() {
    let mut core = Core::new(identity("i", 1));
    let refusal = core.route(Millis(0), request("/nowhere/")).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::NotReady);
}

#[test]
fn unknown_routes_and_keys_are_refused() {
    let mut core = core("i", 1);
    let reason = |it: Result<_, siskinyoke_dispatch::Refusal>| it.map(drop).unwrap_err().reason;
    assert_eq!(
        reason(core.route(Millis(0), request("/nowhere/"))),
        RefusalReason::NoRoute
    );
    let unknown_key = IncomingRequest {
        key: Some("x"),
        ..request("/safe/x")
    };
    assert_eq!(
        reason(core.route(Millis(0), unknown_key)),
        RefusalReason::UnknownKey
    );
    let no_key = IncomingRequest {
        key: None,
        ..request("/safe/x")
    };
    assert_eq!(
        reason(core.route(Millis(0), no_key)),
        RefusalReason::UnknownKey
    );
}
