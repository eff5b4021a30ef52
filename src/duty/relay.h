/*
 * The relay duty: passes the state of the store between hosts of the gateway
 * (FOLLOW_STATE of codec/peer.x) over TCP, and target health (REPORT_HEALTH and
 * TELL_HEALTH) over UDP at the same port number, and forwarded requests with
 * their answers (FORWARD) over TCP. It makes no decisions: the control duty says
 * which host to follow and when to answer followers, the request duty which
 * host a request is forwarded to.
 */
#ifndef RELAY_H
#define RELAY_H

#include <stdint.h>

#include "base/err.h"
#include "base/ring.h"
#include "base/timer_queue.h"
#include "model/heartbeat.h"
#include "model/name.h"
#include "model/store_update.h"
#include "model/target_health.h"

/* Most reports on versions in one call. */
#define FOLLOW_REPORTS_MAX 128

/* MSG_FOLLOW_REQUEST, control to relay: one call to another host. */
struct follow_request {
	char host[NAME_BYTES];
	char address[ADDRESS_BYTES];
	uint16_t port;
	/* Position of the store that this host has; it asks for later changes. */
	uint64_t rev;
	/* Longest time for which the other host may hold the call. */
	uint32_t hold_ms;
	/* Reports on versions, of this host and of its followers. */
	uint32_t report_count;
	struct rollout_report *reports;
};

/*
 * MSG_FOLLOW_RESULT, relay to control: result of the call to @host. @update is
 * NULL and @err set when the call failed.
 */
struct follow_result {
	char host[NAME_BYTES];
	/* Monotonic time at which the call was sent. */
	int64_t sent_us;
	struct err err;
	struct store_update *update;
};

/* MSG_FOLLOWER_CALL, relay to control: call of a host that follows this one. */
struct follower_call {
	/* Connection and RPC transaction ID of the call, for the reply. */
	uint64_t conn;
	uint32_t xid;
	/* Position of the store that the follower has. */
	uint64_t rev;
	/* 1: the follower states no era. */
	uint32_t has_no_era;
	/* Longest time for which the call may be held. */
	uint32_t hold_ms;
	/* Monotonic time at which the call came. */
	int64_t received_us;
	/* Reports on versions, of the follower and of its followers. */
	uint32_t report_count;
	struct rollout_report *reports;
	/* Used by the control duty while it holds the call. */
	struct timer_entry hold_timer;
	void *owner;
};

/* MSG_FOLLOWER_REPLY, control to relay: answer to a follower's call. */
struct follower_reply {
	/* Copied from the call. */
	uint64_t conn;
	uint32_t xid;
	int64_t received_us;
	struct store_update *update;
};

/* MSG_HEALTH_SEND and MSG_HEALTH_RECEIVED: one datagram to or from a host. */
struct health_datagram {
	/* 1: sent by a root to its hosts, 0: sent by a host to its root. */
	uint32_t is_from_root;
	/* Address of the receiver; empty in MSG_HEALTH_RECEIVED. */
	char address[ADDRESS_BYTES];
	uint16_t port;
	struct target_health_list health;
};

void follow_request_free(struct follow_request *f);
void follower_call_free(struct follower_call *c);
void follow_result_free(struct follow_result *f);
void follower_reply_free(struct follower_reply *r);

struct relay;

/* Listens on @address at @port; port 0: one that the system chooses. */
struct relay *relay_new(const char *address, uint16_t port, struct err *err);
/* @control, @requests: rings of the control and of the request duty. */
enum err_code relay_start(struct relay *r, struct ring *control,
			  struct ring *requests, struct err *err);
/* Any thread: requests of other hosts that this one has not answered yet. */
uint32_t relay_forwarded_count(struct relay *r);
struct ring *relay_ring(struct relay *r);
/* Port that the duty listens on. */
uint16_t relay_port(const struct relay *r);
void relay_stop(struct relay *r);
void relay_free(struct relay *r);

#endif
