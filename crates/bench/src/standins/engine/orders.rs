//! Orders to load, unload or change role.

use super::options::Fencing;
use oriolemux_core::event::LoadedModel;
use serde::{Deserialize, Serialize};

/// An order as it arrives.
#[derive(Clone, Debug, Deserialize)]
pub struct Order {
    /// The giver's fencing number.
    #[serde(default)]
    pub fencing: u64,
    /// What to do.
    pub kind: OrderKind,
    /// The model, unless the role is to change.
    #[serde(default)]
    pub model: String,
    /// The version.
    #[serde(default)]
    pub version: String,
    /// The adapter, if the order is for one.
    #[serde(default)]
    pub adapter: Option<String>,
    /// The new role.
    #[serde(default)]
    pub role: String,
}

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a model, version or adapter.
    Load,
    /// Unload a model, version or adapter.
    Unload,
    /// Change role.
    Role,
}

/// The answer to an order with an old number.
#[derive(Debug, Serialize)]
pub struct Fenced {
    /// The highest number seen.
    pub highest: u64,
}

/// What an engine holds because of orders.
#[derive(Debug, Default)]
pub struct Holdings {
    /// Loaded models.
    pub models: Vec<LoadedModel>,
    /// The role last asked for.
    pub role: String,
    /// The highest fencing number seen.
    pub highest: u64,
}

impl Holdings {
    /// Reads the models that are loaded from the start, as NAME or NAME@VERSION.
    pub fn from_options(models: &[String], adapters: &[String]) -> Self {
        let models = models.iter().map(|text| {
            let (name, version) = text.split_once('@').unwrap_or((text, "1"));
            LoadedModel {
                name: name.to_owned(),
                version: version.to_owned(),
                adapters: adapters.to_vec(),
            }
        });
        Holdings {
            models: models.collect(),
            ..Holdings::default()
        }
    }

    /// Returns whether `model` is loaded, with `adapter` if one is asked for.
    pub fn serves(&self, model: &str, adapter: Option<&str>) -> bool {
        self.models
            .iter()
            .filter(|held| held.name == model)
            .any(|held| adapter.is_none_or(|name| held.adapters.iter().any(|a| a == name)))
    }

    /// Checks an order's number, and says whether it may be carried out.
    pub fn fence(&mut self, fencing: Fencing, number: u64) -> Result<(), Fenced> {
        if fencing == Fencing::Checked && number < self.highest {
            return Err(Fenced {
                highest: self.highest,
            });
        }
        if fencing != Fencing::Unchecked {
            self.highest = self.highest.max(number);
        }
        Ok(())
    }

    /// Carries an order out.
    pub fn apply(&mut self, order: &Order) {
        match order.kind {
            OrderKind::Load => self.load(order),
            OrderKind::Unload => self.unload(order),
            OrderKind::Role => self.role.clone_from(&order.role),
        }
    }

    fn position(&self, order: &Order) -> Option<usize> {
        self.models
            .iter()
            .position(|held| held.name == order.model && held.version == order.version)
    }

    fn load(&mut self, order: &Order) {
        let position = self.position(order).unwrap_or_else(|| {
            self.models.push(LoadedModel {
                name: order.model.clone(),
                version: order.version.clone(),
                adapters: Vec::new(),
            });
            self.models.len() - 1
        });
        let adapters = &mut self.models[position].adapters;
        if let Some(adapter) = &order.adapter
            && !adapters.contains(adapter)
        {
            adapters.push(adapter.clone());
        }
    }

    fn unload(&mut self, order: &Order) {
        let Some(position) = self.position(order) else {
            return;
        };
        match &order.adapter {
            Some(adapter) => self.models[position]
                .adapters
                .retain(|held| held != adapter),
            None => {
                self.models.remove(position);
            }
        }
    }
}
