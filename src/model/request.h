/*
 * Typed messages of the request path: what a caller asks, what is sent to a
 * target, what comes back, what the caller gets. No encoding here.
 */
#ifndef REQUEST_H
#define REQUEST_H

#include <stdint.h>

#include "base/err.h"
#include "model/name.h"

#define QUERY_BYTES_MAX 4096
#define HITS_MAX 1000

enum request_op {
	OP_SEARCH,
	OP_LOOKUP,
	/* What became of a non-idempotent lookup. */
	OP_OUTCOME
};

struct request {
	enum request_op op;
	/* Empty when the caller gave none; filter identify makes one. */
	char id[REQUEST_ID_BYTES];
	char customer[NAME_BYTES];
	char index[NAME_BYTES];
	/* Search: the query text. Lookup: the record ID. */
	char *text;
	/* Search: number of hits wanted, 1 to HITS_MAX. */
	uint32_t limit;
	/* Lookup: 0 when running it twice does harm. A search is idempotent. */
	uint32_t is_idempotent;
	/* Shorter deadline than the contract's; 0 takes the contract's. */
	uint32_t timeout_ms;
};

void request_free(struct request *r);

struct hit {
	char id[NAME_BYTES];
	double score;
	/* JSON text of the document, owned; NULL when the target sent none. */
	char *doc;
};

struct hits {
	uint32_t count;
	struct hit *items;
};

void hits_free(struct hits *h);
/* Adds a copy of @id and takes ownership of @doc (may be NULL). */
void hits_add(struct hits *h, const char *id, double score, char *doc);

/* Request to one target for one shard. */
struct subrequest_msg {
	uint64_t sub_id;
	enum request_op op;
	char request_id[REQUEST_ID_BYTES];
	char index[NAME_BYTES];
	char shard[NAME_BYTES];
	char snapshot[SNAPSHOT_BYTES];
	char address[ADDRESS_BYTES];
	uint16_t port;
	char *text;
	uint32_t limit;
	uint32_t is_idempotent;
	/* Monotonic time at which the answer is of no use any more. */
	int64_t deadline_us;
	/* Connections that this host may have open to the target. */
	uint32_t connection_limit;
	/* 1: ask the target to cancel @sub_id instead of running it. */
	uint32_t is_cancel;
};

void subrequest_msg_free(struct subrequest_msg *c);

/* What became of a subrequest_msg. */
struct subrequest_result {
	uint64_t sub_id;
	enum err_code code;
	/* 1 when it is certain that the target did not run the request. */
	uint32_t not_run;
	char request_id[REQUEST_ID_BYTES];
	/* sub_id as the answer states it; 0 when it states none. */
	uint64_t answer_sub_id;
	char shard[NAME_BYTES];
	char snapshot[SNAPSHOT_BYTES];
	/* Changes when the target process starts anew. */
	char instance[NAME_BYTES];
	/* 1 when a connection had to be opened for it. */
	uint32_t new_connection;
	/* Time from sending to the whole answer, without connecting. */
	int64_t service_us;
	struct hits hits;
};

void subrequest_result_free(struct subrequest_result *r);

enum outcome { OUTCOME_DONE, OUTCOME_NOT_RUN, OUTCOME_UNKNOWN };

/* "done", "not_run" or "outcome_unknown". */
const char *outcome_name(enum outcome o);

/* What the caller gets. */
struct answer {
	struct err err;
	enum outcome outcome;
	char request_id[REQUEST_ID_BYTES];
	char snapshot[SNAPSHOT_BYTES];
	uint32_t shards_total;
	uint32_t shards_answered;
	uint32_t missing_count;
	char (*missing)[NAME_BYTES];
	uint32_t complete;
	int64_t elapsed_us;
	/* 1 for the answer to OP_OUTCOME, which has no shards and no hits. */
	uint32_t outcome_only;
	struct hits hits;
};

void answer_free(struct answer *a);

#endif
