/*
 * The ingress duty: owns the gateway's connections to callers, and serves its
 * readiness page and its metrics page. Each complete request of a caller goes
 * to the request duty as MSG_EXCHANGE_REQUEST; the MSG_EXCHANGE_ANSWER that
 * comes back is written to the connection. A caller that closes its connection
 * before the answer is reported as MSG_EXCHANGE_CALLER_GONE.
 */
#ifndef INGRESS_H
#define INGRESS_H

#include <stdint.h>

#include "base/err.h"
#include "base/ring.h"
#include "decide/memory_account.h"
#include "model/route.h"

struct ingress;

/* Address and port to listen on; port 0: no listener. */
struct ingress_endpoint {
	char address[46];
	uint16_t port;
};

struct ingress_options {
	struct ingress_endpoint caller;
	struct ingress_endpoint ready;
	struct ingress_endpoint metrics;
	/*
	 * Open connections of all listeners; while there are so many, further
	 * callers wait in the listen queue.
	 */
	uint32_t connections_max;
	/* Memory for messages, which outlives the duty; NULL: not bounded. */
	struct memory_account *account;
	/* Ring of the request duty. */
	struct ring *requests;
	/* 1 if requests can be served; called on the ingress thread. */
	int (*is_ready)(void *ctx);
	void *ready_ctx;
};

struct ingress *ingress_new(const struct ingress_options *o, struct err *err);
enum err_code ingress_start(struct ingress *in, struct err *err);
struct ring *ingress_ring(struct ingress *in);
/* Any thread: sets the limits of callers, except those that are 0 in @l. */
void ingress_set_limits(struct ingress *in, const struct caller_limits *l);
/*
 * Any thread: from now on each connection is closed after its answer, unless the
 * caller has sent more ahead, and the readiness page has status 503.
 */
void ingress_drain(struct ingress *in);
/*
 * Any thread: number of open caller connections. After MSG_LEAVE no new one is
 * accepted, and each one left has a request that is not answered yet, or not
 * read to its end. After MSG_CLOSE, the latter are closed, and requests that
 * have come meanwhile are refused.
 */
uint32_t ingress_caller_count(struct ingress *in);
/* Any thread: 1 once MSG_LEAVE was handled and no caller is connected. */
int ingress_is_finished(struct ingress *in);
void ingress_stop(struct ingress *in);
void ingress_free(struct ingress *in);

#endif
