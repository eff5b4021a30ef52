/*
 * Messages of the gateway's request path: what a caller sent, what goes to a
 * target, what comes back, what the caller gets. Payloads are opaque; header
 * fields that steer the exchange are decoded into members.
 */
#ifndef EXCHANGE_H
#define EXCHANGE_H

#include <stdint.h>

#include "base/err.h"
#include "model/name.h"

/* Identifiers of attempts and targets as the platform spells them. */
#define WIRE_ID_BYTES 128
/* Proof of origin that a target puts on an answer. */
#define STAMP_BYTES 160

/* A request as it is forwarded; shared by the calls that repeat it. */
struct http_message {
	_Atomic uint32_t refs;
	char method[24];
	/* Path with its query. */
	char *uri;
	/* "Name: value\r\n" lines to forward, request ID and Host included. */
	struct buf fields;
	struct buf body;
	int has_body;
};

struct http_message *http_message_new(void);
struct http_message *http_message_ref(struct http_message *t);
void http_message_unref(struct http_message *t);

struct exchange_request {
	/* Connection that the answer goes to. */
	uint64_t conn_id;
	struct http_message *message;
	char id[WIRE_ID_BYTES];
	char host_name[WIRE_ID_BYTES];
	/* Time that the caller waits, counted from received_us; 0: not said. */
	uint32_t caller_timeout_ms;
	int64_t received_us;
	/* Round trip to the caller; 0: unknown. */
	uint32_t rtt_us;
	/* The caller opened the connection for this request. */
	uint32_t is_first_on_conn;
};

void exchange_request_free(struct exchange_request *r);

struct exchange_answer {
	uint64_t conn_id;
	uint32_t status;
	/* Final answer of a target: forwarded header lines and stamp inside. */
	struct buf fields;
	struct buf body;
	/* Refusal: when to come back; 0: not said. */
	uint32_t retry_after_ms;
	/* Answer merged from parts: their stamps, and what is missing. */
	int is_merged;
	struct buf part_stamps;
	uint32_t missing_part_count;
	/* Text for the body of an error of the gateway itself. */
	enum err_code error;
};

void exchange_answer_free(struct exchange_answer *a);

/* Request to one target, or the cancellation of one. */
struct target_call {
	uint64_t call_id;
	/* 1: close the connection that carries @call_id. */
	uint32_t is_cancel;
	struct http_message *message;
	char request_id[WIRE_ID_BYTES];
	char target_id[WIRE_ID_BYTES];
	char address[ADDRESS_BYTES];
	uint16_t port;
	int64_t deadline_us;
	/* Time the target may work, as told to it. */
	uint32_t timeout_ms;
	/* Connections that this host may have open to the target. */
	uint32_t connection_limit;
	/* The connection is closed after this idle time; 0: as the target says. */
	uint32_t idle_timeout_ms;
	/* 1: must not run twice, so only a connection used lately will do. */
	uint32_t at_most_once;
};

void target_call_free(struct target_call *c);

struct target_reply {
	uint64_t call_id;
	/* ERR_OK: a complete HTTP answer is in the members below. */
	enum err_code code;
	/* 1 when it is certain that the target did not run the request. */
	uint32_t not_run;
	uint32_t status;
	char stamp[STAMP_BYTES];
	struct buf fields;
	struct buf body;
	/* Remaining time of slow start that the target states; -1: none. */
	int32_t warmup_left_ms;
	int64_t service_us;
};

void target_reply_free(struct target_reply *r);

#endif
