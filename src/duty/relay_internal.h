/* State of the relay duty that its files share. */
#ifndef RELAY_INTERNAL_H
#define RELAY_INTERNAL_H

#include <glib.h>
#include <rpc/rpc.h>

#include "base/poller.h"
#include "duty/duty.h"
#include "duty/messages.h"
#include "duty/relay.h"
#include "duty/rpc_conn.h"

/* A host that has connected to this one: it follows it, or forwards to it. */
struct follower {
	struct relay *relay;
	uint64_t id;
	struct rpc_conn *conn;
	/* 1 while a FOLLOW_STATE call waits for its answer. */
	int is_waiting;
	/*
	 * RPC transaction ID to struct forwarded: its requests that are open;
	 * NULL until there was one.
	 */
	GHashTable *forwarded;
};

struct relay {
	struct duty *duty;
	struct poller *poller;
	struct ring *control;
	/* Ring of the request duty. */
	struct ring *requests;
	struct poller_item listener;
	/* UDP socket for datagrams of target health. */
	struct poller_item datagrams;
	/* struct follower.id to struct follower. */
	GHashTable *followers;
	uint64_t next_id;
	/* Connection to the host that this one follows; NULL: not connected. */
	struct rpc_conn *upstream;
	/* Address and port of the other end of @upstream. */
	char upstream_address[ADDRESS_BYTES];
	uint16_t upstream_port;
	/* Host that the call in flight goes to; empty while there is none. */
	char call_host[NAME_BYTES];
	/* RPC transaction ID of the call, and the time at which it was sent. */
	uint32_t call_xid;
	int64_t call_sent_us;
	/* RPC transaction ID of the last call or datagram that was sent. */
	uint32_t last_xid;
	/* Armed while a call is in flight; due when its answer is too late. */
	struct timer_entry call_timer;
	/* "ADDRESS PORT" to struct forward_link. */
	GHashTable *links;
	/* Connection ID of a forwarded request to struct forwarded. */
	GHashTable *forwarded;
	uint64_t last_forwarded_id;
	/* Number of @forwarded, for other threads. */
	_Atomic uint32_t forwarded_count;
	/* 1 during relay_free(): nothing is sent to the request duty. */
	uint32_t is_freeing;
};

/* relay_forward.c */
void relay_forward_init(struct relay *r);
void relay_forward_free(struct relay *r);
/* Sends or cancels a call to a gatherer; takes ownership of @call. */
void relay_forward_call(struct relay *r, struct forward_call *call,
			int64_t now_us);
/* Takes ownership of the answer @a to a forwarded request. */
void relay_forward_answer(struct relay *r, struct exchange_answer *a);
/* FORWARD of a host; 0 when it is not valid. @x is positioned at the body. */
int relay_forward_received(struct follower *f, uint32_t xid, XDR *x,
			   int64_t now_us);
/* CANCEL_FORWARD of a host; 0 when it is not valid. */
int relay_forward_cancelled(struct follower *f, XDR *x);
/* The connection of @f has ended: nobody waits for its requests. */
void relay_forward_lost(struct follower *f);

#endif
