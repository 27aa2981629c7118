//! One revision of the configuration, indexed for requests.

use super::ConfigurationDoc;
use super::Role;
use super::RouteDoc;
use siskinyoke_base::CallClass;
use siskinyoke_base::CallHead;
use siskinyoke_base::Code;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;
use siskinyoke_base::OrganisationId;
use siskinyoke_base::Route;

/// A revision of the configuration, by which a request is wholly decided.
#[derive(Debug, Default)]
pub struct View {
    /// Counts accepted changes.
    pub revision: u64,
    /// The documents.
    pub doc: ConfigurationDoc,
    callers: Map<String, OrganisationId>,
    operators: Map<String, (String, Role)>,
}

/// What the configuration says of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Resolved {
    /// Who is charged for it.
    pub organisation: OrganisationId,
    /// Rank of its tier; 0 is the most urgent.
    pub rank: u8,
    /// Whether its tier is protected.
    pub protected: bool,
    /// How often it may be dispatched: the route's word, or the caller's if more careful.
    pub class: CallClass,
    /// Time to a useful answer.
    pub need: Millis,
}

impl View {
    /// Indexes the documents of a revision.
    pub fn new(revision: u64, doc: ConfigurationDoc) -> Self {
        let mut callers = Map::default();
        for (id, organisation) in &doc.organisations {
            for key in &organisation.keys {
                callers.insert(key.clone(), id.clone());
            }
        }
        let operators = doc
            .operators
            .iter()
            .map(|(name, operator)| (operator.key.clone(), (name.clone(), operator.role)))
            .collect();
        Self {
            revision,
            doc,
            callers,
            operators,
        }
    }

    /// Finds the organisation that a bearer key's digest names.
    pub fn caller(&self, bearer: &[u8; 32]) -> Option<&OrganisationId> {
        self.callers.get(&hex(bearer))
    }

    /// Finds the operator that a bearer key's digest names.
    pub fn operator(&self, bearer: &[u8; 32]) -> Option<(&str, Role)> {
        self.operators
            .get(&hex(bearer))
            .map(|(name, role)| (name.as_str(), *role))
    }

    /// Says what a request is, or with which code it is refused.
    ///
    /// # Errors
    ///
    /// [`Code::WrongKey`], [`Code::UnknownModel`] or [`Code::NeedPast`].
    pub fn resolve(&self, head: &CallHead) -> Result<Resolved, Code> {
        let organisation = self.caller(&head.bearer).ok_or(Code::WrongKey)?;
        let routes = &self.doc.organisations[organisation].routes;
        let route = routes
            .iter()
            .find(|doc| fits(doc, &head.route))
            .ok_or(Code::UnknownModel)?;
        let named = self
            .doc
            .tiers
            .iter()
            .enumerate()
            .find(|(_, tier)| tier.name == route.tier);
        let (rank, tier) = named.ok_or(Code::UnknownModel)?;
        let usual = route.need.unwrap_or(tier.need);
        let need = head.need.map_or(usual, |need| need.min(usual));
        if need == Millis::ZERO {
            return Err(Code::NeedPast);
        }
        Ok(Resolved {
            organisation: organisation.clone(),
            rank: u8::try_from(rank).unwrap_or(u8::MAX),
            protected: tier.protected,
            class: head.care.unwrap_or_default().max(route.class),
            need,
        })
    }
}

fn fits(doc: &RouteDoc, route: &Route) -> bool {
    if doc.target != *route.target() {
        return false;
    }
    let Route::Service { method, path, .. } = route else {
        return true;
    };
    let method_fits = doc.method.as_ref().is_none_or(|wanted| wanted == method);
    method_fits
        && doc
            .path
            .as_ref()
            .is_none_or(|prefix| path.starts_with(prefix.as_str()))
}

/// Writes a digest in hexadecimal, as documents hold it.
fn hex(digest: &[u8; 32]) -> String {
    blake3::Hash::from_bytes(*digest).to_hex().to_string()
}
