//! The object store: the S3 REST interface, path style.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use guavawell_core::platform::WriteClass;
use http_types::Method;

use super::carried::CarriedAnswer;
use super::carried::CarriedAsk;
use super::carried::CarriedService;
use super::error::PlatformError;
use super::exchange::ExchangeKind;
use super::exchange::PlatformAnswer;
use super::exchange::PlatformAsk;
use super::exchange::PlatformHttp;
use super::gate::WriteGate;
use super::pool::PoolSettings;
use super::relay::CarrierLink;
use super::relay::PlatformRelay;

/// A put's condition: no object is there yet.
pub(super) const IF_ABSENT: [(&str, &str); 1] = [("if-none-match", "*")];

/// How a conditional put ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectPut {
    /// The object was written.
    Written,
    /// An object of that key is there already; nothing was written.
    Exists,
}

/// One page of a listing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyPage {
    /// The keys, sorted.
    pub keys: Vec<Box<str>>,
    /// Whether no key follows.
    pub is_last: bool,
}

/// A client of one bucket; clones share their connections.
#[derive(Clone, Debug)]
pub struct Objects {
    http: PlatformHttp,
    bucket: Box<str>,
}

impl Objects {
    /// A client of `bucket` at the object store at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, bucket: &str, settings: PoolSettings) -> Self {
        Self {
            http: PlatformHttp::new("objects", address, settings),
            bucket: bucket.into(),
        }
    }

    /// The same client, its writes held to the router's share.
    #[must_use]
    pub fn with_writes(self, writes: &WriteGate) -> Self {
        let http = self.http.with_writes(writes);
        Self { http, ..self }
    }

    /// The same client; peers carry its exchanges while its own link is out.
    #[must_use]
    pub fn with_relay(self, link: &Arc<CarrierLink>) -> Self {
        let relay = PlatformRelay::new(CarriedService::Objects, Arc::clone(link));
        let http = self.http.with_relay(relay);
        Self { http, ..self }
    }

    /// Whether the store counts as out, so that only probes are sent.
    #[must_use]
    pub fn is_out(&self) -> bool {
        self.http.is_out()
    }

    /// Carries out a peer's exchange on the own link; its bucket has to be
    /// this router's.
    pub async fn carry(&self, ask: &CarriedAsk) -> CarriedAnswer {
        let rest = ask.target.strip_prefix('/');
        let rest = rest.and_then(|target| target.strip_prefix(&*self.bucket));
        if !rest.is_some_and(|rest| rest.starts_with(['/', '?'])) {
            return CarriedAnswer::Declined("another bucket".into());
        }
        self.http.carry(ask).await
    }

    /// Asks by the own link whether the store is back, once that is due.
    pub async fn probe(&self) {
        let target = format!("/{}?list-type=2&max-keys=1", self.bucket);
        let ask = PlatformAsk {
            kind: ExchangeKind::Read,
            may_relay: true,
            method: Method::Get,
            target: &target,
            headers: &[],
            body: Vec::new(),
        };
        self.http.probe(ask).await;
    }

    /// Writes `body` at `key` unless an object is there already.
    ///
    /// # Errors
    ///
    /// After [`PlatformError::Lost`] the object may have been written; a second
    /// put of the same body under a key of one's own is safe.
    pub async fn put_new(
        &self,
        key: &str,
        body: Vec<u8>,
        class: WriteClass,
    ) -> Result<ObjectPut, PlatformError> {
        let ask = PlatformAsk {
            kind: ExchangeKind::Write(class),
            may_relay: true,
            method: Method::Put,
            target: &self.target(key)?,
            headers: &IF_ABSENT,
            body,
        };
        let answer = self.http.ask(ask).await?;
        match answer.status {
            412 => Ok(ObjectPut::Exists),
            404 => Err(missing(key)),
            _ => Ok(ObjectPut::Written),
        }
    }

    /// Reads the object at `key`; `None` if there is none.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Outage`] or [`PlatformError::Refused`].
    pub async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let target = self.target(key)?;
        let answer = self.read(&target).await?;
        Ok((answer.status < 300).then_some(answer.body))
    }

    /// Lists the keys that begin with `prefix`, sorted.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Outage`] or [`PlatformError::Refused`].
    pub async fn list(&self, prefix: &str) -> Result<Vec<Box<str>>, PlatformError> {
        let mut keys: Vec<Box<str>> = Vec::new();
        loop {
            let start = keys.last().map_or("", |key| key);
            let page = self.list_after(prefix, start).await?;
            keys.extend(page.keys);
            if page.is_last {
                return Ok(keys);
            }
        }
    }

    /// Lists one page of the keys that begin with `prefix` and come after
    /// `start`, sorted.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Outage`] or [`PlatformError::Refused`].
    pub async fn list_after(&self, prefix: &str, start: &str) -> Result<KeyPage, PlatformError> {
        let target = format!(
            "/{}?list-type=2&prefix={}&start-after={}",
            self.bucket,
            escape(prefix),
            escape(start)
        );
        let answer = self.read(&target).await?;
        if answer.status >= 300 {
            return Err(missing(&self.bucket));
        }
        let text = String::from_utf8_lossy(&answer.body);
        let keys = listed_keys(&text);
        let is_last = keys.is_empty() || !text.contains("<IsTruncated>true</IsTruncated>");
        Ok(KeyPage { keys, is_last })
    }

    async fn read(&self, target: &str) -> Result<PlatformAnswer, PlatformError> {
        let ask = PlatformAsk {
            kind: ExchangeKind::Read,
            may_relay: true,
            method: Method::Get,
            target,
            headers: &[],
            body: Vec::new(),
        };
        self.http.ask(ask).await
    }

    /// The path of `key`. A dot segment would be taken out of the path, so
    /// that two keys would meet at one object.
    fn target(&self, key: &str) -> Result<String, PlatformError> {
        let bad = |part: &str| part.is_empty() || part == "." || part == "..";
        if key.split('/').any(bad) {
            return Err(PlatformError::Refused(
                format!("`{key}` is no object key: it has an empty or dot segment").into(),
            ));
        }
        let parts: Vec<String> = key.split('/').map(escape).collect();
        Ok(format!("/{}/{}", self.bucket, parts.join("/")))
    }
}

fn missing(name: &str) -> PlatformError {
    PlatformError::Refused(format!("no bucket for `{name}`").into())
}

/// Percent-encodes everything outside the unreserved characters of RFC 3986.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            let _ = write!(escaped, "%{byte:02X}");
        }
    }
    escaped
}

/// The text of each `Key` element of a listing.
fn listed_keys(listing: &str) -> Vec<Box<str>> {
    let open = listing.split("<Key>").skip(1);
    open.filter_map(|rest| rest.split_once("</Key>"))
        .map(|(key, _)| unescape_xml(key))
        .collect()
}

fn unescape_xml(text: &str) -> Box<str> {
    text.replace("&lt;", "<")
        .replace("&gt;", ">")
        .replace("&quot;", "\"")
        .replace("&apos;", "'")
        .replace("&amp;", "&")
        .into()
}
