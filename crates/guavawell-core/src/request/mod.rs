//! A request's life: identity, claims, seals, billing records and refusals.
