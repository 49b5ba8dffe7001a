//! Readiness and metrics.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use smol::Async;
use smol::LocalExecutor;

use crate::accept::accept_all;
use crate::http::ChannelError;
use crate::http::HeadWriter;
use crate::http::HttpChannel;
use crate::http::RequestHead;
use crate::http::within;
use crate::router::ForwardRouter;

/// Largest head of a question, in bytes.
const HEAD_BYTES: usize = 8 * 1024;
/// Longest time that a connection of a prober stays idle.
const IDLE: Duration = Duration::from_secs(30);

/// Answers the balancer's probes and the collector's questions.
pub async fn answer_probes(
    router: Rc<ForwardRouter>,
    listener: Async<TcpListener>,
    metrics: PrometheusHandle,
    executor: Rc<LocalExecutor<'static>>,
) {
    let serve = |channel| {
        let router = Rc::clone(&router);
        let metrics = metrics.clone();
        let serve = async move {
            if let Err(error) = serve_prober(&router, channel, &metrics).await {
                log::debug!("a probe's connection ended: {error}");
            }
        };
        executor.spawn(serve).detach();
    };
    accept_all("probe", &listener, serve).await;
}

async fn serve_prober(
    router: &ForwardRouter,
    mut channel: HttpChannel,
    metrics: &PrometheusHandle,
) -> Result<(), ChannelError> {
    loop {
        let length = match within(IDLE, channel.head(HEAD_BYTES)).await {
            Ok(length) => length,
            Err(ChannelError::Closed | ChannelError::TimedOut) => return Ok(()),
            Err(error) => return Err(error),
        };
        let head = RequestHead::parse(&channel.received()[..length])?;
        channel.consume(length);
        let (status, body) = answer(router, head.path(), metrics);
        let mut writer = HeadWriter::response(status, if status == 200 { "OK" } else { "No" });
        writer.field("Content-Type", b"text/plain; version=0.0.4");
        writer.field_of("Content-Length", body.len());
        let mut bytes = writer.finish();
        bytes.extend_from_slice(body.as_bytes());
        channel.send(&bytes).await?;
        if !head.keep {
            return Ok(());
        }
    }
}

fn answer(router: &ForwardRouter, path: &str, metrics: &PrometheusHandle) -> (u16, String) {
    if path == "/metrics" {
        return (200, metrics.render());
    }
    if router.is_ready() {
        (200, "ready\n".into())
    } else {
        (503, "not ready\n".into())
    }
}
