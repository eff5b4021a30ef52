/* The platform's list of hosts and targets, which lags behind their state. */
#ifndef HOST_LIST_H
#define HOST_LIST_H

#include <stdint.h>

#include "model/name.h"

struct listed_host {
	char id[NAME_BYTES];
	char address[ADDRESS_BYTES];
	/* Port for messages between hosts, if this is an entry host. */
	uint16_t port;
	char data_centre[NAME_BYTES];
	/* 1: entry host, 0: target. */
	uint32_t is_entry_host;
	/* 1: the host or target is about to stop. */
	uint32_t is_leaving;
};

struct host_list {
	/* Revision of the list itself. */
	uint64_t rev;
	uint32_t count;
	struct listed_host *hosts;
};

void host_list_free(struct host_list *l);

#endif
