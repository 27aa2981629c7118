//! Orders to an engine: what it has loaded and which role it plays.

use serde::Deserialize;
use serde::Serialize;

use siskinyoke_control::orders::EndpointState;
use siskinyoke_control::orders::ModelState;
use siskinyoke_control::orders::Order;

/// Version of the models that an engine has loaded from its start.
pub const FIRST_VERSION: &str = "v1";

/// An order as sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderBody {
    /// What is to be done.
    pub order: Order,
    /// Number of the lease under which the order is given.
    pub fence: u64,
    /// Identity of the order; the same one is carried out once.
    pub id: String,
}

/// The real state of an engine.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// What it runs.
    pub state: EndpointState,
    /// The highest fencing number seen.
    pub fence: u64,
    /// Orders carried out, the latest last.
    pub history: Vec<OrderBody>,
}

/// Why an order was refused: the fencing number that came after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fenced {
    /// The highest fencing number seen.
    pub highest: u64,
}

impl OrderState {
    /// Starts with models loaded.
    pub fn new(models: &[String]) -> Self {
        let loaded = ModelState {
            version: FIRST_VERSION.to_owned(),
            ..ModelState::default()
        };
        let models = models
            .iter()
            .map(|name| (name.as_str().into(), loaded.clone()));
        let state = EndpointState {
            models: models.collect(),
            ..EndpointState::default()
        };
        Self {
            state,
            ..Self::default()
        }
    }

    /// Carries an order out.
    ///
    /// # Errors
    ///
    /// [`Fenced`] if fencing is enforced and a later number was seen.
    pub fn take(&mut self, body: &OrderBody, enforced: bool) -> Result<(), Fenced> {
        if enforced && body.fence < self.fence {
            return Err(Fenced {
                highest: self.fence,
            });
        }
        self.fence = self.fence.max(body.fence);
        if self.history.iter().any(|past| past.id == body.id) {
            return Ok(());
        }
        self.change(&body.order);
        self.history.push(body.clone());
        Ok(())
    }

    fn change(&mut self, order: &Order) {
        let models = &mut self.state.models;
        match order {
            Order::Inspect => {}
            Order::Load { model, version } => {
                models
                    .entry(model.clone())
                    .or_default()
                    .version
                    .clone_from(version);
            }
            Order::Unload { model } => drop(models.remove(model)),
            Order::LoadAdapter {
                model,
                adapter,
                version,
            } => {
                let adapters = &mut models.entry(model.clone()).or_default().adapters;
                adapters.insert(adapter.clone(), version.clone());
            }
            Order::UnloadAdapter { model, adapter } => {
                if let Some(state) = models.get_mut(model) {
                    state.adapters.remove(adapter);
                }
            }
            Order::Role { role } => self.state.role = *role,
        }
    }
}
