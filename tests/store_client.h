/* Operator's access to the store stand-in. */
#ifndef STORE_CLIENT_H
#define STORE_CLIENT_H

#include <stdint.h>

/*
 * Writes @value at @key of the store on @port (NULL deletes); waits up to
 * @timeout_ms. Returns 0 if the store did not acknowledge it.
 */
int store_client_put(uint16_t port, const char *key, const char *value,
		     uint32_t timeout_ms);

#endif
