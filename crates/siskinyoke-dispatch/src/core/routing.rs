//! The filters that need only a request's head.

use std::sync::Arc;

use crate::Configuration;
use crate::Kind;
use crate::Organisation;
use crate::Priority;
use crate::Refusal;
use crate::RefusalReason;
use crate::Route;
use crate::ScheduledRequest;
use crate::TokenCounts;
use crate::quota;
use siskinyoke_base::Millis;

/// What a caller asks for, before anything is decided.
#[derive(Debug, Clone, Copy)]
pub struct IncomingRequest<'a> {
    /// The host it names.
    pub host: &'a str,
    /// Its path.
    pub path: &'a str,
    /// How long it was held before it came to the filters.
    pub hold_time: Millis,
    /// Its key, if it has one.
    pub key: Option<&'a str>,
    /// How long its caller waits, if it says so.
    pub deadline: Option<Millis>,
    /// Prompt tokens and the most output tokens, if it names them.
    pub tokens: Option<(u64, u64)>,
    /// Output tokens that its caller expects, if it says so.
    pub output_estimate: Option<u64>,
    /// An evenly spread number of its own, to split traffic by.
    pub draw: u64,
}

/// A request that may go on: who sent it and how it is to be served.
#[derive(Debug, Clone)]
pub struct RoutedRequest {
    /// Its route.
    pub route: Arc<Route>,
    /// The service that has to run it.
    pub service: Arc<str>,
    /// Its organisation, where one is needed.
    pub organisation: Option<Arc<Organisation>>,
    /// How urgent it is.
    pub priority: Priority,
    /// When it arrived.
    pub arrived: Millis,
    /// When nobody waits for it any more.
    pub deadline: Millis,
    /// What it asks of an endpoint.
    pub tokens: TokenCounts,
    /// What it takes of its organisation's quota.
    pub quota_cost: f64,
}

impl RoutedRequest {
    /// Returns the units it takes, as they stand in messages.
    pub fn quota_units(&self) -> u64 {
        quota::to_u64(self.quota_cost)
    }

    /// Returns whether the answer comes as events.
    pub fn is_stream(&self) -> bool {
        self.route.kind == Kind::Stream
    }
}

// Turns an evenly spread number into one from 0 to 1, by its upper half.
pub(super) fn unit_fraction(draw: u64) -> f64 {
    let upper = u32::try_from(draw >> 32).unwrap_or(u32::MAX);
    f64::from(upper) / f64::from(u32::MAX)
}

pub(super) fn find_route(
    configuration: &Configuration,
    request: IncomingRequest<'_>,
) -> Result<Arc<Route>, Refusal> {
    let route = configuration.route(request.host, request.path);
    route.cloned().ok_or(Refusal {
        reason: RefusalReason::NoRoute,
        retry_after: Millis::ZERO,
    })
}

pub(super) fn authenticate(
    configuration: &Configuration,
    route: &Route,
    request: IncomingRequest<'_>,
) -> Result<Option<Arc<Organisation>>, Refusal> {
    if !configuration.requires_key() {
        return Ok(None);
    }
    let holder = request
        .key
        .and_then(|key| configuration.organisation_by_key(key));
    if holder.is_none() && !route.auth_exempt {
        return Err(Refusal {
            reason: RefusalReason::UnknownKey,
            retry_after: Millis::ZERO,
        });
    }
    Ok(holder.cloned())
}

pub(super) fn route_request(
    now: Millis,
    route: Arc<Route>,
    organisation: Option<Arc<Organisation>>,
    request: IncomingRequest<'_>,
) -> Result<RoutedRequest, Refusal> {
    let Some(service) = route.pick_service(request.draw).cloned() else {
        return Err(Refusal {
            reason: RefusalReason::NoEndpoint,
            retry_after: Millis(1000),
        });
    };
    let span = request.deadline.unwrap_or(route.timeout).min(route.timeout);
    let arrived = now.since(request.hold_time);
    let rank = Priority::new(
        organisation.as_ref().and_then(|it| it.priority),
        route.priority,
    );
    Ok(RoutedRequest {
        service,
        priority: rank,
        arrived,
        deadline: arrived + span,
        tokens: TokenCounts::new(request.tokens, request.output_estimate),
        quota_cost: quota_cost(organisation.as_deref(), request.tokens),
        organisation,
        route,
    })
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts stay far below 2^52"
)]
fn quota_cost(organisation: Option<&Organisation>, tokens: Option<(u64, u64)>) -> f64 {
    match organisation {
        Some(it) if it.counts_tokens => {
            tokens.map_or(it.default_cost, |(input, output)| (input + output) as f64)
        }
        Some(_) => 1.0,
        None => 0.0,
    }
}

pub(super) fn scheduled_request(pass: &RoutedRequest, fingerprint: u64) -> ScheduledRequest {
    ScheduledRequest {
        service: pass.service.clone(),
        route: pass.route.clone(),
        priority: pass.priority,
        arrived: pass.arrived,
        virtual_arrival: pass.arrived,
        deadline: pass.deadline,
        tokens: pass.tokens,
        fingerprint,
        tried: Vec::new(),
        attempts: 0,
        late: false,
        needs_loan: false,
        canary: false,
    }
}
