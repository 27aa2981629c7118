//! The check of a whole configuration, the same for a file and for every change.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use super::ConfigurationDoc;
use super::EndpointDoc;
use super::EndpointKind;
use super::Fault;
use super::OrganisationDoc;
use super::PresetDoc;
use super::Role;
use super::RouteDoc;
use super::TierPreset;
use super::words::NAME_MARKS;
use super::words::NAME_MAX;
use super::words::is_address;
use super::words::is_name;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Millis;

/// The most tiers; a rank travels in one byte, and nobody can weigh more.
const TIERS_MAX: usize = 32;

/// The longest need: a day, past which an answer is a batch job's.
const NEED_MAX: Millis = Millis::from_secs(24 * 60 * 60);

/// Marks that names of models hold beside letters and digits, such as `qwen/7b:q4`.
const MODEL_MARKS: &str = "-_.:/";

/// The most slots of one endpoint.
const SLOTS: RangeInclusive<u32> = 1..=100_000;

/// Weights of organisations; a wider range would starve the lightest.
const WEIGHTS: RangeInclusive<u32> = 1..=1_000;

/// The most requests that may wait in one daemon, which bounds its memory.
const QUEUES: RangeInclusive<u32> = 1..=100_000;

/// Checks a whole configuration and returns every fault, in the order of the document.
pub fn check(doc: &ConfigurationDoc) -> Vec<Fault> {
    let mut checker = Checker {
        doc,
        faults: Vec::new(),
        keys: BTreeMap::new(),
    };
    checker.preset();
    checker.tiers();
    checker.presets();
    checker.endpoints();
    checker.organisations();
    checker.operators();
    checker.pools();
    checker.faults
}

struct Checker<'a> {
    doc: &'a ConfigurationDoc,
    faults: Vec<Fault>,
    keys: BTreeMap<&'a str, String>,
}

impl<'a> Checker<'a> {
    fn preset(&mut self) {
        let name = &self.doc.preset;
        if !self.doc.presets.contains_key(name) {
            let allowed = list(self.doc.presets.keys());
            self.fault("preset", quote(name), format!("one of {allowed}"));
        }
    }

    fn tiers(&mut self) {
        let tiers = &self.doc.tiers;
        if tiers.is_empty() || tiers.len() > TIERS_MAX {
            let found = format!("{} tiers", tiers.len());
            self.fault("tiers", found, format!("1 to {TIERS_MAX} tiers"));
        }
        for (place, tier) in tiers.iter().enumerate() {
            let path = format!("tiers[{place}]");
            let earlier = &tiers[..place];
            self.name(&format!("{path}.name"), tier.name.as_str());
            self.need(&format!("{path}.need"), tier.need);
            if earlier.iter().any(|other| other.name == tier.name) {
                let found = quote(tier.name.as_str());
                self.fault(format!("{path}.name"), found, "a name not used above");
            }
            if tier.protected && earlier.iter().any(|other| !other.protected) {
                let allowed = "protected tiers before all others";
                self.fault(format!("{path}.protected"), "true", allowed);
            }
        }
    }

    fn presets(&mut self) {
        for (name, preset) in &self.doc.presets {
            let path = format!("presets.{name}");
            self.name(&path, name);
            self.part(&format!("{path}.prefill"), preset.prefill, true);
            self.part(&format!("{path}.shift"), preset.shift, false);
            self.within(&format!("{path}.queue"), preset.queue, QUEUES);
            self.preset_tiers(&path, preset);
        }
    }

    fn preset_tiers(&mut self, path: &str, preset: &PresetDoc) {
        for (tier, share) in &preset.tiers {
            let path = format!("{path}.tiers.{tier}");
            if !self.doc.tiers.iter().any(|known| known.name == *tier) {
                let allowed = list(self.doc.tiers.iter().map(|tier| tier.name.as_str()));
                self.fault(&path, quote(tier.as_str()), format!("one of {allowed}"));
            }
            self.part(&format!("{path}.reserve"), share.reserve, true);
            self.part(&format!("{path}.objective"), share.objective, false);
        }
        let shares = preset
            .tiers
            .values()
            .map(|share: &TierPreset| share.reserve);
        let sum: f64 = shares.sum();
        if sum > 1.0 {
            let found = format!("reserves that add up to {sum}");
            self.fault(format!("{path}.tiers"), found, "a sum of 1 at most");
        }
    }

    fn endpoints(&mut self) {
        let mut addresses = BTreeMap::new();
        for (id, endpoint) in &self.doc.endpoints {
            let path = format!("endpoints.{id}");
            self.name(&path, id.as_str());
            self.endpoint(&path, endpoint);
            if let Some(other) = addresses.insert(endpoint.address.as_str(), id) {
                let found = format!("{} as of {other}", quote(&endpoint.address));
                self.fault(format!("{path}.address"), found, "an address of its own");
            }
        }
    }

    fn endpoint(&mut self, path: &str, endpoint: &EndpointDoc) {
        if !is_address(&endpoint.address) {
            let found = quote(&endpoint.address);
            self.fault(format!("{path}.address"), found, "host:port");
        }
        self.name(&format!("{path}.centre"), endpoint.centre.as_str());
        if endpoint.targets.is_empty() {
            self.fault(format!("{path}.targets"), "none", "one target at least");
        }
        for (place, target) in endpoint.targets.iter().enumerate() {
            let path = format!("{path}.targets[{place}]");
            self.name_of(&path, target.as_str(), MODEL_MARKS);
            if self.kind_of(target.as_str()) != Some(endpoint.kind) {
                let allowed = "a name offered by engines only or by services only";
                self.fault(path, quote(target.as_str()), allowed);
            }
        }
        self.within(&format!("{path}.slots"), endpoint.slots, SLOTS);
        self.within(&format!("{path}.speed"), endpoint.speed, 1..=u32::MAX);
        self.within(&format!("{path}.prefill"), endpoint.prefill, 1..=u32::MAX);
    }

    fn organisations(&mut self) {
        for (id, organisation) in &self.doc.organisations {
            let path = format!("organisations.{id}");
            self.name(&path, id.as_str());
            for (place, key) in organisation.keys.iter().enumerate() {
                self.key(format!("{path}.keys[{place}]"), key);
            }
            self.within(&format!("{path}.weight"), organisation.weight, WEIGHTS);
            if organisation.allowance == Some(0) {
                self.fault(format!("{path}.allowance"), "0", "1 at least, or left out");
            }
            self.routes(&path, organisation);
        }
    }

    fn routes(&mut self, path: &str, organisation: &OrganisationDoc) {
        for (place, route) in organisation.routes.iter().enumerate() {
            let path = format!("{path}.routes[{place}]");
            self.route(&path, route);
            // The first route that fits decides. A wide idempotent route above a narrow
            // non-idempotent one would let a booking run twice, without any word of it.
            let earlier = &organisation.routes[..place];
            if let Some(over) = earlier.iter().position(|other| covers(other, route)) {
                let found = format!("a route that routes[{over}] always decides before");
                self.fault(path, found, "narrow routes before wide ones");
            }
        }
    }

    fn route(&mut self, path: &str, route: &RouteDoc) {
        let kind = self.kind_of(route.target.as_str());
        if kind.is_none() {
            let found = quote(route.target.as_str());
            self.fault(format!("{path}.target"), found, "a target of some endpoint");
        }
        if kind == Some(EndpointKind::Engine) && (route.method.is_some() || route.path.is_some()) {
            let allowed = "method and path only for services";
            self.fault(path, "a method or path for a model", allowed);
        }
        if let Some(prefix) = &route.path
            && !prefix.starts_with('/')
        {
            let allowed = "a path with a leading slash";
            self.fault(format!("{path}.path"), quote(prefix), allowed);
        }
        if !self.doc.tiers.iter().any(|tier| tier.name == route.tier) {
            let allowed = list(self.doc.tiers.iter().map(|tier| tier.name.as_str()));
            let found = quote(route.tier.as_str());
            self.fault(format!("{path}.tier"), found, format!("one of {allowed}"));
        }
        if let Some(need) = route.need {
            self.need(&format!("{path}.need"), need);
        }
    }

    fn operators(&mut self) {
        for (name, operator) in &self.doc.operators {
            let path = format!("operators.{name}");
            self.name(&path, name);
            self.key(format!("{path}.key"), &operator.key);
        }
        let mut roles = self.doc.operators.values().map(|operator| operator.role);
        if !roles.any(|role| role == Role::Administrator) {
            let allowed = "one administrator at least, or nobody could change anything again";
            self.fault("operators", "no administrator", allowed);
        }
    }

    fn pools(&mut self) {
        let mut pools: BTreeMap<&EndpointId, &str> = BTreeMap::new();
        for (name, plan) in &self.doc.pools {
            self.name(&format!("pools.{name}"), name);
            if plan.loads == 0 {
                let allowed = "1 or more, or nothing would ever be loaded";
                self.fault(format!("pools.{name}.loads"), "0", allowed);
            }
            for endpoint in plan.endpoints.keys() {
                let path = format!("pools.{name}.endpoints.{endpoint}");
                let doc = self.doc.endpoints.get(endpoint);
                if doc.is_none_or(|doc| doc.kind != EndpointKind::Engine) {
                    self.fault(path, quote(endpoint.as_str()), "the name of an engine");
                } else if let Some(other) = pools.insert(endpoint, name) {
                    let found = format!("an engine of the pool {other}");
                    self.fault(path, found, "an engine of one pool only");
                }
            }
        }
    }

    /// Checks a digest of a key, and that it stands for one organisation or operator only.
    fn key(&mut self, path: String, digest: &'a str) {
        let hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if digest.len() != 64 || !digest.bytes().all(hex) {
            let allowed = "a BLAKE3 digest: 64 lowercase hexadecimal digits (siskinyoke key)";
            let found = format!("{} characters", digest.chars().count());
            self.fault(path, found, allowed);
        } else if let Some(other) = self.keys.insert(digest, path.clone()) {
            let allowed = "a key of one organisation or operator only";
            self.fault(path, format!("the key of {other}"), allowed);
        }
    }

    /// Checks a name that stands in paths of the administration API.
    fn name(&mut self, path: &str, name: &str) {
        self.name_of(path, name, NAME_MARKS);
    }

    fn name_of(&mut self, path: &str, name: &str, marks: &str) {
        if !is_name(name, marks) {
            let allowed = format!("1 to {NAME_MAX} letters, digits or any of {marks}");
            self.fault(path, quote(name), allowed);
        }
    }

    fn need(&mut self, path: &str, need: Millis) {
        if need == Millis::ZERO || need > NEED_MAX {
            self.fault(path, need.to_string(), format!("1 ms to {NEED_MAX}"));
        }
    }

    fn part(&mut self, path: &str, value: f64, zero: bool) {
        let least = if zero { value >= 0.0 } else { value > 0.0 };
        if !(least && value <= 1.0) {
            let allowed = if zero { "0 to 1" } else { "over 0, to 1" };
            self.fault(path, value.to_string(), allowed);
        }
    }

    fn within(&mut self, path: &str, value: u32, range: RangeInclusive<u32>) {
        if !range.contains(&value) {
            let allowed = format!("{} to {}", range.start(), range.end());
            self.fault(path, value.to_string(), allowed);
        }
    }

    /// Returns what offers a target, if anything does.
    fn kind_of(&self, target: &str) -> Option<EndpointKind> {
        let offers = |endpoint: &&EndpointDoc| {
            let mut targets = endpoint.targets.iter();
            targets.any(|offered| offered.as_str() == target)
        };
        let mut endpoints = self.doc.endpoints.values();
        endpoints.find(offers).map(|endpoint| endpoint.kind)
    }

    fn fault(
        &mut self,
        path: impl Into<String>,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        self.faults.push(Fault::new(path, found, allowed));
    }
}

/// Tells whether every request that fits `later` fits `earlier` too.
fn covers(earlier: &RouteDoc, later: &RouteDoc) -> bool {
    let method = earlier.method.is_none() || earlier.method == later.method;
    let path = earlier.path.as_ref().is_none_or(|prefix| {
        let narrow = later.path.as_ref();
        narrow.is_some_and(|path| path.starts_with(prefix.as_str()))
    });
    earlier.target == later.target && method && path
}

fn quote(text: &str) -> String {
    format!("{text:?}")
}

fn list<T: AsRef<str>>(names: impl Iterator<Item = T>) -> String {
    let names: Vec<String> = names.map(|name| name.as_ref().to_owned()).collect();
    if names.is_empty() {
        return "(none are defined)".to_owned();
    }
    names.join(", ")
}
