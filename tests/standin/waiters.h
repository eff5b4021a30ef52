/*
 * Long polls on the control ports: a test waits until a counter is within
 * bounds, instead of sleeping.
 */
#ifndef STANDIN_WAITERS_H
#define STANDIN_WAITERS_H

#include "http.h"

/* Reads the counter @field of @target ("" for the store); 0: there is none. */
typedef int wait_read_fn(void *ctx, const char *target, const char *field,
			 uint64_t *value);

struct waiters;

/* Checks the counters after each round of events of @h. */
struct waiters *waiters_new(struct http *h, wait_read_fn *read, void *ctx);
void waiters_free(struct waiters *w);
/*
 * Serves the query "target=T&field=F&least=N&most=N&timeout_ms=N": answers 200
 * once the counter is from @least to @most, 504 after the timeout, and 400 at
 * once for an unknown counter or a timeout that is too long.
 */
void waiters_serve(struct waiters *w, struct http_conn *c, const char *query);
/* Ends the wait of a closed connection; call it from http_service.gone. */
void waiters_gone(struct waiters *w, struct http_conn *c);

#endif
