/*
 * Membership of entry hosts: who is live, suspect, gone or leaving, who gets
 * this host's heartbeats, and who watches the store. Pure: the time, the
 * heartbeats and the host list are passed in.
 *
 * Hosts are kept in the order of their hashed names. Up to HOSTS_PER_TARGET_MAX
 * hosts all exchange heartbeats; in a larger fleet each host has the four
 * before and the four behind it as partners, so partners are mutual and a
 * change moves only its neighbours. Only partners are judged by silence.
 */
#ifndef MEMBERSHIP_H
#define MEMBERSHIP_H

#include <stdint.h>

#include "model/heartbeat.h"
#include "model/host_list.h"
#include "model/member.h"

#define MEMBERSHIP_SUSPECT_US (3 * 1000000LL)
#define MEMBERSHIP_GONE_US (10 * 1000000LL)
/* Other hosts that get each heartbeat; spreads news to far hosts. */
#define MEMBERSHIP_RANDOM_HOSTS 3
/* Hosts of a data centre that watch the store; one may fail. */
#define MEMBERSHIP_STORE_WATCHERS 2

struct membership;

struct membership_ops {
	/* A member appeared, or its state changed. */
	void (*member_changed)(void *ctx, const struct member_info *m);
	void *ctx;
};

/* @self: host, data centre, address, port and incarnation of this host. */
struct membership *membership_new(const struct member_info *self,
				  const struct membership_ops *a, uint64_t seed,
				  int64_t now_us);
void membership_free(struct membership *m);

/* Address to contact until a member with that address is known. */
void membership_add_seed(struct membership *m, const char *address,
			 uint16_t port);
/* The lagging list: adds hosts, marks leaving ones, removes none. */
void membership_on_host_list(struct membership *m, int64_t now_us,
			     const struct host_list *l);

enum membership_update {
	MEMBERSHIP_IGNORED, /* own, repeated, reordered or of an older incarnation */
	MEMBERSHIP_UPDATED,
	MEMBERSHIP_NEW /* unknown or restarted host: send it a heartbeat at once */
};
enum membership_update membership_on_heartbeat(struct membership *m,
					       int64_t now_us,
					       const struct heartbeat *h);
/* Every 100 ms. A longer gap means that this host was paused. */
void membership_tick(struct membership *m, int64_t now_us);
/* This host leaves: its heartbeats say so from now on. */
void membership_leave(struct membership *m);

/* Fills host, address, incarnation, next sequence and state. */
void membership_fill_heartbeat(struct membership *m, struct heartbeat *h);
/* Calls @fn for each address that gets this second's heartbeat. */
void membership_each_receiver(struct membership *m,
			      void (*fn)(void *ctx, const char *address,
					 uint16_t port),
			      void *ctx);
/* 1 if this host is among its data centre's watchers of the store. */
int membership_watches_store(const struct membership *m);
/* Hosts that are live or suspect, this one included unless it leaves. */
uint32_t membership_active_count(const struct membership *m);
/* 1 when no other host is known. */
int membership_is_alone(const struct membership *m);
/* This host first, the others in order of their hashed names. */
void membership_each(const struct membership *m,
		     void (*fn)(void *ctx, const struct member_info *info),
		     void *ctx);
const struct member_info *membership_find(const struct membership *m,
					  const char *host);

#endif
