//! How requests end against their need, counted for the report on service-level burn.

use super::Core;
use super::job::Job;
use crate::CallId;
use crate::OpId;
use crate::PlatformReply;
use crate::PlatformRequest;
use crate::Reply;
use crate::burn::BurnReply;
use crate::burn::Ended;
use crate::burn::MemberAddress;
use crate::burn::Outcome;
use crate::burn::SNAPSHOTS;
use crate::burn::Snapshot;
use crate::burn::Target;
use crate::configuration::admin::AdminAnswer;
use crate::platform::Versioned;
use siskinyoke_base::Code;
use siskinyoke_base::Kind;
use siskinyoke_base::Millis;
use siskinyoke_base::message::End;
use siskinyoke_base::message::MemberState;

/// The most snapshots read for one report: every daemon of the size to come, three times over.
const MOST_SNAPSHOTS: u32 = 1_200;

impl Core {
    /// Counts how a request ended.
    pub(super) fn burn_end(&mut self, now: Millis, job: &Job, end: &End) {
        let Some(outcome) = outcome(now, job, end) else {
            return;
        };
        if let Some(tier) = job.tier() {
            let organisation = &job.resolved.organisation;
            let endpoint = job.last.as_ref();
            self.burn.count(
                Ended {
                    tier,
                    organisation,
                    endpoint,
                },
                outcome,
            );
        }
    }

    /// Counts prompt work that was thrown away.
    pub(super) fn burn_waste(&mut self, job: &Job) {
        if let Some(tier) = job.tier() {
            let organisation = &job.resolved.organisation;
            let endpoint = job.last.as_ref();
            let ended = Ended {
                tier,
                organisation,
                endpoint,
            };
            self.burn.waste(ended, u64::from(job.head.prompt));
        }
    }

    /// Takes the objectives of the preset in force over.
    pub(super) fn burn_target(&mut self) {
        let doc = &self.view.doc;
        let Some(preset) = doc.presets.get(&doc.preset) else {
            return;
        };
        let objective = |(name, tier): (
            &siskinyoke_base::TierName,
            &crate::configuration::TierPreset,
        )| { (name.clone(), tier.objective) };
        self.burn.set_target(Target {
            revision: self.view.revision,
            preset: doc.preset.clone(),
            objectives: preset.tiers.iter().map(objective).collect(),
        });
    }

    /// Begins to answer an operator who asks for this daemon's counts.
    pub(super) fn burn_asked(&mut self, call: CallId, bearer: Option<&[u8; 32]>) {
        let operator = bearer.and_then(|bearer| self.view.operator(bearer));
        if operator.is_none() {
            return self.answer_admin(call, &AdminAnswer::new(Code::WrongKey));
        }
        let prefix = SNAPSHOTS.to_owned();
        let limit = MOST_SNAPSHOTS;
        let op = self.out.platform(PlatformRequest::List { prefix, limit });
        self.burns.insert(op, call);
    }

    /// Takes the platform's answer with the counts of daemons that are gone.
    pub(super) fn burn_reply(&mut self, op: OpId, reply: &Reply) -> bool {
        let Some(call) = self.burns.remove(&op) else {
            return false;
        };
        let (kept, complete) = match reply {
            Ok(PlatformReply::Values(values)) => (self.kept(values), true),
            _ => (Vec::new(), false),
        };
        let here = self.members.peers();
        let members = here.filter(|record| record.state < MemberState::Gone);
        let members = members.map(|record| MemberAddress {
            instance: record.instance.clone(),
            address: record.caller.clone(),
        });
        let reply = BurnReply {
            own: self.burn.snapshot(),
            members: members.collect(),
            kept,
            complete,
        };
        let answer = AdminAnswer::new(Code::Complete);
        let answer = match serde_json::to_value(&reply) {
            Ok(serde_json::Value::Object(fields)) => fields
                .iter()
                .fold(answer, |answer, (name, value)| answer.with(name, value)),
            _ => answer,
        };
        self.answer_admin(call, &answer);
        true
    }

    /// Returns the snapshots of daemon starts that nobody can be asked for any more.
    fn kept(&self, values: &[Versioned]) -> Vec<Snapshot> {
        let mut kept = Snapshot::read(values);
        kept.retain(|snapshot| {
            let here = snapshot.incarnation == self.me.incarnation;
            let known = self.members.find(snapshot.incarnation);
            !here && known.is_none_or(|record| record.state == MemberState::Gone)
        });
        kept
    }
}

/// Returns how a request ended as its caller sees it; one that its caller left counts nowhere.
fn outcome(now: Millis, job: &Job, end: &End) -> Option<Outcome> {
    if end.code == Code::CallerGone {
        return None;
    }
    Some(match end.code.kind() {
        Kind::NotRun => Outcome::Refused,
        Kind::Unknown => Outcome::Broken,
        Kind::Done => {
            let useful = if job.streaming {
                job.first.unwrap_or(now)
            } else {
                now
            };
            if useful <= job.arrived + job.resolved.need {
                Outcome::Within
            } else {
                Outcome::Late
            }
        }
    })
}
