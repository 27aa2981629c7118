//! Which address callers are told, and by whom.

use siskinyoke_base::Code;
use siskinyoke_base::Millis;
use siskinyoke_base::message::End;
use siskinyoke_base::message::Part;
use siskinyoke_control::CallId;
use siskinyoke_control::core::Event;
use siskinyoke_policy::Simple;
use siskinyoke_tests::World;
use siskinyoke_tests::configuration;

/// A caller asks an instance that was told to stop which address to use. Given its ticket, the
/// caller's next request would be refused wherever it is sent, as only the leaving owner may take
/// it in; so the caller is sent elsewhere instead.
#[test]
fn a_leaving_instance_gives_no_ticket() {
    let mut world = world(2);
    world.schedule(0, Millis::ZERO, Event::Leave);
    world.run(Millis(100));
    let end = locate(&mut world, 0).expect_err("a leaving instance refuses");
    assert_eq!(end.code, Code::Leaving);
    assert_eq!(end.address.as_deref(), Some("caller-1"));
    assert!(locate(&mut world, 1).is_ok());
}

/// A fleet of many answers with its own address first and a few others, however many there are.
#[test]
fn a_bounded_number_of_addresses_is_named() {
    let mut world = world(12);
    let body = locate(&mut world, 3).expect("a live instance answers");
    let addresses = body["addresses"].as_array().expect("a list");
    assert_eq!(addresses[0], "caller-3");
    assert_eq!(addresses.len(), 8);
}

fn world(size: usize) -> World {
    let make = |_| Box::new(Simple::default()) as Box<dyn siskinyoke_policy::Scheduler>;
    let mut world = World::new(size, 1, configuration::view(4), make);
    world.run(Millis::from_secs(6));
    world
}

fn locate(world: &mut World, at: usize) -> Result<serde_json::Value, End> {
    let call = CallId(u64::MAX);
    let bearer = *blake3::hash(configuration::KEY.as_bytes()).as_bytes();
    let mut body = serde_json::Value::Null;
    for part in world.ask(at, call, Event::Locate { call, bearer }) {
        match part {
            Part::Piece(bytes) => body = serde_json::from_slice(&bytes).expect("JSON"),
            Part::End(end) if end.code != Code::Complete => return Err(end),
            _ => {}
        }
    }
    Ok(body)
}
