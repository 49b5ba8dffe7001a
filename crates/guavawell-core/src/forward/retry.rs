//! Allowance for retries.
//!
//! In any window, the whole fleet may retry a fixed fraction of a service's
//! requests plus a fixed number. Each instance applies the fraction to the
//! requests that it received itself and has an equal part of the fixed number,
//! so that instances need no coordination.

use std::collections::VecDeque;

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::ServiceId;
use crate::number::fraction;

/// Number of slices that a window is counted in.
const SLICES_PER_WINDOW: u64 = 10;

/// How much may be retried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries per request of a service.
    pub ratio: f64,
    /// Additional retries of a service, for the whole fleet.
    pub extra: f64,
    /// The window in which both are counted.
    pub window: ClockSpan,
    /// Number of instances that share `extra`.
    pub instances: usize,
    /// Fraction of the allowance that an instance uses. It counts the window
    /// that ends at a retry; a later window may include that retry but not all
    /// requests that allowed it. The unused rest keeps such a window within the
    /// allowance as well.
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

/// One instance's count of requests and retries for each service.
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
    /// Counts the first attempt of a request.
    pub fn count_request(&mut self, service: &ServiceId, now: ClockTime, window: ClockSpan) {
        self.slice(service, now, window).requests += 1;
    }

    /// Whether one retry may be sent now; counts it if so.
    pub fn take(&mut self, service: &ServiceId, now: ClockTime, limits: &RetryLimits) -> bool {
        let is_allowed = self.has_room(service, now, limits);
        if is_allowed {
            self.slice(service, now, limits.window).retries += 1;
        }
        is_allowed
    }

    /// Whether one retry may be sent now.
    pub fn has_room(&mut self, service: &ServiceId, now: ClockTime, limits: &RetryLimits) -> bool {
        self.slice(service, now, limits.window);
        let slices = self.slices(service);
        let requests: u32 = slices.iter().map(|slice| slice.requests).sum();
        let retries: u32 = slices.iter().map(|slice| slice.retries).sum();
        let shared = limits.extra / fraction(limits.instances.max(1) as u64);
        let max_retries = limits.used_fraction * (limits.ratio * f64::from(requests) + shared);
        f64::from(retries) + 1.0 <= max_retries
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
