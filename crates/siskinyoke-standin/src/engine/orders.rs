//! Orders to an engine: what it has loaded and which role it plays.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

/// An order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// What is to be done.
    pub order: OrderKind,
    /// The model, adapter, version or role.
    pub name: String,
    /// Number of the lease under which the order is given.
    pub fence: u64,
    /// Identity of the order; the same one is carried out once.
    pub id: String,
}

/// What an order is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a model.
    LoadModel,
    /// Load an adapter.
    LoadAdapter,
    /// Load a version.
    LoadVersion,
    /// Take a role.
    Role,
}

/// The real state of an engine.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// Models that it has loaded.
    pub models: BTreeSet<String>,
    /// Adapters that it has loaded.
    pub adapters: BTreeSet<String>,
    /// The version last loaded.
    pub version: String,
    /// Its role.
    pub role: String,
    /// The highest fencing number seen.
    pub fence: u64,
    /// Orders carried out, the latest last.
    pub history: Vec<Order>,
}

/// Why an order was refused: the fencing number that came after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fenced {
    /// The highest fencing number seen.
    pub highest: u64,
}

impl OrderState {
    /// Carries an order out.
    ///
    /// # Errors
    ///
    /// [`Fenced`] if fencing is enforced and a later number was seen.
    pub fn take(&mut self, order: &Order, enforced: bool) -> Result<(), Fenced> {
        if enforced && order.fence < self.fence {
            return Err(Fenced {
                highest: self.fence,
            });
        }
        self.fence = self.fence.max(order.fence);
        if self.history.iter().any(|past| past.id == order.id) {
            return Ok(());
        }
        let name = order.name.clone();
        match order.order {
            OrderKind::LoadModel => {
                self.models.insert(name);
            }
            OrderKind::LoadAdapter => {
                self.adapters.insert(name);
            }
            OrderKind::LoadVersion => self.version = name,
            OrderKind::Role => self.role = name,
        }
        self.history.push(order.clone());
        Ok(())
    }
}
