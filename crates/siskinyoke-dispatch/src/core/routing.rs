//! Routing and authentication of requests by their heads.

use std::sync::Arc;

use crate::Configuration;
use crate::Organisation;
use crate::Priority;
use crate::PromptParts;
use crate::Refusal;
use crate::RefusalReason;
use crate::Route;
use crate::RouteKind;
use crate::ScheduledRequest;
use crate::TokenCounts;
use crate::organisation_shares::share_class::ShareClass;
use crate::quota;
use crate::report::short_hash;
use siskinyoke_base::Millis;

/// A request as received, before it is routed.
#[derive(Debug, Clone, Copy)]
pub struct IncomingRequest<'a> {
    /// The requested host.
    pub host: &'a str,
    /// The requested path.
    pub path: &'a str,
    /// How long it has been held since it arrived.
    pub hold_time: Millis,
    /// API key, if present.
    pub key: Option<&'a str>,
    /// How long the caller waits for the response, if stated.
    pub timeout: Option<Millis>,
    /// Number of prompt tokens and maximum number of output tokens, if stated.
    pub tokens: Option<(u64, u64)>,
    /// Number of output tokens the caller expects, if stated.
    pub output_estimate: Option<u64>,
    /// Hash of the request's ID, by which its service is picked and its quota claim is sampled.
    pub id_hash: u64,
}

/// A routed and authenticated request.
#[derive(Debug, Clone)]
pub struct RoutedRequest {
    /// Its route.
    pub route: Arc<Route>,
    /// The service that runs it.
    pub service: Arc<str>,
    /// The organisation that sent it, if known.
    pub organisation: Option<Arc<Organisation>>,
    /// Its priority.
    pub priority: Priority,
    /// When it arrived.
    pub arrived: Millis,
    /// When its caller stops waiting.
    pub deadline: Millis,
    /// Its token counts.
    pub tokens: TokenCounts,
    /// The parts of its prompt that other requests may share; empty until they are set.
    pub prompt_parts: PromptParts,
    /// Its cost in units of the organisation's quota.
    pub quota_cost: f64,
}

impl RoutedRequest {
    /// Returns its quota cost as a whole number, as sent in messages.
    pub fn quota_units(&self) -> u64 {
        quota::to_u64(self.quota_cost)
    }

    /// Returns whether the response is an event stream.
    pub fn is_stream(&self) -> bool {
        self.route.kind == RouteKind::Stream
    }
}

// Maps a hash to a number from 0 to 1 by its upper 32 bits.
pub(super) fn unit_fraction(hash: u64) -> f64 {
    let upper = u32::try_from(hash >> 32).unwrap_or(u32::MAX);
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
    let organisation = request
        .key
        .and_then(|key| configuration.organisation_by_key(key));
    if organisation.is_none() && !route.auth_exempt {
        return Err(Refusal {
            reason: RefusalReason::UnknownKey,
            retry_after: Millis::ZERO,
        });
    }
    Ok(organisation.cloned())
}

pub(super) fn route_request(
    now: Millis,
    route: Arc<Route>,
    organisation: Option<Arc<Organisation>>,
    request: IncomingRequest<'_>,
) -> Result<RoutedRequest, Refusal> {
    let Some(service) = route.pick_service(request.id_hash).cloned() else {
        return Err(Refusal {
            reason: RefusalReason::NoEndpoint,
            retry_after: Millis(1000),
        });
    };
    let timeout = request.timeout.unwrap_or(route.timeout).min(route.timeout);
    let arrived = now.since(request.hold_time);
    let priority = Priority::new(
        organisation.as_ref().and_then(|it| it.priority),
        route.priority,
    );
    Ok(RoutedRequest {
        service,
        priority,
        arrived,
        deadline: arrived + timeout,
        tokens: TokenCounts::new(request.tokens, request.output_estimate),
        prompt_parts: PromptParts::default(),
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

pub(super) fn scheduled_request(request: &RoutedRequest, fingerprint: u64) -> ScheduledRequest {
    ScheduledRequest {
        service: request.service.clone(),
        route: request.route.clone(),
        priority: request.priority,
        arrived: request.arrived,
        virtual_arrival: request.arrived,
        wait_start: request.arrived,
        deadline: request.deadline,
        tokens: request.tokens,
        fingerprint,
        prompt_parts: request.prompt_parts.clone(),
        tried: Vec::new(),
        attempts: 0,
        organisation: request.organisation.as_ref().map(|it| short_hash(&it.name)),
        share_class: ShareClass::Within,
        late: false,
        needs_loan: false,
        canary: false,
        version: None,
    }
}
