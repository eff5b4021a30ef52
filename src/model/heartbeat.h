/* What hosts tell each other once per second. */
#ifndef HEARTBEAT_H
#define HEARTBEAT_H

#include <stdint.h>

#include "model/request_report.h"
#include "model/name.h"

#define HEARTBEAT_NOTICES_MAX 16
#define HEARTBEAT_ROLLOUTS_MAX 4
/* Encoded size with the RPC header; one datagram without fragments. */
#define HEARTBEAT_BYTES_MAX 1000

enum host_state { HOST_LIVE, HOST_SUSPECT, HOST_GONE, HOST_LEAVING };

/* "live", "suspect", "gone" or "leaving". */
const char *host_state_name(enum host_state s);

/* One host's finding on a version that is being rolled out. */
struct rollout_report {
	char service[NAME_BYTES];
	char version[NAME_BYTES];
	/* 1: this host found the version bad and gives it no work. */
	uint32_t is_bad;
	uint32_t requests;
	uint32_t failures;
	uint32_t slow;
};

struct heartbeat {
	char host[NAME_BYTES];
	char data_centre[NAME_BYTES];
	char address[ADDRESS_BYTES];
	uint16_t port;
	/* Wall-clock start time of the process in ms; orders restarts. */
	uint64_t incarnation;
	uint64_t sequence;
	/* HOST_LIVE or HOST_LEAVING. */
	enum host_state state;
	uint64_t config_rev;
	uint64_t config_change_id;
	/* Revision of the data centre items that the host has put into effect. */
	uint64_t dc_items_rev;
	uint32_t notice_count;
	struct target_notice notices[HEARTBEAT_NOTICES_MAX];
	uint32_t rollout_count;
	struct rollout_report rollouts[HEARTBEAT_ROLLOUTS_MAX];
};

#endif
