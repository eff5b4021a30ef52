/* Entry host as the membership knows it. */
#ifndef MEMBER_H
#define MEMBER_H

#include <stdint.h>

#include "model/heartbeat.h"
#include "model/name.h"

struct member_info {
	char host[NAME_BYTES];
	char data_centre[NAME_BYTES];
	/* Address and port for messages between hosts. */
	char address[ADDRESS_BYTES];
	uint16_t port;
	enum host_state state;
	/* The next four are from its last heartbeat; 0 before the first. */
	uint64_t incarnation;
	uint64_t config_rev;
	uint64_t config_change_id;
	uint64_t evacuation_rev;
	/* Monotonic time of its last heartbeat; 0: none came yet. */
	int64_t last_heartbeat_us;
	/* 1 if the latest host list of the platform names the host. */
	uint32_t is_listed;
};

#endif
