/*
 * Request path of the gateway: opaque HTTP requests to one target of a service
 * or to one target of each shard. Pure: requests, replies, views and the time
 * come in; calls and answers go out through callbacks. One thread owns it.
 */
#ifndef GW_H
#define GW_H

#include <stdint.h>

#include "base/timer_queue.h"
#include "model/exchange.h"
#include "model/gw_view.h"
#include "model/heartbeat.h"
#include "model/target_health.h"

struct gw;

struct gw_ops {
	/* Sends or cancels a call; takes ownership. */
	void (*send)(void *ctx, struct target_call *c);
	/* Answers a caller; takes ownership. */
	void (*answer)(void *ctx, struct exchange_answer *a);
	/* What the calls to versions of a rollout showed; @e is the caller's. */
	void (*report_rollouts)(void *ctx, const struct rollout_report *e,
				uint32_t count);
	/* Targets that failed or were slow of late; @l is the caller's. */
	void (*report_health)(void *ctx, const struct target_health_list *l);
	void *ctx;
};

/* Settings that may change while requests are served. */
struct gw_tuning {
	/*
	 * Calls beyond the first of each request, all hosts together: a share
	 * of the requests and a fixed number in each window.
	 */
	uint32_t retry_permille;
	uint32_t retry_slack;
	/* Part of a processor core that this host has. */
	uint32_t core_permille;
};

struct gw_options {
	/* Targets of this data centre are preferred. */
	char data_centre[NAME_BYTES];
	struct gw_tuning tuning;
	/* Start of the process. */
	int64_t started_us;
	uint64_t seed;
};

struct gw *gw_new(const struct gw_ops *ops, const struct gw_options *o,
		  struct timer_queue *timers);
void gw_free(struct gw *g);

/* Take ownership of the argument. */
void gw_set_view(struct gw *g, struct gw_view *v, int64_t now_us);
void gw_on_request(struct gw *g, struct exchange_request *r, int64_t now_us);
void gw_on_reply(struct gw *g, struct target_reply *r, int64_t now_us);

/* What all hosts of the data centre have seen of targets. */
void gw_on_target_health(struct gw *g, const struct target_health_list *l,
			 int64_t now_us);
void gw_tune(struct gw *g, const struct gw_tuning *t);
/* The caller on connection @conn closed it: cancels the request's work. */
void gw_caller_gone(struct gw *g, uint64_t conn, int64_t now_us);
/* 1 when a configuration is in force and targets are known. */
int gw_ready(const struct gw *g);
/* Requests in flight. */
uint32_t gw_open_count(const struct gw *g);

#endif
