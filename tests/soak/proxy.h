/*
 * Loopback proxies in front of the store and the targets. One thread serves all
 * links; a link can delay its connections, reset them, or drop their data.
 */
#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <stdint.h>

#include "base/err.h"

/* DEF(id, name) */
#define PROXY_MODES(DEF)                                                   \
	DEF(PROXY_PASS, "pass")                                            \
	DEF(PROXY_DELAY, "delay") /* delays both directions */             \
	DEF(PROXY_RESET, "reset") /* resets open and new connections */    \
	DEF(PROXY_SILENT, "silent") /* drops all data of those open now */ \
	DEF(PROXY_CUT, "cut") /* drops all data while it is set */         \
	DEF(PROXY_ONE_WAY, "one_way") /* drops the data to the client */

enum proxy_mode {
#define DEF(id, name) id,
	PROXY_MODES(DEF)
#undef DEF
		PROXY_MODE_COUNT
};

struct proxy;
struct proxy_link;

struct proxy *proxy_new(struct err *err);
/* Ends the thread and frees all links. */
void proxy_free(struct proxy *p);
/*
 * Adds a link that listens on @address and @port (0: any free port) and
 * connects to @to_port of 127.0.0.1. NULL when it cannot listen.
 */
struct proxy_link *proxy_add(struct proxy *p, const char *address,
			     uint16_t port, uint16_t to_port, struct err *err);
uint16_t proxy_port(const struct proxy_link *l);
/*
 * Any thread may call it; takes effect within a few ms. @delay_ms is used by
 * PROXY_DELAY only.
 */
void proxy_set(struct proxy_link *l, enum proxy_mode mode, uint32_t delay_ms);
const char *proxy_mode_name(enum proxy_mode mode);

#endif
