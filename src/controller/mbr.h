/*
 * Membership of entry hosts: who is live, suspect, gone or leaving, who gets
 * this host's heartbeats, and who watches the store. Pure: the time, the
 * heartbeats and the host list are passed in.
 *
 * Hosts are kept in the order of their hashed names. Up to CELL_HOSTS_MAX
 * hosts all exchange heartbeats; in a larger fleet each host has the four
 * before and the four behind it as partners, so partners are mutual and a
 * change moves only its neighbours. Only partners are judged by silence.
 */
#ifndef MBR_H
#define MBR_H

#include <stdint.h>

#include "model/heartbeat.h"
#include "model/hostlist.h"
#include "model/member.h"

#define MBR_SUSPECT_US (3 * 1000000LL)
#define MBR_GONE_US (10 * 1000000LL)
/* Other hosts that get each heartbeat; spreads news to far hosts. */
#define MBR_RANDOM_HOSTS 3
/* Hosts of a data centre that watch the store; one may fail. */
#define MBR_WATCHERS 2

struct mbr;

struct mbr_actions {
	/* A member appeared, or its state changed. */
	void (*changed)(void *ctx, const struct member_info *m);
	void *ctx;
};

/* @self: host, data centre, address, port and incarnation of this host. */
struct mbr *mbr_new(const struct member_info *self, const struct mbr_actions *a,
		    uint64_t seed, int64_t now_us);
void mbr_free(struct mbr *m);

/* Address to contact until a member with that address is known. */
void mbr_add_seed(struct mbr *m, const char *address, uint16_t port);
/* The lagging list: adds hosts, marks leaving ones, removes none. */
void mbr_on_list(struct mbr *m, int64_t now_us, const struct host_list *l);

enum mbr_heard {
	MBR_IGNORED, /* own, repeated, reordered or of an older incarnation */
	MBR_HEARD,
	MBR_NEW /* unknown or restarted host: send it a heartbeat at once */
};
enum mbr_heard mbr_on_heartbeat(struct mbr *m, int64_t now_us,
				const struct heartbeat *h);
/* Every 100 ms. A longer gap means that this host was paused. */
void mbr_tick(struct mbr *m, int64_t now_us);
/* This host leaves: its heartbeats say so from now on. */
void mbr_leave(struct mbr *m);

/* Fills host, address, incarnation, next sequence and state. */
void mbr_fill(struct mbr *m, struct heartbeat *h);
/* Calls @fn for each address that gets this second's heartbeat. */
void mbr_each_receiver(struct mbr *m,
		       void (*fn)(void *ctx, const char *address,
				  uint16_t port),
		       void *ctx);
/* 1 if this host is among its data centre's watchers of the store. */
int mbr_watches_store(const struct mbr *m);
/* Hosts that are live or suspect, this one included unless it leaves. */
uint32_t mbr_active_count(const struct mbr *m);
/* 1 when no other host is known. */
int mbr_is_alone(const struct mbr *m);
/* This host first, the others in order of their hashed names. */
void mbr_each(const struct mbr *m,
	      void (*fn)(void *ctx, const struct member_info *info), void *ctx);
const struct member_info *mbr_find(const struct mbr *m, const char *host);

#endif
