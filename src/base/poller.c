#include "base/poller.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/util.h"

#define EVENTS_PER_WAIT 64

struct poller {
	int epoll_fd;
	struct poller_item wake;
	/*
	 * Events that are being handled. poller_remove() clears the pointers to
	 * an item that is removed meanwhile.
	 */
	struct epoll_event batch[EVENTS_PER_WAIT];
	int batch_count;
};

static void on_wake(void *ctx, uint32_t events, int64_t now_us)
{
	struct poller *p = ctx;
	uint64_t count;

	/* Resets the counter of the eventfd; its value is not needed. */
	while (read(p->wake.fd, &count, sizeof(count)) < 0 && errno == EINTR)
		;
}

struct poller *poller_new(struct err *err)
{
	struct poller *p = util_alloc(1, sizeof(*p));

	p->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	p->wake = (struct poller_item){ .fd = eventfd(0, EFD_NONBLOCK |
								 EFD_CLOEXEC),
					.fn = on_wake,
					.ctx = p };
	if (p->epoll_fd < 0 || p->wake.fd < 0) {
		err_set(err, ERR_IO, "cannot create a poll set: %s",
			strerror(errno));
		poller_free(p);
		return NULL;
	}
	if (poller_add(p, &p->wake, EPOLLIN, err) != ERR_OK) {
		poller_free(p);
		return NULL;
	}
	return p;
}

void poller_free(struct poller *p)
{
	if (!p)
		return;
	if (p->wake.fd >= 0)
		close(p->wake.fd);
	if (p->epoll_fd >= 0)
		close(p->epoll_fd);
	free(p);
}

enum err_code poller_add(struct poller *p, struct poller_item *item,
			 uint32_t events, struct err *err)
{
	struct epoll_event event = { .events = events, .data.ptr = item };

	item->events = events;
	if (epoll_ctl(p->epoll_fd, EPOLL_CTL_ADD, item->fd, &event) < 0)
		return err_set(err, ERR_IO, "cannot poll descriptor %d: %s",
			       item->fd, strerror(errno));
	return ERR_OK;
}

void poller_set_events(struct poller *p, struct poller_item *item,
		       uint32_t events)
{
	struct epoll_event event = { .events = events, .data.ptr = item };

	if (item->events == events)
		return;
	item->events = events;
	epoll_ctl(p->epoll_fd, EPOLL_CTL_MOD, item->fd, &event);
}

void poller_remove(struct poller *p, struct poller_item *item)
{
	int i;

	epoll_ctl(p->epoll_fd, EPOLL_CTL_DEL, item->fd, NULL);
	for (i = 0; i < p->batch_count; i++) {
		if (p->batch[i].data.ptr == item)
			p->batch[i].data.ptr = NULL;
	}
}

static int wait_ms(int64_t wait_us)
{
	if (wait_us < 0)
		return -1;
	/* Rounds up, so that the next timer is due when the wait ends. */
	return (int)util_min_i64((wait_us + US_PER_MS - 1) / US_PER_MS, 60000);
}

void poller_wait(struct poller *p, int64_t wait_us)
{
	int64_t now_us;
	int i;

	p->batch_count = epoll_wait(p->epoll_fd, p->batch, EVENTS_PER_WAIT,
				    wait_ms(wait_us));
	now_us = clock_now_us();
	for (i = 0; i < p->batch_count; i++) {
		struct poller_item *item = p->batch[i].data.ptr;

		if (item)
			item->fn(item->ctx, p->batch[i].events, now_us);
	}
	p->batch_count = 0;
}

void poller_wake(void *poller)
{
	struct poller *p = poller;
	uint64_t one = 1;

	while (write(p->wake.fd, &one, sizeof(one)) < 0 && errno == EINTR)
		;
}
