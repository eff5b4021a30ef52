/* Rendezvous (highest random weight) hashing over host names. */
#ifndef HRW_H
#define HRW_H

#include <stdint.h>

#include "model/name.h"

/* Weight of @node for @key; the node with the highest weight owns the key. */
uint64_t hrw_weight(const char *key, const char *node);
/* 1 if @self has the highest weight for @key among @hosts and itself. */
int hrw_is_owner(const char *key, const char *self, char (*hosts)[NAME_BYTES],
		 uint32_t host_count);

#endif
