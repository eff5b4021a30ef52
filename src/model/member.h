/* An entry host as membership sees it. */
#ifndef MEMBER_H
#define MEMBER_H

#include <stdint.h>

#include "model/heartbeat.h"
#include "model/name.h"

struct member_info {
	char host[NAME_BYTES];
	char data_centre[NAME_BYTES];
	char address[ADDRESS_BYTES];
	uint16_t port;
	enum host_state state;
	uint64_t incarnation;
	/* Configuration revision that the host has put into effect. */
	uint64_t config_rev;
	uint64_t config_change_id;
	uint64_t dc_items_rev;
	/* Monotonic time of its last heartbeat; 0 for none. */
	int64_t last_heartbeat_us;
	/* 1 when the platform's host list names it. */
	uint32_t listed;
};

#endif
