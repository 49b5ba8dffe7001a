//! Holds exchanges to the router's share of writes and to the circuit.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use guavawell_core::clock::ClockSpan;
use guavawell_core::platform::CircuitAnswer;
use guavawell_core::platform::CircuitPolicy;
use guavawell_core::platform::Jitter;
use guavawell_core::platform::PlatformCircuit;
use guavawell_core::platform::SharePolicy;
use guavawell_core::platform::WriteAnswer;
use guavawell_core::platform::WriteClass;
use guavawell_core::platform::WriteShare;
use smol::Timer;

use super::error::PlatformError;
use crate::clock::duration;
use crate::clock::now;

/// The router's share of the platform's writes; clones share it.
///
/// Table and object store draw on one share, as they do at the platform.
#[derive(Clone, Debug)]
pub struct WriteGate {
    share: Arc<Mutex<WriteShare>>,
    longest_wait: ClockSpan,
}

impl WriteGate {
    /// A gate of `policy`; a write that would wait longer than `longest_wait`
    /// is turned away unsent.
    #[must_use]
    pub fn new(policy: SharePolicy, longest_wait: ClockSpan) -> Self {
        Self {
            share: Arc::new(Mutex::new(WriteShare::new(policy, now()))),
            longest_wait,
        }
    }

    /// Another share, after routers came or went.
    pub fn set_policy(&self, policy: SharePolicy) {
        self.lock().set_policy(policy, now());
    }

    /// Waits until a write of `class` may be sent.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Throttled`] if it would wait too long.
    pub(super) async fn pass(&self, class: WriteClass) -> Result<(), PlatformError> {
        let start = now();
        loop {
            let answer = self.lock().take(class, now());
            let WriteAnswer::Wait(wait) = answer else {
                return Ok(());
            };
            let waited = now().since(start).as_millis();
            if waited + wait.as_millis() > self.longest_wait.as_millis() {
                metrics::counter!("guavawell_platform_throttled_total", "class" => class.label())
                    .increment(1);
                return Err(PlatformError::Throttled(wait));
            }
            Timer::after(duration(wait)).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, WriteShare> {
        self.share.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

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
            CircuitAnswer::Pass | CircuitAnswer::Probe => Ok(()),
            CircuitAnswer::Open(wait) => Err(PlatformError::Outage(
                format!("held back; the next probe is due in {wait}").into(),
            )),
        }
    }

    /// Learns how an exchange ended.
    pub fn report(&self, answered: bool) {
        let mut circuit = self.lock();
        let changed = if answered {
            circuit.answered()
        } else {
            circuit.failed(now(), Jitter(fastrand::u16(..)))
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
    }

    /// Whether exchanges are held back.
    pub fn is_open(&self) -> bool {
        self.lock().is_open()
    }

    fn lock(&self) -> MutexGuard<'_, PlatformCircuit> {
        self.circuit.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
