/*
 * Rendezvous (highest random weight) hashing: every host computes the same
 * choice from the same names, and a change of one candidate moves only the
 * choices that involve it.
 */
#ifndef RENDEZVOUS_H
#define RENDEZVOUS_H

#include <stdint.h>

#include "model/name.h"

/* Weight of @candidate for @key; the candidate with the highest is chosen. */
uint64_t rendezvous_weight(const char *key, const char *candidate);
/* 1 if candidate @a is chosen before @b; equal weights go by name. */
int rendezvous_before(const char *key, const char *a, const char *b);
/* 1 if @self is chosen for @key among itself and @hosts, which may list it. */
int rendezvous_is_owner(const char *key, const char *self,
			char (*hosts)[NAME_BYTES], uint32_t host_count);

#endif
