//! Operators' side of the core: the administration API, status and bills.

use serde_json::json;

use super::Core;
use super::event::AdminHead;
use super::filters::RETRY_SOON;
use crate::CallId;
use crate::Context;
use crate::OpId;
use crate::Reply;
use crate::configuration;
use crate::configuration::Role;
use crate::configuration::admin;
use crate::configuration::admin::AdminAnswer;
use crate::configuration::admin::AdminCall;
use crate::configuration::admin::AdminRequest;
use crate::usage::Day;
use crate::usage::Reader;
use crate::usage::Statement;
use siskinyoke_base::Code;
use siskinyoke_base::Millis;
use siskinyoke_base::OrganisationId;
use siskinyoke_base::message::End;
use siskinyoke_base::message::Part;

/// A bill that is being read.
#[derive(Debug)]
pub struct Bill {
    call: CallId,
    organisation: Option<OrganisationId>,
    reader: Reader,
}

/// Who may see a bill.
enum Viewer {
    /// The organisation itself.
    Organisation(OrganisationId),
    /// An operator, who may see every organisation's.
    Operator,
}

impl Core {
    /// Takes an operator's request, or an organisation's for its own bill.
    pub(super) fn administer(&mut self, now: Millis, call: CallId, head: &AdminHead) {
        let path = head.path.split('?').next().unwrap_or_default();
        if let Some(rest) = path.strip_prefix("/admin/v1/usage") {
            return self.bill(call, head, rest.trim_start_matches('/'));
        }
        if path == "/v1/usage" {
            return self.bill(call, head, "");
        }
        if path == "/admin/v1/burn" {
            return self.burn_asked(call, head.bearer.as_ref());
        }
        if path == "/admin/v1/status" {
            return self.status(now, call, head);
        }
        let request = AdminCall {
            method: &head.method,
            path: &head.path,
            key: head.key.as_deref(),
            bearer: head.bearer.as_ref(),
            body: &head.body,
        };
        match admin::route(&request, &self.view) {
            Ok(AdminRequest::Answer(answer)) | Err(answer) => self.answer_admin(call, &answer),
            Ok(AdminRequest::Change { request, operator }) => {
                self.asked.insert(call, request.id.clone());
                let mut cx = Context {
                    now,
                    out: &mut self.out,
                    rng: &mut self.rng,
                };
                self.configuration
                    .begin_change(&mut cx, call, *request, &operator);
            }
            Ok(AdminRequest::LookUp { id, after }) => {
                self.asked.insert(call, id.clone());
                let mut cx = Context {
                    now,
                    out: &mut self.out,
                    rng: &mut self.rng,
                };
                self.configuration.look_up(&mut cx, call, &id, after);
            }
        }
    }

    /// Acts on what the configuration's controller tells.
    pub(super) fn configuration_events(&mut self, now: Millis) {
        for event in self.configuration.take_events() {
            match event {
                configuration::Event::InForce { revision } => {
                    log::info!("revision={revision} is in force");
                    self.set_view(now, self.configuration.view().clone());
                }
                configuration::Event::Outcome { call, outcome } => {
                    let id = self.asked.remove(&call).unwrap_or_default();
                    self.answer_admin(call, &AdminAnswer::outcome(&id, &outcome));
                }
            }
        }
    }

    /// Takes the platform's answer for a bill that is being read.
    pub(super) fn bill_reply(&mut self, op: OpId, reply: &Reply) {
        let bills = std::mem::take(&mut self.bills);
        for mut bill in bills {
            match bill.reader.reply(&mut self.out, op, reply) {
                Ok(None) => self.bills.push(bill),
                Ok(Some(statement)) => self.answer_bill(&bill, &statement),
                Err(_) => {
                    let answer = AdminAnswer::new(Code::ServiceDown);
                    self.answer_admin(bill.call, &answer);
                }
            }
        }
    }

    fn bill(&mut self, call: CallId, head: &AdminHead, name: &str) {
        let organisation = match self.viewer(head) {
            None => return self.answer_admin(call, &AdminAnswer::new(Code::WrongKey)),
            Some(Viewer::Organisation(own)) if name.is_empty() || own.as_str() == name => Some(own),
            Some(Viewer::Organisation(_)) => {
                return self.answer_admin(call, &AdminAnswer::new(Code::Forbidden));
            }
            Some(Viewer::Operator) => (!name.is_empty()).then(|| OrganisationId::new(name)),
        };
        let day = head
            .query("day")
            .and_then(|text| text.parse().ok())
            .map_or(self.day, Day);
        let reader = Reader::start(&mut self.out, day);
        self.bills.push(Bill {
            call,
            organisation,
            reader,
        });
    }

    fn viewer(&self, head: &AdminHead) -> Option<Viewer> {
        let bearer = head.bearer.as_ref()?;
        if self.view.operator(bearer).is_some() {
            return Some(Viewer::Operator);
        }
        self.view.caller(bearer).cloned().map(Viewer::Organisation)
    }

    fn answer_bill(&mut self, bill: &Bill, statement: &Statement) {
        let wanted = |name: &OrganisationId| {
            bill.organisation
                .as_ref()
                .is_none_or(|organisation| organisation == name)
        };
        let shown = statement
            .lines
            .iter()
            .filter(|((_, key), _)| wanted(&key.organisation));
        let lines: Vec<_> = shown
            .map(|((day, key), line)| json!({ "day": day, "line": key, "counters": line }))
            .collect();
        let mut answer = AdminAnswer::new(Code::Complete)
            .with("lines", &lines)
            .with("damaged", &statement.damaged);
        if let Some(organisation) = &bill.organisation {
            let recent: Vec<_> = self.usage.recent(organisation).collect();
            answer = answer.with("recent_here", &recent);
        }
        self.answer_admin(bill.call, &answer);
    }

    fn status(&mut self, now: Millis, call: CallId, head: &AdminHead) {
        let operator = head
            .bearer
            .as_ref()
            .and_then(|bearer| self.view.operator(bearer));
        let Some((_, role)) = operator else {
            return self.answer_admin(call, &AdminAnswer::new(Code::WrongKey));
        };
        debug_assert!(role >= Role::Viewer, "every role may read");
        let members: Vec<_> = std::iter::once(self.members.own())
            .chain(self.members.peers())
            .map(|record| {
                json!({
                    "instance": record.instance, "centre": record.centre,
                    "state": record.state, "caller": record.caller,
                })
            })
            .collect();
        let answer = AdminAnswer::new(Code::Complete)
            .with("instance", &self.me.instance)
            .with("incarnation", &self.me.incarnation.to_string())
            .with("revision", &self.view.revision)
            .with("preset", &self.view.doc.preset)
            .with("leaving", &self.leaving.is_some())
            .with("isolated", &self.members.isolated(now))
            .with("jobs", &self.jobs.len())
            .with("waiting", &self.scheduler.waiting())
            .with("barred_from_rank", &self.threshold.rank())
            .with("keyed_requests", &self.ledger.len())
            .with("suspects", &self.quarantine.len())
            .with("members", &members);
        self.answer_admin(call, &answer);
    }

    pub(super) fn answer_admin(&mut self, call: CallId, answer: &AdminAnswer) {
        let status = answer.code.status();
        let content = String::from("application/json");
        self.out.answer(
            call,
            Part::Head {
                status,
                content,
                stream: false,
            },
        );
        self.out.answer(call, Part::Piece(answer.body().into()));
        let mut end = End::new(answer.code);
        if matches!(answer.code, Code::ServiceDown | Code::NoConfiguration) {
            end = end.after(RETRY_SOON);
        }
        self.out.answer(call, Part::End(end));
    }
}
