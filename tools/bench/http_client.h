/*
 * HTTP/1.1 client of the load generator: one thread, one epoll set, pooled
 * connections to loopback ports. It sends each request once, without retries.
 */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <stdint.h>

#include "base/util.h"
#include "base/err.h"
#include "base/timer_queue.h"

struct http_client;
struct http_client_call;

/*
 * Called when a call ends; @status is 0 when no complete answer arrived. @body
 * is not NUL-terminated and valid during the callback only.
 */
typedef void http_client_done_fn(void *ctx, uint32_t status, const char *body,
				 size_t body_bytes, int64_t now_us);

struct http_client *http_client_new(struct err *err);
/* Ends open calls without calling back. */
void http_client_free(struct http_client *h);
struct timer_queue *http_client_timers(struct http_client *h);

/* Sends to 127.0.0.1:@port; @body NULL sends a request without body. */
struct http_client_call *http_client_send(struct http_client *h, uint16_t port,
					  const char *method, const char *path,
					  const char *body,
					  http_client_done_fn *done, void *ctx);
/* Closes the call's connection; its callback is not called. */
void http_client_abort(struct http_client_call *call);
/* Handles traffic and timers until *@running is 0 or @until_us is reached. */
void http_client_run(struct http_client *h, const int *running,
		     int64_t until_us);

/*
 * Sends and waits up to @wait_us; appends the body to @out (may be NULL).
 * Returns the HTTP status or 0.
 */
uint32_t http_client_wait(struct http_client *h, uint16_t port,
			  const char *method, const char *path,
			  const char *body, int64_t wait_us, struct buf *out);

#endif
