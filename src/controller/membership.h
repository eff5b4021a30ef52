/*
 * Membership of entry hosts: which hosts are live, suspect, gone or leaving,
 * which hosts get this host's heartbeats, and whether this host watches the
 * store. Pure: the time, the heartbeats and the host list are passed in.
 *
 * Every host sends heartbeats to its partners. Up to HOSTS_PER_TARGET_MAX hosts
 * are all partners of each other. In a larger fleet the hosts form a circle in
 * the order of their hashed names, and the partners of a host are the four
 * before and the four behind it; so partners are mutual, and a host that comes
 * or goes changes the partners of its neighbours only. Only a partner becomes
 * suspect or gone by silence, since other hosts are heard of rarely.
 */
#ifndef MEMBERSHIP_H
#define MEMBERSHIP_H

#include <stdint.h>

#include "model/heartbeat.h"
#include "model/host_list.h"
#include "model/member.h"

/* Silence after which a partner is suspect, and after which it is gone. */
#define MEMBERSHIP_SUSPECT_US (3 * 1000000LL)
#define MEMBERSHIP_GONE_US (10 * 1000000LL)
/*
 * Random hosts that get each heartbeat besides the partners, which spreads news
 * to hosts that are not neighbours.
 */
#define MEMBERSHIP_RANDOM_HOSTS 3
/* Hosts of each data centre that watch the store, so that one may fail. */
#define MEMBERSHIP_STORE_WATCHERS 2

struct membership;

struct membership_ops {
	/* A member appeared or was restarted, or its state changed. */
	void (*member_changed)(void *ctx, const struct member_info *m);
	void *ctx;
};

/* @self: host, data centre, address, port and incarnation of this host. */
struct membership *membership_new(const struct member_info *self,
				  const struct membership_ops *ops,
				  uint64_t seed, int64_t now_us);
void membership_free(struct membership *m);

/* Address that gets heartbeats until a member with that address is known. */
void membership_add_seed(struct membership *m, const char *address,
			 uint16_t port);
/*
 * Takes the platform's host list, which lags: adds hosts and marks those that
 * are leaving, but removes none.
 */
void membership_on_host_list(struct membership *m, int64_t now_us,
			     const struct host_list *l);

enum membership_update {
	/* Own, repeated, reordered or from an older incarnation. */
	MEMBERSHIP_IGNORED,
	MEMBERSHIP_UPDATED,
	/* Unknown or restarted host, which should get a heartbeat at once. */
	MEMBERSHIP_NEW
};
/* Takes a heartbeat of another host. */
enum membership_update membership_on_heartbeat(struct membership *m,
					       int64_t now_us,
					       const struct heartbeat *h);
/*
 * Called every 100 ms; updates states by silence and forgets hosts. A gap of
 * more than a second between calls means that this host was paused.
 */
void membership_tick(struct membership *m, int64_t now_us);
/* This host is leaving: its heartbeats say so from now on. */
void membership_leave(struct membership *m);

/*
 * Fills in this host's name, data centre, address, incarnation, state and next
 * sequence number.
 */
void membership_fill_heartbeat(struct membership *m, struct heartbeat *h);
/* Calls @fn for each address that gets this second's heartbeat. */
void membership_each_receiver(struct membership *m,
			      void (*fn)(void *ctx, const char *address,
					 uint16_t port),
			      void *ctx);
/* 1 if this host is one of its data centre's hosts that watch the store. */
int membership_watches_store(const struct membership *m);
/* Number of hosts that are live or suspect, including this one if it is. */
uint32_t membership_active_count(const struct membership *m);
/* 1 when no other host is known. */
int membership_is_alone(const struct membership *m);
/* Calls @fn for this host, then for the others by their hashed names. */
void membership_each(const struct membership *m,
		     void (*fn)(void *ctx, const struct member_info *info),
		     void *ctx);
/* Member @host, which may be this host, or NULL. */
const struct member_info *membership_find(const struct membership *m,
					  const char *host);

#endif
