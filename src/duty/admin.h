/*
 * The admin port: GET /metrics, GET /healthz and the admin API, whose calls
 * are handed to the control duty as struct admin_call. libmicrohttpd serves the
 * port on a polling thread of its own; a connection is suspended until the
 * control duty has replied.
 *
 * Without a token the port is only served on a loopback address. With a token,
 * everything but /healthz needs "Authorization: Bearer TOKEN".
 */
#ifndef ADMIN_H
#define ADMIN_H

#include <stdint.h>

#include "base/err.h"
#include "base/ring.h"
#include "model/name.h"

/*
 * Longest body of a call. A layout of 4,096 shards fits; the store takes values
 * of up to 1 MB.
 */
#define ADMIN_BODY_BYTES_MAX 1048576
#define ADMIN_TOKEN_BYTES 129

struct admin_options {
	/* IP number to listen on. */
	char address[ADDRESS_BYTES];
	/* 0 takes any free port. */
	uint16_t port;
	/* Empty: the clients need no token. */
	char token[ADMIN_TOKEN_BYTES];
	/* Inbound ring of the control duty. */
	struct ring *control;
};

struct admin;

/*
 * Returns NULL with ERR_SETTING (address, missing token) or ERR_IO (port in
 * use) in @err.
 */
struct admin *admin_new(const struct admin_options *options, struct err *err);
/*
 * Ends the thread and frees @a. Calls that the control duty has not answered
 * get ERR_STOPPING; a later reply to them is ignored.
 */
void admin_free(struct admin *a);
/* Port that the server listens on. */
uint16_t admin_port(const struct admin *a);
/*
 * Sets the answer of /healthz: status 200 for ERR_OK, else status 503 with
 * @code in the body.
 */
void admin_set_health(struct admin *a, enum err_code code);
/*
 * 1: /healthz answers 503 although the host still serves, so that the load
 * balancer sends callers elsewhere.
 */
void admin_set_out_of_service(struct admin *a, uint32_t is_out);

#endif
