/*
 * Poll set of a duty that owns sockets: level-triggered epoll, and an eventfd
 * by which a push onto the duty's ring ends the wait. It belongs to the duty's
 * thread; only poller_wake() may be called from other threads.
 */
#ifndef POLLER_H
#define POLLER_H

#include <stdint.h>

#include "base/err.h"

struct poller;

/*
 * Handler of events of a descriptor. @events: EPOLL* bits. The handler may
 * remove any item from the poller and free it.
 */
typedef void poller_fn(void *ctx, uint32_t events, int64_t now_us);

/* One descriptor of the set; embedded in the struct that owns it. */
struct poller_item {
	int fd;
	/* EPOLL* bits that are waited for; set by the poller. */
	uint32_t events;
	poller_fn *fn;
	void *ctx;
};

/* NULL with ERR_IO in @err if the system refuses. */
struct poller *poller_new(struct err *err);
void poller_free(struct poller *p);

/* Registers item->fd for @events; the caller has set fd, fn and ctx. */
enum err_code poller_add(struct poller *p, struct poller_item *item,
			 uint32_t events, struct err *err);
/* Changes the events to wait for; does nothing if they stay the same. */
void poller_set_events(struct poller *p, struct poller_item *item,
		       uint32_t events);
/* Unregisters @item; its events that poller_wait() has read are dropped. */
void poller_remove(struct poller *p, struct poller_item *item);
/*
 * Waits for events and runs the handlers: up to @wait_us, rounded up to whole
 * ms, but at most 60 s; -1: without limit.
 */
void poller_wait(struct poller *p, int64_t wait_us);
/* Ends the wait of poller_wait() on @poller; a ring_wake_fn. */
void poller_wake(void *poller);

#endif
