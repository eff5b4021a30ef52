/*
 * HTTP server for tests of HTTP clients: one thread, which answers each request
 * as the test's callback says.
 */
#ifndef FAKE_HTTP_H
#define FAKE_HTTP_H

#include <stdint.h>

#include "base/util.h"

struct fake_request {
	/* Number of the connection, and of the request on it; both from 0. */
	uint32_t connection;
	uint32_t on_connection;
	/* Number of the request on all connections, from 0. */
	uint32_t number;
	/* Method and path with query, for example "GET /a?b=c". */
	char line[512];
	/* As received; "" without a body. */
	const char *body;
	/* Header lines of the answer may be added for FAKE_REPLY. */
	struct buf *fields;
};

/*
 * Answer; send @out as it is and close the connection; close it; or leave it
 * open without an answer.
 */
enum fake_action { FAKE_REPLY, FAKE_RAW, FAKE_CLOSE, FAKE_SILENT };

/*
 * Runs on the server's thread; fills @status and @out for FAKE_REPLY, @out for
 * FAKE_RAW.
 */
typedef enum fake_action fake_http_fn(void *ctx, const struct fake_request *r,
				      uint32_t *status, struct buf *out);

struct fake_http;

struct fake_http *fake_http_new(fake_http_fn *fn, void *ctx);
uint16_t fake_http_port(const struct fake_http *f);
void fake_http_free(struct fake_http *f);

#endif
