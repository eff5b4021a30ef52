/*
 * One HTTP/1.1 connection to a target without its socket: which bytes are sent,
 * what the bytes that come in mean for the call in flight, and whether the
 * connection carries the next call. The egress duty moves the bytes and closes
 * the socket; tests play both ends in memory.
 */
#ifndef TARGET_CONN_H
#define TARGET_CONN_H

#include <stdint.h>

#include "codec/http1.h"
#include "decide/reuse.h"
#include "model/exchange.h"

enum target_conn_state {
	TARGET_CONN_CONNECTING,
	/* A call is in flight. */
	TARGET_CONN_BUSY,
	TARGET_CONN_IDLE,
	/* The socket has to be closed; there is no call. */
	TARGET_CONN_CLOSED
};

/*
 * The call has ended: with a reply, or with the reason why there is none. Takes
 * ownership of @r. The call is still valid.
 */
typedef void target_conn_reply_fn(void *ctx, struct target_reply *r);

struct target_conn {
	enum target_conn_state state;
	struct http1_reader h1;
	struct reuse reuse;
	struct buf out;
	/* Bytes of @out that the socket has taken. */
	size_t out_sent_bytes;
	/* The call in flight, owned; NULL while there is none. */
	struct target_call *call;
	/* Time at which the latest call was sent. */
	int64_t sent_us;
	/* Idle time after which the target, or this host, wants it closed. */
	uint32_t idle_timeout_ms;
	target_conn_reply_fn *reply;
	void *reply_ctx;
};

/* A connection that is being opened for @call, which it takes over. */
void target_conn_init(struct target_conn *c, struct target_call *call,
		      target_conn_reply_fn *reply, void *ctx);
/* Drops the call, if there is one, without a reply. */
void target_conn_clear(struct target_conn *c);

/*
 * The connection was opened. The call fails, and the connection with it, if it
 * cannot be written as a request; so it does in target_conn_send().
 */
void target_conn_connected(struct target_conn *c, int64_t now_us);
/* Sends @call, which it takes over, on an idle connection. */
void target_conn_send(struct target_conn *c, struct target_call *call,
		      int64_t now_us);
/* Bytes that are to be sent now; their number goes to @len. */
const char *target_conn_unsent(const struct target_conn *c, size_t *len);
/* The socket has taken @len more bytes. */
void target_conn_written(struct target_conn *c, size_t len);
void target_conn_received(struct target_conn *c, const char *data, size_t len,
			  int64_t now_us);
/* The target has closed its side. */
void target_conn_ended(struct target_conn *c, int64_t now_us);
/* Fails the call, if there is one, and the connection. */
void target_conn_fail(struct target_conn *c, enum err_code code);
/* Memory that the connection holds for messages; a few KB while it is idle. */
size_t target_conn_held_bytes(const struct target_conn *c);
/* Memory that the unfinished answer holds. */
size_t target_conn_buffered_bytes(const struct target_conn *c);

#endif
