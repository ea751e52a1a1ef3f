//! Admission: urgency, fair shares, queues, retry budget.
