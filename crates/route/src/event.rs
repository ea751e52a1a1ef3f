//! Numbered events of routing.

fleet::events! {
    DISPATCHED = 301, "attempt-dispatched", "An attempt was sent to the targets named.";
    ENDED = 302, "attempt-ended", "An attempt ended without a whole answer.";
    FINISHED = 303, "request-finished", "A request got its outcome.";
    EJECTED = 304, "target-ejected", "A target is left out for a time.";
    RETURNED = 305, "target-returned", "An ejected target works again.";
    PLANNED = 306, "plans-solved", "The maximum flow of a model or plain service was computed.";
    SUSPECTED = 307, "request-suspected", "A target was lost while it ran the request.";
    CONDEMNED = 308, "request-condemned", "Targets were lost to the request; it is not run for a time.";
    CLEARED = 309, "request-cleared", "A suspicion against a request was dropped.";
    HELD = 310, "request-held", "A suspected request waits for targets that run no other suspect, or for a judgement.";
    LEAVING = 311, "target-leaving", "A target refused work because it is leaving.";
    LOST = 312, "targets-lost", "Targets of one rack or failure domain went together.";
}
