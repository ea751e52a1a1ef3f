//! Numbered events of routing.

fleet::events! {
    DISPATCHED = 301, "attempt-dispatched", "An attempt was dispatched to the targets listed.";
    ENDED = 302, "attempt-ended", "An attempt ended without a complete answer.";
    FINISHED = 303, "request-finished", "A request ended with the outcome given.";
    EJECTED = 304, "target-ejected", "A target is excluded from the plans for a time.";
    RETURNED = 305, "target-returned", "An ejected target works again.";
    PLANNED = 306, "plans-solved", "The maximum flow of a model or plain service was computed.";
    SUSPECTED = 307, "request-suspected", "A target was lost while it ran the request.";
    QUARANTINED = 308, "request-condemned", "The request is quarantined because targets were lost while they ran it.";
    CLEARED = 309, "request-cleared", "The suspicion against a request was dropped.";
    HELD = 310, "request-held", "A suspected request waits for targets that run no other suspect, or for a decision on it.";
    LEAVING = 311, "target-leaving", "A target refused work because it is leaving.";
    LOST = 312, "targets-lost", "Targets of one rack or failure domain were lost together.";
}
