//! Scripted scenarios of the configuration under failure, in `scenarios/`.

use std::fmt::Write;

use bytes::Bytes;
use datadriven::walk;

use crate::fake_platform::Mishap;
use crate::world::Daemon;
use crate::world::World;
use crate::world::local_example;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Millis;
use siskinyoke_base::OrganisationId;
use siskinyoke_control::configuration::Change;
use siskinyoke_control::configuration::MANIFEST_KEY;
use siskinyoke_control::configuration::OperatorDoc;
use siskinyoke_control::configuration::PageDigest;
use siskinyoke_control::configuration::Role;

#[test]
fn scenarios() {
    walk("tests/configuration/scenarios", |file| {
        let mut world = World::new(7);
        file.run(|case| {
            assert_eq!(case.directive, "run", "every block is a run");
            for line in case.input.lines() {
                command(&mut world, line);
            }
            let mut text = String::new();
            for line in world.log.drain(..) {
                writeln!(text, "{line}").expect("a string takes every line");
            }
            text
        });
    });
}

/// Carries out one line of a scenario.
fn command(world: &mut World, line: &str) {
    let words: Vec<&str> = line.split_whitespace().collect();
    match words.as_slice() {
        ["service", "holds", "the", "example"] => world.seed_service(),
        ["service", "down"] => {
            world.platform.down = true;
            world.break_watches();
        }
        ["service", "up"] => world.platform.down = false,
        ["service", "slow", millis] => world.delay = number(millis),
        ["service", "shows", "write", place] => show_older(world, number(place)),
        ["service", "loses", what] => damage(world, what, None),
        ["service", "damages", what] => damage(world, what, Some(Bytes::from_static(b"damaged"))),
        ["lose", "landed"] => world.platform.mishaps.push_back(Mishap::Landed),
        ["lose", "late"] => world.platform.mishaps.push_back(Mishap::Late),
        ["lose", "unlanded"] => world.platform.mishaps.push_back(Mishap::Unlanded),
        ["start", name, "watching"] => world.start(name, true),
        ["start", name] => world.start(name, false),
        ["stop", name] => world.stop(name),
        ["cut", name, "from", "service"] => {
            daemon(world, name).cut_service = true;
            world.break_watches();
        }
        ["cut", name, "from", "peers"] => daemon(world, name).cut_peers = true,
        ["join", name] => {
            daemon(world, name).cut_service = false;
            daemon(world, name).cut_peers = false;
        }
        ["wait", millis] => world.run(number(millis)),
        ["ask", id, "at", name] => world.look_up(name, id, None),
        ["ask", id, "at", name, "after", base] => world.look_up(name, id, Some(number(base))),
        ["change", id, "at", name, rest @ ..] => begin(world, id, name, rest),
        ["switch", count, "times", "at", name] => switch_often(world, number(count), name),
        ["show"] => show(world),
        [] => {}
        other => panic!("no such line: {other:?}"),
    }
}

fn begin(world: &mut World, id: &str, at: &str, words: &[&str]) {
    let (words, expected) = match words {
        [words @ .., "expecting", revision] => (words, Some(number(revision))),
        words => (words, None),
    };
    let (words, operator) = match words {
        [words @ .., "by", operator] => (words, *operator),
        words => (words, "root"),
    };
    let change = match words {
        ["add", "operator", name] => Change::SetOperator {
            name: (*name).to_owned(),
            operator: OperatorDoc {
                key: PageDigest::of(name.as_bytes()).to_string(),
                role: Role::Operator,
            },
        },
        ["apply", "the", "example"] => Change::Apply {
            document: Box::new(local_example()),
        },
        ["preset", name] => Change::SwitchPreset {
            name: (*name).to_owned(),
        },
        ["remove", "tier", name] => Change::RemoveTier {
            name: (*name).into(),
        },
        ["remove", "operator", name] => Change::RemoveOperator {
            name: (*name).to_owned(),
        },
        ["drain", name] => Change::DrainEndpoint {
            name: EndpointId::new(name),
            leaving: true,
        },
        ["weight", name, weight] => {
            let id = OrganisationId::new(name);
            let mut organisation = local_example().organisations[&id].clone();
            organisation.weight = u32::try_from(number(weight)).expect("a small number");
            Change::SetOrganisation {
                name: id,
                organisation,
            }
        }
        ["restore"] => Change::Restore,
        other => panic!("no such change: {other:?}"),
    };
    world.change_by(operator, at, id, expected, change);
}

/// Switches the preset to and fro, without a word of it in the output.
fn switch_often(world: &mut World, count: u64, at: &str) {
    let said = world.log.len();
    for turn in 0..count {
        let name = if turn % 2 == 0 { "peak" } else { "ordinary" };
        let change = Change::SwitchPreset {
            name: name.to_owned(),
        };
        world.change(at, &format!("turn-{}-{turn}", world.now), None, change);
        world.run(100);
    }
    world.log.truncate(said);
}

/// Lets the service show what its manifest was after an earlier write, as a restored copy does.
fn show_older(world: &mut World, place: u64) {
    let history = &world.platform.history[MANIFEST_KEY];
    let place = usize::try_from(place).expect("a small number");
    let value = history[place - 1].clone();
    world.platform.values.insert(MANIFEST_KEY.to_owned(), value);
    world.break_watches();
}

/// Loses or damages the value of a part of the manifest in force, or the manifest itself.
fn damage(world: &mut World, what: &str, with: Option<Bytes>) {
    let manifest = world.manifest().expect("the service holds a manifest");
    let key = match what {
        "manifest" => MANIFEST_KEY.to_owned(),
        "tiers" => format!("siskinyoke/pages/{}", manifest.pages.tiers),
        "organisations" => format!("siskinyoke/pages/{}", manifest.pages.organisations[0]),
        other => panic!("no such part: {other}"),
    };
    match with {
        Some(bytes) => {
            world
                .platform
                .values
                .get_mut(&key)
                .expect("it is there")
                .value = bytes;
        }
        None => {
            world.platform.values.remove(&key);
        }
    }
}

fn show(world: &mut World) {
    let now = world.now;
    for (name, daemon) in &world.daemons {
        let controller = &daemon.controller;
        let view = controller.view();
        let weights: Vec<u32> = view.doc.organisations.values().map(|o| o.weight).collect();
        let alarms = controller.alarms();
        let current = controller.is_current(Millis(now));
        let contact = if current {
            ""
        } else {
            "; cannot know what is in force"
        };
        world.log.push(format!(
            "{now:>6} {name} holds revision {} of {}, preset {:?}, weights {weights:?}; \
             older {}, forked {}, damaged {}, missing {}{contact}",
            view.revision,
            controller.highest(),
            view.doc.preset,
            alarms.older.min(1),
            alarms.forked.min(1),
            alarms.damaged.min(1),
            alarms.missing.min(1),
        ));
    }
    let held = world.manifest().map_or(0, |manifest| manifest.revision);
    let pages = world.platform.values.len().saturating_sub(1);
    world.log.push(format!(
        "{now:>6} the service holds revision {held} and {pages} pages"
    ));
}

fn daemon<'a>(world: &'a mut World, name: &str) -> &'a mut Daemon {
    world.daemons.get_mut(name).expect("the daemon runs")
}

fn number(word: &str) -> u64 {
    word.parse().expect("a number")
}
