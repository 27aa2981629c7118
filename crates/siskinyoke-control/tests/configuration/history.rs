//! Random histories of the configuration under failure, judged by a checker.

use std::collections::BTreeMap;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

use crate::fake_platform::Mishap;
use crate::world::World;
use crate::world::local_example;
use siskinyoke_base::EndpointId;
use siskinyoke_base::OrganisationId;
use siskinyoke_control::configuration::Change;
use siskinyoke_control::configuration::Outcome;

/// How many histories are run; each takes a few milliseconds.
const HISTORIES: u64 = 250;

/// Bytes that one history draws its steps from, which gives some sixty steps.
const HISTORY_BYTES: u64 = 512;

/// How long a healed system has to agree, in milliseconds: the longest wait between two attempts
/// of a daemon, twice.
const HEALED: u64 = 40_000;

/// What was asked of the system.
struct Asked {
    change: Change,
    sent: u32,
}

/// One history on its way.
struct History {
    world: World,
    asked: BTreeMap<String, Asked>,
    started: u64,
}

// What users would see if one of these failed: an accepted change that is gone, a change told as
// refused that is in force, two presets in force, a daemon that never learns. Operators change the
// configuration at several daemons while the service is down, slow, loses answers or delivers a swap
// seconds late, and while daemons are cut off, stopped and replaced.
#[test]
fn accepted_changes_hold() {
    let mut told = BTreeMap::new();
    for number in 1..=HISTORIES {
        let drawn = number.wrapping_mul(0x9E37_79B9) & 0xFFFF_FFFF;
        arbtest(|u| {
            for (_, outcome) in history(u)?.world.outcomes {
                *told.entry(outcome.code().number()).or_insert(0) += 1;
            }
            Ok(())
        })
        .seed(drawn << 32 | HISTORY_BYTES)
        .run();
    }
    println!("{HISTORIES} histories; outcomes told by code: {told:?}");
}

fn history(u: &mut Unstructured<'_>) -> Result<History> {
    let mut history = History {
        world: World::new(u.arbitrary()?),
        asked: BTreeMap::new(),
        started: 0,
    };
    history.world.seed_service();
    for _ in 0..u.int_in_range(3..=5)? {
        history.start();
    }
    history.world.run(500);
    while !u.is_empty() {
        history.step(u)?;
    }
    history.heal();
    history.check();
    Ok(history)
}

impl History {
    fn start(&mut self) {
        self.started += 1;
        self.world.start(&format!("d{}", self.started), false);
        self.world.choose_watchers();
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let names: Vec<String> = self.world.daemons.keys().cloned().collect();
        let name = u.choose(&names)?.clone();
        let daemon = self.world.daemons.get_mut(&name).expect("it runs");
        match u.int_in_range(0..=19)? {
            0 => {
                self.world.platform.down = true;
                self.world.break_watches();
            }
            1..=3 => self.world.platform.down = false,
            4 => self.world.delay = u.int_in_range(0..=3_000)?,
            5 => self.world.delay = 0,
            6 => {
                let mishaps = [Mishap::Landed, Mishap::Unlanded, Mishap::Late];
                self.world.platform.mishaps.push_back(*u.choose(&mishaps)?);
            }
            7 => daemon.cut_service = true,
            8 => daemon.cut_peers = true,
            9 | 10 => {
                daemon.cut_service = false;
                daemon.cut_peers = false;
            }
            11 if names.len() > 2 => {
                self.world.stop(&name);
                self.start();
            }
            12 => self.resend(u, &name)?,
            13 => self.ask(u, &name)?,
            _ => self.change(u, &name)?,
        }
        let span = u.int_in_range(0..=1_500)?;
        self.world.run(if u.ratio(1, 8)? { span * 8 } else { span });
        Ok(())
    }

    fn change(&mut self, u: &mut Unstructured<'_>, at: &str) -> Result<()> {
        let id = format!("c{}", self.asked.len());
        let change = draw(u)?;
        let expected = u
            .ratio(1, 4)?
            .then(|| self.world.daemons[at].controller.revision());
        self.world.change(at, &id, expected, change.clone());
        self.asked.insert(id, Asked { change, sent: 1 });
        Ok(())
    }

    fn resend(&mut self, u: &mut Unstructured<'_>, at: &str) -> Result<()> {
        let ids: Vec<String> = self.asked.keys().cloned().collect();
        if ids.is_empty() {
            return Ok(());
        }
        let id = u.choose(&ids)?;
        let asked = self.asked.get_mut(id).expect("it was asked");
        asked.sent += 1;
        self.world.change(at, id, None, asked.change.clone());
        Ok(())
    }

    fn ask(&mut self, u: &mut Unstructured<'_>, at: &str) -> Result<()> {
        let outcomes = self.world.outcomes.iter();
        let unknown: Vec<(String, u64)> = outcomes
            .filter_map(|(id, outcome)| match outcome {
                Outcome::Unknown { base } => Some((id.clone(), *base)),
                _ => None,
            })
            .collect();
        if !unknown.is_empty() {
            let (id, base) = u.choose(&unknown)?;
            self.world.look_up(at, id, Some(*base));
        }
        Ok(())
    }

    /// Ends every failure and gives the system time to agree.
    fn heal(&mut self) {
        self.world.platform.down = false;
        self.world.platform.mishaps.clear();
        self.world.delay = 0;
        for daemon in self.world.daemons.values_mut() {
            daemon.cut_service = false;
            daemon.cut_peers = false;
        }
        self.world.run(HEALED);
    }

    fn check(&self) {
        let manifest = self.world.manifest().expect("the service holds a manifest");
        let made = &manifest.recent;
        let ids: Vec<&str> = made.iter().map(|made| made.id.as_str()).collect();

        // Each revision was made by one change, and none is missing.
        for (place, made) in made.iter().enumerate() {
            assert_eq!(
                made.revision,
                place as u64 + 1,
                "a revision was skipped or reused"
            );
            assert_eq!(
                ids.iter().filter(|id| **id == made.id).count(),
                1,
                "{} twice",
                made.id
            );
        }
        assert_eq!(manifest.revision, made.len() as u64);

        // What was told is true.
        for (id, outcome) in &self.world.outcomes {
            let found = manifest.change(id).map(|made| made.revision);
            match outcome {
                Outcome::Accepted { revision } => {
                    assert_eq!(found, Some(*revision), "{id} was told accepted");
                }
                Outcome::Unknown { .. } => {}
                told if self.asked[id].sent == 1 => {
                    assert_eq!(found, None, "{id} was told {told:?}");
                }
                _ => {}
            }
        }

        // The accepted changes, in their order, are what is in force everywhere.
        let mut doc = local_example();
        for id in &ids[1..] {
            let applied = self.asked[*id].change.apply(&mut doc);
            assert_eq!(applied, Ok(()), "{id} was accepted");
        }
        for (name, daemon) in &self.world.daemons {
            let view = daemon.controller.view();
            assert_eq!(view.revision, manifest.revision, "{name} lags");
            assert!(view.doc == doc, "{name} holds something else");
        }
        assert_eq!(self.world.forks, 0, "one revision had two contents");

        // A daemon that starts with nobody else there finds every page in the service.
        for page in manifest.pages.all() {
            let key = format!("siskinyoke/pages/{page}");
            assert!(
                self.world.platform.values.contains_key(&key),
                "{page} is gone"
            );
        }

        // Pages that are no longer wanted do not pile up.
        let pages = self.world.platform.values.len();
        let unknown = |(_, outcome): &&(String, Outcome)| {
            matches!(outcome, Outcome::Unknown { .. } | Outcome::ServiceDown)
        };
        let orphans = self.world.outcomes.iter().filter(unknown).count();
        let stopped = usize::try_from(self.started).expect("few daemons");
        assert!(
            pages <= 24 + orphans + stopped,
            "{pages} values, {orphans} orphans"
        );
    }
}

/// Draws a change that is valid on any configuration of the histories.
fn draw(u: &mut Unstructured<'_>) -> Result<Change> {
    let doc = local_example();
    Ok(match u.int_in_range(0..=2)? {
        0 => Change::SwitchPreset {
            name: (*u.choose(&["ordinary", "peak", "maintenance"])?).to_owned(),
        },
        1 => Change::DrainEndpoint {
            name: EndpointId::new(u.choose(&["fast", "slow"])?),
            leaving: u.arbitrary()?,
        },
        _ => {
            let name = OrganisationId::new(u.choose(&["school-one", "school-two"])?);
            let mut organisation = doc.organisations[&name].clone();
            organisation.weight = u.int_in_range(1..=1_000)?;
            Change::SetOrganisation { name, organisation }
        }
    })
}
