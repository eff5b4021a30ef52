/*
 * The admin port: GET /metrics, GET /healthz and the admin API, whose calls
 * are handed to the control duty as struct admin_call. Runs libmicrohttpd's
 * own polling thread; a connection is suspended until control has replied.
 *
 * Without a token the port is only served on a loopback address. With one,
 * everything but /healthz needs "Authorization: Bearer TOKEN".
 */
#ifndef ADMIN_H
#define ADMIN_H

#include <stdint.h>

#include "base/err.h"
#include "base/ring.h"
#include "model/name.h"

/* A layout of 4,096 shards fits; the store takes values up to 1 MB. */
#define ADMIN_BODY_BYTES_MAX 1048576
#define ADMIN_TOKEN_BYTES 129

struct admin_options {
	/* IP number to listen on. */
	char address[ADDRESS_BYTES];
	/* 0: any free port. */
	uint16_t port;
	/* Empty: no token. */
	char token[ADMIN_TOKEN_BYTES];
	/* Inbound ring of the control duty. */
	struct ring *control;
};

struct admin;

/* NULL and ERR_SETTING (address, token) or ERR_IO (port in use). */
struct admin *admin_new(const struct admin_options *o, struct err *err);
/*
 * Ends the thread and frees. Calls that control has not answered get
 * ERR_STOPPING; a later reply to them is ignored.
 */
void admin_free(struct admin *a);
uint16_t admin_port(const struct admin *a);
/* What /healthz answers: 200 for ERR_OK, else the number with status 503. */
void admin_set_health(struct admin *a, enum err_code code);
/* 1: /healthz answers 503 although the host serves, so that callers move. */
void admin_set_out_of_service(struct admin *a, uint32_t is_out);

#endif
