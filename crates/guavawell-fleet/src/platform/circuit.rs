//! The circuit of one service of the platform.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use guavawell_core::platform::CircuitDecision;
use guavawell_core::platform::CircuitPolicy;
use guavawell_core::platform::Jitter;
use guavawell_core::platform::PlatformCircuit;

use super::error::PlatformError;
use crate::clock::now;

/// The circuit of one service.
#[derive(Debug)]
pub(super) struct CircuitGate {
    service: &'static str,
    circuit: Mutex<PlatformCircuit>,
}

impl CircuitGate {
    pub fn new(service: &'static str, policy: CircuitPolicy) -> Self {
        Self {
            service,
            circuit: Mutex::new(PlatformCircuit::new(policy)),
        }
    }

    /// Whether an exchange may start.
    pub fn pass(&self) -> Result<(), PlatformError> {
        match self.lock().admit(now()) {
            CircuitDecision::Pass | CircuitDecision::Probe => Ok(()),
            CircuitDecision::Open(wait) => Err(PlatformError::Outage(
                format!("held back; the next probe is due in {wait}").into(),
            )),
        }
    }

    /// Learns how an exchange ended; true if that ended an outage.
    pub fn report(&self, answered: bool) -> bool {
        let mut circuit = self.lock();
        let changed = if answered {
            circuit.record_response()
        } else {
            circuit.record_failure(now(), Jitter(fastrand::u16(..)))
        };
        let open = circuit.is_open();
        drop(circuit);
        metrics::gauge!("guavawell_platform_circuit_open", "service" => self.service)
            .set(f64::from(u8::from(open)));
        if changed {
            log::warn!(
                "platform service `{}` is {}",
                self.service,
                if open { "out" } else { "back" }
            );
        }
        changed && !open
    }

    /// Whether exchanges are held back.
    pub fn is_open(&self) -> bool {
        self.lock().is_open()
    }

    fn lock(&self) -> MutexGuard<'_, PlatformCircuit> {
        self.circuit.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
