//! What operators were told of their changes, and the checks that it must pass.

use std::collections::BTreeMap;
use std::fmt;

use siskinyoke_base::Code;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Incarnation;
use siskinyoke_base::Kind;
use siskinyoke_base::message::Part;
use siskinyoke_control::CallId;
use siskinyoke_control::configuration::View;

/// Changes of the configuration as their operators saw them.
#[derive(Debug, Default)]
pub struct Changes {
    asked: BTreeMap<CallId, Asked>,
    in_force: BTreeMap<u64, String>,
    revisions: BTreeMap<Incarnation, u64>,
}

/// What a change is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Wish {
    /// The first document.
    Apply,
    /// The preset in force.
    Preset(String),
    /// Whether an endpoint takes new work.
    Drain(EndpointId, bool),
}

/// One change as asked for.
#[derive(Debug)]
struct Asked {
    wish: Wish,
    code: Option<Code>,
    revision: u64,
    body: serde_json::Value,
}

impl fmt::Display for Changes {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for asked in self.asked.values() {
            let Asked { wish, revision, .. } = asked;
            let code = asked.code.map(|code| format!("{code} {}", code.kind()));
            let code = code.as_deref().unwrap_or("open");
            writeln!(out, "{wish:?}: {code}, revision {revision}")?;
        }
        Ok(())
    }
}

impl Changes {
    /// Notes a change that was asked for.
    pub fn asked(&mut self, call: CallId, wish: Wish) {
        let asked = Asked {
            wish,
            code: None,
            revision: 0,
            body: serde_json::Value::Null,
        };
        self.asked.insert(call, asked);
    }

    /// Takes a part of an answer; returns false if it is not an operator's.
    pub fn part(&mut self, call: CallId, part: &Part) -> bool {
        let Some(asked) = self.asked.get_mut(&call) else {
            return false;
        };
        match part {
            Part::Piece(body) => {
                asked.body = serde_json::from_slice(body).unwrap_or_default();
                asked.revision = asked.body["revision"].as_u64().unwrap_or(0);
            }
            Part::End(end) => asked.code = Some(end.code),
            Part::Head { .. } => {}
        }
        true
    }

    /// Takes out the body of an answer.
    pub fn taken(&mut self, call: CallId) -> serde_json::Value {
        let asked = self.asked.remove(&call);
        asked.map(|asked| asked.body).unwrap_or_default()
    }

    /// Checks what a daemon start has in force: one document for each revision, none falls.
    pub fn saw(&mut self, at: Incarnation, view: &View) -> Option<String> {
        let highest = self.revisions.entry(at).or_default();
        if view.revision == *highest {
            return None;
        }
        if view.revision < *highest {
            return Some(format!("revision fell from {highest} to {}", view.revision));
        }
        *highest = view.revision;
        let shown = format!("{:?}", view.doc);
        let first = self.in_force.entry(view.revision).or_insert(shown.clone());
        let differs = *first != shown;
        differs.then(|| format!("revision {} stands for two documents", view.revision))
    }

    /// Counts the changes by kind of outcome: accepted, without effect, unknown.
    pub fn outcomes(&self) -> [usize; 3] {
        let mut counts = [0; 3];
        for asked in self.asked.values() {
            match asked.code.map(Code::kind) {
                Some(Kind::Done) => counts[0] += 1,
                Some(Kind::NotRun) => counts[1] += 1,
                Some(Kind::Unknown) | None => counts[2] += 1,
            }
        }
        counts
    }

    /// Returns the body of an answer.
    pub fn body(&self, call: CallId) -> Option<&serde_json::Value> {
        self.asked.get(&call).map(|asked| &asked.body)
    }

    /// Checks, once everything has come to rest, that every view holds all accepted changes.
    pub fn finish<'a>(&self, views: impl Iterator<Item = &'a View>) -> Vec<String> {
        let mut breaches = Vec::new();
        let highest = self.in_force.keys().max().copied().unwrap_or(0);
        let accepted = self.asked.values().map(|asked| asked.revision).max();
        let wanted = accepted.unwrap_or(0).max(highest);
        let mut last: BTreeMap<Subject<'_>, &Asked> = BTreeMap::new();
        let done = |asked: &&Asked| asked.code.is_some_and(|code| code.kind() == Kind::Done);
        for asked in self.asked.values().filter(done) {
            let held = last.entry(subject(&asked.wish)).or_insert(asked);
            if asked.revision > held.revision {
                *held = asked;
            }
        }
        for view in views {
            if view.revision != wanted {
                breaches.push(format!("revision {} stands, not {wanted}", view.revision));
            }
            for (subject, asked) in &last {
                if asked.revision > 0 && !self.explains(subject, asked, view) {
                    breaches.push(format!("{:?} was accepted and is not in force", asked.wish));
                }
            }
        }
        breaches
    }

    /// Tells whether a view shows the last accepted change, or one whose outcome is unknown.
    fn explains(&self, about: &Subject<'_>, accepted: &Asked, view: &View) -> bool {
        let unknown = |asked: &Asked| asked.code.is_none_or(|code| code.kind() == Kind::Unknown);
        let rivals = self.asked.values().filter(|asked| unknown(asked));
        let mut rivals = rivals.filter(|asked| subject(&asked.wish) == *about);
        holds(&accepted.wish, view) || rivals.any(|asked| holds(&asked.wish, view))
    }
}

/// What at most one change can have had the last word about.
type Subject<'a> = (u8, Option<&'a EndpointId>);

fn subject(wish: &Wish) -> Subject<'_> {
    match wish {
        Wish::Apply => (0, None),
        Wish::Preset(_) => (1, None),
        Wish::Drain(endpoint, _) => (2, Some(endpoint)),
    }
}

fn holds(wish: &Wish, view: &View) -> bool {
    match wish {
        Wish::Apply => view.revision > 0,
        Wish::Preset(name) => view.doc.preset == *name,
        Wish::Drain(name, leaving) => {
            let found = view.doc.endpoints.get(name);
            found.is_some_and(|endpoint| endpoint.leaving == *leaving)
        }
    }
}
