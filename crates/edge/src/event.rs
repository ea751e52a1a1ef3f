//! Numbered log events of the entry process.

fleet::events! {
    STARTED = 1101, "entry-started", "The entry process listens.";
    STOPPING = 1102, "entry-stopping", "A stop was asked for; callers are served until none is left.";
    STOPPED = 1103, "entry-stopped", "The entry process ends.";
    CONFIGURED = 1104, "configuration-in-force", "A newer configuration is in force on this node.";
    UNDECODABLE = 1105, "value-undecodable", "A value in the store cannot be used and is passed over.";
    STORE_LOST = 1106, "store-lost", "Calls to the store fail.";
    STORE_BACK = 1107, "store-back", "Calls to the store succeed again.";
    HISTORY_LOST = 1108, "history-lost", "The store dropped the changes to be followed; everything is listed anew.";
    TARGET_CHANGED = 1109, "target-changed", "A target registered, or says something else of itself.";
    TARGET_GONE = 1110, "target-removed", "A target's entry is gone.";
    TARGET_DOWN = 1111, "target-left-out", "A target failed and gets nothing until a probe is answered.";
    TARGET_UP = 1112, "target-used-again", "A target that was left out answered a probe.";
    LEADING = 1113, "leading", "This node has begun or ceased to give orders.";
    ORDERED = 1114, "ordered", "An order was given to an engine.";
    ANSWERED = 1115, "request-answered", "A request was answered.";
    RETRIED = 1116, "request-retried", "A request is sent to another target.";
    REFUSED = 1117, "request-refused", "A request was turned away before it ran.";
    RELOADED = 1118, "settings-reread", "The settings were read again.";
    LINES_LOST = 1119, "lines-lost", "Log lines were left out because the reader is slow.";
    PEERS = 1120, "peers", "The number of other nodes changed.";
    LAYOUT = 1121, "layout", "The layers that no engine of a failure domain holds have changed.";
    FAILED = 1122, "attempt-failed", "A target did not give a request's answer; `ran` tells whether it can have run.";
    TARGET_PAUSED = 1123, "target-paused", "A target refused a request, here or at another node, and gets nothing for a while.";
    REQUEST_SUSPECTED = 1124, "request-suspected", "A target was lost under an attempt at the request, here or at another node; `fresh` if nothing of an answer had come.";
    REQUEST_QUARANTINED = 1125, "request-condemned", "The request crashed its targets and is not run for a while, by the judgement of this node, of another or by the store.";
    REQUEST_CLEARED = 1126, "request-cleared", "A suspected request was answered; nothing is held against it.";
    REQUEST_HELD = 1127, "request-held", "A suspected request waits for its judgement, or for its turn to run apart from others.";
    REQUEST_ISOLATED = 1128, "request-set-aside", "The losses under a suspected request may have had another cause, or another request stands for them too; it runs apart from others next.";
    TARGET_LEAVES = 1129, "target-leaves", "A target said in an answer that it leaves; it gets nothing new while it lives.";
    BACKED_OFF = 1130, "target-backed-off", "A target that refused asked for a pause; it gets nothing until its end.";
    KEPT = 1131, "stream-kept", "A stream whose path has stopped goes on waiting for it; `lacks` tells why no other path takes it.";
    RELAYED = 1132, "store-word", "This node has begun or ceased to go by the word of other nodes on how old the store's state is.";
}
