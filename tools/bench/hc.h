/*
 * HTTP/1.1 client of the load generator: one thread, one epoll set, pooled
 * connections to loopback ports. It sends each request once, without retries.
 */
#ifndef BENCH_HC_H
#define BENCH_HC_H

#include <stdint.h>

#include "base/util.h"
#include "base/err.h"
#include "base/timer_queue.h"

struct hc;
struct hc_call;

/*
 * Called when a call ends; @status is 0 when no complete answer arrived. @body
 * is not NUL-terminated and valid during the callback only.
 */
typedef void hc_done_fn(void *ctx, uint32_t status, const char *body,
			size_t body_bytes, int64_t now_us);

struct hc *hc_new(struct err *err);
/* Ends open calls without calling back. */
void hc_free(struct hc *h);
struct timer_queue *hc_timers(struct hc *h);

/* Sends to 127.0.0.1:@port; @body NULL sends a request without body. */
struct hc_call *hc_send(struct hc *h, uint16_t port, const char *method,
			const char *path, const char *body, hc_done_fn *done,
			void *ctx);
/* Closes the call's connection; its callback is not called. */
void hc_abort(struct hc_call *call);
/* Handles traffic and timers until *@running is 0 or @until_us is reached. */
void hc_run(struct hc *h, const int *running, int64_t until_us);

/*
 * Sends and waits up to @wait_us; appends the body to @out (may be NULL).
 * Returns the HTTP status or 0.
 */
uint32_t hc_wait(struct hc *h, uint16_t port, const char *method,
		 const char *path, const char *body, int64_t wait_us,
		 struct buf *out);

#endif
