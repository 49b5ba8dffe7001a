//! Orders: fencing number, models loaded and loading, role.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// A model or adapter in one version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ModelEntry {
    /// The model's id.
    pub model: Box<str>,
    /// Its version.
    pub version: Box<str>,
}

/// The text is not `model:version`.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a model with its version; write `model:version`")]
pub struct ModelError(Box<str>);

impl FromStr for ModelEntry {
    type Err = ModelError;

    fn from_str(text: &str) -> Result<Self, ModelError> {
        match text.rsplit_once(':') {
            Some((model, version)) if !model.is_empty() && !version.is_empty() => Ok(Self {
                model: model.into(),
                version: version.into(),
            }),
            _ => Err(ModelError(text.into())),
        }
    }
}

impl fmt::Display for ModelEntry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.model, self.version)
    }
}

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum OrderKind {
    Load,
    Unload,
    Role,
}

/// The body of `POST /v1/orders`.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct EngineOrder {
    order: Box<str>,
    fence: u64,
    kind: OrderKind,
    #[serde(default)]
    model: Option<Box<str>>,
    #[serde(default)]
    version: Option<Box<str>>,
    #[serde(default)]
    role: Option<Box<str>>,
}

/// The answer to `GET /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct OrderReport {
    fence: u64,
    applied: Vec<Box<str>>,
    models: Vec<ModelEntry>,
    loading: Vec<ModelEntry>,
    role: Box<str>,
}

/// Why an order is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum OrderError {
    #[error("fencing number {given} is older than {highest}")]
    StaleFence { given: u64, highest: u64 },
    #[error("the order lacks `{0}`")]
    MissingField(&'static str),
}

/// What follows from an order that was applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum OrderEffect {
    /// Nothing more to do.
    Settled,
    /// The model is to be loaded; [`OrderBook::loaded`] ends it.
    Load(ModelEntry),
}

/// Everything that orders change.
#[derive(Debug)]
pub(super) struct OrderBook {
    enforced: bool,
    fence: u64,
    applied: Vec<Box<str>>,
    /// Sorted.
    models: Vec<ModelEntry>,
    loading: Vec<ModelEntry>,
    role: Box<str>,
}

impl OrderBook {
    pub(super) fn new(mut models: Vec<ModelEntry>, role: Box<str>, enforced: bool) -> Self {
        models.sort_unstable();
        Self {
            enforced,
            fence: 0,
            applied: Vec::new(),
            models,
            loading: Vec::new(),
            role,
        }
    }

    pub(super) fn serves(&self, model: &str) -> bool {
        let index = self.models.partition_point(|entry| &*entry.model < model);
        self.models
            .get(index)
            .is_some_and(|entry| &*entry.model == model)
    }

    pub(super) fn models(&self) -> &[ModelEntry] {
        &self.models
    }

    pub(super) fn role(&self) -> &str {
        &self.role
    }

    /// Takes note of a fencing number; the error is the higher one known.
    pub(super) fn raise_fence(&mut self, fence: u64) -> Result<(), u64> {
        if fence < self.fence {
            return Err(self.fence);
        }
        self.fence = fence;
        Ok(())
    }

    /// Applies an order.
    ///
    /// An engine that enforces the fencing number applies an order once. One
    /// that ignores it applies whatever it is sent, as often as it is sent.
    pub(super) fn apply(&mut self, order: EngineOrder) -> Result<OrderEffect, OrderError> {
        let raised = self.raise_fence(order.fence);
        if self.enforced {
            raised.map_err(|highest| OrderError::StaleFence {
                given: order.fence,
                highest,
            })?;
            if self.applied.contains(&order.order) {
                return Ok(OrderEffect::Settled);
            }
        }
        let id = order.order.clone();
        let effect = self.carry_out(order)?;
        self.applied.push(id);
        Ok(effect)
    }

    /// Ends the loading of a model.
    pub(super) fn loaded(&mut self, model: ModelEntry) {
        let Some(index) = self.loading.iter().position(|other| *other == model) else {
            return;
        };
        self.loading.remove(index);
        if let Err(index) = self.models.binary_search(&model) {
            self.models.insert(index, model);
        }
    }

    pub(super) fn report(&self) -> OrderReport {
        OrderReport {
            fence: self.fence,
            applied: self.applied.clone(),
            models: self.models.clone(),
            loading: self.loading.clone(),
            role: self.role.clone(),
        }
    }

    fn carry_out(&mut self, order: EngineOrder) -> Result<OrderEffect, OrderError> {
        if order.kind == OrderKind::Role {
            self.role = order.role.ok_or(OrderError::MissingField("role"))?;
            return Ok(OrderEffect::Settled);
        }
        let entry = ModelEntry {
            model: order.model.ok_or(OrderError::MissingField("model"))?,
            version: order.version.ok_or(OrderError::MissingField("version"))?,
        };
        if order.kind == OrderKind::Load {
            self.loading.push(entry.clone());
            return Ok(OrderEffect::Load(entry));
        }
        self.models.retain(|other| *other != entry);
        self.loading.retain(|other| *other != entry);
        Ok(OrderEffect::Settled)
    }
}
