/*
 * The ingress duty: caller connections of the gateway, its readiness page and
 * its metrics page. Each complete request goes to the request duty as
 * MSG_EXCHANGE_REQUEST; MSG_EXCHANGE_ANSWER is written back. A caller that closes
 * its connection is reported as MSG_EXCHANGE_CALLER_GONE.
 */
#ifndef INGRESS_H
#define INGRESS_H

#include <stdint.h>

#include "base/err.h"
#include "base/ring.h"
#include "model/route.h"

struct ingress;

struct ingress_endpoint {
	char address[46];
	uint16_t port;
};

struct ingress_options {
	struct ingress_endpoint caller;
	struct ingress_endpoint ready;
	struct ingress_endpoint metrics;
	/* Connections at once; further ones wait in the listen queue. */
	uint32_t connections_max;
	/* Where requests go. */
	struct ring *requests;
	/* 1 if new connections are welcome; called on the ingress thread. */
	int (*is_ready)(void *ctx);
	void *ready_ctx;
};

struct ingress *ingress_new(const struct ingress_options *o, struct err *err);
enum err_code ingress_start(struct ingress *in, struct err *err);
struct ring *ingress_ring(struct ingress *in);
/* Any thread: limits of callers, from the configuration in force. */
void ingress_set_limits(struct ingress *in, const struct caller_limits *l);
/* Any thread: answers from now on end their connections. */
void ingress_drain(struct ingress *in);
/*
 * Any thread: connections of callers that are open. After MSG_LEAVE no new one
 * is accepted, and each that is left has a request that is not answered.
 */
uint32_t ingress_caller_count(struct ingress *in);
/* Any thread: 1 once MSG_LEAVE was handled and no caller is left. */
int ingress_is_finished(struct ingress *in);
void ingress_stop(struct ingress *in);
void ingress_free(struct ingress *in);

#endif
