/*
 * Messages of the gateway's request path: the caller's request, the calls to
 * targets, their replies and the answer to the caller. Bodies are opaque; the
 * header fields that the gateway acts on are decoded into members.
 */
#ifndef EXCHANGE_H
#define EXCHANGE_H

#include <stdint.h>

#include "base/err.h"
#include "decide/memory_account.h"
#include "model/name.h"

/* Size of request IDs, target IDs and host names, with the terminating NUL. */
#define WIRE_ID_BYTES 128
/* Size of the stamp by which a target proves that an answer is its own. */
#define STAMP_BYTES 160

/*
 * A caller's request as it is forwarded to targets. Reference-counted, because
 * all calls that the request causes share it.
 */
struct http_message {
	_Atomic uint32_t refs;
	char method[24];
	/* Path with its query. */
	char *uri;
	/* Header lines "Name: value\r\n" with the request ID and Host. */
	struct buf fields;
	struct buf body;
	/* 1 if the request has a body, which may be empty. */
	int has_body;
	/* What it holds of the memory for messages. */
	struct memory_hold hold;
};

struct http_message *http_message_new(void);
struct http_message *http_message_ref(struct http_message *m);
void http_message_unref(struct http_message *m);

struct exchange_request {
	/* Caller's connection, to which the answer goes. */
	uint64_t conn_id;
	struct http_message *message;
	char id[WIRE_ID_BYTES];
	/* Value of the header field Host without a port. */
	char host_name[WIRE_ID_BYTES];
	/* Time that the caller waits from received_us on; 0: not stated. */
	uint32_t caller_timeout_ms;
	/* Monotonic time at which the whole request was read. */
	int64_t received_us;
	/* Round trip time of the connection; 0: unknown. */
	uint32_t rtt_us;
	/* 1 if this is the first request on the connection. */
	uint32_t is_first_on_conn;
	/*
	 * 1: another host has forwarded the request, which gathers. The
	 * connection stands for that call, caller_timeout_ms for what is left
	 * of the caller's time, and the next two members are set.
	 */
	uint32_t is_forwarded;
	/* Lowest version of the configuration with which it may be handled. */
	uint64_t config_version_min;
	/* Time from received_us within which an answer is worth most. */
	uint32_t goal_ms;
};

/* Set in the conn_id of forwarded requests, which no caller has. */
#define EXCHANGE_CONN_FORWARDED (1ULL << 63)

void exchange_request_free(struct exchange_request *r);

struct exchange_answer {
	uint64_t conn_id;
	/* HTTP status. */
	uint32_t status;
	/* Header lines, those of the target's reply if that is forwarded. */
	struct buf fields;
	struct buf body;
	/* As in struct target_reply. */
	uint32_t has_length;
	uint64_t length_bytes;
	/* Refusal: time after which the caller may try again; 0: not stated. */
	uint32_t retry_after_ms;
	/* 1: merged from the answers of several parts of the route. */
	int is_merged;
	/* Merged answer: stamps of its parts, separated by ", ". */
	struct buf part_stamps;
	/* Merged answer: parts that it lacks. */
	uint32_t missing_part_count;
	/*
	 * Not ERR_OK: the gateway itself refuses, and the caller gets the name
	 * of this code in place of body.
	 */
	enum err_code code;
	/* What the body holds of the memory for messages. */
	struct memory_hold hold;
};

void exchange_answer_free(struct exchange_answer *a);

/* Call to one target, or the cancellation of one. */
struct target_call {
	uint64_t call_id;
	/* 1: close the connection of call call_id; no other member is set. */
	uint32_t is_cancel;
	struct http_message *message;
	char request_id[WIRE_ID_BYTES];
	char target_id[WIRE_ID_BYTES];
	/* Service of the target; its calls share the memory for answers. */
	char service[NAME_BYTES];
	char address[ADDRESS_BYTES];
	uint16_t port;
	/* Monotonic time at which the call fails if there is no reply. */
	int64_t deadline_us;
	/* Time until the deadline, which the target is told. */
	uint32_t timeout_ms;
	/* Connections that this host may have open to the target. */
	uint32_t connection_limit;
	/* Limit on the idle time of the connection; 0: only the target's. */
	uint32_t idle_timeout_ms;
	/*
	 * 1: the target must not run the request twice, so an idle connection
	 * is reused only if it was in use a short time ago.
	 */
	uint32_t at_most_once;
};

void target_call_free(struct target_call *c);

/* What came back for a target_call, or why nothing did. */
struct target_reply {
	uint64_t call_id;
	/* ERR_OK: the members below hold a complete HTTP reply. */
	enum err_code code;
	/* 1 if it is certain that the target did not run the request. */
	uint32_t not_run;
	/* HTTP status. */
	uint32_t status;
	/* Empty if the reply has none. */
	char stamp[STAMP_BYTES];
	struct buf fields;
	struct buf body;
	/*
	 * Length that the reply states; it is that of the body, unless the
	 * reply has none because it is to HEAD or has a status such as 304.
	 */
	uint32_t has_length;
	uint64_t length_bytes;
	/* Rest of its warm-up that the target states; -1: not stated. */
	int32_t warmup_left_ms;
	/* 1: the target is leaving and wants no new call. */
	uint32_t is_leaving;
	/*
	 * Time for which the target, which turned the call away, wants no call
	 * from this host; 0: not stated.
	 */
	uint32_t pause_ms;
	/* Time from sending the request to the end of the reply. */
	int64_t service_us;
	/* What the reply holds of the memory for messages. */
	struct memory_hold hold;
};

void target_reply_free(struct target_reply *r);

#endif
