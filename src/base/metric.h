/*
 * Counters and gauges of the process in the Prometheus text format. Any thread
 * may change them. METRICS is the only list of them.
 */
#ifndef METRIC_H
#define METRIC_H

#include <stdint.h>

#include "base/util.h"

/* DEF(id, name, kind, help) */
#define METRICS(DEF)                                                           \
	DEF(METRIC_REQUESTS, "requests_total", "counter", "Caller requests")   \
	DEF(METRIC_ANSWERS_COMPLETE, "answers_complete_total", "counter",      \
	    "Complete answers")                                                \
	DEF(METRIC_ANSWERS_PARTIAL, "answers_partial_total", "counter",        \
	    "Partial answers")                                                 \
	DEF(METRIC_REFUSED_NOT_RUN, "refused_not_run_total", "counter",        \
	    "Refusals with outcome not_run")                                   \
	DEF(METRIC_REFUSED_UNKNOWN, "refused_unknown_total", "counter",        \
	    "Refusals with outcome_unknown")                                   \
	DEF(METRIC_SHARDS_ASKED, "shards_asked_total", "counter",              \
	    "Shards asked, without hedges and retries")                        \
	DEF(METRIC_SUBREQUESTS_SENT, "subrequests_sent_total", "counter",      \
	    "Sub-requests sent")                                               \
	DEF(METRIC_HEDGES, "hedges_total", "counter", "Hedged sub-requests")   \
	DEF(METRIC_RETRIES, "retries_total", "counter",                        \
	    "Retried sub-requests")                                            \
	DEF(METRIC_CANCELS, "cancels_total", "counter",                        \
	    "Cancelled sub-requests")                                          \
	DEF(METRIC_STRAY_ANSWERS, "stray_answers_total", "counter",            \
	    "Target answers dropped as late, crossed or duplicate")            \
	DEF(METRIC_EARLY_ANSWERS, "early_answers_total", "counter",            \
	    "Target answers that came before their request was sent whole")    \
	DEF(METRIC_MEMORY_HELD, "message_memory_bytes", "gauge",               \
	    "Memory that messages of 16 KB and more hold")                     \
	DEF(METRIC_MEMORY_REFUSALS, "memory_refusals_total", "counter",        \
	    "Requests refused for want of memory")                             \
	DEF(METRIC_TARGET_ERRORS, "target_errors_total", "counter",            \
	    "Sub-requests that failed")                                        \
	DEF(METRIC_TARGET_CONNECTS, "target_connects_total", "counter",        \
	    "Connections opened to targets")                                   \
	DEF(METRIC_TARGET_PAUSES_IGNORED, "target_pauses_ignored_total",       \
	    "counter", "Retry-After of targets that was not valid")            \
	DEF(METRIC_SILENT_CONNECTIONS, "silent_connections_total", "counter",  \
	    "Connections closed as silent")                                    \
	DEF(METRIC_REQUESTS_OPEN, "requests_open", "gauge",                    \
	    "Requests in flight")                                              \
	DEF(METRIC_STORE_CALLS, "store_calls_total", "counter", "Store calls") \
	DEF(METRIC_STORE_ERRORS, "store_errors_total", "counter",              \
	    "Store calls that failed")                                         \
	DEF(METRIC_PEER_MESSAGES_SENT, "peer_messages_sent_total", "counter",  \
	    "Messages sent to peers")                                          \
	DEF(METRIC_PEER_SENT_BYTES, "peer_sent_bytes_total", "counter",        \
	    "Bytes of messages sent to peers")                                 \
	DEF(METRIC_PEER_MESSAGES_RECEIVED, "peer_messages_received_total",     \
	    "counter", "Messages received from peers")                         \
	DEF(METRIC_PEER_RECEIVED_BYTES, "peer_received_bytes_total",           \
	    "counter", "Bytes of messages received from peers")                \
	DEF(METRIC_PEER_ERRORS, "peer_errors_total", "counter",                \
	    "Peer messages that failed or were refused")                       \
	DEF(METRIC_LOG_LINES_DROPPED, "log_lines_dropped_total", "counter",    \
	    "Log lines dropped because the ring was full")                     \
	DEF(METRIC_EXTRA_CALLS_REFUSED, "extra_calls_refused_total",           \
	    "counter",                                                         \
	    "Hedges and retries that the shared bound did not allow")          \
	DEF(METRIC_STATE_REV, "state_revision", "gauge",                       \
	    "Store revision that this host knows")                             \
	DEF(METRIC_STORE_ERA, "store_era", "gauge",                            \
	    "Era of the store that this host knows; 0: none")                  \
	DEF(METRIC_STORE_RETURNS, "store_returns_total", "counter",            \
	    "Listings that were taken over after the store had come back "     \
	    "from a copy")                                                     \
	DEF(METRIC_STATE_AGE_MS, "state_age_ms", "gauge",                      \
	    "Age of what was known of the store before it was confirmed")      \
	DEF(METRIC_CONFIG_REV, "config_revision", "gauge",                     \
	    "Configuration revision in force")                                 \
	DEF(METRIC_CONFIG_ITEMS_REFUSED, "config_items_refused_total",         \
	    "counter", "Configuration items that failed validation on load")   \
	DEF(METRIC_HOSTS_LIVE, "hosts_live", "gauge",                          \
	    "Entry hosts seen as live")

enum metric_id {
#define DEF(id, name, kind, help) id,
	METRICS(DEF)
#undef DEF
		METRIC_COUNT
};

void metric_add(enum metric_id id, uint64_t n);
void metric_set(enum metric_id id, uint64_t value);
uint64_t metric_get(enum metric_id id);
const char *metric_name(enum metric_id id);
/* Appends all metrics as "cowslippoint_<name>" with HELP and TYPE lines. */
void metric_write(struct buf *out);

#endif
