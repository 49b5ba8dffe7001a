//! The HTTP endpoint for health checks, metrics and the list of suspected
//! requests.

use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use metrics_exporter_prometheus::PrometheusHandle;
use smol::Async;
use smol::LocalExecutor;

use crate::accept::accept_all;
use crate::clients::ClientEntry;
use crate::clock::timer_span;
use crate::http::BodyFraming;
use crate::http::ChannelError;
use crate::http::HeadWriter;
use crate::http::HttpChannel;
use crate::http::RequestHead;
use crate::http::within;
use crate::peer::KEY_FIELD;
use crate::poison::parts::forget_crashes;
use crate::router::ForwardRouter;

/// Path that lists the requests suspected of crashing servers.
const SUSPECTS_PATH: &str = "/suspects";
/// Path prefix that clears the suspicion of the request whose fingerprint
/// follows.
const ACQUIT_PATH: &str = "/suspects/acquit/";
/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Age up to which the text of the metrics is served again. Making it takes far longer than
/// sending it.
const METRICS_AGE: ClockSpan = ClockSpan::from_millis(100);
/// Longest time that a connection may stay idle.
const IDLE_TIMEOUT: ClockSpan = ClockSpan::from_millis(30_000);
/// Longest time from the first byte of a request head to its last.
const HEAD_TIMEOUT: ClockSpan = ClockSpan::from_millis(3_000);

/// The text of the metrics, which is made anew now and then.
struct MetricsPage {
    handle: PrometheusHandle,
    /// The text, and when it was made.
    made: RefCell<Option<(Rc<str>, ClockTime)>>,
}

impl MetricsPage {
    const fn new(handle: PrometheusHandle) -> Self {
        Self {
            handle,
            made: RefCell::new(None),
        }
    }

    fn text(&self, now: ClockTime) -> Rc<str> {
        let mut made = self.made.borrow_mut();
        if let Some((text, at)) = &*made
            && now.since(*at) < METRICS_AGE
        {
            return Rc::clone(text);
        }
        let text: Rc<str> = self.handle.render().into();
        *made = Some((Rc::clone(&text), now));
        text
    }
}

/// Serves health checks, metrics and operators' requests.
pub async fn serve_admin(
    router: Rc<ForwardRouter>,
    listener: Async<TcpListener>,
    metrics: PrometheusHandle,
    executor: Rc<LocalExecutor<'static>>,
) {
    let metrics = Rc::new(MetricsPage::new(metrics));
    let serve = |channel: HttpChannel| {
        let Some(entry) = router.probes.add(&channel.stream(), HEAD_TIMEOUT) else {
            return;
        };
        let router = Rc::clone(&router);
        let metrics = Rc::clone(&metrics);
        let serve = async move {
            if let Err(error) = serve_connection(&router, channel, &entry, &metrics).await {
                log::debug!("admin connection failed: {error}");
            }
        };
        executor.spawn(serve).detach();
    };
    accept_all("probe", &listener, router.probes.accept_turn(), serve).await;
}

async fn serve_connection(
    router: &ForwardRouter,
    mut channel: HttpChannel,
    entry: &ClientEntry,
    metrics: &MetricsPage,
) -> Result<(), ChannelError> {
    loop {
        if channel.received().is_empty() {
            if !channel.await_first_byte(IDLE_TIMEOUT).await {
                return Ok(());
            }
            // A client that sends requests ahead does not begin anew with each.
            entry.begin_wait(HEAD_TIMEOUT);
        }
        let head = channel.head_noting(MAX_HEAD_BYTES, |held| entry.hold_head(held));
        let length = match within(timer_span(HEAD_TIMEOUT), head).await {
            Ok(length) => length,
            Err(ChannelError::Closed | ChannelError::TimedOut) => return Ok(()),
            Err(error) => return Err(error),
        };
        entry.hold_head(0);
        let head = RequestHead::parse(&channel.received()[..length])?;
        channel.consume(length);
        // A body is not read: what follows the head is no request.
        let has_body = !matches!(head.framing, BodyFraming::Empty | BodyFraming::Length(0));
        let keep_alive = head.keep_alive && !has_body;
        let (status, body) = respond(router, &head, metrics);
        let mut writer = HeadWriter::response(status, if status == 200 { "OK" } else { "No" });
        writer.field("Content-Type", b"text/plain; version=0.0.4");
        writer.field_of("Content-Length", body.len());
        if !keep_alive {
            writer.field("Connection", b"close");
        }
        let mut bytes = writer.finish();
        bytes.extend_from_slice(body.as_bytes());
        channel.send(&bytes).await?;
        if !keep_alive {
            return Ok(());
        }
        if channel.received().is_empty() {
            entry.begin_wait(IDLE_TIMEOUT);
        }
        channel.end_turn().await;
    }
}

fn respond(router: &ForwardRouter, head: &RequestHead, metrics: &MetricsPage) -> (u16, Rc<str>) {
    match head.path() {
        "/metrics" => (200, metrics.text(router.clock.now())),
        SUSPECTS_PATH => (200, router.poison.listing().into()),
        path if path.starts_with(ACQUIT_PATH) => acquit(router, head),
        _ if router.is_ready() => (200, "ready\n".into()),
        _ => (503, "not ready\n".into()),
    }
}

/// Clears the suspicion of a request. The caller must send the fleet's key.
fn acquit(router: &ForwardRouter, head: &RequestHead) -> (u16, Rc<str>) {
    if !router.peers.matches_key(head.fields.get(KEY_FIELD)) {
        return (
            403,
            format!("send the fleet's key in the field {KEY_FIELD}\n").into(),
        );
    }
    if &*head.method != "POST" {
        return (405, "use POST\n".into());
    }
    match head.path()[ACQUIT_PATH.len()..].parse() {
        Ok(fingerprint) if router.poison.acquit(fingerprint) => {
            forget_crashes(router, fingerprint);
            (200, "acquitted\n".into())
        }
        Ok(fingerprint) => (
            404,
            format!("{fingerprint} is not suspected; see {SUSPECTS_PATH}\n").into(),
        ),
        Err(error) => (400, format!("{error}\n").into()),
    }
}
