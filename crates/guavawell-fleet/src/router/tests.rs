use futures::future::join_all;
use guavawell_core::clock::ClockSpan;
use guavawell_core::platform::WriteClass;
use guavawell_standin::platform::Platform;
use guavawell_standin::platform::PlatformSettings;
use smol::future;

use super::platform::PlatformClients;
use crate::drill::LinkGate;
use crate::platform::PlatformError;
use crate::platform::TableOp;
use crate::platform::TableTxn;
use crate::settings::RouterSettings;
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
