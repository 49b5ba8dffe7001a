//! Asks an instance at its operators' port.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use guavawell_core::id::InstanceId;
use guavawell_fleet::tls::ClientTls;
use http_types::Method;
use http_types::Request;
use http_types::Url;
use smol::Timer;
use smol::future;
use smol::io::AsyncRead;
use smol::io::AsyncReadExt;
use smol::io::AsyncWrite;
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
        match &self.tls {
            None => read_page(stream, request, path).await,
            Some(tls) => {
                let stream = tls.connect(target.instance.as_str(), stream).await?;
                read_page(stream, request, path).await
            }
        }
    }
}

/// Sends a request and reads the whole answer, which must be a success.
async fn read_page<S>(stream: S, request: Request, path: &str) -> io::Result<Vec<u8>>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut answer = guavawell_http::exchange(stream, request).await?;
    let mut body = Vec::new();
    answer.read_to_end(&mut body).await?;
    match answer.status() {
        200 | 202 => Ok(body),
        status => Err(io::Error::other(format!("{path} answered {status}"))),
    }
}
