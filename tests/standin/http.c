/* Event loop and listeners of the stand-ins' HTTP server. */
#include "http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "base/clock.h"
#include "http_conn.h"

#define EVENTS_PER_WAIT 128
#define BACKLOG 1024
#define NS_PER_US 1000

struct http {
	enum http_kind kind;
	int epoll;
	int timer;
	/*
	 * Time to which the timer descriptor is set; -1: not set, -2: expired.
	 */
	int64_t timer_at_us;
	struct timer_queue *timers;
	struct http_listener *listeners;
	/* Connections closed in this round; freed at its end. */
	struct http_conn *closed;
	int stopping;
	void (*after)(void *ctx);
	void *after_ctx;
};

static volatile sig_atomic_t signalled;

static void on_signal(int number)
{
	signalled = 1;
}

int http_epoll(struct http *h)
{
	return h->epoll;
}

struct timer_queue *http_timers(struct http *h)
{
	return h->timers;
}

void http_defer_free(struct http *h, struct http_conn *c)
{
	c->next = h->closed;
	h->closed = c;
}

static void free_closed(struct http *h)
{
	while (h->closed) {
		struct http_conn *c = h->closed;

		h->closed = c->next;
		conn_free(c);
	}
}

struct http *http_new(struct err *err)
{
	struct http *h = util_alloc(1, sizeof(*h));
	struct epoll_event ev = { .events = EPOLLIN, .data.ptr = h };

	h->kind = HTTP_KIND_TIMER;
	h->timer_at_us = -1;
	h->timers = timer_queue_new();
	h->epoll = epoll_create1(EPOLL_CLOEXEC);
	/*
	 * The timeout of epoll has steps of 1 ms, too coarse for service times.
	 */
	h->timer = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	if (h->epoll < 0 || h->timer < 0 ||
	    epoll_ctl(h->epoll, EPOLL_CTL_ADD, h->timer, &ev) < 0) {
		err_set(err, ERR_IO, "epoll: %s", strerror(errno));
		http_free(h);
		return NULL;
	}
	return h;
}

static void close_conns(struct http_listener *l)
{
	while (l->conns)
		conn_close(l->conns, 1);
}

void http_shut(struct http_listener *l)
{
	if (l->fd >= 0)
		close(l->fd);
	l->fd = -1;
	close_conns(l);
}

void http_close(struct http *h)
{
	struct http_listener *l;

	for (l = h->listeners; l; l = l->next)
		http_shut(l);
	free_closed(h);
}

void http_free(struct http *h)
{
	struct http_listener *l;

	if (!h)
		return;
	http_close(h);
	while ((l = h->listeners) != NULL) {
		h->listeners = l->next;
		free(l);
	}
	if (h->epoll >= 0)
		close(h->epoll);
	if (h->timer >= 0)
		close(h->timer);
	timer_queue_free(h->timers);
	free(h);
}

static enum err_code open_listener(struct http_listener *l, struct err *err)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_port = htons(l->port) };
	socklen_t at_bytes = sizeof(at);
	struct epoll_event ev = { .events = EPOLLIN, .data.ptr = l };
	int on = 1;

	if (inet_pton(AF_INET, l->address, &at.sin_addr) != 1)
		return err_set(err, ERR_SETTING, "address %s is not IPv4",
			       l->address);
	l->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (l->fd < 0)
		return err_set(err, ERR_IO, "socket: %s", strerror(errno));
	setsockopt(l->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(l->fd, (struct sockaddr *)&at, sizeof(at)) < 0 ||
	    listen(l->fd, BACKLOG) < 0 ||
	    getsockname(l->fd, (struct sockaddr *)&at, &at_bytes) < 0 ||
	    epoll_ctl(l->http->epoll, EPOLL_CTL_ADD, l->fd, &ev) < 0) {
		err_set(err, ERR_IO, "listen on %s:%u: %s", l->address, l->port,
			strerror(errno));
		close(l->fd);
		l->fd = -1;
		return ERR_IO;
	}
	l->port = ntohs(at.sin_port);
	return ERR_OK;
}

struct http_listener *http_listen(struct http *h, const char *address,
				  uint16_t port, const struct http_service *s,
				  struct err *err)
{
	struct http_listener *l = util_alloc(1, sizeof(*l));

	l->kind = HTTP_KIND_LISTENER;
	l->http = h;
	l->service = *s;
	l->port = port;
	util_copy_str(l->address, sizeof(l->address), address);
	if (open_listener(l, err) != ERR_OK) {
		free(l);
		return NULL;
	}
	l->next = h->listeners;
	h->listeners = l;
	return l;
}

uint16_t http_port(const struct http_listener *l)
{
	return l->port;
}

const struct http_counters *http_counters(const struct http_listener *l)
{
	return &l->counters;
}

void http_reset_counters(struct http_listener *l)
{
	uint32_t open = l->counters.open;

	l->counters = (struct http_counters){ .open = open, .open_peak = open };
}

struct http_service *http_service(struct http_listener *l)
{
	return &l->service;
}

enum err_code http_reopen(struct http_listener *l, struct err *err)
{
	return l->fd >= 0 ? ERR_OK : open_listener(l, err);
}

void http_silence_all(struct http_listener *l)
{
	struct http_conn *c;

	for (c = l->conns; c; c = c->next)
		http_silence(c);
}

void http_blackhole(struct http_listener *l, int on)
{
	l->blackhole = on;
	if (on)
		http_silence_all(l);
}

static void reset_socket(int fd)
{
	struct linger abort_now = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort_now, sizeof(abort_now));
	close(fd);
}

static void accept_all(struct http_listener *l)
{
	struct http_counters *counters = &l->counters;
	int on = 1;
	int fd;

	while (l->fd >= 0 &&
	       (fd = accept4(l->fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		if (l->service.connections_max &&
		    counters->open >= l->service.connections_max) {
			counters->refused++;
			reset_socket(fd);
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		counters->accepted++;
		counters->open++;
		counters->open_peak =
			util_max_u32(counters->open_peak, counters->open);
		conn_new(l, fd, l->blackhole);
	}
}

static void set_timer(struct http *h)
{
	struct itimerspec spec = { 0 };
	int64_t at_us = timer_queue_next_us(h->timers);

	if (at_us == h->timer_at_us)
		return;
	h->timer_at_us = at_us;
	if (at_us >= 0) {
		at_us = util_max_i64(1, at_us);
		spec.it_value.tv_sec = at_us / US_PER_S;
		spec.it_value.tv_nsec = at_us % US_PER_S * NS_PER_US;
	}
	timerfd_settime(h->timer, TFD_TIMER_ABSTIME, &spec, NULL);
}

static void handle_event(struct http *h, const struct epoll_event *ev)
{
	switch (*(enum http_kind *)ev->data.ptr) {
	case HTTP_KIND_LISTENER:
		accept_all(ev->data.ptr);
		break;
	case HTTP_KIND_CONN:
		conn_event(ev->data.ptr, ev->events);
		break;
	case HTTP_KIND_TIMER:
		/*
		 * Makes set_timer() set it again, which clears the expiration.
		 */
		h->timer_at_us = -2;
		break;
	}
}

/*
 * Blocks SIGTERM and SIGINT except in @during_wait, the mask for epoll_pwait().
 */
static void catch_signals(sigset_t *during_wait)
{
	struct sigaction act = { .sa_handler = on_signal };
	sigset_t blocked;

	sigaction(SIGTERM, &act, NULL);
	sigaction(SIGINT, &act, NULL);
	sigemptyset(&blocked);
	sigaddset(&blocked, SIGTERM);
	sigaddset(&blocked, SIGINT);
	sigprocmask(SIG_BLOCK, &blocked, during_wait);
	sigdelset(during_wait, SIGTERM);
	sigdelset(during_wait, SIGINT);
}

static void run_time_over(void *ctx, int64_t now_us)
{
	http_stop(ctx);
}

void http_run(struct http *h, uint32_t run_s)
{
	struct epoll_event events[EVENTS_PER_WAIT];
	struct timer_entry end = { 0 };
	sigset_t during_wait;

	catch_signals(&during_wait);
	timer_queue_arm(h->timers, &end,
			clock_now_us() + (int64_t)run_s * US_PER_S,
			run_time_over, h);
	while (!h->stopping && !signalled) {
		int i;
		int n;

		set_timer(h);
		n = epoll_pwait(h->epoll, events, EVENTS_PER_WAIT, -1,
				&during_wait);
		for (i = 0; i < n; i++)
			handle_event(h, &events[i]);
		timer_queue_run(h->timers, clock_now_us());
		if (h->after)
			h->after(h->after_ctx);
		free_closed(h);
	}
	timer_queue_cancel(h->timers, &end);
}

void http_stop(struct http *h)
{
	h->stopping = 1;
}

void http_after_round(struct http *h, void (*fn)(void *ctx), void *ctx)
{
	h->after = fn;
	h->after_ctx = ctx;
}

int http_query_value(const char *query, const char *name, char *out,
		     size_t size_bytes)
{
	size_t len = strlen(name);
	const char *at = query;

	while (at && *at) {
		size_t item_bytes = strcspn(at, "&");

		if (strncmp(at, name, len) == 0 && at[len] == '=') {
			size_t n = item_bytes - len - 1;

			if (n >= size_bytes)
				n = size_bytes - 1;
			memcpy(out, at + len + 1, n);
			out[n] = '\0';
			return 1;
		}
		at += item_bytes;
		if (*at == '&')
			at++;
	}
	return 0;
}
