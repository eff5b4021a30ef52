/*
 * Small HTTP/1.1 server of the stand-ins: one thread, one epoll set, one timer
 * queue, any number of listeners. A request may be answered at once or later,
 * and a connection can be made to fail in ways that a library does not offer.
 */
#ifndef STANDIN_HTTP_H
#define STANDIN_HTTP_H

#include <stddef.h>
#include <stdint.h>

#include "base/err.h"
#include "base/timer_queue.h"

/* Above the size of a store value of 1 MB with every byte escaped as \u00XX. */
#define HTTP_BODY_BYTES_MAX (8u << 20)

struct http;
struct http_conn;
struct http_listener;

/* A request, valid during the call of request() only; strings end with NUL. */
struct http_request {
	const char *method;
	const char *path;
	/* Text after '?', or "". */
	const char *query;
	const char *body;
	size_t body_bytes;
	/* Header lines, for http_request_field(). */
	const char *head;
};

/* How an answer is sent. */
enum http_manner {
	HTTP_WHOLE,
	HTTP_TWICE, /* sends the same answer twice */
	HTTP_HALF /* states the whole length, sends half of the body, closes */
};

struct http_service {
	/*
	 * Handles a request, with one http_reply(), http_drop() or
	 * http_silence().
	 */
	void (*request)(void *ctx, struct http_conn *c,
			const struct http_request *r);
	/* A connection with an unanswered request was closed; may be NULL. */
	void (*gone)(void *ctx, struct http_conn *c);
	void *ctx;
	/*
	 * Limit of open connections, above which new ones are reset; 0: none.
	 */
	uint32_t connections_max;
	/* Time from accepting a connection until it is read. */
	uint32_t connect_us;
};

/* Connections of one listener. */
struct http_counters {
	uint32_t open;
	uint32_t open_peak;
	uint64_t accepted;
	/* Reset because of connections_max. */
	uint64_t refused;
};

struct http *http_new(struct err *err);
void http_free(struct http *h);
/* Closes all listeners and connections, with calls of gone(). */
void http_close(struct http *h);
struct timer_queue *http_timers(struct http *h);
/* Serves until http_stop(), SIGTERM, SIGINT, or the end of @run_s seconds. */
void http_run(struct http *h, uint32_t run_s);
void http_stop(struct http *h);
/* Calls @fn, if not NULL, after each round of events and timers. */
void http_after_round(struct http *h, void (*fn)(void *ctx), void *ctx);

/*
 * Listens on the IPv4 @address; @port 0 picks a free one. NULL with ERR_SETTING
 * for another address, with ERR_IO when it cannot listen, as on a taken port.
 */
struct http_listener *http_listen(struct http *h, const char *address,
				  uint16_t port, const struct http_service *s,
				  struct err *err);
uint16_t http_port(const struct http_listener *l);
const struct http_counters *http_counters(const struct http_listener *l);
/* Sets open_peak to the connections open now and the sums to 0. */
void http_reset_counters(struct http_listener *l);
/* The listener's copy of its service, which may be changed. */
struct http_service *http_service(struct http_listener *l);
/* Stops listening and resets the open connections, until http_reopen(). */
void http_shut(struct http_listener *l);
enum err_code http_reopen(struct http_listener *l, struct err *err);
/* Never again reads or answers on the open connections; new ones work. */
void http_silence_all(struct http_listener *l);
/* With @on, silences the open connections and all new ones until it is off. */
void http_blackhole(struct http_listener *l, int on);

/* Answers the request of @c with a JSON body. */
void http_reply(struct http_conn *c, uint32_t status, const char *body,
		size_t body_bytes, enum http_manner manner);
/* Like http_reply(), with the header lines @fields, each ending in "\r\n". */
void http_reply_fields(struct http_conn *c, uint32_t status, const char *fields,
		       const char *body, size_t body_bytes,
		       enum http_manner manner);
/* Like http_reply(), with a formatted body of less than 1024 bytes. */
void http_replyf(struct http_conn *c, uint32_t status, const char *fmt, ...)
	PRINTF_LIKE(3, 4);
/* Resets the connection without an answer. */
void http_drop(struct http_conn *c);
/* Like http_silence_all() for one connection. */
void http_silence(struct http_conn *c);
/* A pointer for the service's use; NULL at first and after each answer. */
void http_set_user(struct http_conn *c, void *user);
void *http_user(const struct http_conn *c);

/* Copies the value of header @name; 0 when it is absent or too long. */
int http_request_field(const struct http_request *r, const char *name,
		       char *out, size_t size_bytes);
/* Copies the value of @name in @query, cut to fit @out; 0 when it is absent. */
int http_query_value(const char *query, const char *name, char *out,
		     size_t size_bytes);

#endif
