//! Asks an instance at its operators' port.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use guavawell_core::id::InstanceId;
use guavawell_fleet::tls::ClientTls;
use http_types::Method;
use http_types::Request;
use http_types::StatusCode;
use http_types::Url;
use smol::Timer;
use smol::future;
use smol::net::TcpStream;

use crate::error::CtlError;
use crate::settings::CtlSettings;

/// Longest wait for an instance's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// A way to ask instances.
pub struct OperatorClient {
    tls: Option<ClientTls>,
}

/// An instance and its operators' port.
#[derive(Clone, Debug)]
pub struct OperatorTarget<'i> {
    /// The instance; its certificate must name it.
    pub instance: &'i InstanceId,
    /// Its operators' port.
    pub address: SocketAddr,
}

impl OperatorClient {
    /// A client with the settings' certificate, or for plain loopback.
    pub fn new(settings: &CtlSettings) -> Result<Self, CtlError> {
        let tls = settings.tls.as_ref().map(ClientTls::load).transpose()?;
        Ok(Self { tls })
    }

    /// Asks for a page; the answer's body.
    pub async fn ask(
        &self,
        target: &OperatorTarget<'_>,
        method: Method,
        path: &str,
    ) -> io::Result<Vec<u8>> {
        let timeout = async {
            Timer::after(ANSWER_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        future::or(self.exchange(target, method, path), timeout).await
    }

    async fn exchange(
        &self,
        target: &OperatorTarget<'_>,
        method: Method,
        path: &str,
    ) -> io::Result<Vec<u8>> {
        let url = Url::parse(&format!("http://{}{path}", target.address));
        let request = Request::new(method, url.map_err(io::Error::other)?);
        let stream = TcpStream::connect(target.address).await?;
        let answer = match &self.tls {
            None => async_h1::connect(stream, request).await,
            Some(tls) => {
                let stream = tls.connect(target.instance.as_str(), stream).await?;
                async_h1::connect(async_dup::Mutex::new(stream), request).await
            }
        };
        let mut answer = answer.map_err(|error| io::Error::other(error.to_string()))?;
        let status = answer.status();
        let body = answer.body_bytes().await;
        let body = body.map_err(|error| io::Error::other(error.to_string()))?;
        if status == StatusCode::Ok || status == StatusCode::Accepted {
            return Ok(body);
        }
        Err(io::Error::other(format!("{path} answered {status}")))
    }
}
