//! A tiny platform for tests: a closure answers each request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use http_types::Request;
use http_types::Response;
use smol::net::TcpListener;
use smol::net::TcpStream;

/// What the fake does with one request.
pub enum FakeReply {
    /// Answers with a status and a body.
    Answer(u16, String),
    /// Closes the connection without an answer.
    Close,
    /// Leaves the connection open and never answers.
    Silence,
}

/// One request as the fake saw it.
pub struct FakeAsk {
    /// Method, path and query.
    pub line: String,
    /// The body.
    pub body: String,
    /// The place of this request on its connection, from 0.
    pub place: usize,
}

/// A listening fake; it ends with the test's process.
pub struct FakePlatform {
    /// Where it listens.
    pub address: SocketAddr,
    /// Connections accepted so far.
    pub connections: Arc<AtomicUsize>,
}

impl FakePlatform {
    pub fn start(answer: impl Fn(&FakeAsk) -> FakeReply + Send + Sync + 'static) -> Self {
        let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&connections);
        let answer = Arc::new(answer);
        smol::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                count.fetch_add(1, Ordering::SeqCst);
                smol::spawn(serve(stream, Arc::clone(&answer))).detach();
            }
        })
        .detach();
        Self {
            address,
            connections,
        }
    }
}

async fn serve(stream: TcpStream, answer: Arc<impl Fn(&FakeAsk) -> FakeReply>) {
    let place = AtomicUsize::new(0);
    let _ = async_h1::accept(stream, |mut request: Request| {
        let answer = Arc::clone(&answer);
        let place = place.fetch_add(1, Ordering::SeqCst);
        async move {
            let body = request.body_string().await?;
            let url = request.url();
            let query = url.query().map(|q| format!("?{q}")).unwrap_or_default();
            let ask = FakeAsk {
                line: format!("{} {}{query}", request.method(), url.path()),
                body,
                place,
            };
            match answer(&ask) {
                FakeReply::Answer(status, text) => {
                    let mut response = Response::new(status);
                    response.set_body(text);
                    Ok(response)
                }
                FakeReply::Close => Err(http_types::Error::from_str(500, "closed")),
                FakeReply::Silence => std::future::pending().await,
            }
        }
    })
    .await;
}
