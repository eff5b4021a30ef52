#include "duty/peer_fetch.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#include "base/addr.h"
#include "base/metric.h"
#include "codec/peer_msg.h"
#include "duty/duty.h"
#include "duty/messages.h"
#include "duty/peer_messages.h"

/*
 * The control duty waits for one pull at a time; the others in the ring are
 * pulls that it has given up.
 */
#define RING_CAPACITY 16

struct peer_fetch {
	struct duty *duty;
};

static int wait_connected(int fd)
{
	struct pollfd p = { .fd = fd, .events = POLLOUT };
	socklen_t len = sizeof(int);
	int error = 0;

	if (poll(&p, 1, PEER_FETCH_CONNECT_MS) != 1 ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0)
		return 0;
	return error == 0;
}

/* Returns a connected, blocking socket, or -1. */
static int connect_to(const struct peer_address *to)
{
	struct sockaddr_storage address;
	socklen_t len = addr_parse(to->address, to->port, &address);
	int fd;

	if (!len)
		return -1;
	fd = socket(address.ss_family,
		    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	if ((connect(fd, (struct sockaddr *)&address, len) != 0 &&
	     errno != EINPROGRESS) ||
	    !wait_connected(fd) ||
	    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

static struct cfg_delta *call(CLIENT *c, const struct config_fetch *f,
			      struct err *err)
{
	peer_fetch_args args = { f->rev, f->change_id, f->after_rev };
	struct timeval wait = { PEER_FETCH_ANSWER_MS / MS_PER_S,
				PEER_FETCH_ANSWER_MS % MS_PER_S * US_PER_MS };
	peer_config config = { 0 };
	struct cfg_delta *delta = NULL;
	enum clnt_stat status =
		clnt_call(c, FETCH_CONFIG, (xdrproc_t)xdr_peer_fetch_args,
			  &args, (xdrproc_t)peer_msg_xdr_config, &config, wait);

	metric_add(METRIC_PEER_MESSAGES_SENT, 1);
	metric_add(METRIC_PEER_SENT_BYTES,
		   PEER_MSG_CALL_HEADER_BYTES + sizeof(args));
	if (status == RPC_SUCCESS) {
		metric_add(METRIC_PEER_MESSAGES_RECEIVED, 1);
		metric_add(METRIC_PEER_RECEIVED_BYTES,
			   xdr_sizeof((xdrproc_t)xdr_peer_config, &config));
		delta = peer_msg_to_delta(&config, err);
	} else {
		err_set(err, ERR_PEER_RPC, "host %s: %s", f->host,
			clnt_sperrno(status));
	}
	xdr_free((xdrproc_t)xdr_peer_config, (char *)&config);
	return delta;
}

static struct cfg_delta *fetch(const struct config_fetch *f, struct err *err)
{
	struct sockaddr_storage address;
	struct netbuf to = { sizeof(address), 0, &address };
	int fd = connect_to(&f->from);
	struct cfg_delta *delta;
	CLIENT *c;

	to.len = addr_parse(f->from.address, f->from.port, &address);
	if (fd < 0) {
		err_set(err, ERR_PEER_RPC, "host %s: cannot connect", f->host);
		return NULL;
	}
	c = clnt_vc_create(fd, &to, COWSLIPPOINT_PEER, PEER_V1, 0, 0);
	if (!c) {
		close(fd);
		err_set(err, ERR_PEER_RPC,
			"host %s: cannot create an RPC client", f->host);
		return NULL;
	}
	clnt_control(c, CLSET_FD_CLOSE, NULL);
	delta = call(c, f, err);
	clnt_destroy(c);
	return delta;
}

static void drop_result(void *body)
{
	config_fetch_result_free(body);
}

static void on_message(void *ctx, int64_t now_us, struct msg *m)
{
	struct config_fetch *f = m->body;
	struct config_fetch_result *result;
	struct msg reply = { MSG_CONFIG_FETCH_RESULT, NULL, drop_result };

	if (m->type != MSG_CONFIG_FETCH) {
		if (m->drop)
			m->drop(m->body);
		return;
	}
	peer_block_sigpipe();
	result = util_alloc(1, sizeof(*result));
	result->call_id = f->call_id;
	util_copy_str(result->host, sizeof(result->host), f->host);
	result->delta = fetch(f, &result->err);
	if (!result->delta)
		metric_add(METRIC_PEER_ERRORS, 1);
	reply.body = result;
	/* Without a result the control duty gives the pull up by itself. */
	if (ring_push(f->reply_to, &reply) != ERR_OK)
		config_fetch_result_free(result);
	free(f);
}

struct peer_fetch *peer_fetch_new(struct err *err)
{
	struct peer_fetch *p = util_alloc(1, sizeof(*p));

	p->duty = duty_new("peer_fetch", RING_CAPACITY, NULL, NULL, err);
	if (!p->duty) {
		free(p);
		return NULL;
	}
	return p;
}

enum err_code peer_fetch_start(struct peer_fetch *p, struct err *err)
{
	return duty_start(p->duty, on_message, p, err);
}

struct ring *peer_fetch_ring(struct peer_fetch *p)
{
	return duty_ring(p->duty);
}

void peer_fetch_stop(struct peer_fetch *p)
{
	duty_stop(p->duty);
}

void peer_fetch_join(struct peer_fetch *p)
{
	duty_join(p->duty);
}

void peer_fetch_free(struct peer_fetch *p)
{
	if (!p)
		return;
	duty_free(p->duty);
	free(p);
}
