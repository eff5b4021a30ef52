/* Heartbeat: the message that entry hosts send each other once per second. */
#ifndef HEARTBEAT_H
#define HEARTBEAT_H

#include <stdint.h>

#include "model/request_report.h"
#include "model/name.h"

#define HEARTBEAT_NOTICES_MAX 16
#define HEARTBEAT_ROLLOUTS_MAX 4
/*
 * Largest encoded heartbeat with its RPC header; it fits into one datagram that
 * is not fragmented.
 */
#define HEARTBEAT_BYTES_MAX 1000

/* State of an entry host in the membership. */
enum host_state { HOST_LIVE, HOST_SUSPECT, HOST_GONE, HOST_LEAVING };

/* "live", "suspect", "gone" or "leaving". */
const char *host_state_name(enum host_state s);

/*
 * What one host observed of one version of a service during a rollout, since
 * its last report.
 */
struct rollout_report {
	char service[NAME_BYTES];
	char version[NAME_BYTES];
	/* 1: the reporting host found the version bad and gives it no work. */
	uint32_t is_bad;
	/* Requests to the version; of these, failures and slow answers. */
	uint32_t requests;
	uint32_t failures;
	uint32_t slow;
};

struct heartbeat {
	char host[NAME_BYTES];
	char data_centre[NAME_BYTES];
	char address[ADDRESS_BYTES];
	uint16_t port;
	/*
	 * Wall-clock time in ms at which the sender's process started; tells
	 * which of two processes of one host is the later one.
	 */
	uint64_t incarnation;
	/* Number of the heartbeat, counted from the start of the process. */
	uint64_t sequence;
	/* HOST_LIVE or HOST_LEAVING. */
	enum host_state state;
	/* Configuration revision in effect and the change that made it. */
	uint64_t config_rev;
	uint64_t config_change_id;
	/* Newest revision of a data centre or host item in effect. */
	uint64_t evacuation_rev;
	uint32_t notice_count;
	struct target_notice notices[HEARTBEAT_NOTICES_MAX];
	uint32_t rollout_count;
	struct rollout_report rollouts[HEARTBEAT_ROLLOUTS_MAX];
};

#endif
