//! Admission, fairness between organisations, priorities and retry budgets.
