/*
 * The relay duty: passes the state of the store between hosts of the gateway
 * (FOLLOW_STATE of codec/peer.x) over TCP, and target health over UDP at the
 * same port number. It moves bytes only: the control duty says
 * whom to follow and when to answer those that follow this host.
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

/* Evidence on versions in one call. */
#define FOLLOW_EVIDENCE_MAX 128

/* MSG_FOLLOW_REQUEST, control to relay: one call to another host. */
struct follow_request {
	char host[NAME_BYTES];
	char address[ADDRESS_BYTES];
	uint16_t port;
	/* Revision that this host knows; the other one has to know more. */
	uint64_t rev;
	/* Longest time that the other host holds the call. */
	uint32_t hold_ms;
	/* What this host and those that follow it have seen of versions. */
	uint32_t evidence_count;
	struct rollout_report *evidence;
};

/* MSG_FOLLOW_RESULT, relay to control: its result; @update NULL with @err set. */
struct follow_result {
	char host[NAME_BYTES];
	struct err err;
	struct store_update *update;
};

/* MSG_FOLLOWER_CALL, relay to control: another host's call. */
struct follower_call {
	/* Connection and call that the reply is for. */
	uint64_t conn;
	uint32_t xid;
	uint64_t rev;
	uint32_t hold_ms;
	int64_t received_us;
	uint32_t evidence_count;
	struct rollout_report *evidence;
	/* For the control duty, which holds the call. */
	struct timer_entry hold_timer;
	void *owner;
};

/* MSG_FOLLOWER_REPLY, control to relay. */
struct follower_reply {
	uint64_t conn;
	uint32_t xid;
	int64_t received_us;
	struct store_update *update;
};

/* MSG_HEALTH_SEND and MSG_HEALTH_RECEIVED: one datagram to or from a host. */
struct health_datagram {
	/* 1: what a root tells its hosts, 0: what a host reports to its root. */
	uint32_t is_from_root;
	/* Of the receiver; empty for one that came in. */
	char address[ADDRESS_BYTES];
	uint16_t port;
	struct target_health_list health;
};

void follow_request_free(struct follow_request *f);
void follower_call_free(struct follower_call *c);
void follow_result_free(struct follow_result *f);
void follower_reply_free(struct follower_reply *r);

struct relay;

/* @control: ring of the control duty, set before relay_start(). */
struct relay *relay_new(const char *address, uint16_t port, struct err *err);
enum err_code relay_start(struct relay *r, struct ring *control,
			  struct err *err);
struct ring *relay_ring(struct relay *r);
/* Port that the duty listens on. */
uint16_t relay_port(const struct relay *r);
void relay_stop(struct relay *r);
void relay_free(struct relay *r);

#endif
