/*
 * Store stand-in: the platform's key-value service and host list over HTTP.
 * store_decode.c decodes calls, store.c runs them, store_watch.c serves reads
 * and waits for changes, store_hosts.c keeps the host list, and store_control.c
 * serves the control port.
 */
#ifndef STANDIN_STORE_H
#define STANDIN_STORE_H

#include "fault.h"
#include "http.h"
#include "kvs.h"
#include "waiters.h"

/* DEF(id, name): faults, by their names on the control port. */
#define STORE_FAULTS(DEF)                                 \
	DEF(STORE_FAULT_OUTAGE, "outage")                 \
	DEF(STORE_FAULT_SLOW, "slow")                     \
	DEF(STORE_FAULT_LATE_EFFECT, "late_effect")       \
	DEF(STORE_FAULT_LOST_ANSWER, "lost_answer")       \
	DEF(STORE_FAULT_LOST_CALL, "lost_call")           \
	DEF(STORE_FAULT_STALE, "stale")                   \
	DEF(STORE_FAULT_SILENT_REQUEST, "silent_request") \
	DEF(STORE_FAULT_SILENT_ANSWER, "silent_answer")   \
	DEF(STORE_FAULT_SILENT, "silent")                 \
	DEF(STORE_FAULT_BLACKHOLE, "blackhole")           \
	DEF(STORE_FAULT_KILL, "kill")                     \
	DEF(STORE_FAULT_SAVE, "save")                     \
	DEF(STORE_FAULT_RESTORE, "restore")               \
	DEF(STORE_FAULT_LEASE_JUMP, "lease_jump")         \
	DEF(STORE_FAULT_HOSTS_FROZEN, "hosts_frozen")

enum store_fault {
#define DEF(id, name) id,
	STORE_FAULTS(DEF)
#undef DEF
		STORE_FAULT_COUNT
};

/* DEF(id, name, write): kinds of calls; @write 1: limited by the write rate. */
#define STORE_OPS(DEF)                    \
	DEF(STORE_OP_GET, "get", 0)       \
	DEF(STORE_OP_PUT, "put", 1)       \
	DEF(STORE_OP_DELETE, "delete", 1) \
	DEF(STORE_OP_WATCH, "watch", 0)   \
	DEF(STORE_OP_RANGE, "range", 0)   \
	DEF(STORE_OP_GRANT, "grant", 1)   \
	DEF(STORE_OP_RENEW, "renew", 1)   \
	DEF(STORE_OP_REVOKE, "revoke", 1) \
	DEF(STORE_OP_HOSTS, "hosts", 0)

enum store_op {
#define DEF(id, name, write) id,
	STORE_OPS(DEF)
#undef DEF
		STORE_OP_COUNT
};

/* A call that is being served. */
struct store_call {
	struct store_call *prev;
	struct store_call *next;
	struct store *store;
	/* NULL: the client closed the connection. */
	struct http_conn *conn;
	enum store_op op;
	/* Key, or prefix of a range or watch. */
	char key[KVS_KEY_BYTES_MAX + 1];
	char *value;
	size_t value_bytes;
	uint64_t if_version;
	uint64_t lease;
	/* Watch: reports changes above this revision. */
	uint64_t after;
	/* Range: the page begins after this key. */
	char page_after[KVS_KEY_BYTES_MAX + 1];
	uint32_t ttl_ms;
	uint32_t timeout_ms;
	/* 1: a watch that waits for a change. */
	uint32_t is_watching;
	/* End of a watch, of a delayed effect, or of a delayed answer. */
	struct timer_entry timer;
	/* The answer, once the call has taken effect. */
	uint32_t status;
	struct buf body;
};

struct store_hosts;

/* Token bucket that limits the reads or the writes; per_s 0: no limit. */
struct store_rate {
	uint32_t per_s;
	double tokens;
	int64_t filled_us;
};

/* DEF(field): counters besides the calls of each kind. */
#define STORE_COUNTERS(DEF) \
	DEF(limited)        \
	DEF(refused)        \
	DEF(conflicts)      \
	DEF(calls_lost)     \
	DEF(answers_lost)   \
	DEF(watches_peak)   \
	DEF(calls_per_s_peak)

struct store_counters {
	uint64_t calls[STORE_OP_COUNT];
#define DEF(field) uint64_t field;
	STORE_COUNTERS(DEF)
#undef DEF
};

struct store {
	struct http *http;
	struct http_listener *listener;
	/* Stated in all answers; rises with each restored state. */
	uint64_t era;
	struct kvs *kvs;
	/* name -> struct kvs, saved by the fault "save" for "restore". */
	GHashTable *saved;
	/* State that reads see while the fault "stale" is on; else NULL. */
	struct kvs *stale;
	struct store_hosts *hosts;
	struct waiters *waiters;
	/* Calls that have not been answered. */
	struct store_call *calls;
	/* Watches that wait for a change. */
	uint32_t watches;
	struct timer_entry lease_timer;
	/* Index 0: reads, 1: writes. */
	struct store_rate rates[2];
	/* Begin of the second in which calls are counted, and their number. */
	int64_t second_us;
	uint64_t second_calls;
	struct store_counters counters;
	struct fault faults[STORE_FAULT_COUNT];
	struct rng rng;
};

struct store *store_new(struct http *h, uint64_t seed);
void store_free(struct store *s);
/* Opens the port of the service; @port 0 picks a free one. */
enum err_code store_listen(struct store *s, const char *address, uint16_t port,
			   struct err *err);
/* Opens the control port; @port 0 picks a free one. */
struct http_listener *store_control(struct store *s, const char *address,
				    uint16_t port, struct err *err);
const char *store_op_name(enum store_op op);

/* The declarations below are for the store*.c files only. */

#define STORE_NO_PATH (-1)
/* Limit of the items in one page of a range. */
#define STORE_PAGE_ITEMS 500
/*
 * Fills @c from @r. 1: decoded; 0: a field is missing or out of range;
 * STORE_NO_PATH: no such method and path.
 */
int store_decode(struct store_call *c, const struct http_request *r);
/* Returns the state that reads see. */
struct kvs *store_read_state(struct store *s);
/* Sends c->status and c->body unless a fault loses or delays the answer. */
void store_finish(struct store_call *c, int64_t now_us);
/* Answers the watches for which there is a change. */
void store_wake_watches(struct store *s, int64_t now_us);
/* Run a get or a range: fill the answer of @c. */
void store_get(struct store_call *c);
void store_range(struct store_call *c);
/* Answers a watch at once if there is a change, or lets it wait. */
void store_watch(struct store_call *c, int64_t now_us);
/* Ends the leases that are due and arms the timer for the next one. */
void store_expire(struct store *s, int64_t now_us);

struct store_hosts *store_hosts_new(uint32_t lag_ms);
void store_hosts_free(struct store_hosts *h);
/*
 * Sets the list to the "hosts" array of @body, which is shown after the lag.
 * ERR_BAD_FIELD: it is no array.
 */
enum err_code store_hosts_set(struct store_hosts *h, json_t *body,
			      int64_t now_us, struct err *err);
/* Sets the lag of the lists that are set from now on. */
void store_hosts_lag(struct store_hosts *h, uint32_t lag_ms);
/*
 * JSON text of the list that is shown at @now_us; @frozen: of the last one
 * shown.
 */
const char *store_hosts_text(struct store_hosts *h, int frozen, int64_t now_us);

#endif
