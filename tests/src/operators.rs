//! What operators ask of a world.

use crate::World;
use crate::changes::Wish;
use crate::configuration::OPERATOR;
use siskinyoke_base::Millis;
use siskinyoke_control::CallId;
use siskinyoke_control::configuration::ConfigurationDoc;
use siskinyoke_control::core::AdminHead;
use siskinyoke_control::core::Event;

/// Operators' exchanges have numbers above those of callers.
const FIRST_CALL: u64 = 1 << 32;

/// Applies the first document of all and lets it come into force.
pub fn start(world: &mut World, doc: &ConfigurationDoc) {
    let body = serde_json::to_vec(doc).unwrap_or_default();
    let call = CallId(FIRST_CALL);
    world.changes.asked(call, Wish::Apply);
    let head = head("POST", "/admin/v1/apply?revision=0", "first", body);
    world.schedule(0, Millis::ZERO, admin(call, head));
    world.run(Millis::from_secs(3));
    let body = world.changes.body(call);
    let accepted = body.is_some_and(|body| body["revision"] == 1);
    if !accepted {
        let line = format!("the first document was not taken: {body:?}");
        world.history.breaches.push(line);
    }
}

/// Asks an instance for a change.
pub fn ask(world: &mut World, at: usize, number: u64, wish: Wish) {
    if !world.is_running(at) {
        return;
    }
    let (path, body) = match &wish {
        Wish::Apply => return,
        Wish::Preset(name) => {
            let body = serde_json::json!({ "name": name }).to_string();
            (String::from("/admin/v1/preset"), body)
        }
        Wish::Drain(name, leaving) => {
            let step = if *leaving { "drain" } else { "undrain" };
            (format!("/admin/v1/endpoints/{name}/{step}"), String::new())
        }
    };
    let call = CallId(FIRST_CALL + number);
    world.changes.asked(call, wish);
    let head = head("POST", &path, &format!("change-{number}"), body.into());
    world.schedule(at, Millis(1), admin(call, head));
}

/// Asks an instance something that it answers within a second, and returns the body.
pub fn read(world: &mut World, at: usize, path: &str) -> serde_json::Value {
    let call = CallId(FIRST_CALL * 2 + world.now.0);
    let head = head("GET", path, "-", Vec::new());
    world.changes.asked(call, Wish::Apply);
    world.schedule(at, Millis::ZERO, admin(call, head));
    world.run(Millis::from_secs(1));
    world.changes.taken(call)
}

fn head(method: &str, path: &str, key: &str, body: Vec<u8>) -> AdminHead {
    AdminHead {
        method: method.to_owned(),
        path: path.to_owned(),
        key: Some(key.to_owned()),
        bearer: Some(*blake3::hash(OPERATOR.as_bytes()).as_bytes()),
        body: body.into(),
    }
}

fn admin(call: CallId, head: AdminHead) -> Event {
    let head = Box::new(head);
    Event::Admin { call, head }
}
