/*
 * Messages of the request path of `serve`: the caller's request, the
 * sub-requests to targets, their results and the answer to the caller. Their
 * encoding is in src/codec.
 */
#ifndef REQUEST_H
#define REQUEST_H

#include <stdint.h>

#include "base/err.h"
#include "model/name.h"

/* Longest query text of a search, with the terminating NUL. */
#define QUERY_BYTES_MAX 4096
#define HITS_MAX 1000

enum request_op {
	OP_SEARCH,
	OP_LOOKUP,
	/* Asks for the outcome of an earlier non-idempotent lookup. */
	OP_OUTCOME
};

struct request {
	enum request_op op;
	/* Empty if the caller sent none, until filter identify makes one. */
	char id[REQUEST_ID_BYTES];
	char customer[NAME_BYTES];
	char index[NAME_BYTES];
	/* Search: the query text. Lookup: the record ID. Owned. */
	char *text;
	/* Number of hits wanted: 1 to HITS_MAX for a search, 1 for a lookup. */
	uint32_t limit;
	/*
	 * 0: a target must not run the request twice; only a lookup can be
	 * marked so by its caller. 1: it may run more than once.
	 */
	uint32_t is_idempotent;
	/*
	 * Time limit that the caller asks for; it counts if it is shorter than
	 * the contract's. 0: the contract's limit.
	 */
	uint32_t timeout_ms;
};

void request_free(struct request *r);

struct hit {
	char id[NAME_BYTES];
	double score;
	/* JSON text of the document, owned; NULL if the target sent none. */
	char *doc;
};

struct hits {
	uint32_t count;
	struct hit *items;
};

void hits_free(struct hits *h);
/* Appends a hit with a copy of @id; takes ownership of @doc (may be NULL). */
void hits_add(struct hits *h, const char *id, double score, char *doc);

/* Sub-request to one target for one shard, or the cancellation of one. */
struct subrequest_msg {
	/* Number of the sub-request, which the target's answer repeats. */
	uint64_t sub_id;
	enum request_op op;
	char request_id[REQUEST_ID_BYTES];
	char index[NAME_BYTES];
	char shard[NAME_BYTES];
	char snapshot[SNAPSHOT_BYTES];
	char address[ADDRESS_BYTES];
	uint16_t port;
	/* Text, limit and is_idempotent are as in struct request. */
	char *text;
	uint32_t limit;
	uint32_t is_idempotent;
	/* Monotonic time after which the result is of no use any more. */
	int64_t deadline_us;
	/* Connections that this host may have open to the target. */
	uint32_t connection_limit;
	/*
	 * 1: is sent on a new connection, because earlier sub-requests for the
	 * shard had no answer and open connections may be silent.
	 */
	uint32_t needs_new_connection;
	/*
	 * Time at which connections to the shard's targets that were open may
	 * have been silent; 0: never.
	 */
	int64_t silent_us;
	/* 1: asks the target to cancel sub-request sub_id. */
	uint32_t is_cancel;
};

void subrequest_msg_free(struct subrequest_msg *m);

/* What came back for a sub-request, or why nothing did. */
struct subrequest_result {
	uint64_t sub_id;
	enum err_code code;
	/* 1 if it is certain that the target did not run the request. */
	uint32_t not_run;
	/*
	 * The IDs, the shard and the snapshot as the target's answer states
	 * them, to be compared with the sub-request; empty or 0 if the answer
	 * does not state them.
	 */
	char request_id[REQUEST_ID_BYTES];
	uint64_t answer_sub_id;
	char shard[NAME_BYTES];
	char snapshot[SNAPSHOT_BYTES];
	/* Process of the target, as it states; a restart changes it. */
	char instance[NAME_BYTES];
	/* 1 if a connection had to be opened for the sub-request. */
	uint32_t new_connection;
	/* Time from sending to the end of the answer, without connecting. */
	int64_t service_us;
	struct hits hits;
};

void subrequest_result_free(struct subrequest_result *r);

/* Whether a request was run, as far as its caller can be told. */
enum outcome { OUTCOME_DONE, OUTCOME_NOT_RUN, OUTCOME_UNKNOWN };

/* "done", "not_run" or "outcome_unknown". */
const char *outcome_name(enum outcome o);

/* Answer to the caller. */
struct answer {
	struct err err;
	enum outcome outcome;
	char request_id[REQUEST_ID_BYTES];
	char snapshot[SNAPSHOT_BYTES];
	uint32_t shards_total;
	uint32_t shards_answered;
	/* Names of the shards that did not answer. */
	uint32_t missing_count;
	char (*missing)[NAME_BYTES];
	/* 1 if every shard answered. */
	uint32_t is_complete;
	/* Time since the request was received. */
	int64_t elapsed_us;
	/* 1 for an answer to OP_OUTCOME, which has no shards and no hits. */
	uint32_t outcome_only;
	struct hits hits;
};

void answer_free(struct answer *a);

#endif
