//! Organisations' use of slots against their shares, for operators.

use std::sync::Arc;

use crate::core::Core;
use crate::core::RoutedRequest;
use crate::organisation_shares::share_state::ShareState;
use crate::report::short_hash;
use siskinyoke_base::Millis;

/// The number of organisations listed for each service.
const MAX_LISTED: usize = 16;

/// An organisation's use of the slots of a service, against its share.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareListing {
    /// The service's name.
    pub service: Arc<str>,
    /// The tier in which the organisation competes.
    pub tier: u8,
    /// The organisation's name, if it is configured.
    pub organisation: Option<Arc<str>>,
    /// Its use and its share.
    pub state: ShareState,
}

impl Core {
    /// Returns the use and the share of a request's organisation, or `None` while slots are not
    /// short.
    pub fn share_state(&self, now: Millis, request: &RoutedRequest) -> Option<ShareState> {
        let organisation = short_hash(&request.organisation.as_ref()?.name);
        let shares = self.scheduler.shares();
        shares.state(now, &request.service, request.priority, organisation)
    }

    /// Returns how often long requests of a request's route are served, as a multiple of all.
    pub fn long_ratio(&self, now: Millis, request: &RoutedRequest) -> f64 {
        let work = self.scheduler.size_shares().work(now, &request.route);
        work.long_ratio()
    }

    /// Returns the organisations with the most use of each service whose slots are short.
    pub fn share_listings(&self, now: Millis) -> Vec<ShareListing> {
        let top = self.scheduler.shares().top_users(now, MAX_LISTED);
        let listings = top.into_iter();
        listings
            .map(|(service, (tier, organisation), state)| ShareListing {
                service,
                tier,
                organisation: self.organisation_name(organisation),
                state,
            })
            .collect()
    }

    /// Returns how many of these organisations exceed their shares.
    pub fn above_share_count(&self, now: Millis) -> usize {
        let top = self.scheduler.shares().top_users(now, MAX_LISTED);
        top.iter().filter(|row| row.2.above_share).count()
    }

    fn organisation_name(&self, hash: u32) -> Option<Arc<str>> {
        let organisations = self.configuration.as_ref()?.organisations();
        let found = organisations.iter().find(|it| short_hash(&it.name) == hash);
        found.map(|it| it.name.clone())
    }
}
