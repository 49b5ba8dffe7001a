//! Prepaid budgets: rows, slots, grants, witnesses, takeover and refill.
