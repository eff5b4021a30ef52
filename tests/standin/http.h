/*
 * Small HTTP/1.1 server of the stand-ins: one thread, one epoll set, one timer
 * service, any number of listeners. An answer may be given at once or later,
 * and a connection may be made to misbehave in ways a library does not offer.
 */
#ifndef STANDIN_HTTP_H
#define STANDIN_HTTP_H

#include <stddef.h>
#include <stdint.h>

#include "base/err.h"
#include "base/timer_queue.h"

/* Larger than a store value of 1 MB with every byte escaped as \u00XX. */
#define HTTP_BODY_BYTES_MAX (8u << 20)

struct http;
struct http_conn;
struct http_listener;

/* Valid during the handler only; strings are NUL-terminated. */
struct http_request {
	const char *method;
	const char *path;
	/* Text after '?', or "". */
	const char *query;
	const char *body;
	size_t body_bytes;
	/* Header lines; read them with http_request_field(). */
	const char *head;
};

/* How an answer is put on the wire. */
enum http_manner {
	HTTP_WHOLE,
	HTTP_TWICE, /* the same answer two times */
	HTTP_HALF /* announces the whole body, sends half of it, closes */
};

struct http_service {
	/* Must lead to one http_reply(), http_drop() or http_silence(). */
	void (*request)(void *ctx, struct http_conn *c,
			const struct http_request *r);
	/* The client closed while its request was not answered; may be NULL. */
	void (*gone)(void *ctx, struct http_conn *c);
	void *ctx;
	/* 0: no limit. Connections above it are reset. */
	uint32_t connections_max;
	/* Time from accepting a connection to reading from it. */
	uint32_t connect_us;
};

struct http_counters {
	uint32_t open;
	uint32_t open_peak;
	uint64_t accepted;
	uint64_t refused;
};

struct http *http_new(struct err *err);
void http_free(struct http *h);
/* Closes all listeners and connections; the callback gone still runs. */
void http_close(struct http *h);
struct timer_queue *http_timers(struct http *h);
/* Serves until http_stop(), SIGTERM, SIGINT or @run_s seconds passed. */
void http_run(struct http *h, uint32_t run_s);
void http_stop(struct http *h);
/* @fn, if not NULL, runs after each round of events and timers. */
void http_after_round(struct http *h, void (*fn)(void *ctx), void *ctx);

/* @port 0 picks a free one. NULL with ERR_IO when the port is taken. */
struct http_listener *http_listen(struct http *h, const char *address,
				  uint16_t port, const struct http_service *s,
				  struct err *err);
uint16_t http_port(const struct http_listener *l);
const struct http_counters *http_counters(const struct http_listener *l);
/* Peaks start at what is open now, the rest at 0. */
void http_reset_counters(struct http_listener *l);
struct http_service *http_service(struct http_listener *l);
/* Refuses connections and resets the open ones, until http_reopen(). */
void http_shut(struct http_listener *l);
enum err_code http_reopen(struct http_listener *l, struct err *err);
/* Open connections neither answer nor close any more; new ones work. */
void http_silence_all(struct http_listener *l);
/* Silences open connections and, while @on, all that are opened. */
void http_blackhole(struct http_listener *l, int on);

void http_reply(struct http_conn *c, uint32_t status, const char *body,
		size_t body_bytes, enum http_manner manner);
/* Like http_reply() with header lines @fields, each with "\r\n". */
void http_reply_fields(struct http_conn *c, uint32_t status, const char *fields,
		       const char *body, size_t body_bytes,
		       enum http_manner manner);
void http_replyf(struct http_conn *c, uint32_t status, const char *fmt, ...)
	PRINTF_LIKE(3, 4);
/* Resets the connection without an answer. */
void http_drop(struct http_conn *c);
/* Like http_silence_all() for one connection. */
void http_silence(struct http_conn *c);
/* Pointer of the service, NULL at first and after each answer. */
void http_set_user(struct http_conn *c, void *user);
void *http_user(const struct http_conn *c);

/* Copies the value of header @name; 0 when it is not there or too long. */
int http_request_field(const struct http_request *r, const char *name,
		       char *out, size_t size_bytes);
/* Copies the value of @name in a query string; 0 when it is not there. */
int http_query_value(const char *query, const char *name, char *out,
		     size_t size_bytes);

#endif
