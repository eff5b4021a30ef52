/*
 * Long polls on the control ports: a caller waits until a counter is within
 * bounds, so that tests wait on events instead of sleeping.
 */
#ifndef STANDIN_WAITERS_H
#define STANDIN_WAITERS_H

#include "http.h"

/* Reads @field of @target ("" on the store); 0 when there is none. */
typedef int wait_read_fn(void *ctx, const char *target, const char *field,
			 uint64_t *value);

struct waiters;

/* Looks at the counters after each round of events of @h. */
struct waiters *waiters_new(struct http *h, wait_read_fn *read, void *ctx);
void waiters_free(struct waiters *w);
/* Serves "target=T&field=F&least=N&most=N&timeout_ms=N". */
void waiters_serve(struct waiters *w, struct http_conn *c, const char *query);
/* For http_service.gone. */
void waiters_gone(struct waiters *w, struct http_conn *c);

#endif
