//! Orders to model engines: sent, and the engine's state read back.

use std::net::SocketAddr;

use guavawell_core::backend::ServedModel;
use guavawell_core::id::BackendId;
use guavawell_core::id::FenceNumber;
use guavawell_core::order::EngineReading;
use guavawell_core::order::OrderKind;
use http_types::Method;
use http_types::Request;
use serde::Deserialize;
use serde::Serialize;

use super::EngineClient;
use super::EngineError;
use super::client::check_status;
use super::client::url;

/// Where orders are sent and read.
const ORDERS: &str = "/v1/orders";

/// One order as it is sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// The engine's backend server.
    pub backend: BackendId,
    /// The fencing number under which the order is recorded.
    pub fence: FenceNumber,
    /// What the engine is told to do.
    pub kind: OrderKind,
}

/// The body of `POST /v1/orders`.
#[derive(Debug, Serialize)]
struct OrderBody<'a> {
    order: Box<str>,
    fence: FenceNumber,
    kind: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    model: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'a str>,
}

/// The answer to `GET /v1/orders`.
#[derive(Debug, Deserialize)]
struct OrdersAnswer {
    #[serde(default)]
    fence: FenceNumber,
    #[serde(default)]
    models: Vec<ServedModel>,
    #[serde(default)]
    loading: Vec<ServedModel>,
    #[serde(default)]
    role: Box<str>,
}

impl EngineOrder {
    /// The same for every send of one order, so that an engine may drop a copy.
    fn body(&self) -> OrderBody<'_> {
        let (kind, served, role) = match &self.kind {
            OrderKind::Load(served) => ("load", Some(served), None),
            OrderKind::Unload(served) => ("unload", Some(served), None),
            OrderKind::Role(role) => ("role", None, Some(&**role)),
        };
        OrderBody {
            order: format!("{}-{}", self.backend, self.fence).into(),
            fence: self.fence,
            kind,
            model: served.map(|served| served.model.as_str()),
            version: served.map(|served| served.version.as_str()),
            role,
        }
    }
}

impl EngineClient {
    /// Reads an engine's models, role and highest fencing number.
    ///
    /// # Errors
    ///
    /// As [`EngineError`] tells.
    pub async fn orders(&self, address: SocketAddr) -> Result<EngineReading, EngineError> {
        let body = self.fetch(address, ORDERS).await?;
        let answer: OrdersAnswer = serde_json::from_slice(&body)
            .map_err(|error| EngineError::Malformed(error.to_string().into()))?;
        Ok(EngineReading {
            fence: answer.fence,
            models: answer.models,
            loading: answer.loading,
            role: answer.role,
        })
    }

    /// Sends an order, on a new connection.
    ///
    /// # Errors
    ///
    /// [`EngineError::Rejected`] with status 409 if the engine has seen a
    /// higher fencing number; otherwise as [`EngineError`] tells.
    pub async fn send_order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
    ) -> Result<(), EngineError> {
        let stream = self.connect(address, false).await?;
        let mut message = Request::new(Method::Post, url(address, ORDERS));
        message.insert_header("content-type", "application/json");
        let body = serde_json::to_vec(&order.body())
            .map_err(|error| EngineError::Malformed(error.to_string().into()))?;
        message.set_body(body);
        let wait = self.settings().control;
        let response = self.exchange(address, stream, message, wait).await?;
        check_status(&response)?;
        self.read_whole(address, response).await?;
        Ok(())
    }
}
