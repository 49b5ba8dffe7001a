//! Exchanges with the platform that one router carries for another.

#[cfg(test)]
mod tests;

use guavawell_core::clock::ClockSpan;
use guavawell_core::platform::WriteClass;

use super::WireError;
use crate::peer_capnp::RelayClass;
use crate::peer_capnp::RelayService;
use crate::peer_capnp::relay_answer;
use crate::peer_capnp::relay_ask;
use crate::platform::CarriedAnswer;
use crate::platform::CarriedAsk;
use crate::platform::CarriedService;

/// Writes an exchange.
pub fn write_ask(mut builder: relay_ask::Builder<'_>, ask: &CarriedAsk) {
    builder.set_service(match ask.service {
        CarriedService::Table => RelayService::Table,
        CarriedService::Objects => RelayService::Objects,
    });
    builder.set_class(match ask.class {
        None => RelayClass::Read,
        Some(WriteClass::Money) => RelayClass::Money,
        Some(WriteClass::Claim) => RelayClass::Claim,
        Some(WriteClass::Journal) => RelayClass::Journal,
        Some(WriteClass::Rest) => RelayClass::Rest,
    });
    builder.set_target(&*ask.target);
    builder.set_body(&ask.body);
    let millis = ask.budget.as_millis();
    builder.set_budget_ms(u32::try_from(millis).unwrap_or(u32::MAX));
}

/// Reads an exchange.
pub fn read_ask(reader: relay_ask::Reader<'_>) -> Result<CarriedAsk, WireError> {
    let ask = CarriedAsk {
        service: match reader.get_service()? {
            RelayService::Table => CarriedService::Table,
            RelayService::Objects => CarriedService::Objects,
        },
        class: match reader.get_class()? {
            RelayClass::Read => None,
            RelayClass::Money => Some(WriteClass::Money),
            RelayClass::Claim => Some(WriteClass::Claim),
            RelayClass::Journal => Some(WriteClass::Journal),
            RelayClass::Rest => Some(WriteClass::Rest),
        },
        target: text(reader.get_target()?)?,
        body: reader.get_body()?.to_vec(),
        budget: ClockSpan::from_millis(reader.get_budget_ms().into()),
    };
    if ask.is_well_formed() {
        Ok(ask)
    } else {
        let message = format!("`{}` is not carried", ask.target);
        Err(WireError::WrongValue(message.into()))
    }
}

/// Writes how an exchange ended.
pub fn write_answer(mut builder: relay_answer::Builder<'_>, answer: &CarriedAnswer) {
    match answer {
        CarriedAnswer::Answered { status, body } => {
            let mut answered = builder.init_answered();
            answered.set_status(*status);
            answered.set_body(body);
        }
        CarriedAnswer::Declined(detail) => builder.set_declined(&**detail),
        CarriedAnswer::Refused(detail) => builder.set_refused(&**detail),
        CarriedAnswer::Lost(detail) => builder.set_lost(&**detail),
    }
}

/// Reads how an exchange ended.
pub fn read_answer(reader: relay_answer::Reader<'_>) -> Result<CarriedAnswer, WireError> {
    let answer = match reader.which()? {
        relay_answer::Which::Answered(answered) => CarriedAnswer::Answered {
            status: answered.get_status(),
            body: answered.get_body()?.to_vec(),
        },
        relay_answer::Which::Declined(detail) => CarriedAnswer::Declined(text(detail?)?),
        relay_answer::Which::Refused(detail) => CarriedAnswer::Refused(text(detail?)?),
        relay_answer::Which::Lost(detail) => CarriedAnswer::Lost(text(detail?)?),
    };
    Ok(answer)
}

fn text(reader: capnp::text::Reader<'_>) -> Result<Box<str>, WireError> {
    Ok(reader.to_str().map_err(capnp::Error::from)?.into())
}
