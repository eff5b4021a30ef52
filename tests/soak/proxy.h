/*
 * Loopback proxy between a host and one of its dependencies: one thread for
 * all of its links, whose connections can be delayed, reset, cut in one
 * direction or silenced.
 */
#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <stdint.h>

#include "base/err.h"

/* DEF(id, name) */
#define PROXY_MODES(DEF)                                           \
	DEF(PROXY_PASS, "pass")                                    \
	DEF(PROXY_DELAY, "delay") /* both directions */            \
	DEF(PROXY_RESET, "reset") /* open and new connections */   \
	DEF(PROXY_SILENT, "silent") /* those open now, for good */ \
	DEF(PROXY_CUT, "cut") /* nothing passes */                 \
	DEF(PROXY_ONE_WAY, "one_way") /* answers are lost */

enum proxy_mode {
#define DEF(id, name) id,
	PROXY_MODES(DEF)
#undef DEF
		PROXY_MODE_COUNT
};

struct proxy;
struct proxy_link;

struct proxy *proxy_new(struct err *err);
/* Ends the thread and all links. */
void proxy_free(struct proxy *p);
/* Listens at @address, port @port (0: any), for @to_port of 127.0.0.1. */
struct proxy_link *proxy_add(struct proxy *p, const char *address,
			     uint16_t port, uint16_t to_port, struct err *err);
uint16_t proxy_port(const struct proxy_link *l);
/* Any thread; takes effect within a few ms. */
void proxy_set(struct proxy_link *l, enum proxy_mode mode, uint32_t delay_ms);
const char *proxy_mode_name(enum proxy_mode mode);

#endif
