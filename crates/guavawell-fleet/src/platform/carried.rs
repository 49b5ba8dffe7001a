//! An exchange with the platform as one router hands it to another.

use guavawell_core::clock::ClockSpan;
use guavawell_core::platform::WriteClass;
use http_types::Method;

use super::error::PlatformError;
use super::exchange::ExchangeKind;
use super::exchange::PlatformAsk;

/// Targets of the table that are carried.
const TABLE_TARGETS: [&str; 2] = ["/v3/kv/txn", "/v3/kv/range"];

/// A service of the platform whose exchanges peers carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CarriedService {
    /// The table.
    Table,
    /// The object store.
    Objects,
}

/// One exchange, for a peer to carry out on its own link. Method and headers
/// follow from service and class, so that an unconditional put of an object
/// cannot be asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CarriedAsk {
    /// The service.
    pub service: CarriedService,
    /// What a write is for; none for a read.
    pub class: Option<WriteClass>,
    /// Path and query, beginning with `/`.
    pub target: Box<str>,
    /// The body.
    pub body: Vec<u8>,
    /// The carrier's time, its waits included.
    pub budget: ClockSpan,
}

/// How a carried exchange ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CarriedAnswer {
    /// The platform answered.
    Answered {
        /// The HTTP status: success, 404 or 412.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// It was not carried out; another peer may be asked.
    Declined(Box<str>),
    /// The platform refused it; it was not applied.
    Refused(Box<str>),
    /// The write may have been applied.
    Lost(Box<str>),
}

impl CarriedService {
    /// The service as a metric's label.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Table => "table",
            Self::Objects => "objects",
        }
    }
}

impl CarriedAsk {
    /// `ask` for a peer to carry within `budget`.
    pub(super) fn of(service: CarriedService, ask: &PlatformAsk<'_>, budget: ClockSpan) -> Self {
        let class = match ask.kind {
            ExchangeKind::Read => None,
            ExchangeKind::Write(class) => Some(class),
        };
        Self {
            service,
            class,
            target: ask.target.into(),
            body: ask.body.clone(),
            budget,
        }
    }

    /// Whether the ask is one that routers carry for each other.
    #[must_use]
    pub fn is_well_formed(&self) -> bool {
        match self.service {
            CarriedService::Table => TABLE_TARGETS.contains(&&*self.target),
            CarriedService::Objects => self.target.starts_with('/'),
        }
    }

    /// The exchange as this router sends it.
    pub(super) fn exchange(&self) -> PlatformAsk<'_> {
        let kind = self.class.map_or(ExchangeKind::Read, ExchangeKind::Write);
        let (method, headers): (Method, &[(&'static str, &str)]) = match (self.service, self.class)
        {
            (CarriedService::Table, _) => (Method::Post, &super::table::JSON),
            (CarriedService::Objects, Some(_)) => (Method::Put, &super::objects::IF_ABSENT),
            (CarriedService::Objects, None) => (Method::Get, &[]),
        };
        PlatformAsk {
            kind,
            may_relay: false,
            method,
            target: &self.target,
            headers,
            body: self.body.clone(),
        }
    }

    /// What is known of the exchange once it was begun and has no answer.
    #[must_use]
    pub fn unanswered(&self, detail: &str) -> CarriedAnswer {
        match self.class {
            None => CarriedAnswer::Declined(detail.into()),
            Some(_) => CarriedAnswer::Lost(detail.into()),
        }
    }
}

impl From<PlatformError> for CarriedAnswer {
    fn from(error: PlatformError) -> Self {
        match error {
            PlatformError::Refused(detail) => Self::Refused(detail),
            PlatformError::Lost(detail) => Self::Lost(detail),
            other => Self::Declined(other.to_string().into()),
        }
    }
}
