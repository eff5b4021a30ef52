/*
 * Numbered result codes, and the struct in which a function returns a code with
 * its details. ERR_CODES is the only list of codes; a test compares
 * docs/ERRORS.md with it.
 */
#ifndef ERR_H
#define ERR_H

#include <stdint.h>
#include <stdio.h>

#include "base/util.h"

/* DEF(id, number, HTTP status towards callers and operators, text) */
#define ERR_CODES(DEF)                                                         \
	DEF(ERR_OK, 0, 200, "ok")                                              \
	DEF(ERR_INTERNAL, 101, 500, "internal error")                          \
	DEF(ERR_RING_FULL, 102, 503, "inbound ring is full")                   \
	DEF(ERR_IO, 103, 500, "input or output failed")                        \
	DEF(ERR_SETTING, 104, 400, "setting out of its accepted range")        \
	DEF(ERR_USAGE, 105, 400, "command line not understood")                \
	DEF(ERR_BAD_JSON, 201, 400, "body is not valid JSON")                  \
	DEF(ERR_BAD_FIELD, 202, 400, "field missing or out of range")          \
	DEF(ERR_TOO_LARGE, 203, 413, "body exceeds the size limit")            \
	DEF(ERR_NOT_FOUND, 204, 404, "no such resource")                       \
	DEF(ERR_METHOD, 205, 405, "method not allowed")                        \
	DEF(ERR_UNKNOWN_CUSTOMER, 206, 403, "customer has no contract")        \
	DEF(ERR_INDEX_NOT_ALLOWED, 207, 403, "contract does not permit index") \
	DEF(ERR_UNKNOWN_INDEX, 208, 404, "index has no layout")                \
	DEF(ERR_DUPLICATE, 209, 409, "request ID is already in use")           \
	DEF(ERR_AUTH, 210, 401, "admin token missing or wrong")                \
	DEF(ERR_OVERLOADED, 301, 503, "cannot be answered in time")            \
	DEF(ERR_RATE_LIMITED, 302, 429, "contract rate exceeded")              \
	DEF(ERR_DEADLINE, 303, 504, "deadline passed")                         \
	DEF(ERR_ONCE_UNAVAILABLE, 304, 503, "request ID cannot be claimed")    \
	DEF(ERR_ALREADY_CLAIMED, 305, 409, "request ID was already claimed")   \
	DEF(ERR_INCOMPLETE, 306, 504, "coverage below the contract")           \
	DEF(ERR_NO_REPLICA, 307, 503, "no usable replica")                     \
	DEF(ERR_STOPPING, 308, 503, "host is shutting down")                   \
	DEF(ERR_NO_CONFIG, 309, 503, "no configuration in force yet")          \
	DEF(ERR_CANCELLED, 310, 499, "caller closed the connection")           \
	DEF(ERR_TARGET_JSON, 401, 502, "target answer is not valid JSON")      \
	DEF(ERR_TARGET_ID, 402, 502, "target answer carries another ID")       \
	DEF(ERR_TARGET_SNAPSHOT, 403, 502, "target answered another snapshot") \
	DEF(ERR_TARGET_SIZE, 404, 502, "target answer exceeds the size limit") \
	DEF(ERR_TARGET_CLOSED, 405, 502, "target closed the connection early") \
	DEF(ERR_TARGET_TIMEOUT, 406, 504, "target did not answer in time")     \
	DEF(ERR_TARGET_SHED, 407, 503, "target shed the request")              \
	DEF(ERR_TARGET_DRAINING, 408, 503, "target is draining")               \
	DEF(ERR_TARGET_CONNECT, 409, 502, "connection to target failed")       \
	DEF(ERR_TARGET_STATUS, 410, 502, "target answered an error status")    \
	DEF(ERR_TARGET_SILENT, 411, 504, "connection to target is silent")     \
	DEF(ERR_STORE_DOWN, 501, 503, "store is not reachable")                \
	DEF(ERR_STORE_CONFLICT, 502, 409, "store version changed")             \
	DEF(ERR_STORE_UNKNOWN, 503, 504, "store write outcome unknown")        \
	DEF(ERR_STORE_RATE, 504, 429, "store rate limit reached")              \
	DEF(ERR_STORE_SIZE, 505, 413, "store value exceeds 1 MB")              \
	DEF(ERR_STORE_ANSWER, 506, 502, "store answer not understood")         \
	DEF(ERR_STORE_NOT_FOUND, 507, 404, "no such key in the store")         \
	DEF(ERR_STORE_STALE, 508, 409,                                         \
	    "store revision is older than in force")                           \
	DEF(ERR_STORE_HISTORY, 509, 410, "store history is no longer kept")    \
	DEF(ERR_CFG_FIELD, 601, 400, "configuration field refused")            \
	DEF(ERR_CFG_RACE, 602, 409, "another change was accepted first")       \
	DEF(ERR_CFG_FENCE, 603, 409, "fencing number is outdated")             \
	DEF(ERR_PEER_RPC, 701, 502, "peer call failed")                        \
	DEF(ERR_PEER_MESSAGE, 702, 400, "peer message refused")

enum err_code {
#define DEF(id, num, http, text) id = num,
	ERR_CODES(DEF)
#undef DEF
};

#define ERR_DETAIL_BYTES 192

struct err {
	enum err_code code;
	/* What failed, the value and what is accepted; cut if it is longer. */
	char detail[ERR_DETAIL_BYTES];
};

/* Symbolic name of the code without ERR_, such as "OVERLOADED". */
const char *err_name(enum err_code code);
const char *err_text(enum err_code code);
/* HTTP status of the code; 500 for a number that is not in ERR_CODES. */
uint32_t err_http_status(enum err_code code);
/* Calls @fn once for each code, in the order of ERR_CODES. */
void err_each(void (*fn)(void *ctx, enum err_code code), void *ctx);

/* Sets @err if it is not NULL; returns @code, so callers can return it. */
enum err_code err_set(struct err *err, enum err_code code, const char *fmt, ...)
	PRINTF_LIKE(3, 4);
void err_clear(struct err *err);
/* Writes one line with the number, the name and the detail of @err. */
void err_print(FILE *out, const struct err *err);

#endif
