/*
 * Poll set of a duty that owns sockets: level-triggered epoll and an eventfd
 * that lets the duty's ring end the wait. One thread owns it; only
 * poller_wake() may be called from others.
 */
#ifndef POLLER_H
#define POLLER_H

#include <stdint.h>

#include "base/err.h"

struct poller;

/* @events: EPOLL* bits. The handler may remove or free any item. */
typedef void poller_fn(void *ctx, uint32_t events, int64_t now_us);

/* Embedded in the owner of the descriptor. */
struct poller_item {
	int fd;
	uint32_t events;
	poller_fn *fn;
	void *ctx;
};

struct poller *poller_new(struct err *err);
void poller_free(struct poller *p);

/* Registers item->fd; fn and ctx are set by the caller. */
enum err_code poller_add(struct poller *p, struct poller_item *item,
			 uint32_t events, struct err *err);
/* Changes the events of interest; does nothing when they stay the same. */
void poller_set_events(struct poller *p, struct poller_item *item,
		       uint32_t events);
/* Unregisters @item; events of it that were already read are dropped. */
void poller_remove(struct poller *p, struct poller_item *item);
/* Waits up to @wait_us (-1: without limit) and runs the handlers. */
void poller_wait(struct poller *p, int64_t wait_us);
/* Ends poller_wait(); a ring_wake_fn. */
void poller_wake(void *poller);

#endif
