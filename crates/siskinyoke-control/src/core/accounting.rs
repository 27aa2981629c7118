//! What finished requests are charged, and what prompt work was thrown away.

use std::borrow::Cow;

use serde::Deserialize;

use super::Core;
use super::job::Job;
use crate::burn::Slot;
use crate::usage::Cause;
use crate::usage::Charge;
use crate::usage::Day;
use crate::usage::LineKey;
use crate::usage::Member;
use siskinyoke_base::Code;
use siskinyoke_base::Identity;
use siskinyoke_base::Millis;
use siskinyoke_base::message::End;
use siskinyoke_base::message::MemberState;
use siskinyoke_base::message::Part;
use siskinyoke_policy::WorkId;

/// Tokens as an engine's answer gives them.
#[derive(Debug, Clone, Copy, Deserialize)]
struct Tokens {
    #[serde(rename = "prompt_tokens")]
    prompt: u64,
    #[serde(rename = "completion_tokens")]
    output: u64,
}

/// The part of an engine's answer that counts tokens.
#[derive(Debug, Deserialize)]
struct Counted {
    usage: Option<Tokens>,
}

/// Seconds of a day in universal time.
const SECS_A_DAY: u64 = 86_400;

/// The part of a stream's event that carries text.
#[derive(Debug, Deserialize)]
struct Chunk<'a> {
    #[serde(borrow, default)]
    choices: Vec<Choice<'a>>,
}

/// One answer in an event.
#[derive(Debug, Deserialize)]
struct Choice<'a> {
    #[serde(borrow, default)]
    delta: Delta<'a>,
}

/// What an event adds to an answer.
#[derive(Debug, Default, Deserialize)]
struct Delta<'a> {
    #[serde(borrow, default)]
    content: Option<Cow<'a, str>>,
}

impl Core {
    /// Sets the present time, in seconds since 1 January 1970; only bills and reports use it.
    pub fn set_time(&mut self, secs: u64) {
        let day = Day(u32::try_from(secs / SECS_A_DAY).unwrap_or(u32::MAX));
        self.burn.set_slot(Slot::at(secs));
        self.day = self.day.max(day);
        self.usage.set_day(day);
        self.claims.set_day(day);
    }

    /// Charges a complete answer.
    pub(super) fn account(&mut self, now: Millis, id: WorkId, job: &Job, end: &End) {
        let line = line_key(job);
        if end.code == Code::Complete {
            let tokens = tokens(job);
            let own = Identity {
                organisation: job.resolved.organisation.clone(),
                owner: self.me.incarnation,
                key: format!("-{}", id.0),
            };
            let identity = job.identity.as_ref().unwrap_or(&own);
            let charge = Charge {
                identity,
                line: &line,
                prompt: tokens.prompt,
                output: tokens.output,
            };
            self.usage.charge(now, &charge);
        }
    }

    /// Books the prompt work of a dispatch that was thrown away.
    pub(super) fn account_waste(&mut self, job: &Job, cause: Cause) {
        self.usage
            .waste(&line_key(job), cause, u64::from(job.head.prompt));
        self.burn_waste(job);
    }

    /// Books the prompt work of a job's dispatch that was thrown away.
    pub(super) fn account_wasted_run(&mut self, id: WorkId, cause: Cause) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        self.account_waste(&job, cause);
        self.jobs.insert(id, job);
    }

    /// Tells the usage's controller which members there are.
    pub(super) fn usage_members(&mut self) {
        let own = self.members.own();
        // Guards against charges that only leaving daemons hold: where a whole fleet stops during
        // an outage, each would count on the others and all copies would go with them. So one
        // that is leaving holds for nobody, and what is held of it is written as if it were gone.
        let peers = self
            .members
            .peers()
            .filter(|record| record.state < MemberState::Leaving);
        let members: Vec<Member> = std::iter::once(own)
            .chain(peers)
            .map(|record| Member {
                instance: record.instance.clone(),
                incarnation: record.incarnation,
                centre: record.centre.clone(),
            })
            .collect();
        self.usage.set_members(&members);
    }
}

fn line_key(job: &Job) -> LineKey {
    let tier = job.view.doc.tiers.get(usize::from(job.resolved.rank));
    LineKey {
        organisation: job.resolved.organisation.clone(),
        tier: tier.map_or_else(|| "unknown".into(), |tier| tier.name.clone()),
        model: job.head.route.target().clone(),
    }
}

/// Returns the tokens that the answer itself counts, or those estimated and seen.
fn tokens(job: &Job) -> Tokens {
    let counted = job.parts.iter().rev().find_map(|part| match part {
        Part::Piece(bytes) => counted(bytes),
        _ => None,
    });
    counted.unwrap_or(Tokens {
        prompt: u64::from(job.head.prompt),
        output: u64::from(job.tokens),
    })
}

/// Tells whether an event of a stream carries text of the answer.
///
/// Guards the bill: the events that open a stream with the speaker's role and close it with a
/// reason are no tokens, and would be charged with every streamed answer.
pub(super) fn carries_text(event: &[u8]) -> bool {
    let Some(data) = event.strip_prefix(b"data: ") else {
        return false;
    };
    let Ok(chunk) = serde_json::from_slice::<Chunk<'_>>(data) else {
        return false;
    };
    let texts = chunk
        .choices
        .iter()
        .filter_map(|choice| choice.delta.content.as_ref());
    texts.into_iter().any(|text| !text.is_empty())
}

/// Reads the counts from a body, or from the data of an event.
fn counted(bytes: &[u8]) -> Option<Tokens> {
    let text = bytes.strip_prefix(b"data: ").unwrap_or(bytes);
    serde_json::from_slice::<Counted>(text).ok()?.usage
}
