use guavawell_core::clock::ClockSpan;
use guavawell_core::platform::WriteClass;

use super::read_answer;
use super::read_ask;
use super::write_answer;
use super::write_ask;
use crate::peer::wire::WireError;
use crate::peer_capnp::relay_answer;
use crate::peer_capnp::relay_ask;
use crate::platform::CarriedAnswer;
use crate::platform::CarriedAsk;
use crate::platform::CarriedService;

fn ask(service: CarriedService, class: Option<WriteClass>, target: &str) -> CarriedAsk {
    CarriedAsk {
        service,
        class,
        target: target.into(),
        body: vec![0, 255, 7],
        budget: ClockSpan::from_millis(250),
    }
}

fn send(ask: &CarriedAsk) -> Result<CarriedAsk, WireError> {
    let mut message = capnp::message::Builder::new_default();
    write_ask(message.init_root::<relay_ask::Builder<'_>>(), ask);
    read_ask(message.get_root_as_reader()?)
}

#[test]
fn every_exchange_arrives_as_it_was_sent() {
    let classes = WriteClass::ALL.map(Some).into_iter().chain([None]);
    for class in classes {
        let table = ask(CarriedService::Table, class, "/v3/kv/txn");
        let objects = ask(CarriedService::Objects, class, "/bucket/key");
        for sent in [table, objects] {
            assert_eq!(send(&sent).unwrap(), sent);
        }
    }
}

#[test]
fn only_the_tables_transactions_and_ranges_are_carried() {
    for target in ["/v3/kv/put", "/v3/lease/grant", "/v3/kv/txn/", ""] {
        let sent = ask(CarriedService::Table, None, target);
        assert!(matches!(send(&sent), Err(WireError::WrongValue(_))));
    }
}

#[test]
fn every_answer_arrives_as_it_was_sent() {
    let answers = [
        CarriedAnswer::Answered {
            status: 412,
            body: vec![1; 70_000],
        },
        CarriedAnswer::Declined("out".into()),
        CarriedAnswer::Refused("400".into()),
        CarriedAnswer::Lost(Box::default()),
    ];
    for sent in answers {
        let mut message = capnp::message::Builder::new_default();
        write_answer(message.init_root::<relay_answer::Builder<'_>>(), &sent);
        assert_eq!(
            read_answer(message.get_root_as_reader().unwrap()).unwrap(),
            sent
        );
    }
}
