use futures::future::join_all;
use guavawell_core::backend::RoutingSettings;
use guavawell_core::budget::HolderSettings;
use guavawell_core::clock::ClockSpan;
use guavawell_core::limits::AdmissionSettings;
use guavawell_core::limits::RetrySettings;
use guavawell_core::platform::SharePolicy;
use guavawell_core::platform::WriteClass;
use guavawell_standin::platform::Platform;
use guavawell_standin::platform::PlatformSettings;
use smol::future;

use super::platform::PlatformClients;
use super::platform::share_policy;
use super::settings;
use crate::drill::LinkGate;
use crate::platform::PlatformError;
use crate::platform::TableOp;
use crate::platform::TableTxn;
use crate::settings::RouterSettings;
use crate::settings::ShareRatio;
use crate::settings::WriteRate;

fn throttled_settings(platform: &Platform) -> RouterSettings {
    let mut settings = RouterSettings::default();
    settings.platform.table = platform.address();
    settings.platform.objects = platform.address();
    settings.platform.writes_per_second = WriteRate::new(1);
    settings.platform.timeout_ms = ClockSpan::from_millis(2_000);
    settings
}

#[test]
fn table_and_objects_draw_on_the_share_of_the_settings() {
    smol::block_on(async {
        let platform = Platform::start(PlatformSettings::default()).await.unwrap();
        let clients = PlatformClients::new(&throttled_settings(&platform), &LinkGate::default());
        let txn = TableTxn {
            success: vec![TableOp::put("a", *b"1")],
            ..TableTxn::default()
        };
        // Far more than one write a second passes within the wait.
        let writes = (0..50).map(|_| clients.table.txn(&txn, WriteClass::Claim));
        let puts = (0..50).map(|index| {
            let objects = clients.objects.clone();
            async move {
                let key = format!("journal/{index}");
                objects.put_new(&key, Vec::new(), WriteClass::Journal).await
            }
        });
        let (writes, puts) = future::zip(join_all(writes), join_all(puts)).await;
        let throttled = |error: &PlatformError| matches!(error, PlatformError::Throttled(_));
        assert!(
            writes
                .iter()
                .filter_map(|end| end.as_ref().err())
                .any(throttled)
        );
        assert!(
            puts.iter()
                .filter_map(|end| end.as_ref().err())
                .any(throttled)
        );
    });
}

#[test]
fn defaults_of_the_settings_are_those_of_the_decisions() {
    let defaults = RouterSettings::default();
    assert_eq!(settings::holder(&defaults), HolderSettings::default());
    assert_eq!(settings::routing(&defaults), RoutingSettings::default());
    assert_eq!(settings::retries(&defaults), RetrySettings::default());
    assert_eq!(settings::admission(&defaults), AdmissionSettings::default());
    assert_eq!(share_policy(&defaults), SharePolicy::default());
}

#[test]
fn settings_reach_the_decisions() {
    let mut settings = RouterSettings::default();
    settings.slots.float_share = ShareRatio::clamped(0.07);
    settings.slots.grant_seconds = 3;
    settings.slots.grant_requests = 5;
    settings.slots.settle_interval_ms = ClockSpan::from_millis(9);
    settings.routing.eject_max_share = ShareRatio::clamped(0.3);
    settings.routing.retry_share = ShareRatio::clamped(0.02);
    settings.limits.max_running = 7;
    settings.limits.max_wait_ms = ClockSpan::from_millis(11);
    let holder = settings::holder(&settings);
    assert_eq!(holder.float_percent, 7);
    assert_eq!(holder.stock_span, ClockSpan::from_millis(3_000));
    assert_eq!(holder.stock_requests, 5);
    assert_eq!(holder.report_after, ClockSpan::from_millis(9));
    assert_eq!(settings::routing(&settings).eject_max_percent, 30);
    assert_eq!(settings::retries(&settings).per_success, 20);
    let admission = settings::admission(&settings);
    assert_eq!(
        (admission.limit, admission.max_wait),
        (7, ClockSpan::from_millis(11))
    );
}
