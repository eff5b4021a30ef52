/*
 * The caller duty: the HTTP server of the caller API. One thread runs
 * libmicrohttpd on an epoll descriptor; answers reach it through its ring.
 */
#ifndef CALLER_DUTY_H
#define CALLER_DUTY_H

#include <stdint.h>

#include "base/err.h"
#include "base/ring.h"

struct caller_duty;

struct caller_options {
	/* IP number and port to listen on; port 0 takes a free one. */
	const char *address;
	uint16_t port;
	/* Requests in flight at once; further ones are refused. */
	uint32_t open_max;
	/* Ring of the request duty. */
	struct ring *request;
};

struct caller_duty *caller_duty_new(const struct caller_options *options,
				    struct err *err);
enum err_code caller_duty_start(struct caller_duty *c, struct err *err);
/* Port that the server listens on. */
uint16_t caller_duty_port(const struct caller_duty *c);
/* Requests that are not answered yet. Any thread. */
uint32_t caller_duty_open_count(const struct caller_duty *c);
/* From now on each answer asks the caller to close the connection. */
void caller_duty_drain(struct caller_duty *c);
/* Ends the thread; call when no request is in flight. */
void caller_duty_stop(struct caller_duty *c);
void caller_duty_free(struct caller_duty *c);

#endif
