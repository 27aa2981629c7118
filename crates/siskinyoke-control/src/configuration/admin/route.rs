//! What a request to the administration API asks for, and whether its sender may.

use jsonc_parser::ParseOptions;
use jsonc_parser::parse_to_serde_value;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::AdminAnswer;
use super::AdminCall;
use crate::configuration::Change;
use crate::configuration::ChangeRequest;
use crate::configuration::ConfigurationDoc;
use crate::configuration::Fault;
use crate::configuration::Role;
use crate::configuration::TierDoc;
use crate::configuration::View;
use crate::configuration::read_file;
use siskinyoke_base::Code;
use siskinyoke_base::EndpointId;
use siskinyoke_base::OrganisationId;
use siskinyoke_base::TierName;

/// What a request asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum AdminRequest {
    /// It is answered from the view.
    Answer(AdminAnswer),
    /// A change is to begin; its outcome is the answer.
    Change {
        /// The change.
        request: Box<ChangeRequest>,
        /// The operator who asks.
        operator: String,
    },
    /// The outcome of an earlier change is to be looked up; it is the answer.
    LookUp {
        /// The change's identity.
        id: String,
        /// The revision that the change would follow, if known.
        after: Option<u64>,
    },
}

/// The body of a switch of preset.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Switch {
    name: String,
}

/// Says what a request asks for.
///
/// # Errors
///
/// The answer to give if the request is refused: the key is not known, the role does not
/// suffice, the path or the body cannot be read.
pub fn route(call: &AdminCall<'_>, view: &View) -> Result<AdminRequest, AdminAnswer> {
    let unknown = || AdminAnswer::new(Code::UnknownRoute);
    let segments = call.segments().ok_or_else(unknown)?;
    if view.revision == 0 {
        return first_start(call, &segments);
    }
    let operator = call.bearer.and_then(|bearer| view.operator(bearer));
    let (operator, role) = operator.ok_or_else(|| AdminAnswer::new(Code::WrongKey))?;
    if call.method == "GET" {
        return read(call, &segments, view);
    }
    let change = change(call, &segments)?.ok_or_else(unknown)?;
    if role < change.role() {
        let answer = AdminAnswer::new(Code::Forbidden);
        return Err(answer.with("role", &role).with("needed", &change.role()));
    }
    request(call, change, operator)
}

/// Lets in the first document of all, by the administrator that it names itself.
///
/// There is no operator before it. It is taken only if the service holds nothing, so later
/// nobody gains anything by it.
fn first_start(call: &AdminCall<'_>, segments: &[&str]) -> Result<AdminRequest, AdminAnswer> {
    if (call.method, segments) != ("POST", &["apply"]) {
        return Err(AdminAnswer::new(Code::NoConfiguration));
    }
    let document = document(call)?;
    let operator = call.bearer.and_then(|bearer| {
        let digest = blake3::Hash::from_bytes(*bearer).to_hex();
        let mut operators = document.operators.iter();
        operators.find(|(_, operator)| operator.key == digest.as_str())
    });
    let Some((name, operator)) = operator else {
        return Err(AdminAnswer::new(Code::WrongKey));
    };
    if operator.role != Role::Administrator {
        return Err(AdminAnswer::new(Code::Forbidden));
    }
    let name = name.clone();
    let document = Box::new(document);
    request(call, Change::Apply { document }, &name)
}

fn request(
    call: &AdminCall<'_>,
    change: Change,
    operator: &str,
) -> Result<AdminRequest, AdminAnswer> {
    // Without an identity a change whose answer is lost could neither be asked for nor sent
    // again without the risk of being made twice.
    let Some(id) = call.key else {
        return Err(AdminAnswer::new(Code::KeyRequired));
    };
    let request = ChangeRequest {
        id: id.to_owned(),
        expected: call.number("revision")?,
        change,
    };
    Ok(AdminRequest::Change {
        request: Box::new(request),
        operator: operator.to_owned(),
    })
}

fn read(call: &AdminCall<'_>, segments: &[&str], view: &View) -> Result<AdminRequest, AdminAnswer> {
    if let ["changes", id] = segments {
        return Ok(AdminRequest::LookUp {
            id: (*id).to_owned(),
            after: call.number("after")?,
        });
    }
    let doc = &view.doc;
    let found = match segments {
        ["revision"] => json(&doc.preset).map(|preset| ("preset", preset)),
        ["configuration"] => json(doc).map(|doc| ("configuration", doc)),
        ["organisations"] => json(&doc.organisations).map(|all| ("organisations", all)),
        ["organisations", name] => {
            let found = doc.organisations.get(&OrganisationId::new(name));
            found.and_then(json).map(|found| ("organisation", found))
        }
        ["tiers"] => json(&doc.tiers).map(|all| ("tiers", all)),
        ["tiers", name] => {
            let found = doc.tiers.iter().find(|tier| tier.name.as_str() == *name);
            found.and_then(json).map(|found| ("tier", found))
        }
        ["presets"] => json(&doc.presets).map(|all| ("presets", all)),
        ["presets", name] => {
            let found = doc.presets.get(*name);
            found.and_then(json).map(|found| ("preset", found))
        }
        ["endpoints"] => json(&doc.endpoints).map(|all| ("endpoints", all)),
        ["endpoints", name] => {
            let found = doc.endpoints.get(&EndpointId::new(name));
            found.and_then(json).map(|found| ("endpoint", found))
        }
        ["operators"] => json(&doc.operators).map(|all| ("operators", all)),
        ["operators", name] => {
            let found = doc.operators.get(*name);
            found.and_then(json).map(|found| ("operator", found))
        }
        _ => None,
    };
    let Some((name, value)) = found else {
        let fault = Fault::new(segments.join("/"), "nothing", "a name that is there");
        return Err(AdminAnswer::new(Code::UnknownRoute).faults(&[fault]));
    };
    let answer = AdminAnswer::new(Code::Complete)
        .with("revision", &view.revision)
        .with("in-force", &doc.preset)
        .with(name, &value);
    Ok(AdminRequest::Answer(answer))
}

/// Returns the change that a request asks for, or nothing if there is no such path.
fn change(call: &AdminCall<'_>, segments: &[&str]) -> Result<Option<Change>, AdminAnswer> {
    Ok(Some(match (call.method, segments) {
        ("POST", ["apply"]) => Change::Apply {
            document: Box::new(document(call)?),
        },
        ("POST", ["restore"]) => Change::Restore,
        ("POST", ["preset"]) => Change::SwitchPreset {
            name: body::<Switch>(call)?.name,
        },
        ("POST", ["endpoints", name, step @ ("drain" | "undrain")]) => Change::DrainEndpoint {
            name: EndpointId::new(name),
            leaving: *step == "drain",
        },
        ("PUT", ["organisations", name]) => Change::SetOrganisation {
            name: OrganisationId::new(name),
            organisation: body(call)?,
        },
        ("DELETE", ["organisations", name]) => Change::RemoveOrganisation {
            name: OrganisationId::new(name),
        },
        ("PUT", ["tiers", name]) => set_tier(call, name)?,
        ("DELETE", ["tiers", name]) => Change::RemoveTier {
            name: TierName::new(name),
        },
        ("PUT", ["presets", name]) => Change::SetPreset {
            name: (*name).to_owned(),
            preset: body(call)?,
        },
        ("DELETE", ["presets", name]) => Change::RemovePreset {
            name: (*name).to_owned(),
        },
        ("PUT", ["endpoints", name]) => Change::SetEndpoint {
            name: EndpointId::new(name),
            endpoint: body(call)?,
        },
        ("DELETE", ["endpoints", name]) => Change::RemoveEndpoint {
            name: EndpointId::new(name),
        },
        ("PUT", ["operators", name]) => Change::SetOperator {
            name: (*name).to_owned(),
            operator: body(call)?,
        },
        ("DELETE", ["operators", name]) => Change::RemoveOperator {
            name: (*name).to_owned(),
        },
        _ => return Ok(None),
    }))
}

fn set_tier(call: &AdminCall<'_>, name: &str) -> Result<Change, AdminAnswer> {
    let tier: TierDoc = body(call)?;
    if tier.name.as_str() != name {
        let fault = Fault::new("name", format!("{:?}", tier.name.as_str()), name);
        return Err(invalid(&[fault]));
    }
    let rank = call.number("rank")?;
    let rank = rank.map(|rank| usize::try_from(rank).unwrap_or(usize::MAX));
    Ok(Change::SetTier { tier, rank })
}

fn document(call: &AdminCall<'_>) -> Result<ConfigurationDoc, AdminAnswer> {
    read_file(call.text()?).map_err(|faults| invalid(&faults))
}

fn body<T: DeserializeOwned>(call: &AdminCall<'_>) -> Result<T, AdminAnswer> {
    let parsed = parse_to_serde_value(call.text()?, &ParseOptions::default());
    parsed.map_err(|error| {
        let mut fault = Fault::new(
            "(body)",
            error.kind().to_string(),
            "what docs/operators/configuration.md says",
        );
        fault.line = Some(error.line_display());
        invalid(&[fault])
    })
}

fn invalid(faults: &[Fault]) -> AdminAnswer {
    AdminAnswer::new(Code::Invalid).faults(faults)
}

fn json<T: Serialize>(value: &T) -> Option<serde_json::Value> {
    serde_json::to_value(value).ok()
}
