//! What a daemon answers to the operators' tool and to organisations about usage.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::Cause;
use super::Charged;
use super::Day;
use super::Line;
use super::LineKey;
use super::Statement;
use crate::burn::MemberAddress;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::ModelId;
use siskinyoke_base::OrganisationId;
use siskinyoke_base::TierName;

/// Usage of a day over all daemons.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageReply {
    /// The lines.
    pub rows: Vec<UsageRow>,
    /// Values that could not be read; if not zero, the rows are incomplete.
    pub damaged: usize,
}

/// One line of a bill.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageRow {
    /// The day.
    pub day: Day,
    /// Who is charged.
    pub organisation: OrganisationId,
    /// The tier.
    pub tier: TierName,
    /// The model or service.
    pub model: ModelId,
    /// Complete answers charged.
    pub requests: u64,
    /// Prompt tokens charged.
    pub prompt: u64,
    /// Output tokens charged.
    pub output: u64,
    /// Prompt tokens thrown away by cause, which are not charged.
    pub wasted: BTreeMap<Cause, u64>,
}

/// Requests of an organisation that one daemon charged lately.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestsReply {
    /// The daemon's instance.
    pub instance: InstanceId,
    /// The present time on the daemon's own clock, against which the requests' times stand.
    pub now: Millis,
    /// The requests, the oldest first.
    pub requests: Vec<Charged>,
    /// The members it knows, with their addresses for callers.
    pub members: Vec<MemberAddress>,
}

impl UsageReply {
    /// Makes the reply of a statement, of all organisations or of one.
    pub fn new(statement: &Statement, organisation: Option<&OrganisationId>) -> Self {
        let wanted = |key: &LineKey| organisation.is_none_or(|id| key.organisation == *id);
        let lines = statement.lines.iter();
        Self {
            rows: lines
                .filter(|((_, key), _)| wanted(key))
                .map(|((day, key), line)| UsageRow::new(*day, key, line))
                .collect(),
            damaged: statement.damaged,
        }
    }
}

impl UsageRow {
    fn new(day: Day, key: &LineKey, line: &Line) -> Self {
        let wasted = Cause::ALL.map(|cause| (cause, line.wasted(cause)));
        Self {
            day,
            organisation: key.organisation.clone(),
            tier: key.tier.clone(),
            model: key.model.clone(),
            requests: line.requests,
            prompt: line.prompt,
            output: line.output,
            wasted: wasted.into_iter().filter(|(_, count)| *count > 0).collect(),
        }
    }
}
