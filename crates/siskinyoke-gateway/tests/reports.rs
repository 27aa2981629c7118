//! Reports that an instance sends.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::timeout;

use siskinyoke_base::Millis;
use siskinyoke_dispatch::CallerLimits;
use siskinyoke_dispatch::Configuration;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::Message;
use siskinyoke_dispatch::Organisation;
use siskinyoke_dispatch::Report;
use siskinyoke_dispatch::Route;
use siskinyoke_dispatch::RouteKind;
use siskinyoke_dispatch::Service;
use siskinyoke_dispatch::core::IncomingRequest;
use siskinyoke_dispatch::report::ServiceShareRows;
use siskinyoke_dispatch::report::short_hash;
use siskinyoke_gateway::gossip;
use siskinyoke_gateway::peer_socket::MAX_MESSAGE_BYTES;
use siskinyoke_gateway::shell::Shell;

// Guards against a reply to an instance without a configuration that leaves all peers without share
// rows until they are due again.
#[tokio::test]
async fn a_reply_to_an_instance_without_a_configuration_carries_no_share_rows() {
    let shell = common::shell(common::PLATFORM_SETTINGS);
    configure(&shell);
    let local: SocketAddr = "127.0.0.1:0".parse().unwrap();
    shell.peer_socket.bind(local).await.unwrap();
    let address = shell.peer_socket.get().unwrap().local_addr().unwrap();
    let starting = UdpSocket::bind(local).await.unwrap();
    let message = Message::Report(Box::new(report_without_configuration(&shell)));
    let bytes = postcard::to_allocvec(&message).unwrap();
    starting.send_to(&bytes, address).await.unwrap();
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    let reply = tokio::select! {
        () = gossip::receive_messages(shell.clone()) => panic!("receives no messages"),
        reply = timeout(Duration::from_secs(10), starting.recv(&mut buffer)) => reply,
    };
    let length = reply.expect("a reply in time").unwrap();
    let Message::Report(reply) = gossip::decode(&buffer[..length]).unwrap() else {
        panic!("not a report");
    };
    assert!(reply.info.is_some());
    assert_eq!(reply.shares, []);
    let next = shell.core.borrow_mut().next_report(shell.now(), false);
    assert_eq!(next.shares.len(), 1);
}

// Configures an instance with one endpoint, at which a request is queued.
fn configure(shell: &Shell) {
    let limits = CallerLimits {
        max_head: 16_384,
        max_body: 1_000_000,
        head_timeout: Millis(3_000),
        keepalive_timeout: Millis(15_000),
    };
    let mut configuration = Configuration::new(1, limits);
    let route = Route {
        name: "r".into(),
        prefix: "/p/".into(),
        kind: RouteKind::Safe,
        timeout: Millis(5_000),
        latency_target: Millis(500),
        gap_target: Millis(400),
        priority: 1,
        targets: vec![("lm".into(), 1)],
        max_attempts: 2,
        auth_exempt: false,
        resumable: false,
    };
    configuration.add_route("host", route);
    configuration.add_service(Service {
        name: "lm".into(),
        max_connections: 100,
    });
    let organisation = Organisation {
        name: "school".into(),
        priority: None,
        rate: 1_000_000.0,
        burst: 1_000_000.0,
        counts_tokens: true,
        default_cost: 200.0,
    };
    configuration.add_organisation(organisation, &["k".to_owned()]);
    let now = shell.now();
    let mut core = shell.core.borrow_mut();
    core.configure(now, configuration);
    let endpoint = Endpoint {
        id: "e1".into(),
        started_ms: 1,
        service: "lm".into(),
        version: "".into(),
        address: "10.0.0.1:80".into(),
        centre: "a".into(),
        slots: 1,
        draining: false,
    };
    core.registry().put(now, endpoint);
    let request = IncomingRequest {
        host: "host",
        path: "/p/x",
        hold_time: Millis::ZERO,
        key: Some("k"),
        timeout: Some(Millis(5_000)),
        tokens: Some((900, 100)),
        output_estimate: None,
        id_hash: 0,
    };
    let routed = core.route(now, request).unwrap();
    core.admit(now, &routed, 1).unwrap();
    let short = Report {
        shares: vec![ServiceShareRows {
            service: short_hash("lm"),
            short_tiers: vec![1],
            rows: Vec::new(),
        }],
        ..peer_report(&mut core, now, "i1")
    };
    core.receive_report(now, short);
}

fn report_without_configuration(shell: &Shell) -> Report {
    let mut core = shell.core.borrow_mut();
    Report {
        configuration: 0,
        ..peer_report(&mut core, shell.now(), "i2")
    }
}

// Returns a full report of a peer that knows what this instance does.
fn peer_report(core: &mut Core, now: Millis, name: &str) -> Report {
    let mut report = core.unicast_report(now);
    report.incarnation += report.number + 1;
    if let Some(info) = &mut report.info {
        name.clone_into(&mut info.name);
    }
    report
}
