/*
 * Gateway: forwards opaque HTTP requests to one target of a service or, for a
 * route that gathers, to one target of each shard. It does no input or output
 * and reads no clock: requests, replies, views and the time come in as
 * arguments; calls and answers go out through callbacks. One thread owns a
 * struct gw.
 */
#ifndef GW_H
#define GW_H

#include <stdint.h>

#include "base/timer_queue.h"
#include "model/exchange.h"
#include "model/forward_call.h"
#include "model/gw_view.h"
#include "model/heartbeat.h"
#include "model/target_health.h"

struct gw;

struct gw_ops {
	/* Sends or cancels a call to a target; takes ownership of @call. */
	void (*send)(void *ctx, struct target_call *call);
	/*
	 * Forwards a request to another host, or cancels that; takes ownership
	 * of @call.
	 */
	void (*forward)(void *ctx, struct forward_call *call);
	/* Answers a caller; takes ownership of @answer. */
	void (*answer)(void *ctx, struct exchange_answer *answer);
	/*
	 * Reports, for each service that is being rolled out, the calls since
	 * the last report to its new version and to all others together.
	 * @reports is valid only until the callback returns.
	 */
	void (*report_rollouts)(void *ctx, const struct rollout_report *reports,
				uint32_t count);
	/*
	 * Reports the calls since the last report to targets that fail, are
	 * slow, or were named by a recent gw_on_target_health(). @list is valid
	 * only until the callback returns.
	 */
	void (*report_health)(void *ctx, const struct target_health_list *list);
	void *ctx;
};

/* Settings that may change while requests are served. */
struct gw_tuning {
	/*
	 * Extra calls (hedges and retries) that all hosts together may send to
	 * a service in each window of EXTRA_WINDOW_US: retry_permille of its
	 * requests, plus retry_slack calls.
	 */
	uint32_t extra_call_permille;
	uint32_t extra_call_slack;
	/* Processor time that this host has, in thousandths of a core. */
	uint32_t core_permille;
	/* Rate of this host's link; 0: unknown, it forwards nothing. */
	uint32_t link_mbps;
};

struct gw_options {
	/* Name of this host in its entry. */
	char host[NAME_BYTES];
	/* This host's data centre; targets in it are preferred. */
	char data_centre[NAME_BYTES];
	struct gw_tuning tuning;
	/* Monotonic time at which the process started. */
	int64_t started_us;
	uint64_t seed;
};

struct gw *gw_new(const struct gw_ops *ops, const struct gw_options *options,
		  struct timer_queue *timers);
/* Ends the requests in flight without an answer, and calls no callback. */
void gw_free(struct gw *g);

/* Each of these four takes ownership of its second argument. */
void gw_set_view(struct gw *g, struct gw_view *v, int64_t now_us);
void gw_on_request(struct gw *g, struct exchange_request *in, int64_t now_us);
void gw_on_reply(struct gw *g, struct target_reply *reply, int64_t now_us);
void gw_on_forward_reply(struct gw *g, struct forward_reply *reply,
			 int64_t now_us);

/*
 * Takes over what all hosts of the data centre observed of targets lately. Does
 * not keep @list.
 */
void gw_on_target_health(struct gw *g, const struct target_health_list *list,
			 int64_t now_us);
void gw_tune(struct gw *g, const struct gw_tuning *tuning);
/*
 * The caller closed connection @conn: ends the request that is in flight on it,
 * if any, without an answer, and abandons its calls.
 */
void gw_caller_gone(struct gw *g, uint64_t conn, int64_t now_us);
/* 1 when a configuration is in force and targets are known. */
int gw_ready(const struct gw *g);
/*
 * A graceful shutdown begins. All requests are answered by @stop_us, later ones
 * too; one that would not end by then is refused as soon as that is known.
 * Forwarded requests of other hosts are refused from now on.
 */
void gw_leave(struct gw *g, int64_t stop_us, int64_t now_us);
/* Number of requests in flight. */
uint32_t gw_open_count(const struct gw *g);

#endif
