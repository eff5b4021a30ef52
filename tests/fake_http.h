/*
 * HTTP server with canned behaviour for tests of HTTP clients: one thread,
 * each request is answered as the test's callback says.
 */
#ifndef FAKE_HTTP_H
#define FAKE_HTTP_H

#include <stdint.h>

#include "base/util.h"

struct fake_request {
	/* Number of the connection and of the request on it, from 0. */
	uint32_t connection;
	uint32_t on_connection;
	/* Number of the request since the start, from 0. */
	uint32_t number;
	/* Method, path with query, and body as received. */
	char line[512];
	const char *body;
};

enum fake_action { FAKE_REPLY, FAKE_CLOSE, FAKE_SILENT };

/* Runs on the server's thread; fills @status and @out for FAKE_REPLY. */
typedef enum fake_action fake_http_fn(void *ctx, const struct fake_request *r,
				      uint32_t *status, struct buf *out);

struct fake_http;

struct fake_http *fake_http_new(fake_http_fn *fn, void *ctx);
uint16_t fake_http_port(const struct fake_http *f);
void fake_http_free(struct fake_http *f);

#endif
