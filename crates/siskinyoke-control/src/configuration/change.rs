//! Changes that operators ask for.

use serde::Deserialize;
use serde::Serialize;

use super::ConfigurationDoc;
use super::EndpointDoc;
use super::Fault;
use super::OperatorDoc;
use super::OrganisationDoc;
use super::PageDigest;
use super::PresetDoc;
use super::Role;
use super::TierDoc;
use siskinyoke_base::EndpointId;
use siskinyoke_base::OrganisationId;
use siskinyoke_base::TierName;

/// The longest identity of a change.
const ID_MAX: usize = 64;

/// Hexadecimal digits of the digest of a change's content: 128 bits never meet by chance, and a
/// full one would take half of a manifest's list of changes.
const CONTENT_DIGITS: usize = 32;

/// A change with the identity that its sender drew.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// The identity: sendings that share it are one change.
    pub id: String,
    /// The revision that the change was made for; any if left out.
    #[serde(default)]
    pub expected: Option<u64>,
    /// What to change.
    pub change: Change,
}

/// One change of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(
    tag = "change",
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case"
)]
pub enum Change {
    /// Replaces the whole configuration.
    Apply {
        /// The new documents.
        document: Box<ConfigurationDoc>,
    },
    /// Adds or replaces an organisation.
    SetOrganisation {
        /// Its name.
        name: OrganisationId,
        /// What it is from now on.
        organisation: OrganisationDoc,
    },
    /// Removes an organisation.
    RemoveOrganisation {
        /// Its name.
        name: OrganisationId,
    },
    /// Adds or replaces a tier.
    SetTier {
        /// What it is from now on.
        tier: TierDoc,
        /// Its rank, 0 for the most urgent; where it is, or the last, if left out.
        #[serde(default)]
        rank: Option<usize>,
    },
    /// Removes a tier.
    RemoveTier {
        /// Its name.
        name: TierName,
    },
    /// Adds or replaces a preset.
    SetPreset {
        /// Its name.
        name: String,
        /// What it is from now on.
        preset: PresetDoc,
    },
    /// Removes a preset.
    RemovePreset {
        /// Its name.
        name: String,
    },
    /// Adds or replaces an endpoint.
    SetEndpoint {
        /// Its name.
        name: EndpointId,
        /// What it is from now on.
        endpoint: EndpointDoc,
    },
    /// Removes an endpoint.
    RemoveEndpoint {
        /// Its name.
        name: EndpointId,
    },
    /// Adds or replaces an operator.
    SetOperator {
        /// Its name.
        name: String,
        /// What it is from now on.
        operator: OperatorDoc,
    },
    /// Removes an operator.
    RemoveOperator {
        /// Its name.
        name: String,
    },
    /// Puts another preset in force.
    SwitchPreset {
        /// The preset's name.
        name: String,
    },
    /// Gives an endpoint nothing new, or lets it have work again.
    DrainEndpoint {
        /// The endpoint.
        name: EndpointId,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// Writes the revision in force back into a service that shows an older one.
    Restore,
}

impl ChangeRequest {
    /// Checks what can be checked without the configuration.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if self.id.is_empty() || self.id.len() > ID_MAX || !self.id.chars().all(plain) {
            let allowed = format!("1 to {ID_MAX} of a-z A-Z 0-9 - _ .");
            faults.push(Fault::new("id", format!("{:?}", self.id), allowed));
        }
        // A whole document says nothing of what it was written from. Taken without the
        // revision, it would undo in silence whatever was accepted since.
        if matches!(self.change, Change::Apply { .. }) && self.expected.is_none() {
            let allowed = "the revision that the document was written for (0 for a first start)";
            faults.push(Fault::new("expected", "nothing", allowed));
        }
        faults
    }

    /// Returns a short digest of what is asked, whoever asks and however often.
    ///
    /// # Panics
    ///
    /// Never: a change is plain JSON.
    pub fn content(&self) -> String {
        let text = serde_json::to_vec(&self.change).expect("a change is plain JSON");
        let mut digest = PageDigest::of(&text).to_string();
        digest.truncate(CONTENT_DIGITS);
        digest
    }
}

impl Change {
    /// Returns the least role that may make the change.
    pub fn role(&self) -> Role {
        match self {
            Self::SwitchPreset { .. } | Self::DrainEndpoint { .. } => Role::Operator,
            _ => Role::Administrator,
        }
    }

    /// Applies the change to documents, without checking the result.
    ///
    /// # Errors
    ///
    /// A fault if the change names something that is not there.
    pub fn apply(&self, doc: &mut ConfigurationDoc) -> Result<(), Fault> {
        match self {
            Self::Apply { document } => *doc = (**document).clone(),
            Self::SetOrganisation { name, organisation } => {
                doc.organisations.insert(name.clone(), organisation.clone());
            }
            Self::RemoveOrganisation { name } => {
                there("organisations", name, doc.organisations.remove(name))?;
            }
            Self::SetTier { tier, rank } => set_tier(&mut doc.tiers, tier, *rank),
            Self::RemoveTier { name } => {
                let place = doc.tiers.iter().position(|tier| tier.name == *name);
                let place = there("tiers", name, place)?;
                doc.tiers.remove(place);
            }
            Self::SetPreset { name, preset } => {
                doc.presets.insert(name.clone(), preset.clone());
            }
            Self::RemovePreset { name } => {
                there("presets", name, doc.presets.remove(name))?;
            }
            Self::SetEndpoint { name, endpoint } => {
                doc.endpoints.insert(name.clone(), endpoint.clone());
            }
            Self::RemoveEndpoint { name } => {
                there("endpoints", name, doc.endpoints.remove(name))?;
            }
            Self::SetOperator { name, operator } => {
                doc.operators.insert(name.clone(), operator.clone());
            }
            Self::RemoveOperator { name } => {
                there("operators", name, doc.operators.remove(name))?;
            }
            Self::SwitchPreset { name } => doc.preset.clone_from(name),
            Self::DrainEndpoint { name, leaving } => {
                let endpoint = there("endpoints", name, doc.endpoints.get_mut(name))?;
                endpoint.leaving = *leaving;
            }
            Self::Restore => {}
        }
        Ok(())
    }
}

fn set_tier(tiers: &mut Vec<TierDoc>, tier: &TierDoc, rank: Option<usize>) {
    let place = tiers.iter().position(|known| known.name == tier.name);
    if let Some(place) = place {
        tiers.remove(place);
    }
    let rank = rank.or(place).unwrap_or(tiers.len()).min(tiers.len());
    tiers.insert(rank, tier.clone());
}

fn there<T>(part: &str, name: impl std::fmt::Display, found: Option<T>) -> Result<T, Fault> {
    found.ok_or_else(|| Fault::new(format!("{part}.{name}"), "nothing", "a name that is there"))
}
