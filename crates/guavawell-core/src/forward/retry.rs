//! The allowance for sending a request once more.
//!
//! The whole fleet may repeat a fixed part of a service's requests plus a
//! fixed number, in any window. Each instance keeps to its part of both, so
//! that no talk between instances is needed.

use std::collections::VecDeque;

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::ServiceId;
use crate::number::fraction;

/// Slices that a window is counted in.
const SLICES_PER_WINDOW: u64 = 10;

/// How much may be repeated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Repeats per request of a service.
    pub ratio: f64,
    /// Repeats of a service beyond the ratio, by the whole fleet.
    pub extra: f64,
    /// The window in which both are counted.
    pub window: ClockSpan,
    /// Instances that share `extra`.
    pub instances: usize,
    /// Part of the allowance that is used. The rest covers requests that were
    /// counted here in one window and judged in the next.
    pub used_fraction: f64,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            extra: 50.0,
            window: ClockSpan::from_millis(10_000),
            instances: 6,
            used_fraction: 0.75,
        }
    }
}

/// One instance's count of requests and repeats for each service.
#[derive(Clone, Debug, Default)]
pub struct RetryAllowance {
    /// Sorted by service.
    services: Vec<(ServiceId, VecDeque<WindowSlice>)>,
}

#[derive(Clone, Copy, Debug)]
struct WindowSlice {
    started_at: ClockTime,
    requests: u32,
    retries: u32,
}

impl RetryAllowance {
    /// Counts a request's first sending.
    pub fn count_request(&mut self, service: &ServiceId, now: ClockTime, window: ClockSpan) {
        self.slice(service, now, window).requests += 1;
    }

    /// Whether one repeat may be sent now; counts it if so.
    pub fn take(&mut self, service: &ServiceId, now: ClockTime, settings: &RetryLimits) -> bool {
        self.slice(service, now, settings.window);
        let slices = self.slices(service);
        let requests: u32 = slices.iter().map(|slice| slice.requests).sum();
        let retries: u32 = slices.iter().map(|slice| slice.retries).sum();
        let shared = settings.extra / fraction(settings.instances.max(1) as u64);
        let max_retries = settings.used_fraction * (settings.ratio * f64::from(requests) + shared);
        if f64::from(retries) + 1.0 > max_retries {
            return false;
        }
        self.slice(service, now, settings.window).retries += 1;
        true
    }

    fn slices(&self, service: &ServiceId) -> &VecDeque<WindowSlice> {
        let index = self.services.binary_search_by(|(id, _)| id.cmp(service));
        &self.services[index.expect("the slice was just made")].1
    }

    fn slice(
        &mut self,
        service: &ServiceId,
        now: ClockTime,
        window: ClockSpan,
    ) -> &mut WindowSlice {
        let index = match self.services.binary_search_by(|(id, _)| id.cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                let entry = (service.clone(), VecDeque::new());
                self.services.insert(index, entry);
                index
            }
        };
        let slices = &mut self.services[index].1;
        while slices
            .front()
            .is_some_and(|slice| now.since(slice.started_at) > window)
        {
            slices.pop_front();
        }
        let length = ClockSpan::from_millis(window.as_millis() / SLICES_PER_WINDOW);
        let is_current = slices
            .back()
            .is_some_and(|slice| now.since(slice.started_at) < length);
        if !is_current {
            slices.push_back(WindowSlice {
                started_at: now,
                requests: 0,
                retries: 0,
            });
        }
        slices.back_mut().expect("a slice was just made")
    }
}
